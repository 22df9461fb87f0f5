//! Tests of the order of attempts and of what a caller is told after them.

use {
    super::{Attempts, Failed, Limits, Path, Reach, Relay, Step, RETRY_DELAY},
    std::time::Duration,
    tokio::time::Instant,
};

const LIMIT: Duration = Duration::from_millis(2850);
const LIMITS: Limits = Limits {
    alone: Duration::from_millis(600),
    patience: Duration::from_millis(500),
    relay_patience: Duration::from_millis(500),
    rounds: u32::MAX,
};
/// How long an attempt in these tests takes.
const ATTEMPT: Duration = Duration::from_millis(20);

fn reach(away_ms: Option<u64>, relay: Relay) -> Reach {
    Reach {
        away: away_ms.map(Duration::from_millis),
        relay,
    }
}

fn refused() -> Failed {
    Failed::Refused("busy".into())
}

fn lost() -> Failed {
    Failed::Lost("reset".into())
}

/// Plays attempts that all fail, with the outcome that `fail` gives for each path
/// and what is known after that many attempts. Returns the paths that were
/// tried, the time that passed, and what the caller is told.
fn play(
    reach: impl Fn(usize) -> Reach,
    fail: impl Fn(Path) -> Failed,
) -> (Vec<Path>, Duration, Failed) {
    play_within(LIMITS, |tried, _| reach(tried), fail)
}

/// Plays attempts like [`play`] with other limits. What is known may also depend
/// on the time that has passed.
fn play_within(
    limits: Limits,
    reach: impl Fn(usize, Duration) -> Reach,
    fail: impl Fn(Path) -> Failed,
) -> (Vec<Path>, Duration, Failed) {
    let begun = Instant::now();
    let mut now = begun;
    let mut attempts = Attempts::new(limits, begun, LIMIT);
    let mut tried = Vec::new();
    loop {
        match attempts.next(now, reach(tried.len(), now - begun)) {
            Step::Try(path, limit) => {
                assert!(now + limit <= begun + LIMIT, "beyond the caller's time");
                tried.push(path);
                attempts.failed(path, fail(path));
                now += ATTEMPT;
            }
            Step::Pause(delay) => now += delay,
            Step::GiveUp => return (tried, now - begun, attempts.outcome()),
        }
    }
}

fn next(reach: Reach) -> Step {
    let now = Instant::now();
    Attempts::new(LIMITS, now, LIMIT).next(now, reach)
}

/// Guards against "not run" for a job that may be stored: an attempt without an
/// answer on either path leaves the outcome unknown, whatever the other says.
#[test]
fn outcome_is_certain_only_if_every_attempt_was_refused() {
    for (store, leader, certain) in [
        (refused(), refused(), true),
        (lost(), refused(), false),
        (refused(), lost(), false),
        (lost(), lost(), false),
    ] {
        let fail = |path| match path {
            Path::Store => store.clone(),
            Path::Leader => leader.clone(),
        };
        let (tried, _, outcome) = play(|_| reach(None, Relay::Open), fail);

        assert_eq!(tried[..2], [Path::Store, Path::Leader]);
        let refused = matches!(outcome, Failed::Refused(_));
        assert_eq!(refused, certain, "{store:?}, {leader:?}");
    }
}

/// Guards against calls that are passed on although the store serves this entry,
/// and against calls of a store that turns it away, which may lose the answer.
#[test]
fn leader_is_asked_first_only_while_the_store_is_away() {
    let first = |away, relay| match next(reach(away, relay)) {
        Step::Try(path, _) => Some(path),
        _ => None,
    };

    for relay in [Relay::Open, Relay::Suspect, Relay::Closed] {
        assert_eq!(first(None, relay), Some(Path::Store), "{relay:?}");
    }
    assert_eq!(first(Some(10), Relay::Open), Some(Path::Leader));
    assert_eq!(first(Some(10), Relay::Suspect), None);
    assert_eq!(first(Some(10), Relay::Closed), Some(Path::Store));
    let (tried, _, _) = play(|_| reach(Some(900), Relay::Open), |_| refused());
    assert!(tried.iter().all(|path| *path == Path::Leader), "{tried:?}");
}

/// Guards against callers that wait although nobody reaches the store, and
/// against a short outage that is reported as a failure.
#[test]
fn request_is_refused_at_once_only_in_a_long_outage_for_all() {
    assert_eq!(next(reach(Some(600), Relay::Closed)), Step::GiveUp);
    for relay in [Relay::Open, Relay::Suspect] {
        assert_ne!(next(reach(Some(600), relay)), Step::GiveUp, "{relay:?}");
    }
    assert_ne!(next(reach(Some(599), Relay::Closed)), Step::GiveUp);

    let (tried, time, outcome) = play(|_| reach(Some(10), Relay::Closed), |_| refused());

    assert!(tried.len() > 3, "{tried:?}");
    assert!(time <= LIMITS.alone, "{time:?}");
    assert_eq!(outcome, refused());
}

/// Guards against an unknown outcome that is reported although the leader could
/// still tell it, and against a certain one that keeps the caller waiting.
#[test]
fn silent_leader_is_waited_for_only_to_resolve_an_unknown_outcome() {
    let suspect = |_| reach(Some(10), Relay::Suspect);
    for known in [Relay::Suspect, Relay::Open] {
        let (_, time, outcome) = play(|_| reach(Some(10), known), |_| refused());
        assert!(time <= LIMITS.alone, "{time:?}");
        assert!(matches!(outcome, Failed::Refused(_)), "{outcome:?}");
    }

    let back = |tried| match tried {
        0 => reach(None, Relay::Suspect),
        _ => suspect(tried),
    };
    let (tried, time, outcome) = play(back, |_| lost());

    assert_eq!(tried, [Path::Store]);
    assert!(time + 2 * RETRY_DELAY > LIMIT, "{time:?}");
    assert_eq!(outcome, lost());
}

/// Guards against a request that is given up without an attempt, because waiting
/// for a suspected leader has used up its rounds.
#[test]
fn rounds_without_an_attempt_do_not_count() {
    let limits = Limits {
        alone: LIMIT,
        rounds: 2,
        ..LIMITS
    };
    let back = Duration::from_millis(300);
    let reach = |_, passed: Duration| match passed < back {
        true => reach(Some(10), Relay::Suspect),
        false => reach(Some(10), Relay::Open),
    };

    let (tried, time, _) = play_within(limits, reach, |_| refused());

    assert_eq!(tried, [Path::Leader; 2]);
    assert!(time < LIMIT, "{time:?}");
    let never = |_, _| self::reach(Some(10), Relay::Suspect);
    let (tried, time, _) = play_within(limits, never, |_| refused());
    assert_eq!(tried, []);
    assert!(time <= LIMIT, "{time:?}");
}
