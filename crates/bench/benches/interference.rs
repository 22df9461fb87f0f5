//! Compares interference control with services that run alone and with a
//! controller that knows the true interference of every pair.
//!
//! Each seed runs for an hour of simulated time on one worker, from a cold start.
//! The figures combine all seeds, and the lines after them are for each seed.
//! Reports of usage and latency are 10 s late, and every number in them has the
//! stated noise; the endpoint's own latencies are samples of single requests. The
//! p99 is compared with services that run alone under the same requests, and the
//! batch work with the controller that knows the pairs.

#[path = "interference/simulation.rs"]
mod simulation;

use {
    filbertbend_bench::figure::Figure,
    filbertbend_coordination::interference::{Action, Controller, Event, Settings, Task},
    filbertbend_state::{time::Instant, unit::Cores},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    simulation::{kind, DelayedReports, Measurements, Simulation, CORES},
};

const DURATION_SECS: u64 = 3600;
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];
const LATENCY_LIMIT: f64 = 1.1;

/// The policy that sets the shares of the batch tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// Interference control with its learned model.
    Learned,
    /// The optimal shares, given the true interference of every pair.
    Known,
    /// Halves all shares while the newest report is over the limit.
    Threshold,
    /// Batch tasks at full speed.
    Uncontrolled,
    /// No batch tasks beside services.
    Never,
}

fn main() {
    let alone = Summary::from_runs(run_all_seeds(Policy::Never, 0.0));
    let known = Summary::from_runs(run_all_seeds(Policy::Known, 0.0));
    for noise in [0.0, 0.3] {
        let learned = Summary::from_runs(run_all_seeds(Policy::Learned, noise));
        let prefix = format!("interference.noise{:.0}", noise * 100.0);
        let (p99, batch_work) = learned.combined_ratios(&alone, &known);
        let p99 = Figure::at_most(format!("{prefix}.p99"), p99, "ratio", LATENCY_LIMIT);
        println!("{p99}");
        let batch_work = Figure::at_least(format!("{prefix}.batch"), batch_work, "ratio", 0.85);
        println!("{batch_work}");
        learned.print_seeds(&alone, &known);
        for policy in [Policy::Threshold, Policy::Uncontrolled] {
            let (p99, batch_work) =
                Summary::from_runs(run_all_seeds(policy, noise)).combined_ratios(&alone, &known);
            println!("baseline {policy:?} noise {noise} p99 {p99:.4} batch {batch_work:.4}");
        }
    }
    let (p99, batch_work) = known.combined_ratios(&alone, &known);
    println!("baseline Known p99 {p99:.4} batch {batch_work:.4}");
    println!("baseline Never p99 1.0000 batch 0.0000");
}

fn run_all_seeds(policy: Policy, noise: f64) -> Vec<Measurements> {
    SEEDS.iter().map(|seed| run(policy, *seed, noise)).collect()
}

/// The p99 of each service and the batch work, first of all seeds combined and
/// then of each seed.
struct Summary {
    p99: Vec<[f64; 2]>,
    batch_work: Vec<f64>,
}

impl Summary {
    fn from_runs(runs: Vec<Measurements>) -> Self {
        let mut runs = runs;
        let mut combined = Measurements::default();
        for measurements in &runs {
            combined.add(measurements);
        }
        runs.insert(0, combined);
        Self {
            batch_work: runs
                .iter()
                .map(|measurements| measurements.batch_work)
                .collect(),
            p99: runs.iter_mut().map(Measurements::p99).collect(),
        }
    }

    /// Returns the worse p99 ratio of the two services to running alone, and the
    /// ratio of the batch work to the controller that knows the pairs.
    fn ratio(&self, index: usize, alone: &Self, known: &Self) -> (f64, f64) {
        let ratio = |service: usize| self.p99[index][service] / alone.p99[index][service];
        let batch_work = self.batch_work[index] / known.batch_work[index];
        (ratio(0).max(ratio(1)), batch_work)
    }

    fn combined_ratios(&self, alone: &Self, known: &Self) -> (f64, f64) {
        self.ratio(0, alone, known)
    }

    fn print_seeds(&self, alone: &Self, known: &Self) {
        for (index, seed) in SEEDS.iter().enumerate() {
            let (p99, batch_work) = self.ratio(index + 1, alone, known);
            println!("seed {seed} p99 {p99:.4} batch {batch_work:.4}");
        }
    }
}

