//! Throttling of best-effort tasks beside a service whose latency follows a
//! queueing model.

use {
    filbertbend_state::{
        time::Instant,
        unit::{Cores, Millis},
    },
    filbertbend_workload::{
        id::{Job, Run, Task},
        message::Role,
        throttle::Controller,
        worker::Running,
    },
    std::collections::BTreeMap,
};

/// The latency of the service without load, in milliseconds.
const FLOOR_MS: f64 = 10.0;
const TARGET: Millis = Millis(50);
/// The cores of the worker, in thousandths.
const WHOLE: Cores = Cores(64_000);

fn task(number: u64) -> Task {
    Task {
        job: Job(number),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn best_effort(image: &str) -> Role {
    Role {
        image: Some(image.into()),
        best_effort: true,
        cores: Cores(8000),
        ..Role::default()
    }
}

fn service() -> Role {
    Role {
        image: Some("service".into()),
        latency_target: Some(TARGET),
        ..Role::default()
    }
}

/// A worker with one service and best-effort tasks, each with the utilisation
/// that ten of the worker's cores add.
struct Harness {
    controller: Controller,
    now: Instant,
    load: f64,
    best_effort_tasks: Vec<(Task, f64, Role)>,
    shares: BTreeMap<Task, f64>,
    over_ms: u64,
}

impl Harness {
    fn new(load: f64, best_effort_tasks: &[(&str, f64)]) -> Self {
        let best_effort_tasks: Vec<(Task, f64, Role)> = (1..)
            .zip(best_effort_tasks)
            .map(|(number, (image, weight))| (task(number), *weight, best_effort(image)))
            .collect();
        Self {
            controller: Controller::default(),
            now: Instant(1000),
            load,
            shares: best_effort_tasks
                .iter()
                .map(|(task, ..)| (*task, 1.0))
                .collect(),
            best_effort_tasks,
            over_ms: 0,
        }
    }

    fn latency(&self) -> f64 {
        let added: f64 = self
            .best_effort_tasks
            .iter()
            .map(|(task, weight, _)| weight * 0.8 * self.shares[task])
            .sum();
        FLOOR_MS / (1.0 - (self.load + added).min(0.98))
    }

    /// Advances the clock by half a second and processes one snapshot.
    fn pass(&mut self) {
        self.now = self.now + Millis(500);
        let latency = self.latency();
        if latency > TARGET.0 as f64 {
            self.over_ms += 500;
        }
        let row = |task, percent, measurement| Running {
            task,
            run: Run(1),
            checkpoint: None,
            percent,
            measurement,
        };
        let mut running = vec![row(task(0), 100, latency as u64)];
        let mut roles = BTreeMap::from([((task(0), Run(1)), service())]);
        for (task, _, role) in &self.best_effort_tasks {
            let used = (role.cores.0 as f64 * self.shares[task]) as u64;
            running.push(row(*task, 10, used));
            roles.insert((*task, Run(1)), role.clone());
        }
        for change in self.controller.update(self.now, WHOLE, &running, &roles) {
            let share = f64::from(change.percent) / 100.0;
            self.shares.insert(change.task, share);
        }
    }
}

/// Guards against a service that stays over its target because of the
/// best-effort tasks beside it.
#[test]
fn service_comes_back_within_its_target() {
    let mut harness = Harness::new(0.5, &[("a", 0.5), ("b", 0.5), ("c", 0.5)]);

    for _ in 0..20 {
        harness.pass();
    }

    assert!(
        harness.latency() <= TARGET.0 as f64,
        "{}",
        harness.latency()
    );
    assert!(
        harness.over_ms < 4000,
        "{} ms over its target",
        harness.over_ms
    );
}

/// Guards against throttling best-effort tasks that disturb no service.
#[test]
fn harmless_tasks_keep_their_full_share() {
    let mut harness = Harness::new(0.4, &[("harmless", 0.01), ("harmful", 0.6)]);

    for _ in 0..40 {
        harness.pass();
    }

    let shares: Vec<f64> = harness.shares.values().copied().collect();
    assert!(shares[0] > 0.99, "{shares:?}");
    assert!(shares[1] < 0.8, "{shares:?}");
    assert!(
        harness.latency() <= TARGET.0 as f64,
        "{}",
        harness.latency()
    );
}

/// Guards against best-effort tasks that stay throttled after the load has
/// fallen.
#[test]
fn throttled_tasks_recover_when_the_load_falls() {
    let mut harness = Harness::new(0.75, &[("a", 0.3)]);
    for _ in 0..10 {
        harness.pass();
    }
    assert!(harness.shares[&task(1)] < 0.5, "{:?}", harness.shares);

    harness.load = 0.2;
    for _ in 0..10 {
        harness.pass();
    }

    assert!(harness.shares[&task(1)] > 0.9, "{:?}", harness.shares);
}

/// Returns a worker whose best-effort task was fully throttled a moment ago, and
/// the change is without an answer.
fn throttled() -> Harness {
    let mut harness = Harness::new(0.95, &[("a", 0.5)]);
    harness.pass();
    assert_eq!(harness.shares[&task(1)], 0.0);
    harness
}

/// Guards against a task that isn't reported as starved because sessions end
/// before it has been throttled for long enough.
#[test]
fn time_of_full_throttling_begins_anew_with_a_session() {
    let mut harness = throttled();

    for _ in 0..4 {
        harness.controller.end_session();
        harness.pass();
    }

    assert_eq!(harness.controller.starved(harness.now), [task(1)]);
}

/// Guards against a service that is over its target again because the limit on
/// rises is lost with the session.
#[test]
fn share_rises_at_once_after_a_session() {
    let mut harness = throttled();

    harness.load = 0.1;
    harness.controller.end_session();
    harness.pass();

    let share = harness.shares[&task(1)];
    assert!(share > 0.0 && share <= 0.25, "{share}");
}
