//! Tests of the interference controller against a simulated service beside batch
//! tasks.

use {
    filbertbend_coordination::{
        attempt::Attempt,
        interference::{Action, Controller, Event, Observation, Settings, Task},
        worker::Usage,
    },
    filbertbend_standin::worker::Interference,
    filbertbend_state::{
        id,
        room::Room,
        time::Instant,
        unit::{Cores, Millis, Share},
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, VecDeque},
};

const BASELINE_MS: f64 = 20.0;
const LOAD: f64 = 0.8;
const LAG_SECS: usize = 10;

fn name(text: &str) -> id::Service {
    id::Service::new(text).unwrap()
}

fn attempt(index: u32) -> Attempt {
    Attempt {
        task: id::Task {
            job: "01J00000000000000000000001".parse().unwrap(),
            index,
        },
        number: id::Attempt(1),
    }
}

fn task(index: u32, kind: &str, progress_at: Instant) -> Task {
    Task {
        attempt: attempt(index),
        kind: name(kind),
        cores: Cores(16_000),
        progress_at,
    }
}

/// Simulates one service and a few batch tasks on 64 cores. Usage is reported 10 s
/// late.
struct Simulation {
    now: Instant,
    controller: Controller,
    pairs: Interference,
    tasks: Vec<Task>,
    shares: BTreeMap<Attempt, f64>,
    delayed_usage: VecDeque<Vec<Usage>>,
    /// A factor on the service's latency that is not caused by batch tasks.
    disturbance: f64,
    actions_taken: Vec<Action>,
}

impl Simulation {
    fn new(tasks: Vec<Task>) -> Self {
        let settings = Settings::new(Cores(64_000));
        Self {
            now: Instant(1_000_000),
            controller: Controller::new(settings, ChaCha8Rng::seed_from_u64(3)),
            pairs: Interference::new().with(name("check"), name("noisy"), 1.5),
            tasks,
            shares: BTreeMap::new(),
            delayed_usage: VecDeque::new(),
            disturbance: 1.0,
            actions_taken: Vec::new(),
        }
    }

    fn slowdown(&self) -> f64 {
        let used = self.tasks.iter().map(|task| {
            let share = self.shares.get(&task.attempt).copied().unwrap_or(1.0);
            (&task.kind, share * task.cores.0 as f64 / 64_000.0)
        });
        self.pairs.slowdown(&name("check"), LOAD, used)
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.step(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Throttle { attempt, share } => {
                    self.shares.insert(*attempt, share.fraction());
                }
                Action::Evict(attempt) => self.tasks.retain(|task| task.attempt != *attempt),
            }
        }
        self.actions_taken.extend(actions);
    }

    /// Simulates one second and returns the slowdown by batch tasks in it.
    fn step_second(&mut self) -> f64 {
        self.handle(Event::Tasks(self.tasks.clone()));
        let slowdown = self.slowdown();
        let observation = Observation {
            service: name("check"),
            from: self.now,
            load: LOAD,
            latency_ms: BASELINE_MS * slowdown * self.disturbance,
            requests: 100,
        };
        let usage = self.tasks.iter().map(|task| Usage {
            attempt: task.attempt,
            from: self.now,
            span: Millis(1000),
            peak: Room {
                cores: task.cores,
                ..Room::NONE
            },
            speed: Share::of(self.shares[&task.attempt]),
        });
        self.delayed_usage.push_back(usage.collect());
        self.now = self.now + Millis(1000);
        self.handle(Event::Latency(observation));
        if self.delayed_usage.len() > LAG_SECS {
            let usage = self.delayed_usage.pop_front().unwrap();
            self.handle(Event::Usage(usage));
        }
        self.handle(Event::Tick);
        slowdown
    }

    fn run(&mut self, secs: usize) -> Vec<f64> {
        (0..secs).map(|_| self.step_second()).collect()
    }

    fn evicted(&self) -> Vec<Attempt> {
        self.actions_taken
            .iter()
            .filter_map(|action| match action {
                Action::Evict(attempt) => Some(*attempt),
                Action::Throttle { .. } => None,
            })
            .collect()
    }
}

fn start() -> Instant {
    Instant(1_000_000)
}

#[test]
fn harmless_kind_is_not_throttled_with_a_noisy_one() {
    let mut sim = Simulation::new(vec![task(1, "quiet", start()), task(2, "noisy", start())]);

    sim.run(900);
    let slowdowns = sim.run(300);

    assert!(sim.shares[&attempt(1)] > 0.95, "{:?}", sim.shares);
    assert!(sim.shares[&attempt(2)] < 0.6, "{:?}", sim.shares);
    let mean = slowdowns.iter().sum::<f64>() / 300.0;
    assert!((1.05..1.11).contains(&mean), "{mean}");
}

#[test]
fn learned_strength_comes_with_an_uncertainty_that_shrinks() {
    let mut sim = Simulation::new(vec![task(1, "quiet", start()), task(2, "noisy", start())]);
    let strength = |sim: &Simulation| {
        let model = sim.controller.model();
        model.strength(&name("check"), &name("noisy"), LOAD)
    };
    let before = strength(&sim);

    sim.run(1800);

    let after = strength(&sim);
    let truth = 1.5 * Interference::weight(LOAD);
    assert!(after.deviation < before.deviation / 3.0, "{after:?}");
    assert!(
        (after.mean - truth).abs() < 0.25 * truth,
        "{after:?} {truth}"
    );
}