fn run(policy: Policy, seed: u64, noise: f64) -> Measurements {
    let mut simulation = Simulation::new(seed, noise, policy != Policy::Never);
    let settings = Settings::new(Cores(CORES * 1000));
    let mut controller = Controller::new(settings, ChaCha8Rng::seed_from_u64(seed));
    match policy {
        Policy::Learned => report_tasks(&mut simulation, &mut controller),
        Policy::Known => set_optimal_shares(&mut simulation),
        _ => {}
    }
    for _ in 0..DURATION_SECS {
        let (current, delayed) = simulation.run();
        match policy {
            Policy::Learned => {
                step_controller(&mut simulation, &mut controller, current, delayed);
            }
            Policy::Known => set_optimal_shares(&mut simulation),
            Policy::Threshold => set_threshold_shares(&mut simulation, &delayed),
            Policy::Uncontrolled | Policy::Never => {}
        }
    }
    simulation.measurements
}

fn apply(simulation: &mut Simulation, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Throttle { attempt, share } => simulation.set_share(attempt, share.fraction()),
            Action::Evict(attempt) => simulation.evict(attempt),
        }
    }
}

fn report_tasks(simulation: &mut Simulation, controller: &mut Controller) {
    let tasks = simulation
        .tasks
        .iter()
        .map(|task| Task {
            attempt: task.attempt,
            kind: kind(task.kind),
            cores: Cores(task.cores * 1000),
            progress_at: Instant(task.checkpoint_secs * 1000),
        })
        .collect();
    let mut actions = Vec::new();
    controller.step(simulation.now(), Event::Tasks(tasks), &mut actions);
    apply(simulation, actions);
}

fn step_controller(
    simulation: &mut Simulation,
    controller: &mut Controller,
    current: [filbertbend_coordination::interference::Observation; 2],
    delayed: DelayedReports,
) {
    let mut events: Vec<Event> = current.into_iter().map(Event::Latency).collect();
    events.push(Event::Usage(delayed.usage));
    events.extend(delayed.reports.into_iter().map(Event::DelayedLatency));
    events.push(Event::Tick);
    report_tasks(simulation, controller);
    let mut actions = Vec::new();
    for event in events {
        controller.step(simulation.now(), event, &mut actions);
    }
    apply(simulation, actions);
}

/// Sets the shares that give the most batch work under the true interference: full
/// shares, reduced in descending order of interference per core until each service
/// is within the limit.
fn set_optimal_shares(simulation: &mut Simulation) {
    let interference: Vec<[f64; 2]> = simulation
        .tasks
        .iter()
        .map(|task| simulation.interference_of(task))
        .collect();
    let mut shares = vec![1.0; interference.len()];
    for service in 0..2 {
        let total: f64 = interference
            .iter()
            .zip(&shares)
            .map(|(by_service, share)| by_service[service] * share)
            .sum();
        let mut excess = total - (LATENCY_LIMIT - 1.0);
        let mut by_density: Vec<usize> = (0..interference.len()).collect();
        let interference_per_core =
            |index: &usize| interference[*index][service] / simulation.tasks[*index].cores as f64;
        by_density.sort_by(|a, b| interference_per_core(b).total_cmp(&interference_per_core(a)));
        for index in by_density {
            if excess <= 0.0 {
                break;
            }
            let reduction = (excess / interference[index][service]).min(shares[index]);
            shares[index] -= reduction;
            excess -= reduction * interference[index][service];
        }
    }
    for (task, share) in simulation.tasks.iter_mut().zip(shares) {
        task.share = share;
    }
}

/// Halves the shares if the newest delayed report of a service exceeds the limit
/// relative to its latency when it runs alone, and raises them by 0.05 otherwise.
fn set_threshold_shares(simulation: &mut Simulation, delayed: &DelayedReports) {
    let exceeded = delayed.reports.iter().enumerate().any(|(index, report)| {
        let alone = simulation::alone_ms(index, report.load);
        report.latency_ms > alone * LATENCY_LIMIT
    });
    for task in &mut simulation.tasks {
        task.share = match exceeded {
            true => (task.share / 2.0).max(0.05),
            false => (task.share + 0.05).min(1.0),
        };
    }
}
