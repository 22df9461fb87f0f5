//! The planner: the work of a placement pass, and its choice of workers and
//! victims.

mod support;

use {
    filbertbend_state::{
        room::Room,
        unit::{Accelerators, Bytes, Cores, Millis},
    },
    filbertbend_workload::{
        id::{Job, Node},
        interference::Reading,
        job,
        message::Report,
        planner::{Decision, Event, Reason},
        worker::Exit,
    },
    std::{collections::BTreeMap, sync::Arc},
    support::{
        end, job, node, room, service, single, step, task, two_queues, Harness, LESS_URGENT, QUEUE,
    },
};

const WORKERS: u64 = 60;
const WAITING_JOBS: u64 = 400;
const IMAGES: [Option<&str>; 5] = [None, Some("a"), Some("b"), Some("c"), Some("d")];
/// How often a pass may examine each worker for each image.
const EXAMINATION_LIMIT: u64 = 2;
const SEEDS: [u64; 4] = [1, 2, 3, 4];
const SMALL_FLEET: u64 = 6;
const ROUNDS: usize = 30;

/// Creates a job of one task; jobs with higher numbers need a little less.
fn shrinking_job(number: u64) -> Arc<job::Job> {
    let mut one = step(1);
    let image = IMAGES[number as usize % IMAGES.len()];
    one.mode.best_effort = image.is_some();
    one.image = image.map(Into::into);
    one.room = Room {
        cores: Cores(8000 - number),
        memory: Bytes((16 << 30) - number),
        accelerators: Accelerators(0),
    };
    job(vec![one])
}

/// Guards against a leader that is saturated because each pass searches all
/// full workers, and their tasks for victims, for every waiting step.
#[test]
fn steps_of_different_sizes_do_not_each_examine_all_workers() {
    let workers: Vec<u64> = (0..WORKERS).collect();
    let mut harness = Harness::with_workers(WORKERS);
    let mut filling = step(8 * WORKERS as u16);
    filling.room = room(1, 4);
    harness.submit(1, job(vec![filling]));
    assert_eq!(harness.all_starts().len(), 8 * WORKERS as usize);
    for number in 0..WAITING_JOBS {
        let id = Job(2 + number);
        harness.step(Event::Submitted(id, shrinking_job(number)));
    }
    // Jobs without running tasks that have waited for long ask how full the
    // pool is.
    harness.pass(Millis(2000), &workers);

    let before = (harness.planner.passes(), harness.planner.examined());
    harness.pass(Millis(500), &workers);
    let passes = harness.planner.passes() - before.0;
    let examined = harness.planner.examined() - before.1;

    assert_eq!(passes, 5);
    let limit = EXAMINATION_LIMIT * WORKERS * IMAGES.len() as u64;
    assert!(
        examined <= passes * limit,
        "{} workers examined per pass, at most {limit} allowed",
        examined / passes
    );
}

/// A generator of fixed pseudo-random sequences.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

/// A task that waits or runs.
#[derive(Clone, Copy, Debug)]
struct Demand {
    priority: u8,
    room: Room,
}

/// A plain computation of placement for jobs of one task without further
/// constraints: every worker is examined for every job.
struct Reference {
    /// The running tasks of each worker, by job, and whether each is being
    /// stopped.
    workers: Vec<BTreeMap<u64, (Demand, bool)>>,
    /// The waiting tasks, most urgent first.
    waiting: BTreeMap<(u8, u64), Room>,
}

/// What is done with the task of a job, and the worker where it is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Choice {
    Placed(u64, usize),
    Preempted(u64, usize),
}

impl Reference {
    fn free(&self, worker: usize) -> Room {
        self.workers[worker]
            .values()
            .fold(room(8, 32), |free, (demand, _)| free - demand.room)
    }

