//! The planner: jobs and reports that no careful process would send.

mod support;

use {
    filbertbend_state::{time::Wall, unit::Millis},
    filbertbend_workload::{
        id::{Job, Run, Task},
        job::{Schedule, TASK_LIMIT},
        message::{Inventory, Outcome, Query, Reply, Report, StartStatus},
        planner::Event,
        record::{Occurrence, Progress, State, Unfinished},
        worker::Exit,
    },
    std::sync::Arc,
    support::{catalog, end, incarnation, job, running, step, Harness},
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
                    restarted: None,
                    foreign_lease: None,
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

/// Returns the progress of a job whose first occurrence has one failed task.
fn failed(failures: u32, run: Run, number: u32) -> Progress {
    let mark = Unfinished {
        failures,
        failed_run: run,
        runs: vec![(support::node(0), run)],
        ..Unfinished::default()
    };
    Progress {
        state: State::Running,
        occurrences: vec![Occurrence {
            number,
            done: vec![vec![0]],
            unfinished: vec![mark],
        }],
        ..Progress::default()
    }
}

/// Guards against a leader that ends, and every leader after it, because a
/// number in a job's stored progress overflows.
#[test]
fn progress_with_numbers_too_large_ends_no_leader() {
    let mut gang = step(2);
    gang.mode.gang = true;
    let mut periodic = (*job(vec![step(1)])).clone();
    periodic.schedule = Some(Schedule {
        first: Wall(0),
        interval: Millis(1),
        occurrences: u32::MAX,
    });
    let cases = [
        (job(vec![step(1)]), failed(u32::MAX, Run(1), 0)),
        (job(vec![gang]), failed(u32::MAX, Run(1), 0)),
        (job(vec![step(1)]), failed(0, Run(u64::MAX), 0)),
        (job(vec![step(1)]), failed(0, Run(1), u32::MAX)),
        (Arc::new(periodic), failed(0, Run(1), u32::MAX)),
    ];
    for (number, (odd, progress)) in cases.into_iter().enumerate() {
        let mut harness = Harness::new(1);
        harness.step(Event::Configured(Arc::new(catalog(0, 2))));
        harness.step(Event::Recovered(Job(1), odd, progress));
        let healthy = job(vec![step(1)]);
        harness.step(Event::Recovered(Job(2), healthy, Progress::default()));
        harness.step(Event::Loaded);
        harness.join(0, Vec::new());

        let mut ends = 0;
        for _ in 0..20 {
            harness.idle(Millis(20));
            harness.commit();
            for start in harness.starts(0) {
                ends += 1;
                harness.end(0, ends, &start, Exit::Failed);
            }
        }

        let state = harness.planner.answer(&Query::State(Job(2)));
        assert_eq!(state, Reply::State(Some(State::Failed)), "case {number}");
    }
}

/// Guards against leaders that run out of memory one after the other because the
/// stored progress of a job lists more occurrences than can be open.
#[test]
fn progress_with_too_many_occurrences_is_restored_within_the_limit_of_tasks() {
    let mut large = (*job(vec![step(10_000)])).clone();
    large.schedule = Some(Schedule {
        first: Wall(0),
        interval: Millis(0),
        occurrences: u32::MAX,
    });
    let occurrences = (0..200_000).map(|number| Occurrence {
        number,
        ..Occurrence::default()
    });
    let progress = Progress {
        state: State::Running,
        occurrences: occurrences.collect(),
        ..Progress::default()
    };
    let mut harness = Harness::with_workers(1);

    harness.step(Event::Recovered(Job(1), Arc::new(large), progress));
    harness.commit();

    assert!(!harness.starts(0).is_empty());
}
