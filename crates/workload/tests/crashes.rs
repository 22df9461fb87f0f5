//! Tasks that crash the workers that start them, and those beside them.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Incarnation, Job, Link, Run, Task},
        message::{Crash, Inventory, Loss, Outcome, Query, Reply, Report, Start, StartStatus},
        planner::{Batch, Event},
        record::State,
        worker::{Exit, Profile},
    },
    std::{collections::BTreeMap, sync::Arc},
    support::{catalog, job, node, profile, progress, service, step, task, Harness},
};

/// How long the runs of a crash had lasted if they had just begun.
const BEGUN: Millis = Millis(3);

/// Workers whose runs are known, so that they can crash.
struct Site {
    harness: Harness,
    /// The start times of the workers' incarnations.
    started_ms: BTreeMap<u64, u64>,
    /// The starts since the last crash or completion of each worker.
    present: BTreeMap<u64, Vec<Start>>,
    ends: u64,
    /// What was made durable when workers came back.
    batches: Vec<Batch>,
}

impl Site {
    fn new(workers: u64) -> Self {
        Self {
            harness: Harness::with_workers(workers),
            started_ms: BTreeMap::new(),
            present: BTreeMap::new(),
            ends: 0,
            batches: Vec::new(),
        }
    }

    /// Takes the new starts and returns the worker that got `task`.
    fn find(&mut self, task: Task) -> Option<u64> {
        let starts = self.harness.all_starts();
        let mut found = None;
        for (worker, start) in starts {
            self.harness.started(worker, &start);
            found = found.or((start.task == task).then_some(worker));
            self.present.entry(worker).or_default().push(start);
        }
        found
    }

    /// Lets a worker crash and come back.
    fn crash(&mut self, worker: u64, lasted: Millis) {
        self.crash_with(worker, |_| lasted);
    }

    /// Lets a worker crash whose runs have lasted for different times.
    fn crash_with(&mut self, worker: u64, lasted: impl Fn(Task) -> Millis) {
        let losses = self.present.remove(&worker).unwrap_or_default();
        let losses = losses
            .into_iter()
            .map(|start| Loss {
                task: start.task,
                run: start.run,
                lasted: lasted(start.task),
                certain: true,
            })
            .collect();
        let started_ms = self.started_ms.entry(worker).or_insert(1);
        let incarnation = |started_ms| Incarnation {
            started_ms,
            ..profile(worker).incarnation
        };
        let crash = Crash {
            incarnation: incarnation(*started_ms),
            losses,
        };
        *started_ms += 1;
        let incarnation = incarnation(*started_ms);
        self.join(worker, incarnation, Some(crash));
    }

    fn join(&mut self, worker: u64, incarnation: Incarnation, crash: Option<Crash>) {
        self.harness.step(Event::Opened(Link(worker), node(worker)));
        let report = Report {
            profile: Some(Profile {
                incarnation: incarnation.clone(),
                ..profile(worker)
            }),
            inventory: Some(Inventory {
                restarted: None,
                foreign_lease: None,
                incarnation,
                running: Vec::new(),
                crash,
            }),
            renew: Some(1),
            ..Report::default()
        };
        self.harness.report(worker, report);
        self.batches.extend(self.harness.commit());
    }

    /// Completes everything that runs on a worker.
    fn complete(&mut self, worker: u64) {
        for start in self.present.remove(&worker).unwrap_or_default() {
            self.ends += 1;
            self.harness.end(worker, self.ends, &start, Exit::Done);
        }
        self.harness.commit();
    }

    fn state(&self, id: u64) -> Reply {
        self.harness.planner.answer(&Query::State(Job(id)))
    }
}

fn failed() -> Reply {
    Reply::State(Some(State::Failed))
}

/// Guards against a task that crashes one worker after another without end.
#[test]
fn task_that_crashes_its_workers_is_given_up_after_three_crashes() {
    let mut site = Site::new(3);
    let deadly = task(1, 0, 0);
    site.harness.submit(1, job(vec![step(1)]));

    let mut crashes = 0;
    while let Some(worker) = site.find(deadly) {
        site.crash(worker, BEGUN);
        crashes += 1;
        assert!(crashes <= 3, "started again after {crashes} crashes");
    }

    assert_eq!(crashes, 3);
    assert_eq!(site.state(1), failed());
}

