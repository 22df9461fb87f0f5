//! Simulates one worker with services and batch tasks, whose interference is hidden
//! from the controller.

use {
    filbertbend_coordination::{attempt::Attempt, interference::Observation, worker::Usage},
    filbertbend_standin::worker::Interference,
    filbertbend_state::{
        id,
        room::Room,
        time::Instant,
        unit::{Cores, Millis, Share},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::VecDeque,
};

pub(crate) const CORES: u64 = 64;
const BATCH_CORES: u64 = 48;
const REPORT_LAG_SECS: u64 = 10;
const CHECKPOINT_EVERY_SECS: u64 = 60;
const PAIR_STRENGTHS: [[f64; 2]; 6] = [
    [0.02, 0.05],
    [0.10, 0.02],
    [0.30, 0.60],
    [0.80, 0.20],
    [1.50, 1.00],
    [0.05, 1.20],
];
const REQUESTS_PER_SEC: [f64; 2] = [160.0, 80.0];
const ALONE_MS: [f64; 2] = [20.0, 45.0];
const LATENCY_SIGMA: f64 = 0.35;

/// A batch task on the worker.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) attempt: Attempt,
    pub(crate) kind: usize,
    pub(crate) cores: u64,
    pub(crate) share: f64,
    pub(crate) checkpoint_secs: u64,
    remaining: f64,
    checkpoint_remaining: f64,
}

/// Reports of the platform, which are delivered ten seconds after the second that
/// they are about.
#[derive(Default)]
pub(crate) struct DelayedReports {
    pub(crate) usage: Vec<Usage>,
    pub(crate) reports: Vec<Observation>,
}

/// The measurements of one run.
#[derive(Default)]
pub(crate) struct Measurements {
    pub(crate) latencies: [Vec<f64>; 2],
    pub(crate) batch_work: f64,
}

impl Measurements {
    /// Merges the measurements of another run into these.
    pub(crate) fn add(&mut self, other: &Self) {
        for (sum, latencies) in self.latencies.iter_mut().zip(&other.latencies) {
            sum.extend(latencies);
        }
        self.batch_work += other.batch_work;
    }

    /// Returns the 99th percentile of each service's latency.
    pub(crate) fn p99(&mut self) -> [f64; 2] {
        [0, 1].map(|service| {
            let latencies = &mut self.latencies[service];
            latencies.sort_by(f64::total_cmp);
            latencies[latencies.len() * 99 / 100]
        })
    }
}

/// The simulated worker.
pub(crate) struct Simulation {
    pub(crate) now_secs: u64,
    pub(crate) tasks: Vec<Task>,
    pub(crate) pairs: Interference,
    pub(crate) measurements: Measurements,
    noise: f64,
    traffic_rng: ChaCha8Rng,
    arrival_rng: ChaCha8Rng,
    report_rng: ChaCha8Rng,
    next_job: u32,
    delayed: VecDeque<DelayedReports>,
    load_phase: [f64; 2],
    with_batch: bool,
}

pub(crate) fn service(index: usize) -> id::Service {
    id::Service::new(["check", "price"][index]).expect("a valid name")
}

pub(crate) fn kind(index: usize) -> id::Service {
    id::Service::new(format!("kind-{index}")).expect("a valid name")
}

/// Returns the median latency of a service that runs alone, in milliseconds.
pub(crate) fn alone_ms(service: usize, load: f64) -> f64 {
    ALONE_MS[service] * (1.0 + 0.3 * load * load)
}

/// Draws a sample from the standard normal distribution.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

impl Simulation {
    /// Creates a worker. Traffic, task arrivals and noise have their own seeds, so
    /// that all policies get the same requests and the same sequence of tasks.
    pub(crate) fn new(seed: u64, noise: f64, with_batch: bool) -> Self {
        let mut pairs = Interference::new();
        for (index, strengths) in PAIR_STRENGTHS.iter().enumerate() {
            for (other, strength) in strengths.iter().enumerate() {
                pairs = pairs.with(service(other), kind(index), *strength);
            }
        }
        let mut arrival_rng = ChaCha8Rng::seed_from_u64(seed * 3 + 1);
        let load_phase = [0, 1].map(|_| arrival_rng.random::<f64>() * std::f64::consts::TAU);
        let mut simulation = Self {
            now_secs: 1000,
            tasks: Vec::new(),
            pairs,
            measurements: Measurements::default(),
            noise,
            traffic_rng: ChaCha8Rng::seed_from_u64(seed * 3),
            arrival_rng,
            report_rng: ChaCha8Rng::seed_from_u64(seed * 3 + 2),
            next_job: 0,
            delayed: VecDeque::new(),
            load_phase,
            with_batch,
        };
        simulation.place_tasks();
        simulation
    }

    pub(crate) fn now(&self) -> Instant {
        Instant(self.now_secs * 1000)
    }

    /// Returns a service's load: a sine wave with sudden shifts every 7 minutes.
    pub(crate) fn load(&self, service: usize) -> f64 {
        let wave = (self.now_secs as f64 / 95.0 + self.load_phase[service]).sin();
        let shift = [0.0, 0.15, -0.1, 0.2][(self.now_secs / 420 + service as u64) as usize % 4];
        (0.55 + 0.25 * wave + shift).clamp(0.1, 0.95)
    }