#[test]
fn reports_that_lag_behind_a_change_cause_no_oscillation() {
    let mut sim = Simulation::new(vec![task(2, "noisy", start())]);
    sim.run(900);
    sim.tasks.push(task(3, "noisy", sim.now));
    sim.run(10);

    let slowdowns = sim.run(170);

    // Probes and new samples vary the shares on purpose, but by less than a
    // controller that reacts to each delayed report would.
    let highest = slowdowns.iter().copied().fold(0.0, f64::max);
    let settled = slowdowns
        .iter()
        .filter(|s| (1.06..1.13).contains(*s))
        .count();
    assert!(highest < 1.16, "{highest}");
    assert!(settled >= 155, "{settled} of 170: {slowdowns:?}");
}

#[test]
fn latencies_of_the_endpoint_throttle_at_once() {
    let mut sim = Simulation::new(vec![task(2, "noisy", start())]);
    sim.run(900);
    let before = sim.shares[&attempt(2)];

    sim.disturbance = 1.3;
    sim.run(3);

    let after = sim.shares[&attempt(2)];
    assert!(after < before / 2.0, "{before} to {after}");
}

#[test]
fn task_is_throttled_to_the_floor_before_one_is_evicted() {
    let mut sim = Simulation::new(vec![task(2, "noisy", start())]);
    sim.run(900);
    sim.disturbance = 1.5;

    sim.run(14);
    assert_eq!(sim.evicted(), []);
    let floor = Settings::new(Cores(0)).floor.fraction();
    assert_eq!(sim.shares[&attempt(2)], floor);
    sim.run(30);

    assert_eq!(sim.evicted(), [attempt(2)]);
}

#[test]
fn eviction_takes_the_task_that_loses_least() {
    let checkpointed_long_ago = task(2, "noisy", start());
    let mut sim = Simulation::new(vec![checkpointed_long_ago, task(3, "noisy", start())]);
    sim.run(900);
    sim.tasks[1].progress_at = sim.now;
    sim.disturbance = 1.5;

    sim.run(30);

    assert_eq!(sim.evicted().first(), Some(&attempt(3)));
}

#[test]
fn quiet_kind_is_not_evicted_because_of_a_noisy_one() {
    let mut sim = Simulation::new(vec![task(1, "quiet", start()), task(2, "noisy", start())]);
    sim.run(1800);
    sim.tasks[0].progress_at = sim.now;
    sim.disturbance = 1.5;

    sim.run(30);

    assert_eq!(sim.evicted().first(), Some(&attempt(2)));
}

#[test]
fn new_task_starts_at_the_floor_until_its_slowdown_is_planned() {
    let mut sim = Simulation::new(vec![task(2, "noisy", start())]);

    sim.handle(Event::Tasks(sim.tasks.clone()));

    let attempt = attempt(2);
    let share = Settings::new(Cores(0)).floor;
    assert_eq!(sim.actions_taken, [Action::Throttle { attempt, share }]);
}

#[test]
fn new_task_of_a_kind_known_as_harmless_is_not_left_at_the_floor() {
    let mut sim = Simulation::new(vec![task(1, "quiet", start())]);
    sim.run(900);
    sim.tasks.push(task(4, "quiet", sim.now));

    sim.run(5);

    assert!(sim.shares[&attempt(4)] > 0.95, "{:?}", sim.shares);
}

#[test]
fn recovery_from_a_disturbance_does_not_oscillate() {
    let mut sim = Simulation::new(vec![task(2, "noisy", start())]);
    sim.run(900);
    sim.disturbance = 1.3;
    sim.run(12);
    sim.disturbance = 1.0;

    let slowdowns = sim.run(60);

    let steady = |slowdown: &f64| (1.05..1.13).contains(slowdown);
    assert!(slowdowns[15..].iter().all(steady), "{slowdowns:?}");
}

#[test]
fn end_of_a_task_is_not_taken_for_slack() {
    let mut sim = Simulation::new(vec![task(2, "noisy", start())]);
    sim.run(900);
    sim.tasks.clear();
    sim.run(9);
    sim.tasks.push(task(3, "noisy", sim.now));

    let slowdowns = sim.run(30);

    let highest = slowdowns.iter().copied().fold(0.0, f64::max);
    assert!(highest < 1.13, "{highest}");
}

#[test]
fn idle_service_does_not_throttle_batch_tasks() {
    let mut sim = Simulation::new(vec![task(2, "noisy", start())]);
    sim.run(900);
    let idle = Observation {
        service: name("check"),
        from: sim.now,
        load: 0.0,
        latency_ms: 0.0,
        requests: 0,
    };
    sim.handle(Event::Latency(idle));
    sim.now = sim.now + Millis(5000);

    sim.handle(Event::Tick);

    assert!(sim.shares[&attempt(2)] > 0.95, "{:?}", sim.shares);
}

#[test]
fn service_without_requests_does_not_disturb_the_controller() {
    let mut sim = Simulation::new(vec![task(2, "noisy", start())]);
    sim.run(900);
    for latency_ms in [0.0, f64::NAN] {
        let silent = Observation {
            service: name("check"),
            from: sim.now,
            load: LOAD,
            latency_ms,
            requests: 0,
        };
        sim.handle(Event::Latency(silent.clone()));
        sim.handle(Event::DelayedLatency(silent));
    }
    let slowdowns = sim.run(30);

    let steady = |slowdown: &f64| (1.05..1.13).contains(slowdown);
    assert!(slowdowns.iter().all(steady), "{slowdowns:?}");
}
