//! Decides through which process a caller's request reaches the store, how often
//! it is tried, and when the caller is told that it has failed.
//!
//! The store may turn one process away while it serves another, so a request is
//! tried by this process and passed on to the leader. See
//! `docs/design/relay.md`.

#[cfg(test)]
mod tests;

use {
    filbertbend_workload::relay::Outcome,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Delay before the next round of attempts.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(80);
/// Minimum time left for which an attempt is made. The store answers within
/// milliseconds. An attempt that is cut short leaves its outcome unknown.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Through which process the store is called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Path {
    /// This process calls the store.
    Store,
    /// The leader's process calls the store.
    Leader,
}

/// Whether calls can be passed on to the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Relay {
    /// Nothing speaks against it.
    Open,
    /// A call had no answer a moment ago. The link or the leader may be back
    /// soon.
    Suspect,
    /// This process leads, no other process is known to lead, or the leader does
    /// not reach the store either.
    Closed,
}

/// What is known about the ways to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Reach {
    /// For how long the store has turned this process away, if it does.
    pub(crate) away: Option<Duration>,
    pub(crate) relay: Relay,
}

/// How an attempt has failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failed {
    /// It has certainly had no effect.
    Refused(Arc<str>),
    /// It may have had an effect, or may still have one.
    Lost(Arc<str>),
}

/// The limits of one kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// How long the request is tried while the leader can't be asked. Covers a
    /// short outage of the store. In a long one the caller is told early,
    /// because it can retry, also at another entry.
    pub(crate) alone: Duration,
    /// How long one answer of the store is waited for before the leader is asked.
    pub(crate) patience: Duration,
    /// How long the answer to a relayed call is waited for: longer than the leader
    /// works on it.
    pub(crate) relay_patience: Duration,
    /// Maximum number of rounds with an attempt, each with at most one on each
    /// path.
    pub(crate) rounds: u32,
}

/// What to do next about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Make an attempt that takes at most this long.
    Try(Path, Duration),
    /// Wait.
    Pause(Duration),
    /// Tell the caller that the request has failed.
    GiveUp,
}

/// The attempts that are made for one request of a caller.
#[derive(Debug)]
pub(crate) struct Attempts {
    limits: Limits,
    begun: Instant,
    /// The time that the caller allows.
    limit: Duration,
    round: u32,
    /// The paths that were tried in this round.
    tried: Vec<Path>,
    uncertain: bool,
    /// Whether an attempt through the leader has failed.
    relay_failed: bool,
    reason: Arc<str>,
}

impl Attempts {
    pub(crate) fn new(limits: Limits, now: Instant, limit: Duration) -> Self {
        Self {
            limits,
            begun: now,
            limit,
            round: 0,
            tried: Vec::new(),
            uncertain: false,
            relay_failed: false,
            reason: "the store was not reached in time".into(),
        }
    }

    /// Decides what to do next.
    pub(crate) fn next(&mut self, now: Instant, reach: Reach) -> Step {
        let deadline = self.begun + self.time_limit(reach.relay);
        let left = deadline.saturating_duration_since(now);
        if left < MIN_ATTEMPT_TIME {
            return Step::GiveUp;
        }
        if self.is_hopeless(reach) {
            self.reason = "neither this entry nor the leader reaches the store".into();
            return Step::GiveUp;
        }
        if let Some(path) = self.path(reach) {
            self.tried.push(path);
            let patience = match (path, reach.relay) {
                (Path::Leader, _) => self.limits.relay_patience,
                (Path::Store, Relay::Open) => self.limits.patience,
                // Nobody else can be asked meanwhile.
                (Path::Store, Relay::Suspect | Relay::Closed) => left,
            };
            return Step::Try(path, left.min(patience));
        }
        // While nobody can be asked, only the time limit ends the request.
        self.round += u32::from(!self.tried.is_empty());
        self.tried.clear();
        if self.round >= self.limits.rounds || left <= RETRY_DELAY + MIN_ATTEMPT_TIME {
            return Step::GiveUp;
        }
        Step::Pause(RETRY_DELAY)
    }

    /// Returns what an outcome says after the attempts so far. A withdrawal may
    /// expire before an attempt without an answer is carried out.
    pub(crate) fn finish(self, outcome: Outcome) -> Result<Outcome, Failed> {
        if self.uncertain && outcome == Outcome::Withdrawn {
            let reason = "cancelled before, and an attempt had no answer".into();
            return Err(Failed::Lost(reason));
        }
        Ok(outcome)
    }

    /// Notes the failure of an attempt.
    pub(crate) fn failed(&mut self, path: Path, failed: Failed) {
        self.relay_failed |= path == Path::Leader;
        self.reason = match failed {
            Failed::Refused(reason) => reason,
            Failed::Lost(reason) => {
                self.uncertain = true;
                reason
            }
        };
    }

    /// Returns the failure to report to the caller. One attempt without an answer
    /// leaves the outcome unknown, whatever the others have said.
    pub(crate) fn outcome(self) -> Failed {
        if self.uncertain {
            Failed::Lost(self.reason)
        } else {
            Failed::Refused(self.reason)
        }
    }

    /// Returns for how long the request may be tried. The leader can resolve an
    /// unknown outcome, which is worth all the time that the caller has.
    fn time_limit(&self, relay: Relay) -> Duration {
        let hopeful = match relay {
            Relay::Open => self.uncertain || !self.relay_failed,
            Relay::Suspect => self.uncertain,
            Relay::Closed => false,
        };
        if hopeful {
            self.limit
        } else {
            self.limit.min(self.limits.alone)
        }
    }

    /// Returns whether a request without an attempt need not be tried at all: the
    /// store has been away for longer than a request is tried.
    fn is_hopeless(&self, reach: Reach) -> bool {
        let first = self.round == 0 && self.tried.is_empty();
        let away = reach.away.is_some_and(|away| away >= self.limits.alone);
        first && away && reach.relay == Relay::Closed
    }

    /// Returns the next path of this round. A store that turns this process away
    /// is not called while the leader can be: an attempt without an answer
    /// makes the outcome unknown.
    fn path(&self, reach: Reach) -> Option<Path> {
        let is_left = |path| !self.tried.contains(&path);
        let store = reach.away.is_none() || reach.relay == Relay::Closed;
        let leader = reach.relay == Relay::Open;
        if store && is_left(Path::Store) {
            return Some(Path::Store);
        }
        (leader && is_left(Path::Leader)).then_some(Path::Leader)
    }
}
