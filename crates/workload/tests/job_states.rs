//! The state of jobs that callers see, across changes of leader.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Job, Run},
        message::{Query, Reply},
        planner::Event,
        record::{Progress, State},
        worker::{Exit, Running},
    },
    std::sync::Arc,
    support::{catalog, job, placed, progress, running, service, step, task, Harness, QUEUE},
};

fn state(harness: &Harness) -> Reply {
    harness.planner.answer(&Query::State(Job(1)))
}

fn pending(harness: &Harness) -> Reply {
    harness.planner.answer(&Query::Pending(QUEUE.into()))
}

/// Returns a leader that has read a job as it was stored when its task was placed on
/// a worker, which has now reported this list.
fn new_leader(list: Vec<Running>) -> Harness {
    let mut harness = Harness::new(2);
    let stored = Progress {
        state: State::Queued,
        ..placed(0, Run(1))
    };
    harness.step(Event::Configured(Arc::new(catalog(0, 2))));
    harness.step(Event::Recovered(Job(1), job(vec![service()]), stored));
    harness.step(Event::Loaded);
    harness.join(0, list);
    harness
}

/// Guards against jobs that are shown as queued for as long as their tasks last: a
/// former leader had stored nothing since it placed them.
#[test]
fn job_that_a_worker_lists_is_running_after_a_change_of_leader() {
    let harness = new_leader(vec![running(task(1, 0, 0), Run(1))]);

    assert_eq!(state(&harness), Reply::State(Some(State::Running)));
    assert_eq!(pending(&harness), Reply::Pending(0));
}

/// Guards against jobs that are shown as running although nothing of them has
/// started: a former leader ended before it had sent their starts.
#[test]
fn job_that_no_worker_lists_is_queued_after_a_change_of_leader() {
    let harness = new_leader(Vec::new());

    assert_eq!(state(&harness), Reply::State(Some(State::Queued)));
    assert_eq!(pending(&harness), Reply::Pending(1));
}

/// Guards against jobs that are shown as queued after the end of a task: the worker
/// listed it before the start was answered, so that nobody reports the start.
#[test]
fn job_with_an_end_is_running_although_no_start_was_reported() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(2)]));
    let starts = harness.starts(0);

    harness.end(0, 1, &starts[0], Exit::Done);

    assert_eq!(state(&harness), Reply::State(Some(State::Running)));
    assert_eq!(pending(&harness), Reply::Pending(0));
}

/// Guards against jobs that an entry without a leader, or a new leader, takes for
/// queued although their tasks have run for long.
#[test]
fn job_that_goes_on_running_is_stored_as_running() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![service()]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);

    harness.pass(Millis(3000), &[0]);
    let batches = harness.commit();

    let stored = progress(&batches, 1).expect("the state is stored");
    assert_eq!(stored.state, State::Running);
}

/// Guards against a further write for each job: those that end soon are written
/// anyway.
#[test]
fn job_that_ends_soon_is_stored_no_more_often() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);
    harness.pass(Millis(500), &[0]);
    assert_eq!(harness.commit().len(), 0);

    harness.end(0, 1, &start, Exit::Done);
    harness.pass(Millis(2000), &[0]);

    assert_eq!(harness.commit().len(), 1);
}