/// Guards against tasks of a failed job that work on: nobody waits for them.
#[test]
fn other_tasks_of_a_job_that_was_given_up_are_stopped() {
    let mut site = Site::new(3);
    let deadly = task(1, 0, 0);
    site.harness.submit(1, job(vec![step(2)]));

    let mut worker = site.find(deadly);
    let holds = |starts: &Vec<Start>| starts.iter().any(|start| start.task != deadly);
    let beside = site.present.iter().find(|(_, starts)| holds(starts));
    let beside = *beside.expect("the other task is started").0;
    while let Some(crashed) = worker {
        assert_ne!(crashed, beside, "the other task was lost");
        site.crash(crashed, BEGUN);
        worker = site.find(deadly);
    }

    assert_eq!(site.state(1), failed());
    assert_eq!(site.harness.stops(beside), [(task(1, 0, 1), Run(1))]);
}

/// Guards against a count that a change of leader resets: each leader would
/// allow as many crashes again.
#[test]
fn crashes_are_counted_across_a_change_of_leader() {
    let mut site = Site::new(3);
    let deadly = task(1, 0, 0);
    let work = job(vec![step(1)]);
    site.harness.submit(1, work.clone());
    for _ in 0..2 {
        let worker = site.find(deadly).expect("it is started again");
        site.crash(worker, BEGUN);
    }
    let worker = site.find(deadly).expect("it is started again");
    let known = progress(&site.batches, 1).expect("its progress is durable");

    let mut successor = Harness::new(2);
    successor.step(Event::Configured(Arc::new(catalog(0, 2))));
    successor.step(Event::Recovered(Job(1), work, known));
    successor.step(Event::Loaded);
    site.harness = successor;
    site.crash(worker, BEGUN);
    site.harness.pass(Millis(500), &[worker]);
    site.harness.commit();

    assert_eq!(site.find(deadly), None);
    assert_eq!(site.state(1), failed());
}

/// Guards against a crash that each session of an agent reports and that counts
/// each time.
#[test]
fn crash_that_is_reported_again_counts_once() {
    let mut site = Site::new(1);
    let victim = task(1, 0, 0);
    site.harness.submit(1, job(vec![step(1)]));
    site.find(victim).expect("it is started");
    let run = site.present[&0][0].run;
    let incarnation = |started_ms| Incarnation {
        started_ms,
        ..profile(0).incarnation
    };
    let crash = Crash {
        incarnation: incarnation(1),
        losses: vec![Loss {
            task: victim,
            run,
            lasted: BEGUN,
            certain: true,
        }],
    };

    for _ in 0..6 {
        site.join(0, incarnation(2), Some(crash.clone()));
    }

    assert_ne!(site.state(1), failed());
    assert!(site.find(victim).is_some());
}

/// Guards against jobs that are shown as failed because they ran beside a task
/// that crashes its workers.
#[test]
fn tasks_beside_a_deadly_one_complete() {
    let mut site = Site::new(4);
    let deadly = task(1, 0, 0);
    site.harness.submit(1, job(vec![step(1)]));
    for id in 2..12 {
        site.harness.submit(id, job(vec![step(2)]));
    }

    for _ in 0..40 {
        let worker = site.find(deadly);
        if let Some(worker) = worker {
            site.crash(worker, BEGUN);
        }
        for other in (0..4).filter(|other| Some(*other) != worker) {
            site.complete(other);
        }
        site.harness.pass(Millis(300), &[0, 1, 2, 3]);
        site.harness.commit();
    }

    assert_eq!(site.state(1), failed());
    for id in 2..12 {
        assert_eq!(
            site.state(id),
            Reply::State(Some(State::Complete)),
            "job {id}"
        );
    }
}

/// Guards against a service that collects crashes over days and is then given
/// up, although it did not cause any.
#[test]
fn service_that_was_at_work_is_not_blamed_for_crashes() {
    let mut site = Site::new(2);
    let replica = task(1, 0, 0);
    site.harness.submit(1, job(vec![service()]));

    for _ in 0..5 {
        let worker = site.find(replica).expect("it is started again");
        site.crash(worker, Millis(3_600_000));
    }

    assert_ne!(site.state(1), failed());
}

