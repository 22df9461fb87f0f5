//! The agent beside a worker: sessions, leases, and orders without an answer.

mod conclusions;
mod crashes;
mod former_lives;
mod harness;
mod restarts;
mod stops;
mod takeovers;

use {
    filbertbend_state::{
        room::Room,
        unit::{Cores, Millis},
    },
    filbertbend_workload::{
        agent::{Answer, Call, Event, Refusal},
        id::{Epoch, Fence, Run, Task},
        message::{Orders, Outcome, Role, Start, StartStatus},
        worker::Profile,
    },
    harness::{profile, row, snapshot, start, task, Harness, FENCE},
};

/// Guards against a task that runs twice: it is started elsewhere although an
/// unanswered start still takes effect later.
#[test]
fn start_without_answer_is_ruled_out_before_it_counts_as_not_run() {
    let mut harness = Harness::new();
    let call = harness.order();

    harness.answer(call, Answer::Lost);
    harness.poll(snapshot(1, Vec::new()));
    assert!(
        harness.outcomes().is_empty(),
        "the start may still take effect"
    );
    let stop = harness.take(|call| matches!(call, Call::Stop { .. }));
    harness.answer(stop.expect("a stop rules it out"), Answer::Done);
    harness.poll(snapshot(1, Vec::new()));

    let outcomes = harness.outcomes();
    assert_eq!(outcomes.len(), 1, "{outcomes:?}");
    assert_eq!(outcomes[0].status, StartStatus::Withdrawn);
}

/// Guards against stopping a run whose start took effect although the answer
/// was lost.
#[test]
fn start_without_answer_that_is_listed_counts_as_started() {
    let mut harness = Harness::new();
    let call = harness.order();

    harness.answer(call, Answer::Lost);
    harness.poll(snapshot(1, vec![row()]));

    assert_eq!(harness.outcomes()[0].status, StartStatus::Started);
    assert!(harness
        .take(|call| matches!(call, Call::Stop { .. }))
        .is_none());
}

/// Guards against renewing the lease of a worker that is gone while its agent
/// lives, which would delay the restart of its tasks elsewhere.
#[test]
fn lease_is_not_renewed_while_the_worker_does_not_answer() {
    let mut harness = Harness::new();
    harness.reports.clear();

    for _ in 0..30 {
        harness.pass(Millis(100));
        while let Some(call) = harness.take(|call| matches!(call, Call::Poll { .. })) {
            harness.answer(call, Answer::Lost);
        }
    }

    let renewals = harness
        .reports
        .iter()
        .filter(|report| report.renew.is_some());
    assert_eq!(renewals.count(), 0);
}

/// Guards against orders that reach a later incarnation of the worker than they
/// were meant for.
#[test]
fn another_incarnation_gets_its_own_session() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;
    let call = harness.order();

    harness.step(Event::Heartbeat(profile(2)));
    assert_eq!(harness.hellos, hellos, "the heartbeat alone proves nothing");
    let question = harness.take(|call| matches!(call, Call::Identify { .. }));
    harness.answer(
        question.expect("the worker is asked"),
        snapshot(2, Vec::new()),
    );
    assert_eq!(harness.hellos, hellos + 1);
    harness.answer(call, Answer::Done);
    assert!(
        harness.outcomes().is_empty(),
        "the order was for the old incarnation"
    );
    harness.calls.clear();
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(snapshot(2, vec![row()]));

    let inventory = harness
        .reports
        .iter()
        .find_map(|report| report.inventory.clone());
    assert_eq!(
        inventory
            .expect("the new incarnation is reported")
            .incarnation,
        profile(2).incarnation
    );
}

/// Guards against an agent that continues its session after a newer one has
/// begun.
#[test]
fn a_higher_fence_ends_the_session() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;
    let call = harness.order();

    harness.answer(call, Answer::Refused(Refusal::Fence));

    assert_eq!(harness.hellos, hellos + 1);
    assert!(harness.outcomes().is_empty());
}

