//! Failures that the control of interference must withstand.

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

const ALONE_MS: f64 = 20.0;
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

fn task(index: u32, kind: &str, saved_at: Instant) -> Task {
    Task {
        attempt: attempt(index),
        kind: name(kind),
        cores: Cores(16_000),
        saved_at,
    }
}

/// One service and a few tasks on 64 cores; usage arrives 10 s late.
struct Site {
    now: Instant,
    controller: Controller,
    pairs: Interference,
    tasks: Vec<Task>,
    shares: BTreeMap<Attempt, f64>,
    late: VecDeque<Vec<Usage>>,
    /// A factor on the service's latency that no batch task causes.
    disturbance: f64,
    log: Vec<Action>,
}

impl Site {
    fn new(tasks: Vec<Task>) -> Self {
        let settings = Settings::new(Cores(64_000));
        Self {
            now: Instant(1_000_000),
            controller: Controller::new(settings, ChaCha8Rng::seed_from_u64(3)),
            pairs: Interference::new().with(name("check"), name("noisy"), 1.5),
            tasks,
            shares: BTreeMap::new(),
            late: VecDeque::new(),
            disturbance: 1.0,
            log: Vec::new(),
        }
    }

    fn slowdown(&self) -> f64 {
        let used = self.tasks.iter().map(|task| {
            let share = self.shares.get(&task.attempt).copied().unwrap_or(1.0);
            (&task.kind, share * task.cores.0 as f64 / 64_000.0)
        });
        self.pairs.slowdown(&name("check"), LOAD, used)
    }

    fn tell(&mut self, event: Event) {
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
        self.log.extend(actions);
    }

