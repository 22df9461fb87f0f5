//! Workers that restart under their name while their agent looks elsewhere, and
//! values that have a meaning in one life only.

use {
    crate::{
        harness::{ends, profile, row, snapshot, start, Harness, FENCE},
        restarts::foreign_lease,
    },
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        agent::{Agent, Answer, Call, Deadline, Event, Refusal, Snapshot},
        id::{Epoch, Fence, Incarnation, Sequence},
        message::Orders,
        worker::{Profile, Running},
    },
};

/// The session that follows the first one.
const NEXT_FENCE: Fence = Fence(FENCE.0 + 1);

/// Returns a list of a life whose clock shows `clock`.
fn list(started_ms: u64, clock: u64, running: Vec<Running>) -> Answer {
    Answer::Snapshot(Snapshot {
        started_ms: Some(started_ms),
        clock,
        running,
        ends: Vec::new(),
    })
}

impl Harness {
    fn deadlines(&self) -> Vec<&Deadline> {
        let calls = self.calls.iter().chain(&self.extensions);
        let deadline = |call| match call {
            &Call::Extend { ref deadline, .. } | &Call::Start { ref deadline, .. } => {
                Some(deadline)
            }
            _ => None,
        };
        calls.filter_map(deadline).collect()
    }

    /// Lets a heartbeat of a life arrive, and the worker confirm it if it is asked.
    fn hear(&mut self, life: u64, answer: Answer) {
        self.step(Event::Heartbeat(profile(life)));
        if let Some(question) = self.take(|call| matches!(call, Call::Identify { .. })) {
            self.answer(question, answer);
        }
    }

    /// Opens a session, whose leader knows `profile`.
    fn welcome(&mut self, fence: Fence, profile: Option<Profile>) {
        self.calls.clear();
        self.reports.clear();
        self.step(Event::Welcome(Epoch(1), fence, profile));
    }

    /// Lets the leader grant another lease, and returns the call that passes it on.
    fn pass_lease_on(&mut self) -> Call {
        self.pass(Millis(900));
        self.poll(snapshot(1, Vec::new()));
        self.pass(Millis(200));
        self.poll(snapshot(1, Vec::new()));
        self.grant();
        self.extensions.pop().expect("the lease is passed on")
    }

    /// Returns the life that the last inventory names, and whether it says that
    /// the worker has restarted.
    fn inventory(&self) -> (Incarnation, bool) {
        let mut reports = self.reports.iter().rev();
        let inventory = reports.find_map(|report| report.inventory.clone());
        let inventory = inventory.expect("the worker is listed");
        (inventory.incarnation, inventory.restarted.is_some())
    }

    /// Lets the agent ask for a lease and the leader grant it; returns the deadline
    /// that is passed on.
    fn lease(&mut self) -> Deadline {
        self.extensions.clear();
        self.step(Event::Tick);
        self.grant();
        let deadlines = self.deadlines();
        assert_eq!(deadlines.len(), 1, "{deadlines:?}");
        deadlines[0].clone()
    }
}

/// Guards against a lease by a former clock: the worker is back before the agent
/// polls again, and the client refuses a poll to the former life.
#[test]
fn restart_quicker_than_a_poll_leaves_no_deadline_behind() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;
    harness.pass(Millis(600));

    harness.poll(Answer::Refused(Refusal::Restarted));
    assert_eq!(harness.hellos, hellos + 1);
    harness.pass(Millis(100));
    assert_eq!(harness.deadlines(), [] as [&Deadline; 0]);
    harness.hear(2, list(2, 40, Vec::new()));
    harness.welcome(NEXT_FENCE, Some(profile(1)));
    harness.poll(list(2, 60, Vec::new()));

    assert_eq!(harness.inventory(), (profile(2).incarnation, true));
    assert_eq!(foreign_lease(&harness), None, "nothing has strayed");
    let deadline = harness.lease();
    assert_eq!(deadline.incarnation, profile(2).incarnation);
    assert_eq!(deadline.read_ms, 60);
    assert!(deadline.until_ms <= 60 + 6000, "{deadline}");
}