/// Creates a start of a task of a step, which needs this many cores.
fn start_of(index: u16, cores: u64) -> Start {
    Start {
        task: Task { index, ..task() },
        role: Role {
            room: cores_only(cores),
            ..Role::default()
        },
        ..start()
    }
}

fn cores_only(cores: u64) -> Room {
    Room {
        cores: Cores(cores * 1000),
        ..Room::NONE
    }
}

fn resized(cores: u64) -> Profile {
    Profile {
        room: cores_only(cores),
        ..profile(1)
    }
}

/// Guards against starts that exceed the room of a worker that has shrunk since
/// the leader decided: what runs, is being stopped or may still start counts.
#[test]
fn start_is_refused_if_the_worker_has_shrunk_since_it_was_ordered() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    let first = harness.order_start(start_of(0, 2)).expect("it fits");
    harness.answer(first, Answer::Done);
    let second = harness.order_start(start_of(1, 2)).expect("it fits");
    harness.answer(second, Answer::Lost);
    harness.order_start(start_of(2, 2)).expect("it fits");
    harness.step(Event::Orders(Orders {
        stops: vec![(start_of(0, 2).task, Run(1))],
        ..Orders::default()
    }));
    harness.outcomes();

    harness.step(Event::Heartbeat(resized(7)));
    let refused = harness.order_start(start_of(3, 2));

    assert_eq!(refused, None);
    assert_eq!(harness.outcomes()[0].status, StartStatus::NoRoom);
    assert!(harness.order_start(start_of(4, 1)).is_some());
}

/// Guards against starts that exceed the room of a worker that has shrunk while
/// they waited for calls that it leaves unanswered.
#[test]
fn start_that_waits_for_other_calls_is_refused_once_the_worker_has_shrunk() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(5)));
    let sent = harness.order_starts((0..5).map(|index| start_of(index, 1)));
    assert_eq!(sent.len(), 4);

    harness.step(Event::Heartbeat(resized(4)));
    harness.answer(sent[0].clone(), Answer::Lost);

    assert_eq!(
        harness.take(|call| matches!(call, Call::Start { .. })),
        None
    );
    let refused = Outcome {
        task: start_of(4, 1).task,
        run: Run(1),
        status: StartStatus::NoRoom,
    };
    assert_eq!(harness.outcomes(), [refused]);
}

/// Guards against a start that is sent although it was stopped while it waited.
#[test]
fn start_that_waits_for_other_calls_is_withdrawn_by_a_stop() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(5)));
    let sent = harness.order_starts((0..5).map(|index| start_of(index, 1)));
    let waiting = start_of(4, 1).task;

    harness.step(Event::Orders(Orders {
        stops: vec![(waiting, Run(1))],
        ..Orders::default()
    }));
    assert_eq!(harness.outcomes()[0].status, StartStatus::Withdrawn);
    harness.answer(sent[0].clone(), Answer::Done);

    assert_eq!(
        harness.take(|call| !matches!(call, Call::Poll { .. })),
        None
    );
}

/// Guards against an agent that sends nothing any more because calls of an
/// earlier session were not counted as answered.
#[test]
fn calls_of_an_earlier_session_make_way_for_others() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    let sent = harness.order_starts((0..6).map(|index| start_of(index, 1)));
    assert_eq!(sent.len(), 4);
    harness.step(Event::Disconnected);
    harness.step(Event::Connected);
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.calls.clear();

    harness.step(Event::Orders(Orders {
        stops: vec![(task(), Run(1))],
        ..Orders::default()
    }));
    assert_eq!(harness.take(|call| matches!(call, Call::Stop { .. })), None);
    harness.answer(sent[0].clone(), Answer::Lost);

    let next = harness.take(|call| !matches!(call, Call::Poll { .. }));
    assert!(matches!(next, Some(Call::Stop { .. })), "{next:?}");
}

