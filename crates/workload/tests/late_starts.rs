//! Starts without an answer, which a worker may carry out after it has restarted.

mod support;

use {
    filbertbend_workload::{
        id::{Incarnation, Link},
        message::{Inventory, Report, Start, StartStatus},
        planner::Event,
        worker::{Exit, Profile, Running},
    },
    support::{job, node, profile, room, running, step, Harness},
};

const WORKERS: u64 = 3;

/// Returns a leader with a job of one task, the worker that it is started on, and
/// the start.
fn started() -> (Harness, u64, Start) {
    let mut harness = Harness::with_workers(WORKERS);
    harness.submit(1, job(vec![step(1)]));
    let (worker, start) = harness.all_starts().remove(0);
    (harness, worker, start)
}

/// Reports that a stop has ruled a start out, and returns the next start.
fn rule_out(harness: &mut Harness, worker: u64, start: &Start) -> Option<(u64, Start)> {
    harness.outcome(worker, start, StartStatus::Withdrawn);
    harness.commit();
    harness.all_starts().pop()
}

/// Lets a worker restart under its name and list these runs.
fn restart(harness: &mut Harness, worker: u64, list: Vec<Running>) {
    harness.step(Event::Opened(Link(worker), node(worker)));
    let own = profile(worker);
    let incarnation = Incarnation {
        started_ms: 2,
        ..own.incarnation.clone()
    };
    let report = Report {
        profile: Some(Profile {
            incarnation: incarnation.clone(),
            ..own
        }),
        inventory: Some(Inventory {
            incarnation,
            restarted: None,
            foreign_lease: None,
            running: list,
            crash: None,
        }),
        renew: Some(1),
        ..Report::default()
    };
    harness.report(worker, report);
    harness.commit();
}

/// Guards against a task that runs twice: its start was ruled out and it runs on
/// another worker when the first one restarts and carries the start out.
#[test]
fn start_that_was_ruled_out_is_repeated_on_the_same_worker() {
    let (mut harness, worker, start) = started();

    let next = rule_out(&mut harness, worker, &start);

    assert_eq!(next.map(|(next, _)| next), Some(worker));
}

/// Guards against a task that never runs: its worker answers no start.
#[test]
fn start_that_was_ruled_out_twice_is_repeated_elsewhere() {
    let (mut harness, worker, start) = started();

    let (_, second) = rule_out(&mut harness, worker, &start).expect("a start");
    let third = rule_out(&mut harness, worker, &second);

    assert!(third.is_some_and(|(next, _)| next != worker));
}

/// Guards against a job that is given up although only one worker fails its task.
#[test]
fn task_that_fails_after_its_start_was_ruled_out_is_repeated_elsewhere() {
    let (mut harness, worker, start) = started();
    let (_, second) = rule_out(&mut harness, worker, &start).expect("a start");

    harness.end(worker, 1, &second, Exit::Failed);
    harness.commit();

    let next = harness.all_starts().pop();
    assert!(next.is_some_and(|(next, _)| next != worker));
}

/// Guards against a task that waits for a worker which gets no tasks.
#[test]
fn start_that_was_ruled_out_is_repeated_elsewhere_if_the_worker_drains() {
    let (mut harness, worker, start) = started();
    harness.drain(worker);

    let next = rule_out(&mut harness, worker, &start);

    assert!(next.is_some_and(|(next, _)| next != worker));
}

/// Guards against a task that waits for a worker which has shrunk.
#[test]
fn start_that_was_ruled_out_is_repeated_elsewhere_if_the_worker_lacks_room() {
    let (mut harness, worker, start) = started();
    harness.resize(worker, room(0, 0));

    let next = rule_out(&mut harness, worker, &start);

    assert!(next.is_some_and(|(next, _)| next != worker));
}

/// Guards against a task that runs twice: its worker has restarted and carried a
/// start out that was ruled out before, in the place of the run that it had.
#[test]
fn task_waits_for_a_late_start_that_its_restarted_worker_lists() {
    let (mut harness, worker, first) = started();
    let (_, second) = rule_out(&mut harness, worker, &first).expect("a start");
    harness.started(worker, &second);

    restart(&mut harness, worker, vec![running(first.task, first.run)]);
    assert_eq!(harness.all_starts(), []);
    harness.end(worker, 1, &first, Exit::Stopped);
    harness.commit();

    assert_eq!(harness.all_starts().len(), 1);
}
