//! The planner: services that lose many replicas at once, beside a stream of
//! short tasks that takes all room that becomes free.

mod support;

use {
    filbertbend_state::{time::Instant, time::Wall, unit::Millis},
    filbertbend_workload::{
        id::{Job, Task},
        job::{self, Step},
        message::Start,
        worker::Exit,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
    support::{job, room, service, step, Harness},
};

const WORKERS: u64 = 32;
/// The workers that are lost, each with one replica of the service.
const LOST: u64 = 8;
const REPLICAS: u16 = 10;
const SERVICE: u64 = 1;
const STREAM: u64 = 2;
/// A stream that outlasts each test.
const STREAM_TASKS: u16 = 4000;
/// The interval at which one short task ends on each worker.
const TURN: Millis = Millis(100);
/// How long a long-running task may be away, by the platform's rules.
const LONGEST_ABSENCE: Millis = Millis(6000);
/// Longer than a test follows the tasks that are away.
const FOLLOWED: Millis = Millis(25_000);

fn accepted_at(accepted: Wall, steps: Vec<Step>) -> Arc<job::Job> {
    let mut submitted = (*job(steps)).clone();
    submitted.accepted = accepted;
    Arc::new(submitted)
}

/// Workers with a service, filled with short tasks that end and are replaced all
/// the time.
struct Cluster {
    harness: Harness,
    short: Vec<VecDeque<Start>>,
    ends: Vec<u64>,
    /// The worker and the last start of each replica.
    replicas: BTreeMap<Task, (u64, Start)>,
}

impl Cluster {
    /// Starts one replica on each of several workers, then the stream.
    fn new(replica: Step, service_accepted: Wall, stream_accepted: Wall) -> Self {
        let mut harness = Harness::with_workers(WORKERS);
        harness.submit(SERVICE, accepted_at(service_accepted, vec![replica]));
        let stream = accepted_at(stream_accepted, vec![step(STREAM_TASKS)]);
        harness.submit(STREAM, stream);
        let mut cluster = Self {
            harness,
            short: vec![VecDeque::new(); WORKERS as usize],
            ends: vec![0; WORKERS as usize],
            replicas: BTreeMap::new(),
        };
        cluster.take_starts();
        let starts: Vec<_> = cluster.replicas.values().cloned().collect();
        for (worker, start) in &starts {
            cluster.harness.started(*worker, start);
        }
        cluster
    }

    /// Takes the new starts; returns the replicas among them.
    fn take_starts(&mut self) -> Vec<Task> {
        let mut replicas = Vec::new();
        for (worker, start) in self.harness.all_starts() {
            if start.task.job == Job(SERVICE) {
                replicas.push(start.task);
                self.replicas.insert(start.task, (worker, start));
            } else {
                self.short[worker as usize].push_back(start);
            }
        }
        replicas
    }

    fn end(&mut self, worker: u64, start: &Start, exit: Exit) {
        self.ends[worker as usize] += 1;
        let sequence = self.ends[worker as usize];
        self.harness.end(worker, sequence, start, exit);
    }

    /// Ends the oldest short task of each living worker; returns the replicas that
    /// are started.
    fn turn(&mut self, alive: &[u64]) -> Vec<Task> {
        for worker in alive {
            if let Some(start) = self.short[*worker as usize].pop_front() {
                self.end(*worker, &start, Exit::Done);
            }
        }
        self.harness.pass(TURN, alive);
        self.harness.commit();
        self.take_starts()
    }

    /// Follows replicas that are away until they have all been started, and
    /// returns how long each was away.
    fn absences(&mut self, away: &[Task], since: Instant, alive: &[u64]) -> Vec<Millis> {
        let mut absences = Vec::new();
        while absences.len() < away.len() && self.harness.now < since + FOLLOWED {
            let started = self.turn(alive);
            let now = self.harness.now;
            let back = started.iter().filter(|task| away.contains(task));
            absences.extend(back.map(|_| now.since(since)));
        }
        absences
    }

    /// Lets replicas end at once as if their processes had been killed, and returns
    /// them.
    fn kill(&mut self, count: usize) -> Vec<Task> {
        let killed: Vec<_> = self.replicas.values().take(count).cloned().collect();
        for (worker, start) in &killed {
            self.end(*worker, start, Exit::Killed);
        }
        killed.into_iter().map(|(_, start)| start.task).collect()
    }
}