    fn pass(&mut self) -> Vec<Choice> {
        let mut choices = Vec::new();
        let mut rejections: Vec<Room> = Vec::new();
        for ((priority, job), room) in self.waiting.clone() {
            if rejections.iter().any(|rejection| room.fits(rejection)) {
                continue;
            }
            let chosen = (0..self.workers.len())
                .filter(|worker| self.free(*worker).fits(&room))
                .max_by_key(|worker| self.free(*worker).cores);
            if let Some(worker) = chosen {
                self.waiting.remove(&(priority, job));
                self.workers[worker].insert(job, (Demand { priority, room }, false));
                choices.push(Choice::Placed(job, worker));
                continue;
            }
            rejections.push(room);
            let best = (0..self.workers.len())
                .filter_map(|worker| Some((self.victims(worker, priority, room)?, worker)))
                .min_by_key(|(victims, _)| victims.len());
            for victim in best.iter().flat_map(|(victims, _)| victims) {
                let worker = best.as_ref().map_or(0, |(_, worker)| *worker);
                if let Some((_, stopping)) = self.workers[worker].get_mut(victim) {
                    *stopping = true;
                }
                choices.push(Choice::Preempted(*victim, worker));
            }
        }
        choices
    }

    /// Lists the jobs to stop on a worker, those with most memory first.
    fn victims(&self, worker: usize, priority: u8, need: Room) -> Option<Vec<u64>> {
        let mut free = self.free(worker);
        let mut candidates: Vec<_> = self.workers[worker]
            .iter()
            .filter(|(_, (demand, _))| demand.priority > priority)
            .collect();
        candidates.sort_by_key(|(_, (demand, _))| std::cmp::Reverse(demand.room.memory));
        let mut victims = Vec::new();
        for (job, (demand, stopping)) in candidates {
            if free.fits(&need) {
                break;
            }
            free += demand.room;
            if !stopping {
                victims.push(*job);
            }
        }
        free.fits(&need).then_some(victims)
    }

    /// Removes a task that has stopped and lets it wait again.
    fn stopped(&mut self, worker: usize, job: u64) {
        if let Some((demand, _)) = self.workers[worker].remove(&job) {
            self.waiting.insert((demand.priority, job), demand.room);
        }
    }
}

fn worker_of(found: &Node) -> usize {
    (0..WORKERS)
        .position(|number| node(number) == *found)
        .expect("the node of a worker")
}

fn choices(decisions: &[Decision]) -> Vec<Choice> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Placed { task, node, .. } => {
                Some(Choice::Placed(task.job.0, worker_of(node)))
            }
            Decision::Stopped {
                task,
                node,
                reason: Reason::Preempted,
                ..
            } => Some(Choice::Preempted(task.job.0, worker_of(node))),
            _ => None,
        })
        .collect()
}

/// Guards against savings in a pass that change the chosen workers or victims.
#[test]
fn workers_and_victims_are_those_of_a_plain_computation() {
    for seed in SEEDS {
        let mut random = Random(seed);
        let mut harness = Harness::with_workers(SMALL_FLEET);
        harness.step(Event::Configured(Arc::new(two_queues())));
        let mut reference = Reference {
            workers: vec![BTreeMap::new(); SMALL_FLEET as usize],
            waiting: BTreeMap::new(),
        };
        let mut next = 1;
        let mut sequence = 0;
        let mut stopping = Vec::new();
        let mut preempted = 0;

        for round in 0..ROUNDS {
            for _ in 0..random.below(12) {
                let priority = random.below(2) as u8;
                let need = Room {
                    cores: Cores(250 * (1 + random.below(16))),
                    memory: Bytes((1 + random.below(16)) << 30),
                    accelerators: Accelerators(0),
                };
                reference.waiting.insert((priority, next), need);
                let queue = [QUEUE, LESS_URGENT][usize::from(priority)];
                harness.step(Event::Submitted(Job(next), single(queue, need)));
                next += 1;
            }
            harness.decisions.clear();
            harness.commit();

            let expected = reference.pass();
            assert_eq!(
                choices(&harness.decisions),
                expected,
                "seed {seed}, round {round}"
            );
            for worker in 0..SMALL_FLEET {
                let stops = harness.stops(worker);
                preempted += stops.len();
                let stops = stops.into_iter().map(|(task, run)| (worker, task, run));
                stopping.extend(stops);
            }
            // Others end in a later round.
            for (worker, task, run) in stopping.extract_if(.., |_| random.below(2) == 0) {
                sequence += 1;
                let report = Report {
                    ends: vec![end(sequence, task, run, Exit::Stopped)],
                    ..Report::default()
                };
                harness.report(worker, report);
                reference.stopped(worker as usize, task.job.0);
            }
        }
        assert!(preempted > 0, "seed {seed} preempts nothing");
    }
}