/// Guards against starts that exceed the room of a worker that shrank while its
/// agent was down: the leader's profile is older.
#[test]
fn restarted_agent_reports_a_profile_only_after_a_heartbeat() {
    let mut harness = Harness::idle();
    harness.step(Event::Connected);
    harness.step(Event::Welcome(Epoch(1), FENCE, Some(resized(8))));
    harness.poll(snapshot(1, Vec::new()));
    harness.step(Event::Tick);
    harness.grant();

    let reports = std::mem::take(&mut harness.reports);
    assert!(reports.iter().any(|report| report.inventory.is_some()));
    assert!(reports.iter().all(|report| report.profile.is_none()));
    assert_eq!(harness.order_start(start_of(0, 1)), None);
    harness.step(Event::Heartbeat(resized(2)));

    let profiles = harness
        .reports
        .iter()
        .filter_map(|report| report.profile.clone());
    assert_eq!(profiles.collect::<Vec<_>>(), [resized(2)]);
    assert!(harness.order_start(start_of(0, 1)).is_some());
}

/// Guards against starts that exceed the room of a worker that shrank while its
/// agent was frozen: heartbeats did not arrive meanwhile.
#[test]
fn thawed_agent_starts_nothing_before_a_heartbeat() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    let sent = harness.order_starts((0..5).map(|index| start_of(index, 1)));
    assert_eq!(sent.len(), 4);
    let hellos = harness.hellos;

    harness.now = harness.now + Millis(4500);
    harness.answer(sent[0].clone(), Answer::Lost);

    assert_eq!(
        harness.take(|call| matches!(call, Call::Start { .. })),
        None
    );
    assert_eq!(harness.hellos, hellos + 1);
    harness.reports.clear();
    harness.calls.clear();
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(snapshot(1, Vec::new()));
    assert!(harness
        .reports
        .iter()
        .all(|report| report.profile.is_none()));
    harness.step(Event::Heartbeat(resized(2)));

    let profiles = harness
        .reports
        .iter()
        .filter_map(|report| report.profile.clone());
    assert_eq!(profiles.collect::<Vec<_>>(), [resized(2)]);
}

/// Guards against starts beside a run whose size is unknown.
#[test]
fn start_is_refused_beside_an_unknown_run() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    harness.pass(Millis(500));
    harness.poll(snapshot(1, vec![row()]));

    assert_eq!(harness.order_start(start_of(1, 1)), None);
    harness.pass(Millis(500));
    harness.poll(snapshot(1, Vec::new()));

    assert!(harness.order_start(start_of(1, 1)).is_some());
}

/// Guards against a leader that takes a worker for lost while reports of its
/// agent are on their way: the answer to a probe follows them.
#[test]
fn probe_is_answered_at_once() {
    let mut harness = Harness::new();
    harness.reports.clear();

    harness.step(Event::Orders(Orders {
        probe: Some(9),
        ..Orders::default()
    }));

    let answers = harness.reports.iter().filter_map(|report| report.probe);
    assert_eq!(answers.collect::<Vec<_>>(), [9]);
}

/// Guards against a start of an earlier session that is resolved in a later one,
/// which the leader has opened by itself.
#[test]
fn session_that_the_leader_opens_replaces_the_present_one() {
    let mut harness = Harness::new();
    let start = harness.order();
    harness.answer(start, Answer::Lost);
    harness.calls.clear();
    harness.reports.clear();

    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(snapshot(1, Vec::new()));

    assert!(
        harness
            .take(|call| matches!(call, Call::Stop { .. }))
            .is_none(),
        "the new fence rules it out"
    );
    let fences = harness.reports.iter().map(|report| report.fence);
    assert!(fences.into_iter().all(|fence| fence == Fence(8)));
    assert!(harness
        .reports
        .iter()
        .any(|report| report.inventory.is_some()));
}
