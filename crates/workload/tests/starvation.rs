//! The planner: tasks that need much room on one worker, beside a stream of
//! tasks that need little.

mod support;

use {
    filbertbend_state::{time::Wall, unit::Millis},
    filbertbend_workload::{
        id::Job,
        job::{self, Step},
        message::Start,
        worker::Exit,
    },
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
    },
    support::{job, room, service, step, Harness},
};

const WORKERS: u64 = 12;
const WIDE: u64 = 1;
const SMALL: u64 = 2;
/// A stream that outlasts each test.
const SMALL_TASKS: u16 = 4000;
/// The interval at which one small task ends on each worker; eight run there.
const TURN: Millis = Millis(100);
/// The time after which workers are held, and four times what a small task
/// takes.
const WAIT_LIMIT: Millis = Millis(5000 + 3200);

fn accepted_at(accepted: Wall, steps: Vec<Step>) -> Arc<job::Job> {
    let mut submitted = (*job(steps)).clone();
    submitted.accepted = accepted;
    Arc::new(submitted)
}

/// Workers on which small tasks end and are replaced all the time.
struct Stream {
    harness: Harness,
    running: Vec<VecDeque<Start>>,
    ends: Vec<u64>,
    /// The workers that tasks of the wide job were placed on.
    wide_workers: BTreeSet<u64>,
}

impl Stream {
    /// Fills all workers with small tasks.
    fn new() -> Self {
        let mut harness = Harness::with_workers(WORKERS);
        let small = accepted_at(Wall(1), vec![step(SMALL_TASKS)]);
        harness.submit(SMALL, small);
        let mut stream = Self {
            harness,
            running: vec![VecDeque::new(); WORKERS as usize],
            ends: vec![0; WORKERS as usize],
            wide_workers: BTreeSet::new(),
        };
        stream.take_starts();
        assert!(stream.running.iter().all(|running| running.len() == 8));
        stream
    }

    /// Takes the new starts; returns those of the wide job.
    fn take_starts(&mut self) -> Vec<(u64, Start)> {
        let (wide, small): (Vec<_>, Vec<_>) = self
            .harness
            .all_starts()
            .into_iter()
            .partition(|(_, start)| start.task.job == Job(WIDE));
        for (worker, start) in small {
            self.running[worker as usize].push_back(start);
        }
        self.wide_workers
            .extend(wide.iter().map(|(worker, _)| worker));
        wide
    }

    /// Ends the oldest small task of each worker; returns the new starts of the
    /// wide job.
    fn turn(&mut self) -> Vec<(u64, Start)> {
        for worker in 0..WORKERS {
            if let Some(start) = self.running[worker as usize].pop_front() {
                self.ends[worker as usize] += 1;
                let sequence = self.ends[worker as usize];
                self.harness.end(worker, sequence, &start, Exit::Done);
            }
        }
        let workers: Vec<u64> = (0..WORKERS).collect();
        self.harness.pass(TURN, &workers);
        self.harness.commit();
        self.take_starts()
    }

    /// Returns the starts of the wide job until `count` of them have been
    /// ordered, and how long that took.
    fn turns_until(&mut self, count: usize) -> (Vec<(u64, Start)>, Millis) {
        let since = self.harness.now;
        let mut starts = Vec::new();
        while starts.len() < count && self.harness.now < since + Millis(20_000) {
            starts.extend(self.turn());
        }
        (starts, self.harness.now.since(since))
    }
}

/// Guards against a service that never starts, because small tasks of the same
/// priority take all room that becomes free.
#[test]
fn service_gets_a_worker_although_small_tasks_take_all_room_that_becomes_free() {
    let mut stream = Stream::new();
    let mut wide = service();
    wide.tasks = 2;
    wide.room = room(6, 2);
    stream
        .harness
        .submit(WIDE, accepted_at(Wall(0), vec![wide]));

    let (starts, waited) = stream.turns_until(2);

    assert_eq!(starts.len(), 2, "not started in {waited}");
    assert!(waited <= WAIT_LIMIT, "started after {waited}");
}

/// Guards against a gang that never starts, because small tasks take the room of
/// its members one after the other.
#[test]
fn gang_gets_its_workers_although_small_tasks_take_all_room_that_becomes_free() {
    let mut stream = Stream::new();
    let mut wide = step(2);
    wide.mode.gang = true;
    wide.room = room(6, 2);
    stream
        .harness
        .submit(WIDE, accepted_at(Wall(0), vec![wide]));

    let (starts, waited) = stream.turns_until(2);

    assert_eq!(starts.len(), 2, "not started in {waited}");
    assert!(waited <= WAIT_LIMIT, "started after {waited}");
}

/// Guards against workers that stay idle for a task that fits on none of them
/// soon, while others could use them.
#[test]
fn most_workers_go_on_with_small_tasks_while_a_step_waits_for_room() {
    let mut stream = Stream::new();
    let mut wide = service();
    wide.tasks = WORKERS as u16;
    wide.room = room(6, 2);
    stream
        .harness
        .submit(WIDE, accepted_at(Wall(0), vec![wide]));
    let mut fewest_full = WORKERS as usize;
    for _ in 0..70 {
        stream.turn();
        let full = stream.running.iter().filter(|running| running.len() == 8);
        let served = stream.wide_workers.len();
        fewest_full = fewest_full.min(full.count() + served);
    }

    assert!(!stream.wide_workers.is_empty());
    assert!(
        fewest_full >= 10,
        "more than an eighth of the workers is held"
    );
}

/// Guards against workers that are held without end for a gang that does not fit
/// on those that may be held.
#[test]
fn no_worker_is_held_for_a_gang_that_would_not_fit() {
    let mut stream = Stream::new();
    let mut wide = step(WORKERS as u16);
    wide.mode.gang = true;
    wide.room = room(6, 2);
    stream
        .harness
        .submit(WIDE, accepted_at(Wall(0), vec![wide]));

    for _ in 0..80 {
        stream.turn();
    }

    assert!(stream.running.iter().all(|running| running.len() == 8));
}
