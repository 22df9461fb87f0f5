//! The planner: services that lose many replicas at once, beside a stream of
//! short tasks that takes all room that becomes free.

mod support;

use {
    filbertbend_state::{
        time::{Instant, Wall},
        unit::Millis,
    },
    filbertbend_workload::{
        id::{Job, Task},
        job::{self, Step},
        message::Start,
        planner::Decision,
        worker::Exit,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
    support::{job, room, service, step, Harness},
};

const WORKERS: u64 = 32;
/// Half of the replicas that run on workers of their own.
const LOST: usize = 8;
const REPLICAS: u16 = 16;
/// The jobs of the stream; those before are services.
const STREAMS: [Job; 2] = [Job(8), Job(9)];
/// The short tasks of one job, which together outlast each test.
const STREAM_TASKS: u16 = 4000;
/// The interval at which one short task ends on each worker.
const TURN: Millis = Millis(100);
/// How long a long-running task may be away, by the platform's rules.
const LONGEST_ABSENCE: Millis = Millis(6000);
/// Enough to give up the lost workers, and to place the replicas one by one.
const TURNS: usize = 300;

fn accepted_at(accepted: Wall, steps: Vec<Step>) -> Arc<job::Job> {
    let mut submitted = (*job(steps)).clone();
    submitted.accepted = accepted;
    Arc::new(submitted)
}

/// Returns a step of replicas that each fill most of a worker.
fn replicas(count: u16) -> Step {
    let mut replicas = service();
    replicas.tasks = count;
    replicas.room = room(6, 2);
    replicas
}

/// Workers with services, filled with short tasks that end and are replaced all
/// the time.
struct Cluster {
    harness: Harness,
    alive: Vec<u64>,
    short: Vec<VecDeque<Start>>,
    ends: Vec<u64>,
    /// The worker of each replica.
    replicas: BTreeMap<Task, u64>,
    /// Since when each replica that was lost is away.
    away: BTreeMap<Task, Instant>,
    absences: Vec<Millis>,
}

impl Cluster {
    /// Starts the services, then the stream on what they leave.
    fn new(services: Vec<Arc<job::Job>>, stream_accepted: Wall) -> Self {
        Self::growing(WORKERS, services, stream_accepted)
    }

    /// Starts the services on the first workers only. The others join once the
    /// stream has been submitted.
    fn growing(first: u64, services: Vec<Arc<job::Job>>, stream_accepted: Wall) -> Self {
        let mut cluster = Self {
            harness: Harness::with_workers(first),
            alive: (0..WORKERS).collect(),
            short: vec![VecDeque::new(); WORKERS as usize],
            ends: vec![0; WORKERS as usize],
            replicas: BTreeMap::new(),
            away: BTreeMap::new(),
            absences: Vec::new(),
        };
        for (number, service) in (1..).zip(services) {
            cluster.harness.submit(number, service);
        }
        for stream in STREAMS {
            let short = accepted_at(stream_accepted, vec![step(STREAM_TASKS)]);
            cluster.harness.submit(stream.0, short);
        }
        for worker in first..WORKERS {
            cluster.harness.join(worker, Vec::new());
        }
        cluster.take_starts();
        assert_eq!(cluster.full_workers(), cluster.alive.len());
        cluster
    }

    fn take_starts(&mut self) {
        for (worker, start) in self.harness.all_starts() {
            self.harness.started(worker, &start);
            if STREAMS.contains(&start.task.job) {
                self.short[worker as usize].push_back(start);
                continue;
            }
            self.replicas.insert(start.task, worker);
            if let Some(since) = self.away.remove(&start.task) {
                self.absences.push(self.harness.now.since(since));
            }
        }
    }

    /// Ends the oldest short task of each living worker.
    fn turn(&mut self) {
        for worker in self.alive.clone() {
            if let Some(start) = self.short[worker as usize].pop_front() {
                self.ends[worker as usize] += 1;
                let sequence = self.ends[worker as usize];
                self.harness.end(worker, sequence, &start, Exit::Done);
            }
        }
        self.harness.pass(TURN, &self.alive);
        self.harness.commit();
        for decision in std::mem::take(&mut self.harness.decisions) {
            if let Decision::Lost { task, .. } = decision {
                if !STREAMS.contains(&task.job) {
                    self.away.insert(task, self.harness.now);
                }
            }
        }
        self.take_starts();
    }

    /// Silences the workers of some replicas for good.
    fn silence(&mut self, lost: BTreeSet<u64>) {
        self.alive.retain(|worker| !lost.contains(worker));
    }

    /// Silences the workers of every other replica, and returns how long each of
    /// these replicas is away.
    fn lose_half(&mut self) -> Vec<Millis> {
        let lost: BTreeSet<u64> = self.replicas.values().step_by(2).copied().collect();
        assert_eq!(lost.len(), LOST);
        self.silence(lost);
        for _ in 0..TURNS {
            self.turn();
        }
        self.absences.clone()
    }

    /// Returns the number of living workers that are fully used.
    fn full_workers(&self) -> usize {
        let is_full = |worker: &&u64| {
            let replicas = self.replicas.values().filter(|on| on == worker).count();
            self.short[**worker as usize].len() + 6 * replicas == 8
        };
        self.alive.iter().filter(is_full).count()
    }
}

fn assert_in_time(absences: &[Millis]) {
    assert_eq!(absences.len(), LOST, "not all are back: {absences:?}");
    let in_time = |absence: &Millis| *absence <= LONGEST_ABSENCE;
    assert!(absences.iter().all(in_time), "away for {absences:?}");
}

/// Guards against replicas that wait for room one after the other, while short
/// tasks of the same priority take what becomes free.
#[test]
fn lost_replicas_are_back_in_time_although_short_tasks_take_all_room_that_becomes_free() {
    let service = accepted_at(Wall(0), vec![replicas(REPLICAS)]);
    let mut cluster = Cluster::new(vec![service], Wall(1));

    let absences = cluster.lose_half();

    assert_in_time(&absences);
}

/// Guards against replicas that wait behind short tasks because these were accepted
/// before the service.
#[test]
fn lost_replicas_are_back_in_time_although_the_short_tasks_were_accepted_first() {
    let service = accepted_at(Wall(1), vec![replicas(REPLICAS)]);
    let mut cluster = Cluster::new(vec![service], Wall(0));

    let absences = cluster.lose_half();

    assert_in_time(&absences);
}

/// Guards against services that get no room while another one of the same kind
/// finds none.
#[test]
fn lost_replicas_of_several_services_are_back_in_time() {
    let services = (0..u64::from(REPLICAS) / 4)
        .map(|accepted| accepted_at(Wall(accepted), vec![replicas(4)]))
        .collect();
    let mut cluster = Cluster::new(services, Wall(20));

    let absences = cluster.lose_half();

    assert_in_time(&absences);
}

/// Guards against short tasks that come to a halt because all workers are held for
/// the replicas that were lost.
#[test]
fn half_of_the_workers_go_on_with_short_tasks_while_lost_replicas_wait() {
    let service = accepted_at(Wall(0), vec![replicas(REPLICAS)]);
    let mut cluster = Cluster::new(vec![service], Wall(1));
    let lost: BTreeSet<u64> = cluster.replicas.values().skip(1).copied().collect();
    cluster.silence(lost);

    let mut fewest_full = usize::MAX;
    for _ in 0..TURNS {
        cluster.turn();
        fewest_full = fewest_full.min(cluster.full_workers());
    }

    assert_eq!(cluster.absences.len(), usize::from(REPLICAS) - 1);
    let half = cluster.alive.len() / 2;
    assert!(fewest_full >= half, "only {fewest_full} workers were full");
}

/// Guards against replicas that wait behind services that have never run, of which
/// there may be many more than there is room for.
#[test]
fn lost_replicas_are_back_in_time_although_older_services_wait_for_room() {
    let service = accepted_at(Wall(1), vec![replicas(REPLICAS)]);
    let mut cluster = Cluster::new(vec![service], Wall(2));
    let waiting = accepted_at(Wall(0), vec![replicas(8 * REPLICAS)]);
    cluster.harness.submit(STREAMS[0].0 - 1, waiting);

    let absences = cluster.lose_half();

    assert_in_time(&absences);
}

/// Guards against one lost replica that makes all those of its service that have
/// never run come before older jobs.
#[test]
fn lost_replica_brings_no_siblings_that_have_never_run() {
    let service = accepted_at(Wall(1), vec![replicas(8 * REPLICAS)]);
    let mut cluster = Cluster::growing(4, vec![service], Wall(0));
    assert_eq!(cluster.replicas.len(), 4);
    let lost = cluster.replicas.values().next().copied();
    cluster.silence(lost.into_iter().collect());

    // All workers but one use the stream up.
    for _ in 0..TURNS / 2 {
        cluster.turn();
    }

    assert_eq!(cluster.absences.len(), 1);
    assert_eq!(cluster.replicas.len(), 4);
}
