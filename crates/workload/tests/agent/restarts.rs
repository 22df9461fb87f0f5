//! Workers that restart, and ends that they list.

use {
    crate::harness::{ends, profile, row, snapshot, task, Harness},
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        agent::{Answer, Call, Event},
        id::{Epoch, Fence, Run, Sequence},
        message::{Orders, StartStatus},
    },
};

fn acknowledged(call: &Call) -> Option<Sequence> {
    match call {
        Call::Poll { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    }
}

/// Guards against the loss of an end: the worker has restarted under its name
/// and discards an end by the numbers of its former incarnation.
#[test]
fn ends_are_not_acknowledged_by_the_numbers_of_a_former_incarnation() {
    let mut harness = Harness::new();
    harness.poll(ends(1..=5));
    harness.step(Event::Orders(Orders {
        acknowledged: Some(Sequence(5)),
        ..Orders::default()
    }));
    harness.pass(Millis(100));

    // The worker may have restarted after its last answer.
    let start = harness.order();
    let poll = harness.pending_poll();
    harness.answer(poll, Answer::Lost);
    harness.pass(Millis(100));
    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(0)), "start in progress");
    harness.answer(start, Answer::Done);
    harness.answer(poll, Answer::Lost);
    harness.pass(Millis(100));
    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(0)), "start answered");

    harness.answer(poll, ends(1..=5));
    harness.pass(Millis(100));
    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(5)), "same incarnation");
}

/// Guards against the loss of an end, like the test above: the worker carries out
/// a poll late that was sent before the start.
#[test]
fn ends_that_are_no_longer_listed_are_not_acknowledged_again() {
    let mut harness = Harness::new();
    harness.poll(ends(1..=5));
    harness.step(Event::Orders(Orders {
        acknowledged: Some(Sequence(5)),
        ..Orders::default()
    }));
    harness.pass(Millis(100));
    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(5)));

    harness.answer(poll, snapshot(1, Vec::new()));

    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(0)));
}

/// Guards against a worker that keeps its tasks longer than the leader counts:
/// a deadline on the clock of a former incarnation lies far in the future.
#[test]
fn lease_is_not_passed_on_to_another_incarnation() {
    let mut harness = Harness::new();

    harness.poll(snapshot(2, Vec::new()));
    // The leader does not know of the restart yet.
    harness.step(Event::Welcome(Epoch(1), Fence(8), Some(profile(1))));
    harness.pass(Millis(100));
    assert!(harness.calls.is_empty(), "{:?}", harness.calls);
    harness.step(Event::Heartbeat(profile(2)));
    harness.step(Event::Welcome(Epoch(1), Fence(9), Some(profile(1))));
    harness.pass(Millis(100));

    harness.poll(snapshot(2, Vec::new()));
    harness.pass(Millis(100));
    assert!(harness.extensions.is_empty(), "{:?}", harness.extensions);
}

/// Guards against a task that is started again after it has completed: its end
/// is on the next page when a stop has been confirmed.
#[test]
fn run_whose_end_may_be_on_the_next_page_does_not_count_as_withdrawn() {
    let mut harness = Harness::new();
    let start = harness.order();
    harness.answer(start, Answer::Done);
    harness.poll(snapshot(1, vec![row()]));
    harness.outcomes();
    harness.step(Event::Orders(Orders {
        stops: vec![(task(), Run(1))],
        ..Orders::default()
    }));
    let stop = harness.take(|call| matches!(call, Call::Stop { .. }));
    harness.answer(stop.expect("the stop is sent"), Answer::Done);
    harness.poll(snapshot(1, vec![row()]));

    harness.poll(ends(1..=500));
    assert!(harness.outcomes().is_empty(), "its end may be listed later");
    harness.pass(Millis(100));
    harness.poll(snapshot(1, Vec::new()));

    assert_eq!(harness.outcomes()[0].status, StartStatus::Withdrawn);
}