/// Guards against a step that waits although a preempted start was withdrawn,
/// which frees its room within the pass.
#[test]
fn room_of_a_withdrawn_start_is_used_in_the_same_pass() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Configured(Arc::new(two_queues())));
    harness.step(Event::Submitted(Job(1), single(LESS_URGENT, room(8, 8))));
    // The placement is not made durable, so the start is not sent.
    harness.now = harness.now + Millis(20);
    harness.step(Event::Tick);
    assert_eq!(choices(&harness.decisions), [Choice::Placed(1, 0)]);
    harness.decisions.clear();

    harness.step(Event::Submitted(Job(2), single(QUEUE, room(6, 8))));
    harness.step(Event::Submitted(Job(3), single(QUEUE, room(2, 4))));
    harness.now = harness.now + Millis(20);
    harness.step(Event::Tick);

    assert_eq!(
        choices(&harness.decisions),
        [
            Choice::Preempted(1, 0),
            Choice::Placed(2, 0),
            Choice::Placed(3, 0)
        ]
    );
}

/// Guards against a step that waits for room which was only reserved while a
/// gang was tried.
#[test]
fn room_tried_for_a_gang_is_used_in_the_same_pass() {
    let mut harness = Harness::with_workers(1);
    let mut gang = step(2);
    gang.mode.gang = true;
    gang.room = room(5, 1);
    harness.step(Event::Submitted(Job(1), job(vec![gang])));
    harness.step(Event::Submitted(Job(2), single(QUEUE, room(4, 1))));

    harness.now = harness.now + Millis(20);
    harness.step(Event::Tick);

    assert_eq!(choices(&harness.decisions), [Choice::Placed(2, 0)]);
}

/// Guards against best-effort tasks that are placed anywhere although a task
/// placed in the same pass has made the pool busy.
#[test]
fn use_of_a_pool_counts_tasks_placed_in_the_same_pass() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![service()]));
    assert_eq!(harness.starts(0).len(), 1);
    let reading = Reading {
        latencies: vec![(task(1, 0, 0), Millis(49))],
        ..Reading::default()
    };
    harness.report_reading(0, reading);
    for (id, gib) in [(2, 20), (3, 4)] {
        let mut best_effort = step(1);
        best_effort.mode.best_effort = true;
        best_effort.room = room(6, gib);
        best_effort.image = Some("filler".into());
        harness.step(Event::Submitted(Job(id), job(vec![best_effort])));
    }
    harness.decisions.clear();

    harness.pass(Millis(1700), &[0]);

    assert_eq!(choices(&harness.decisions), [Choice::Placed(2, 0)]);
}

/// Guards against a leader that is saturated because each of many like tasks of
/// a step searches all workers.
#[test]
fn wide_step_examines_each_worker_a_few_times() {
    let mut harness = Harness::with_workers(WORKERS);
    let before = harness.planner.examined();

    harness.submit(1, job(vec![step(4 * WORKERS as u16)]));

    let started = harness.all_starts();
    assert_eq!(started.len(), 4 * WORKERS as usize);
    let mut tasks_of_workers = BTreeMap::new();
    for (worker, _) in &started {
        *tasks_of_workers.entry(*worker).or_insert(0) += 1;
    }
    assert!(tasks_of_workers.values().all(|tasks| *tasks == 4));
    let examined = harness.planner.examined() - before;
    let limit = EXAMINATION_LIMIT * WORKERS + 3 * started.len() as u64;
    assert!(
        examined <= limit,
        "{examined} workers examined, at most {limit} allowed"
    );
}

/// Guards against urgent tasks that wait for a leader that searches in every
/// pass for best-effort tasks, although nothing that they wait for has changed.
#[test]
fn best_effort_tasks_that_found_no_worker_are_not_searched_for_in_every_pass() {
    let mut harness = Harness::with_workers(WORKERS);
    let mut filling = step(8 * WORKERS as u16);
    filling.room = room(1, 4);
    harness.submit(1, job(vec![filling]));
    let mut best_effort = step(1);
    best_effort.mode.best_effort = true;
    best_effort.image = Some("a".into());
    harness.submit(2, job(vec![best_effort]));
    let before = (harness.planner.passes(), harness.planner.examined());

    harness.commit();
    harness.commit();

    assert_eq!(harness.planner.passes() - before.0, 2);
    assert_eq!(harness.planner.examined() - before.1, 0);
    // The next search is due.
    harness.pass(Millis(200), &[]);
    assert!(harness.planner.examined() > before.1);
}