    /// Lets one second pass and returns the slowdown by batch tasks in it.
    fn second(&mut self) -> f64 {
        self.tell(Event::Tasks(self.tasks.clone()));
        let slowdown = self.slowdown();
        let observation = Observation {
            service: name("check"),
            from: self.now,
            load: LOAD,
            latency_ms: ALONE_MS * slowdown * self.disturbance,
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
        self.late.push_back(usage.collect());
        self.now = self.now + Millis(1000);
        self.tell(Event::Latency(observation));
        if self.late.len() > LAG_SECS {
            let usage = self.late.pop_front().unwrap();
            self.tell(Event::Usage(usage));
        }
        self.tell(Event::Tick);
        slowdown
    }

    fn run(&mut self, secs: usize) -> Vec<f64> {
        (0..secs).map(|_| self.second()).collect()
    }

    fn evicted(&self) -> Vec<Attempt> {
        self.log
            .iter()
            .filter_map(|action| match action {
                Action::Evict(attempt) => Some(*attempt),
                Action::Throttle { .. } => None,
            })
            .collect()
    }
}

fn now() -> Instant {
    Instant(1_000_000)
}

#[test]
fn harmless_kind_is_not_held_back_with_a_noisy_one() {
    let mut site = Site::new(vec![task(1, "quiet", now()), task(2, "noisy", now())]);

    site.run(900);
    let slowdowns = site.run(300);

    assert!(site.shares[&attempt(1)] > 0.95, "{:?}", site.shares);
    assert!(site.shares[&attempt(2)] < 0.6, "{:?}", site.shares);
    let mean = slowdowns.iter().sum::<f64>() / 300.0;
    assert!((1.05..1.11).contains(&mean), "{mean}");
}

#[test]
fn learned_strength_comes_with_an_uncertainty_that_shrinks() {
    let mut site = Site::new(vec![task(1, "quiet", now()), task(2, "noisy", now())]);
    let strength = |site: &Site| {
        let model = site.controller.model();
        model.strength(&name("check"), &name("noisy"), LOAD)
    };
    let before = strength(&site);

    site.run(1800);

    let after = strength(&site);
    let truth = 1.5 * Interference::weight(LOAD);
    assert!(after.deviation < before.deviation / 3.0, "{after:?}");
    assert!(
        (after.mean - truth).abs() < 0.25 * truth,
        "{after:?} {truth}"
    );
}

#[test]
fn reports_that_lag_behind_a_change_cause_no_oscillation() {
    let mut site = Site::new(vec![task(2, "noisy", now())]);
    site.run(900);
    site.tasks.push(task(3, "noisy", site.now));
    site.run(10);

    let slowdowns = site.run(170);

    // Probes and redraws vary the shares on purpose, but never as far as a
    // loop that answers each late report anew would.
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
    let mut site = Site::new(vec![task(2, "noisy", now())]);
    site.run(900);
    let before = site.shares[&attempt(2)];

    site.disturbance = 1.3;
    site.run(3);

    let after = site.shares[&attempt(2)];
    assert!(after < before / 2.0, "{before} to {after}");
}

#[test]
fn task_is_throttled_to_the_floor_before_one_is_evicted() {
    let mut site = Site::new(vec![task(2, "noisy", now())]);
    site.run(900);
    site.disturbance = 1.5;

    site.run(14);
    assert_eq!(site.evicted(), []);
    let floor = Settings::new(Cores(0)).floor.fraction();
    assert_eq!(site.shares[&attempt(2)], floor);
    site.run(30);

    assert_eq!(site.evicted(), [attempt(2)]);
}

#[test]
fn eviction_takes_the_task_that_loses_least() {
    let saved_long_ago = task(2, "noisy", now());
    let mut site = Site::new(vec![saved_long_ago, task(3, "noisy", now())]);
    site.run(900);
    site.tasks[1].saved_at = site.now;
    site.disturbance = 1.5;

    site.run(30);

    assert_eq!(site.evicted().first(), Some(&attempt(3)));
}

#[test]
fn quiet_kind_is_not_evicted_for_what_a_noisy_one_does() {
    let mut site = Site::new(vec![task(1, "quiet", now()), task(2, "noisy", now())]);
    site.run(1800);
    site.tasks[0].saved_at = site.now;
    site.disturbance = 1.5;

    site.run(30);

    assert_eq!(site.evicted().first(), Some(&attempt(2)));
}

#[test]
fn new_task_starts_at_the_floor_until_its_harm_is_weighed() {
    let mut site = Site::new(vec![task(2, "noisy", now())]);

    site.tell(Event::Tasks(site.tasks.clone()));

    let attempt = attempt(2);
    let share = Settings::new(Cores(0)).floor;
    assert_eq!(site.log, [Action::Throttle { attempt, share }]);
}

#[test]
fn new_task_of_a_kind_known_as_harmless_is_not_left_at_the_floor() {
    let mut site = Site::new(vec![task(1, "quiet", now())]);
    site.run(900);
    site.tasks.push(task(4, "quiet", site.now));

    site.run(5);

    assert!(site.shares[&attempt(4)] > 0.95, "{:?}", site.shares);
}

#[test]
fn recovery_from_a_disturbance_does_not_oscillate() {
    let mut site = Site::new(vec![task(2, "noisy", now())]);
    site.run(900);
    site.disturbance = 1.3;
    site.run(12);
    site.disturbance = 1.0;

    let slowdowns = site.run(60);

    let steady = |slowdown: &f64| (1.05..1.13).contains(slowdown);
    assert!(slowdowns[15..].iter().all(steady), "{slowdowns:?}");
}

#[test]
fn end_of_a_task_is_not_taken_for_slack() {
    let mut site = Site::new(vec![task(2, "noisy", now())]);
    site.run(900);
    site.tasks.clear();
    site.run(9);
    site.tasks.push(task(3, "noisy", site.now));

    let slowdowns = site.run(30);

    let highest = slowdowns.iter().copied().fold(0.0, f64::max);
    assert!(highest < 1.13, "{highest}");
}

#[test]
fn idle_service_does_not_hold_batch_back() {
    let mut site = Site::new(vec![task(2, "noisy", now())]);
    site.run(900);
    let idle = Observation {
        service: name("check"),
        from: site.now,
        load: 0.0,
        latency_ms: 0.0,
        requests: 0,
    };
    site.tell(Event::Latency(idle));
    site.now = site.now + Millis(5000);

    site.tell(Event::Tick);

    assert!(site.shares[&attempt(2)] > 0.95, "{:?}", site.shares);
}

#[test]
fn service_without_requests_does_not_disturb_the_control() {
    let mut site = Site::new(vec![task(2, "noisy", now())]);
    site.run(900);
    for latency_ms in [0.0, f64::NAN] {
        let silent = Observation {
            service: name("check"),
            from: site.now,
            load: LOAD,
            latency_ms,
            requests: 0,
        };
        site.tell(Event::Latency(silent.clone()));
        site.tell(Event::Report(silent));
    }
    let slowdowns = site.run(30);

    let steady = |slowdown: &f64| (1.05..1.13).contains(slowdown);
    assert!(slowdowns.iter().all(steady), "{slowdowns:?}");
}