/// Guards against a leader that is kept busy by the agents of restarted workers:
/// they open sessions without a pause until the first heartbeat arrives.
#[test]
fn sessions_with_an_unknown_incarnation_are_spaced() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;

    for fence in 0..100 {
        harness.pass(Millis(10));
        if harness.calls.is_empty() {
            continue;
        }
        harness.poll(snapshot(2, Vec::new()));
        harness.step(Event::Welcome(Epoch(1), Fence(8 + fence), Some(profile(1))));
    }

    let opened = harness.hellos - hellos;
    assert!((1..=10).contains(&opened), "{opened} sessions in 1 s");
}

/// Guards against a new leader that does not learn of a restart, after which the
/// worker may hold a lease by the clock of its former incarnation.
#[test]
fn restart_is_reported_in_later_sessions() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(profile(2)));
    let question = harness.take(|call| matches!(call, Call::Identify { .. }));
    harness.answer(
        question.expect("the worker is asked"),
        snapshot(2, Vec::new()),
    );
    for fence in [8, 9] {
        harness.step(Event::Disconnected);
        harness.step(Event::Connected);
        harness.calls.clear();
        harness.step(Event::Welcome(Epoch(1), Fence(fence), None));
        harness.poll(snapshot(2, Vec::new()));
        harness.now = harness.now + Millis(3000);
    }

    let ages = harness
        .reports
        .iter()
        .filter_map(|report| report.inventory.as_ref())
        .map(|inventory| inventory.restarted);
    let expected = [None, Some(Millis(0)), Some(Millis(3001))];
    assert_eq!(ages.collect::<Vec<_>>(), expected);
}

/// Returns what the last inventory says of a lease by a former clock.
pub(crate) fn foreign_lease(harness: &Harness) -> Option<Millis> {
    let mut reports = harness.reports.iter().rev();
    let inventory = reports.find_map(|report| report.inventory.as_ref());
    inventory.expect("the worker is listed").foreign_lease
}

/// Lets the worker restart under its name and show `list` first.
fn restart(harness: &mut Harness, list: Answer) {
    harness.step(Event::Heartbeat(profile(2)));
    let question = harness.take(|call| matches!(call, Call::Identify { .. }));
    harness.answer(question.expect("the worker is asked"), list.clone());
    harness.calls.clear();
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(list);
}

/// Guards against a worker that gets no tasks for 10 s after each restart.
#[test]
fn restart_without_stray_calls_is_no_sign_of_a_foreign_lease() {
    let mut harness = Harness::new();

    restart(&mut harness, snapshot(2, Vec::new()));

    assert_eq!(foreign_lease(&harness), None);
}

/// Guards against a task that runs twice: the lease was passed on without an
/// answer, and the next incarnation carries the call out.
#[test]
fn lease_extension_without_an_answer_is_a_sign_of_a_foreign_lease() {
    for span in [0, 14_000, 16_000] {
        let mut harness = Harness::new();
        harness.pass(Millis(900));
        harness.poll(snapshot(1, Vec::new()));
        harness.pass(Millis(200));
        harness.grant();
        harness.poll(snapshot(1, Vec::new()));
        harness.extend(Answer::Lost);
        for _ in 0..span / 1000 {
            harness.now = harness.now + Millis(1000);
            harness.step(Event::Tick);
            // The lease runs out, so it is passed on again.
            while let Some(call) = harness.extensions.pop() {
                harness.answer(call, Answer::Unreachable);
            }
        }

        restart(&mut harness, snapshot(2, Vec::new()));

        assert_eq!(foreign_lease(&harness).is_some(), span < 15_000, "{span}");
    }
}

/// Guards against a task that runs twice: a start that was sent to the former
/// incarnation runs on the next one, with a lease that the leader does not count.
#[test]
fn runs_that_a_restarted_worker_lists_first_are_stopped() {
    let mut harness = Harness::new();

    restart(&mut harness, snapshot(2, vec![row()]));

    assert_eq!(foreign_lease(&harness), Some(Millis::ZERO));
    let stop = harness.take(|call| matches!(call, Call::Stop { .. }));
    assert!(stop.is_some(), "{:?}", harness.calls);
}
