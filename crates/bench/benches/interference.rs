//! Interference control against running alone and against known pairs.
//!
//! An hour of simulated time on one worker, from a cold start, for each seed;
//! the figures are of all seeds together, and the lines after them of each.
//! Reports of usage and latency are
//! 10 s late, and every number in them has the stated noise; the endpoint's own
//! latencies are samples of single requests. The p99 is compared with running
//! alone under the same requests, the batch work with a controller that knows
//! the pairs.

#[path = "interference/world.rs"]
mod world;

use {
    filbertbend_bench::figure::Figure,
    filbertbend_coordination::interference::{Action, Controller, Event, Settings, Task},
    filbertbend_state::{time::Instant, unit::Cores},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    world::{kind, Late, Outcome, World, CORES},
};

const SECS: u64 = 3600;
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];
const LIMIT: f64 = 1.1;

/// What decides the shares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// The learned model.
    Learned,
    /// The best shares under the true pairs.
    Known,
    /// Halves all shares if the newest report is over the limit.
    Threshold,
    /// Batch at full speed.
    Uncontrolled,
    /// No batch beside services.
    Never,
}

fn main() {
    let alone = Measured::of(pool(Policy::Never, 0.0));
    let known = Measured::of(pool(Policy::Known, 0.0));
    for noise in [0.0, 0.3] {
        let learned = Measured::of(pool(Policy::Learned, noise));
        let prefix = format!("interference.noise{:.0}", noise * 100.0);
        let (p99, work) = learned.ratios(&alone, &known);
        let p99 = Figure::at_most(format!("{prefix}.p99"), p99, "ratio", LIMIT);
        println!("{p99}");
        let work = Figure::at_least(format!("{prefix}.batch"), work, "ratio", 0.85);
        println!("{work}");
        learned.print_seeds(&alone, &known);
        for policy in [Policy::Threshold, Policy::Uncontrolled] {
            let (p99, work) = Measured::of(pool(policy, noise)).ratios(&alone, &known);
            println!("baseline {policy:?} noise {noise} p99 {p99:.4} batch {work:.4}");
        }
    }
    let (p99, work) = known.ratios(&alone, &known);
    println!("baseline Known p99 {p99:.4} batch {work:.4}");
    println!("baseline Never p99 1.0000 batch 0.0000");
}

fn pool(policy: Policy, noise: f64) -> Vec<Outcome> {
    SEEDS.iter().map(|seed| run(policy, *seed, noise)).collect()
}

/// The p99 of each service and the batch work, first of all seeds together and
/// then of each seed.
struct Measured {
    p99: Vec<[f64; 2]>,
    work: Vec<f64>,
}

impl Measured {
    fn of(outcomes: Vec<Outcome>) -> Self {
        let mut outcomes = outcomes;
        let mut whole = Outcome::default();
        for outcome in &outcomes {
            whole.add(outcome);
        }
        outcomes.insert(0, whole);
        Self {
            work: outcomes.iter().map(|outcome| outcome.work).collect(),
            p99: outcomes.iter_mut().map(Outcome::p99).collect(),
        }
    }

    /// Returns the worse p99 of the two services and the work, as ratios.
    fn ratio(&self, index: usize, alone: &Self, known: &Self) -> (f64, f64) {
        let ratio = |service: usize| self.p99[index][service] / alone.p99[index][service];
        let work = self.work[index] / known.work[index];
        (ratio(0).max(ratio(1)), work)
    }

    fn ratios(&self, alone: &Self, known: &Self) -> (f64, f64) {
        self.ratio(0, alone, known)
    }

    fn print_seeds(&self, alone: &Self, known: &Self) {
        for (index, seed) in SEEDS.iter().enumerate() {
            let (p99, work) = self.ratio(index + 1, alone, known);
            println!("seed {seed} p99 {p99:.4} batch {work:.4}");
        }
    }
}

fn run(policy: Policy, seed: u64, noise: f64) -> Outcome {
    let mut world = World::new(seed, noise, policy != Policy::Never);
    let settings = Settings::new(Cores(CORES * 1000));
    let mut controller = Controller::new(settings, ChaCha8Rng::seed_from_u64(seed));
    match policy {
        Policy::Learned => announce(&mut world, &mut controller),
        Policy::Known => know(&mut world),
        _ => {}
    }
    for _ in 0..SECS {
        let (own, late) = world.run();
        match policy {
            Policy::Learned => {
                learn(&mut world, &mut controller, own, late);
            }
            Policy::Known => know(&mut world),
            Policy::Threshold => threshold(&mut world, &late),
            Policy::Uncontrolled | Policy::Never => {}
        }
    }
    world.outcome
}

fn apply(world: &mut World, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Throttle { attempt, share } => world.set_share(attempt, share.fraction()),
            Action::Evict(attempt) => world.evict(attempt),
        }
    }
}

fn announce(world: &mut World, controller: &mut Controller) {
    let tasks = world
        .tasks
        .iter()
        .map(|task| Task {
            attempt: task.attempt,
            kind: kind(task.kind),
            cores: Cores(task.cores * 1000),
            progress_at: Instant(task.saved_secs * 1000),
        })
        .collect();
    let mut actions = Vec::new();
    controller.step(world.now(), Event::Tasks(tasks), &mut actions);
    apply(world, actions);
}

fn learn(
    world: &mut World,
    controller: &mut Controller,
    own: [filbertbend_coordination::interference::Observation; 2],
    late: Late,
) {
    let mut events: Vec<Event> = own.into_iter().map(Event::Latency).collect();
    events.push(Event::Usage(late.usage));
    events.extend(late.reports.into_iter().map(Event::DelayedLatency));
    events.push(Event::Tick);
    announce(world, controller);
    let mut actions = Vec::new();
    for event in events {
        controller.step(world.now(), event, &mut actions);
    }
    apply(world, actions);
}

/// Sets the shares that give the most work under the true pairs: full shares,
/// lowered in the order of harm for each core until each service is within the
/// limit.
fn know(world: &mut World) {
    let harms: Vec<[f64; 2]> = world.tasks.iter().map(|task| world.harm(task)).collect();
    let mut shares = vec![1.0; harms.len()];
    for service in 0..2 {
        let total: f64 = harms
            .iter()
            .zip(&shares)
            .map(|(harm, share)| harm[service] * share)
            .sum();
        let mut over = total - (LIMIT - 1.0);
        let mut order: Vec<usize> = (0..harms.len()).collect();
        let density = |index: &usize| harms[*index][service] / world.tasks[*index].cores as f64;
        order.sort_by(|a, b| density(b).total_cmp(&density(a)));
        for index in order {
            if over <= 0.0 {
                break;
            }
            let cut = (over / harms[index][service]).min(shares[index]);
            shares[index] -= cut;
            over -= cut * harms[index][service];
        }
    }
    for (task, share) in world.tasks.iter_mut().zip(shares) {
        task.share = share;
    }
}

/// Compares the newest late report with the latency at the start of the run.
fn threshold(world: &mut World, late: &Late) {
    let over = late.reports.iter().enumerate().any(|(index, report)| {
        let alone = world::alone_ms(index, report.load);
        report.latency_ms > alone * LIMIT
    });
    for task in &mut world.tasks {
        task.share = match over {
            true => (task.share / 2.0).max(0.05),
            false => (task.share + 0.05).min(1.0),
        };
    }
}
