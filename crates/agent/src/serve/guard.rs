//! Keeps the endpoint fast beside batch tasks: gathers its latencies second by
//! second and passes what the interference controller decides on.

use {
    filbertbend_coordination::{
        executor::Task,
        interference::{self, Action, Controller, Event, Observation, Settings},
        worker::Usage,
    },
    filbertbend_state::{
        id,
        time::Instant,
        unit::{Cores, Millis, Slots},
    },
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// The interval that one observation covers.
const INTERVAL: Millis = Millis::from_secs(1);
/// Latencies below this are counted as this, since their logarithm would
/// otherwise outweigh all others.
const SHORTEST_MS: f64 = 0.01;

/// Latencies of one service within the interval.
#[derive(Clone, Copy, Debug, Default)]
struct Latencies {
    sum_of_logs: f64,
    sum_ms: f64,
    count: u32,
}

/// The controller with what it is told once a second.
pub(crate) struct Guard {
    controller: Controller,
    slots: Slots,
    from: Instant,
    latencies: BTreeMap<id::Service, Latencies>,
}

impl Guard {
    /// Makes a guard for a worker with `cores` and an endpoint with `slots`.
    pub(crate) fn new(cores: Cores, slots: Slots, rng: ChaCha8Rng) -> Self {
        Self {
            controller: Controller::new(Settings::new(cores), rng),
            slots,
            from: Instant::default(),
            latencies: BTreeMap::new(),
        }
    }

    /// Adds the latency of one request.
    pub(crate) fn served(&mut self, service: id::Service, elapsed: Duration) {
        let ms = (elapsed.as_secs_f64() * 1000.0).max(SHORTEST_MS);
        let latencies = self.latencies.entry(service).or_default();
        latencies.sum_of_logs += ms.ln();
        latencies.sum_ms += ms;
        latencies.count += 1;
    }

    /// Passes late usage on.
    pub(crate) fn usage(&mut self, now: Instant, usage: Vec<Usage>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.step(now, Event::Usage(usage), &mut actions);
        actions
    }

    /// Tells the controller about the interval that has passed, if one has.
    pub(crate) fn tick(&mut self, now: Instant, tasks: impl FnOnce() -> Vec<Task>) -> Vec<Action> {
        if now.since(self.from) < INTERVAL {
            return Vec::new();
        }
        let mut actions = Vec::new();
        let span = now.since(self.from);
        for (service, latencies) in std::mem::take(&mut self.latencies) {
            let observation = self.observation(service, latencies, span);
            self.controller
                .step(now, Event::Latency(observation), &mut actions);
        }
        self.from = now;
        let tasks = tasks().into_iter().map(controlled).collect();
        self.controller.step(now, Event::Tasks(tasks), &mut actions);
        self.controller.step(now, Event::Tick, &mut actions);
        actions
    }

    fn observation(&self, service: id::Service, of: Latencies, span: Millis) -> Observation {
        let slots_ms = f64::from(self.slots.0.max(1)) * span.0.max(1) as f64;
        Observation {
            service,
            from: self.from,
            load: (of.sum_ms / slots_ms).min(1.0),
            latency_ms: (of.sum_of_logs / f64::from(of.count)).exp(),
            requests: of.count,
        }
    }
}

fn controlled(task: Task) -> interference::Task {
    interference::Task {
        attempt: task.attempt,
        kind: task.service,
        cores: task.size.cores,
        progress_at: task.checkpointed.unwrap_or(task.since),
    }
}
