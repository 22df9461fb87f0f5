//! What an agent reports to a new leader while its worker does not answer.

use {
    crate::harness::{ends, profile, row, snapshot, start, Harness, FENCE},
    filbertbend_state::unit::{Cores, Millis},
    filbertbend_workload::{
        agent::{Answer, Call, Event, Refusal},
        id::{Epoch, Fence, Run, Task},
        message::{KnownLease, Orders, Role, Start},
        worker::Running,
    },
};

const NEXT_FENCE: Fence = Fence(FENCE.0 + 1);

/// Opens a session with the leader of a newer term.
fn change_leader(harness: &mut Harness) {
    harness.step(Event::Disconnected);
    harness.calls.clear();
    harness.reports.clear();
    harness.step(Event::Connected);
    harness.step(Event::Welcome(Epoch(2), NEXT_FENCE, None));
}

fn known_lease(harness: &Harness) -> KnownLease {
    let reports = harness.reports.iter();
    let mut known = reports.filter_map(|report| report.lease.clone());
    known.next().expect("the lease is reported")
}

/// Guards against a leader that waits for a lease that nobody has: the agent does
/// not say what it has passed on.
#[test]
fn lease_that_the_agent_has_passed_on_is_not_reported() {
    let mut harness = Harness::new();
    harness.pass(Millis(4000));

    change_leader(&mut harness);

    let known = known_lease(&harness);
    assert!(known.left > Millis(1500), "{known:?}");
    assert!(known.left <= Millis(2000), "{known:?}");
    assert!(known.age >= Millis(4000), "{known:?}");
    assert_eq!(known.restarted, None);
    assert_eq!(known.unconfirmed_start, None);
}

/// Guards against a task that runs twice: the agent takes the lease for short,
/// although the worker may have restarted before it accepted a start.
#[test]
fn start_without_a_later_list_may_have_reached_another_incarnation() {
    for answer in [Answer::Done, Answer::Lost] {
        let mut harness = Harness::new();
        let start = harness.order();
        harness.answer(start, answer.clone());
        harness.pass(Millis(300));

        change_leader(&mut harness);

        let known = known_lease(&harness);
        assert_eq!(known.unconfirmed_start, Some(Millis(300)), "{answer:?}");
        assert_eq!(known.listed, []);
    }

    let mut harness = Harness::new();
    let start = harness.order();
    harness.answer(start, Answer::Done);
    harness.pass(Millis(300));
    harness.poll(snapshot(1, vec![row()]));
    change_leader(&mut harness);
    assert_eq!(
        known_lease(&harness).unconfirmed_start,
        None,
        "listed since"
    );
}

/// Guards against a service that waits for the longest lease because of a start of
/// another task: it was listed before, so that it has ended if the worker has
/// restarted.
#[test]
fn listed_run_waits_for_the_lease_of_an_unconfirmed_start() {
    let mut harness = Harness::new();
    let call = harness.order();
    harness.answer(call, Answer::Done);
    harness.poll(snapshot(1, vec![row()]));
    let mut other = start();
    other.task.index = 1;
    let call = harness.order_start(other).expect("the start is sent");
    harness.answer(call, Answer::Lost);

    change_leader(&mut harness);

    let known = known_lease(&harness);
    assert!(known.unconfirmed_start.is_some());
    assert_eq!(known.listed, [(row().task, row().run)]);
}

/// Guards against the same if the restart has been found out.
#[test]
fn restart_under_the_same_name_is_reported_before_the_worker_answers() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(profile(2)));
    let identify = harness.take(|call| matches!(call, Call::Identify { .. }));
    harness.answer(
        identify.expect("the worker is asked"),
        snapshot(2, Vec::new()),
    );
    harness.calls.clear();
    harness.step(Event::Welcome(Epoch(1), NEXT_FENCE, None));
    harness.poll(snapshot(2, Vec::new()));
    harness.pass(Millis(700));

    change_leader(&mut harness);

    assert_eq!(known_lease(&harness).restarted, Some(Millis(700)));
}

/// Guards against a lease that outlasts what a new leader waits for: the agent
/// takes a session of the former one again.
#[test]
fn session_of_an_older_term_is_opened() {
    let mut harness = Harness::new();
    change_leader(&mut harness);
    harness.step(Event::Connected);
    harness.calls.clear();
    harness.reports.clear();

    harness.step(Event::Welcome(Epoch(1), Fence(FENCE.0 + 5), None));
    harness.pass(Millis(200));

    assert!(harness.calls.is_empty(), "{:?}", harness.calls);
    assert!(harness.reports.is_empty(), "{:?}", harness.reports);
}

