//! Starts that workers or their agents refuse, again and again or for a while.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Run, Task},
        job,
        message::{Start, StartStatus},
        planner::Event,
        worker::Exit,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    support::{job, room, single, step, Harness, QUEUE},
};

const REFUSALS: [StartStatus; 4] = [
    StartStatus::NoRoom,
    StartStatus::Superseded,
    StartStatus::Unhealthy,
    StartStatus::Unready,
];
/// Within this time a job must have something running if there is room for it.
const START_LIMIT: Millis = Millis(3000);
/// How often a job may be placed in vain within [`START_LIMIT`].
const ATTEMPT_LIMIT: usize = 10;

/// Workers of 8 cores, some of which refuse starts.
struct World {
    harness: Harness,
    workers: u64,
    refusing: BTreeMap<u64, StartStatus>,
    /// The starts that were carried out, with their workers.
    running: BTreeMap<(Task, Run), u64>,
    ordered: Vec<Start>,
    last_end: u64,
}

impl World {
    fn new(workers: u64, refusing: impl IntoIterator<Item = (u64, StartStatus)>) -> Self {
        Self {
            harness: Harness::with_workers(workers),
            workers,
            refusing: refusing.into_iter().collect(),
            running: BTreeMap::new(),
            ordered: Vec::new(),
            last_end: 0,
        }
    }

    /// Advances the clock; starts are answered and stops carried out at once.
    fn pass(&mut self, span: Millis) {
        let alive: Vec<u64> = (0..self.workers).collect();
        let end = self.harness.now + span;
        while self.harness.now < end {
            self.harness.pass(Millis(10), &alive);
            self.harness.commit();
            self.answer();
        }
    }

    fn answer(&mut self) {
        for (worker, start) in self.harness.all_starts() {
            let status = self.refusing.get(&worker);
            let status = status.copied().unwrap_or(StartStatus::Started);
            self.harness.outcome(worker, &start, status);
            if status == StartStatus::Started {
                self.running.insert((start.task, start.run), worker);
            }
            self.ordered.push(start);
        }
        for worker in 0..self.workers {
            for (task, run) in self.harness.stops(worker) {
                if self.running.remove(&(task, run)).is_some() {
                    self.last_end += 1;
                    let start = Start {
                        task,
                        run,
                        ..self.ordered[0].clone()
                    };
                    self.harness
                        .end(worker, self.last_end, &start, Exit::Stopped);
                }
            }
        }
    }

    /// Returns how many tasks of a job run.
    fn running(&self, job: u64) -> usize {
        let tasks = self.running.keys();
        tasks.filter(|(task, _)| task.job.0 == job).count()
    }

    /// Returns how often a job was placed.
    fn attempts(&self, job: u64) -> usize {
        let starts = self.ordered.iter();
        let runs = starts.filter(|start| start.task.job.0 == job);
        runs.map(|start| start.run).collect::<BTreeSet<_>>().len()
    }
}

/// Creates a gang of two tasks that do not fit on one worker.
fn gang() -> Arc<job::Job> {
    let mut gang = step(2);
    gang.mode.gang = true;
    gang.room = room(5, 1);
    job(vec![gang])
}

fn task_of(cores: u64) -> Arc<job::Job> {
    single(QUEUE, room(cores, 1))
}

/// Checks that a job is placed a few times while a worker refuses it, whatever the
/// reason.
fn assert_few_attempts(workers: u64, job: &Arc<job::Job>) {
    for status in REFUSALS {
        let mut world = World::new(workers, [(0, status)]);
        world.harness.submit(1, job.clone());

        world.pass(START_LIMIT);

        let attempts = world.attempts(1);
        assert!(
            (2..=ATTEMPT_LIMIT).contains(&attempts),
            "{status}: {attempts}"
        );
    }
}

/// Guards against gangs that are placed and stopped tens of times a second while one
/// of their workers refuses.
#[test]
fn refused_gang_is_not_placed_and_stopped_without_end() {
    assert_few_attempts(2, &gang());
}

/// Guards against a task that is started tens of times a second on the only worker
/// that it may run on, which refuses.
#[test]
fn refused_task_is_not_started_without_end() {
    assert_few_attempts(1, &task_of(2));
}

/// Guards against a gang that never starts: its members move from one worker that
/// refuses to another, although others have room.
#[test]
fn gang_starts_on_workers_that_do_not_refuse_it() {
    for status in REFUSALS {
        let mut world = World::new(5, [(0, status), (3, status), (4, status)]);
        world.harness.submit(1, gang());

        world.pass(START_LIMIT);

        assert_eq!(world.running(1), 2, "{status}: {}", world.attempts(1));
    }
}

/// Guards against tasks that wait although there is room: a worker lacks it for a
/// larger one only.
#[test]
fn smaller_tasks_start_where_a_larger_one_was_refused() {
    let mut world = World::new(1, [(0, StartStatus::NoRoom)]);
    world.harness.submit(1, task_of(5));
    world.pass(Millis(500));
    world.refusing.clear();
    let attempts = world.attempts(1);

    world.harness.submit(2, task_of(2));
    world.answer();

    assert_eq!(world.running(2), 1);
    assert_eq!(world.attempts(1), attempts, "the larger one waits");
}

/// Guards against a task that waits although the worker has reported that it has more
/// room now.
#[test]
fn refused_task_starts_at_once_when_the_worker_reports_another_room() {
    let mut world = World::new(1, [(0, StartStatus::NoRoom)]);
    world.harness.submit(1, task_of(5));
    world.pass(START_LIMIT);
    world.refusing.clear();
    assert_eq!(world.running(1), 0);

    world.harness.resize(0, room(9, 32));
    world.pass(Millis(40));

    assert_eq!(world.running(1), 1);
}

/// Guards against a worker that stays without tasks once it no longer refuses them.
#[test]
fn worker_gets_tasks_again_once_it_no_longer_refuses_them() {
    for status in REFUSALS {
        let mut world = World::new(1, [(0, status)]);
        world.harness.submit(1, task_of(5));
        world.pass(START_LIMIT);
        world.refusing.clear();

        world.pass(Millis(1100));

        assert_eq!(world.running(1), 1, "{status}");
    }
}

/// Guards against a worker that gets no tasks because the leader has withdrawn a
/// start itself.
#[test]
fn start_that_the_leader_withdrew_is_no_refusal() {
    let mut world = World::new(1, []);
    world.harness.submit(1, task_of(8));
    let (_, start) = world.harness.all_starts().pop().expect("a start");
    world.harness.step(Event::Cancelled(start.task.job));
    world.harness.outcome(0, &start, StartStatus::Withdrawn);

    world.harness.submit(2, task_of(8));
    world.answer();

    assert_eq!(world.running(2), 1);
}