    /// Places tasks until the worker is full. In every other group of 40 jobs, which
    /// lasts some minutes, most tasks are of the same kind.
    fn place_tasks(&mut self) {
        if !self.with_batch {
            return;
        }
        let mut used: u64 = self.tasks.iter().map(|task| task.cores).sum();
        loop {
            let wave = (self.next_job / 40) as usize % 2 == 1;
            let favoured_kind = (self.next_job / 80) as usize % PAIR_STRENGTHS.len();
            let cores = self.arrival_rng.random_range(2..=6);
            if used + cores > BATCH_CORES {
                return;
            }
            let kind = match wave && self.arrival_rng.random_bool(0.7) {
                true => favoured_kind,
                false => self.arrival_rng.random_range(0..PAIR_STRENGTHS.len()),
            };
            let remaining = self.arrival_rng.random_range(30.0..180.0) * cores as f64;
            self.next_job += 1;
            used += cores;
            self.tasks.push(Task {
                attempt: attempt(self.next_job),
                kind,
                cores,
                share: 1.0,
                checkpoint_secs: self.now_secs,
                remaining,
                checkpoint_remaining: remaining,
            });
        }
    }

    /// Runs one second and returns the endpoint's own latencies in it, with the
    /// delayed reports that the platform delivers now.
    pub(crate) fn run(&mut self) -> ([Observation; 2], DelayedReports) {
        let current = [0, 1].map(|index| self.serve_requests(index));
        let usage = self.tasks.iter().map(|task| self.usage(task)).collect();
        let mut delayed = DelayedReports {
            usage,
            reports: current.to_vec(),
        };
        self.add_noise(&mut delayed);
        self.delayed.push_back(delayed);
        self.run_tasks();
        self.now_secs += 1;
        self.place_tasks();
        let due = self.delayed.len() as u64 > REPORT_LAG_SECS;
        let delayed = if due { self.delayed.pop_front() } else { None };
        (current, delayed.unwrap_or_default())
    }

    fn serve_requests(&mut self, index: usize) -> Observation {
        let load = self.load(index);
        let kinds: Vec<(id::Service, f64)> = self
            .tasks
            .iter()
            .map(|task| {
                (
                    kind(task.kind),
                    task.cores as f64 / CORES as f64 * task.share,
                )
            })
            .collect();
        let used = kinds.iter().map(|(kind, part)| (kind, *part));
        let slowdown = self.pairs.slowdown(&service(index), load, used);
        let alone = alone_ms(index, load);
        let requests = (REQUESTS_PER_SEC[index] * load) as u32;
        let mut sum = 0.0;
        for _ in 0..requests {
            let latency = alone * slowdown * (LATENCY_SIGMA * normal(&mut self.traffic_rng)).exp();
            sum += latency.ln();
            self.measurements.latencies[index].push(latency);
        }
        Observation {
            service: service(index),
            from: self.now(),
            load,
            latency_ms: (sum / f64::from(requests.max(1))).exp(),
            requests,
        }
    }

    fn usage(&self, task: &Task) -> Usage {
        Usage {
            attempt: task.attempt,
            from: self.now(),
            span: Millis(1000),
            peak: Room {
                cores: Cores(task.cores * 1000),
                ..Room::NONE
            },
            speed: Share::of(task.share),
        }
    }

    /// Adds noise to every number in the reports.
    fn add_noise(&mut self, delayed: &mut DelayedReports) {
        for usage in &mut delayed.usage {
            let factor = (self.noise * normal(&mut self.report_rng)).exp();
            usage.peak.cores = Cores((usage.peak.cores.0 as f64 * factor) as u64);
        }
        for report in &mut delayed.reports {
            report.latency_ms *= (self.noise * normal(&mut self.report_rng)).exp();
        }
    }

    fn run_tasks(&mut self) {
        for task in &mut self.tasks {
            let done = (task.cores as f64 * task.share).min(task.remaining);
            task.remaining -= done;
            self.measurements.batch_work += done;
            if self.now_secs >= task.checkpoint_secs + CHECKPOINT_EVERY_SECS {
                task.checkpoint_secs = self.now_secs;
                task.checkpoint_remaining = task.remaining;
            }
        }
        self.tasks.retain(|task| task.remaining > 0.0);
    }

    pub(crate) fn set_share(&mut self, attempt: Attempt, share: f64) {
        let found = self.tasks.iter_mut().find(|task| task.attempt == attempt);
        if let Some(task) = found {
            task.share = share;
        }
    }

    /// Evicts a task, whose work since its last checkpoint is lost.
    pub(crate) fn evict(&mut self, attempt: Attempt) {
        if let Some(index) = self.tasks.iter().position(|task| task.attempt == attempt) {
            let task = self.tasks.remove(index);
            self.measurements.batch_work -= task.checkpoint_remaining - task.remaining;
        }
        self.place_tasks();
    }

    /// Returns the fraction by which a task at full share currently raises each
    /// service's latency, for the controller that knows the pairs.
    pub(crate) fn interference_of(&self, task: &Task) -> [f64; 2] {
        [0, 1].map(|index| {
            let strength = self.pairs.strength(&service(index), &kind(task.kind));
            strength * Interference::weight(self.load(index)) * task.cores as f64 / CORES as f64
        })
    }
}

fn attempt(job: u32) -> Attempt {
    let text = format!("01J{job:023}");
    Attempt {
        task: id::Task {
            job: text.parse().expect("a valid id"),
            index: 0,
        },
        number: id::Attempt(1),
    }
}