/// Guards against a completed task that runs again, and against a wait for its
/// lease: the leader was lost before it had stored an end that the agent had
/// reported, and the worker is gone.
#[test]
fn end_that_was_listed_before_the_worker_went_is_not_reported_again() {
    let mut harness = Harness::new();
    harness.poll(ends(1..=3));

    change_leader(&mut harness);
    harness.poll(Answer::Unreachable);

    let reported = |harness: &Harness| {
        let ends = harness.reports.iter().flat_map(|report| &report.ends);
        ends.map(|end| end.sequence.0).collect::<Vec<_>>()
    };
    assert_eq!(reported(&harness), [1, 2, 3]);
    harness.pass(Millis(200));
    harness.poll(Answer::Unreachable);
    assert_eq!(reported(&harness), [1, 2, 3], "reported twice");
    // It was only slow.
    harness.pass(Millis(200));
    harness.poll(ends(1..=4));
    assert_eq!(reported(&harness), [1, 2, 3, 4]);
}

/// Returns the rows of a service far over its target and of a best-effort task
/// beside it, and their roles.
fn interference() -> (Vec<Running>, Vec<(Task, Run, Role)>) {
    let mut best_effort = row();
    best_effort.task.index = 1;
    best_effort.measurement = 8000;
    let service = Running {
        percent: 100,
        measurement: 5000,
        ..row()
    };
    let service_role = Role {
        image: Some("service".into()),
        latency_target: Some(Millis(50)),
        ..Role::default()
    };
    let best_effort_role = Role {
        image: Some("batch".into()),
        best_effort: true,
        cores: Cores(8000),
        ..Role::default()
    };
    let roles = vec![
        (service.task, service.run, service_role),
        (best_effort.task, best_effort.run, best_effort_role),
    ];
    (vec![service, best_effort], roles)
}

/// Returns an agent that throttles a best-effort task, and the worker's rows.
fn throttled() -> (Harness, Vec<Running>) {
    let (running, roles) = interference();
    let mut harness = Harness::new();
    harness.step(Event::Orders(Orders {
        roles,
        ..Orders::default()
    }));
    harness.poll(snapshot(1, running.clone()));
    (harness, running)
}

fn is_throttling(call: &Call) -> bool {
    matches!(call, Call::Throttle { .. })
}

/// Guards against a service that stays over its target: a throttling that was lost
/// with its session counts as carried out in the next one.
#[test]
fn throttling_that_was_lost_with_its_session_is_not_repeated() {
    let (mut harness, running) = throttled();
    let lost = harness.take(is_throttling).expect("it is throttled");

    change_leader(&mut harness);
    harness.answer(lost, Answer::Lost);
    for _ in 0..10 {
        harness.pass(Millis(500));
        harness.poll(snapshot(1, running.clone()));
    }

    let repeated = harness.take(is_throttling);
    assert!(repeated.is_some(), "the task works at its full share");
}

/// Guards against calls for shares that the worker has confirmed, in each session.
#[test]
fn confirmed_throttling_is_repeated_in_the_next_session() {
    let (mut harness, running) = throttled();
    let throttling = harness.take(is_throttling).expect("it is throttled");
    harness.answer(throttling, Answer::Done);

    change_leader(&mut harness);
    for _ in 0..10 {
        harness.pass(Millis(500));
        harness.poll(snapshot(1, running.clone()));
    }

    assert_eq!(harness.take(is_throttling), None);
}

/// Guards against a service that stays over its target: a throttling that the
/// worker refuses counts as carried out.
#[test]
fn refused_throttling_is_not_repeated() {
    let (mut harness, running) = throttled();
    let refused = harness.take(is_throttling).expect("it is throttled");

    harness.answer(refused, Answer::Refused(Refusal::Unhealthy));
    harness.pass(Millis(500));
    harness.poll(snapshot(1, running));

    let repeated = harness.take(is_throttling);
    assert!(repeated.is_some(), "the task works at its full share");
}

/// Guards against a task that stays throttled for good: it was throttled before its
/// start was answered, and the answer counts as its full share.
#[test]
fn task_throttled_before_its_start_is_answered_is_released_later() {
    let (running, roles) = interference();
    let mut harness = Harness::new();
    let (task, run, role) = roles[1].clone();
    let best_effort = Start {
        task,
        run,
        role,
        ..start()
    };
    let call = harness.order_start(best_effort).expect("it is sent");
    harness.step(Event::Orders(Orders {
        roles,
        ..Orders::default()
    }));
    harness.poll(snapshot(1, running.clone()));
    let throttling = harness.take(is_throttling).expect("it is throttled");
    harness.answer(throttling, Answer::Done);

    harness.answer(call, Answer::Done);
    harness.pass(Millis(500));
    harness.poll(snapshot(1, vec![running[1].clone()]));

    let release = harness.take(is_throttling);
    assert!(release.is_some(), "the task stands still");
}