/// Guards against two suspects on one worker: its next crash would tell nothing
/// of which of them it was.
#[test]
fn suspects_of_a_crash_are_placed_on_different_workers() {
    let mut site = Site::new(3);
    site.harness.step(Event::Closed(Link(1)));
    site.harness.step(Event::Closed(Link(2)));
    site.harness.submit(1, job(vec![step(1)]));
    site.harness.submit(2, job(vec![step(1)]));
    assert_eq!(site.find(task(1, 0, 0)), Some(0));
    site.harness.join(1, Vec::new());
    site.harness.join(2, Vec::new());

    site.crash(0, BEGUN);

    let starts = site.harness.all_starts();
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].0, starts[1].0);
}

/// Guards against a suspect that waits without end although there is room,
/// because every worker has another suspect.
#[test]
fn suspects_do_not_wait_without_end_for_a_worker_of_their_own() {
    let mut site = Site::new(1);
    for id in 1..=3 {
        site.harness.submit(id, job(vec![step(1)]));
    }
    site.find(task(1, 0, 0));
    site.crash(0, BEGUN);
    assert_eq!(site.harness.all_starts().len(), 1);

    site.harness.pass(Millis(2500), &[0]);
    site.harness.commit();

    assert_eq!(site.harness.all_starts().len(), 2);
}

/// Guards against tasks that wait behind a suspect of their own step.
#[test]
fn other_tasks_of_a_step_do_not_wait_for_its_suspects() {
    let mut site = Site::new(1);
    site.harness.submit(1, job(vec![step(1)]));
    site.harness.submit(2, job(vec![step(12)]));
    site.find(task(1, 0, 0));
    // Seven tasks of the step fit beside the first job, five wait.
    site.crash(0, BEGUN);

    let starts = site.harness.all_starts();
    let unsuspected = starts
        .iter()
        .filter(|(_, start)| start.task.job == Job(2) && start.task.index >= 7);
    assert_eq!(unsuspected.count(), 5);
}

/// Guards against an innocent job that is shown as failed: it was at work each
/// time that a task which had just begun crashed the worker.
#[test]
fn older_run_is_blamed_less_than_one_that_had_just_begun() {
    let mut site = Site::new(1);
    site.harness.submit(1, job(vec![step(1)]));
    site.harness.submit(2, job(vec![step(1)]));
    let older = task(1, 0, 0);

    for _ in 0..3 {
        site.harness.pass(Millis(2500), &[0]);
        site.harness.commit();
        site.find(older);
        let lasted = |task| if task == older { Millis(900) } else { BEGUN };
        site.crash_with(0, lasted);
    }

    assert_ne!(site.state(1), failed());
    assert_eq!(site.state(2), failed());
}

/// Guards against a task that crashes its workers some time after its start
/// and is never given up, because another has always just begun.
#[test]
fn task_that_crashes_its_workers_late_is_given_up_after_five_crashes() {
    let mut site = Site::new(1);
    let deadly = task(1, 0, 0);
    site.harness.submit(1, job(vec![step(1)]));

    let mut crashes = 0;
    for id in 2..10 {
        site.harness.submit(id, job(vec![step(1)]));
        site.harness.pass(Millis(2500), &[0]);
        site.harness.commit();
        if site.find(deadly).is_none() {
            break;
        }
        let lasted = |task| if task == deadly { Millis(900) } else { BEGUN };
        site.crash_with(0, lasted);
        crashes += 1;
    }

    assert_eq!(site.state(1), failed());
    assert!(crashes <= 5, "given up after {crashes} crashes");
}

/// Guards against tasks that are placed on a worker whose process is gone until
/// its agent is silent or the worker is back.
#[test]
fn worker_that_cannot_be_reached_gets_no_tasks_until_it_is_back() {
    let mut site = Site::new(2);
    site.harness.submit(1, job(vec![step(1)]));
    let (gone, start) = site.harness.all_starts().remove(0);
    let outcome = Outcome {
        task: start.task,
        run: start.run,
        status: StartStatus::Unreachable,
    };
    let report = Report {
        outcomes: vec![outcome],
        ..Report::default()
    };
    site.harness.report(gone, report);
    site.harness.commit();
    for id in 2..6 {
        site.harness.submit(id, job(vec![step(1)]));
    }

    let before = site.harness.all_starts();
    site.crash(gone, BEGUN);
    site.harness.submit(6, job(vec![step(1)]));
    let after = site.harness.all_starts();

    assert_eq!(before.len(), 5);
    assert!(before.iter().all(|(worker, _)| *worker != gone));
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].0, gone);
}