/// Guards against a worker that gets no tasks for 10 s after a restart: the client
/// has refused a start or a lease for its former life, which thus has no effect.
#[test]
fn refused_call_to_a_former_life_is_no_sign_of_a_foreign_lease() {
    for is_start in [true, false] {
        let mut harness = Harness::new();
        let call = match is_start {
            true => harness.order(),
            false => harness.pass_lease_on(),
        };

        harness.answer(call, Answer::Refused(Refusal::Restarted));
        harness.hear(2, list(2, 40, Vec::new()));
        harness.welcome(NEXT_FENCE, Some(profile(1)));
        harness.poll(list(2, 60, Vec::new()));

        assert_eq!(foreign_lease(&harness), None, "start: {is_start}");
    }
}

/// Guards against values of a life that the agent never saw: the worker restarts
/// twice between two polls, and the heartbeat of the first restart is late.
#[test]
fn two_restarts_between_two_polls_lead_to_the_last_life() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;

    harness.hear(2, list(3, 40, Vec::new()));
    assert_eq!(harness.hellos, hellos, "this life has ended, too");
    harness.hear(3, list(3, 50, Vec::new()));
    assert_eq!(harness.hellos, hellos + 1);
    harness.hear(2, list(3, 60, Vec::new()));
    harness.welcome(NEXT_FENCE, Some(profile(1)));
    harness.poll(list(3, 70, Vec::new()));

    assert_eq!(harness.inventory(), (profile(3).incarnation, true));
    assert_eq!(harness.lease().incarnation, profile(3).incarnation);
}

/// Guards against a lease that nobody counts: a call that passed one on is
/// answered by the next life, or not before the agent has learned of that life.
#[test]
fn lease_that_was_passed_on_to_a_former_life_is_reported() {
    for is_answered in [true, false] {
        let mut harness = Harness::new();
        let extension = harness.pass_lease_on();
        if is_answered {
            harness.answer(extension, list(2, 30, Vec::new()));
        }

        harness.hear(2, list(2, 40, Vec::new()));
        harness.welcome(NEXT_FENCE, Some(profile(1)));
        harness.poll(list(2, 60, Vec::new()));

        assert_eq!(foreign_lease(&harness), Some(Millis::ZERO), "{is_answered}");
    }
}

/// Guards against ends that nobody reads: the worker has restarted, and a poll of
/// the former session is carried out late. It must have been without a number.
#[test]
fn next_life_gets_no_acknowledgement_before_it_lists_ends() {
    let mut harness = Harness::new();
    harness.poll(ends(1..=5));
    harness.step(Event::Orders(Orders {
        acknowledged: Some(Sequence(5)),
        ..Orders::default()
    }));

    harness.hear(2, list(2, 40, Vec::new()));
    harness.welcome(NEXT_FENCE, Some(profile(1)));

    let poll = harness.pending_poll();
    let unread = matches!(
        poll,
        Call::Poll {
            acknowledged: Sequence(0),
            ..
        }
    );
    assert!(unread, "{poll:?}");
}

/// Guards against orders for a life that only the leader remembers: the agent has
/// restarted with the worker.
#[test]
fn agent_without_a_former_life_learns_of_it_from_the_worker() {
    let mut harness = Harness::new();
    harness.agent = Agent::default();
    harness.step(Event::Connected);

    harness.welcome(FENCE, Some(profile(1)));
    assert_eq!(harness.order_start(start()), None);
    harness.poll(list(2, 40, vec![row()]));
    assert_eq!(harness.deadlines(), [] as [&Deadline; 0]);
    harness.hear(2, list(2, 50, vec![row()]));
    harness.welcome(NEXT_FENCE, Some(profile(1)));
    harness.poll(list(2, 60, vec![row()]));

    // Its former process may have started the run, on either life.
    assert_eq!(harness.inventory(), (profile(2).incarnation, true));
    let stop = harness.take(|call| matches!(call, Call::Stop { .. }));
    assert_eq!(stop, None, "the leader decides");
}

