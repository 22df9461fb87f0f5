//! The planner: jobs and reports that no careful process would send.

mod support;

use {
    filbertbend_state::{time::Wall, unit::Millis},
    filbertbend_workload::{
        id::{Job, Run, Task},
        job::{Schedule, TASK_LIMIT},
        message::{Inventory, Outcome, Report, StartStatus},
        planner::Event,
        worker::Exit,
    },
    std::sync::Arc,
    support::{end, incarnation, job, running, step, Harness},
};

const UNKNOWN: Task = Task {
    job: Job(99),
    occurrence: u32::MAX,
    step: u16::MAX,
    index: u16::MAX,
};

/// Guards against a leader that ends, and every leader after it, because a
/// stored job names a step that does not exist.
#[test]
fn job_that_names_a_missing_step_ends_no_leader() {
    let mut harness = Harness::with_workers(1);
    let mut second = step(1);
    second.after = vec![7];

    harness.step(Event::Submitted(Job(1), job(vec![step(1), second])));
    harness.commit();

    assert_eq!(harness.starts(0).len(), 1, "the first step runs");
}

/// Guards against a leader that is exhausted by a schedule whose occurrences are
/// all due at once.
#[test]
fn occurrences_that_are_due_at_once_are_opened_within_the_limit_of_tasks() {
    let mut harness = Harness::with_workers(1);
    let mut flood = (*job(vec![step(100)])).clone();
    flood.schedule = Some(Schedule {
        first: Wall(0),
        interval: Millis(0),
        occurrences: u32::MAX,
    });

    harness.submit(1, Arc::new(flood));
    let batches = harness.commit();

    let open = support::progress(&batches, 1).map_or(0, |progress| progress.occurrences.len());
    assert!(open <= TASK_LIMIT / 100, "{open} occurrences");
    let first = harness.starts(0);
    assert!(!first.is_empty());
    // An occurrence that completes makes room for the next one.
    for (number, start) in first.iter().enumerate() {
        harness.end(0, 1 + number as u64, start, Exit::Done);
    }
    harness.commit();
    assert!(!harness.starts(0).is_empty());
}

/// Guards against a leader that ends because an agent reports about tasks that
/// do not exist.
#[test]
fn reports_about_unknown_tasks_end_no_leader() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let known = harness.starts(0).remove(0);
    let beyond = Task {
        step: u16::MAX,
        ..known.task
    };

    for task in [UNKNOWN, beyond] {
        harness.report(
            0,
            Report {
                outcomes: vec![Outcome {
                    task,
                    run: Run(u64::MAX),
                    status: StartStatus::NoRoom,
                }],
                ends: vec![end(u64::MAX - 1, task, Run(u64::MAX), Exit::Done)],
                checkpoints: vec![(task, Run(1), "state".into())],
                starved: vec![task],
                inventory: Some(Inventory {
                    incarnation: incarnation(0),
                    running: vec![running(task, Run(3)), running(known.task, known.run)],
                    crash: None,
                }),
                probe: Some(u64::MAX),
                ..Report::default()
            },
        );
        harness.commit();
    }

    let stops = harness.stops(0);
    assert!(
        stops.iter().all(|(task, _)| *task != known.task),
        "{stops:?}"
    );
    assert!(stops.iter().any(|(task, _)| *task == UNKNOWN), "{stops:?}");
}