/// Guards against a start for a life that ended while the agent was frozen, and
/// against a lease that it passed on just before.
#[test]
fn frozen_agent_makes_no_calls_for_the_former_session() {
    let mut harness = Harness::new();
    harness.pass_lease_on();
    harness.calls.clear();

    harness.now = harness.now + Millis(3000);
    assert_eq!(harness.order_start(start()), None);
    assert_eq!(harness.deadlines(), [] as [&Deadline; 0]);
    harness.hear(2, list(2, 40, Vec::new()));
    harness.welcome(NEXT_FENCE, Some(profile(1)));
    // The first poll is made once the worker is known.
    harness.hear(2, list(2, 50, Vec::new()));
    harness.welcome(Fence(NEXT_FENCE.0 + 1), Some(profile(1)));
    harness.poll(list(2, 60, Vec::new()));

    assert_eq!(harness.inventory(), (profile(2).incarnation, true));
    assert_eq!(foreign_lease(&harness), Some(Millis::ZERO));
}

/// Guards against a life that is taken for the former one, since its wall clock
/// shows an earlier time.
#[test]
fn life_that_seems_older_is_another_one() {
    let mut harness = Harness::new();

    harness.hear(0, list(0, 40, Vec::new()));
    harness.welcome(NEXT_FENCE, Some(profile(1)));
    harness.poll(list(0, 60, Vec::new()));

    assert_eq!(harness.inventory(), (profile(0).incarnation, true));
    assert_eq!(harness.lease().read_ms, 60);
}

/// Guards against a life that is taken for the former one, since both have the same
/// start time.
#[test]
fn life_with_the_same_start_time_is_known_by_its_clock() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;
    harness.pass(Millis(600));

    harness.poll(list(1, 40, Vec::new()));
    assert_eq!(harness.hellos, hellos + 1);
    harness.pass(Millis(100));
    assert_eq!(harness.deadlines(), [] as [&Deadline; 0]);
    harness.hear(1, list(1, 150, Vec::new()));
    harness.welcome(NEXT_FENCE, Some(profile(1)));
    harness.poll(list(1, 160, Vec::new()));

    assert_eq!(harness.inventory(), (profile(1).incarnation, true));
    let deadline = harness.lease();
    assert_eq!(deadline.read_ms, 160);
}

/// Guards against a session that ends for nothing: a list that was overtaken by a
/// newer one shows an earlier time.
#[test]
fn overtaken_list_is_no_sign_of_a_restart() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;
    let extension = harness.pass_lease_on();
    let sent = harness.now;
    let poll = harness.pending_poll();
    harness.answer(extension, list(1, 51_200, Vec::new()));

    harness.step(Event::Answered {
        call: poll,
        sent,
        answer: list(1, 51_100, Vec::new()),
    });

    assert_eq!(harness.hellos, hellos);
}

/// Guards against a task that runs twice: a worker that has restarted carries a start
/// of the last session out while its agent has none.
#[test]
fn restarted_worker_is_fenced_although_its_agent_has_no_session() {
    let mut harness = Harness::new();
    harness.step(Event::Disconnected);

    harness.step(Event::Heartbeat(profile(2)));
    let question = harness.take(|call| matches!(call, Call::Identify { .. }));
    let question = question.expect("the worker is asked");
    assert!(matches!(question, Call::Identify { fence, .. } if fence == NEXT_FENCE));
    harness.answer(question, list(2, 100, Vec::new()));

    harness.step(Event::Connected);
    harness.welcome(NEXT_FENCE, None);
    harness.poll(list(2, 200, Vec::new()));
    let inventories = harness
        .reports
        .iter()
        .filter_map(|report| report.inventory.as_ref());
    let found: Vec<_> = inventories.map(|found| &found.incarnation).collect();
    assert_eq!(found, [&profile(2).incarnation]);
}
