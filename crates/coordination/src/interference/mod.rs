//! Learns how much batch tasks slow down each service, and throttles them.
//!
//! [`Model`] relates the latency of a service to its load and to the kinds of
//! batch tasks that ran at the time. It learns from reports that arrive about
//! 10 s late. [`Controller`] plans shares from the model and the shares that
//! are in force. It never reacts to a delayed report alone, so it does not
//! repeat a change whose effect the reports do not show yet. See
//! `docs/design.md`, section 11.

mod controller;
mod filter;
mod history;
mod model;
mod monitor;
mod plan;

use {
    crate::{attempt::Attempt, worker},
    filbertbend_state::{
        id,
        time::Instant,
        unit::{Cores, Millis, Share},
    },
};

pub use {
    controller::Controller,
    model::{Estimate, Model},
};

/// Settings of a [`Controller`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The total processor time of the worker.
    pub cores: Cores,
    /// The highest planned slowdown of a service, as a factor on its latency.
    pub max_slowdown: f64,
    /// The margin added to each learned strength, in standard deviations.
    pub safety_margin: f64,
    /// How widely strengths are sampled around their mean, in standard
    /// deviations. As in Thompson sampling, planning with sampled strengths
    /// tries uncertain kinds now and then, and less often as they become
    /// certain.
    pub exploration: f64,
    /// How often strengths are sampled again.
    pub resample_interval: Millis,
    /// How often all tasks are throttled to the floor for one window while the
    /// baseline latency of a service is uncertain. Such a probe measures the
    /// services nearly without interference.
    pub probe_interval: Millis,
    /// The standard deviation of the logarithm of a baseline latency above which
    /// probes are made.
    pub probe_threshold: f64,
    /// The smallest share that a task is throttled to. A task without progress
    /// would teach nothing and might as well be evicted.
    pub floor: Share,
    /// The largest increase of a share per second.
    pub max_rise: f64,
    /// The smallest change of a share for which a command is sent.
    pub min_step: f64,
    /// How long the planned slowdown of a service must stay above the limit with
    /// all tasks at the floor before one is evicted. It must exceed the delay
    /// of the reports.
    pub eviction_delay: Millis,
    /// The cost of a restart, as run time lost in addition to the work since the
    /// last checkpoint.
    pub restart_cost: Millis,
}

impl Settings {
    /// Returns the default settings for a worker with `cores`.
    pub fn new(cores: Cores) -> Self {
        Self {
            cores,
            max_slowdown: 1.1,
            safety_margin: 0.0,
            exploration: 0.5,
            resample_interval: Millis::from_secs(20),
            probe_interval: Millis::from_secs(180),
            probe_threshold: 0.006,
            floor: Share::new(20),
            max_rise: 0.5,
            min_step: 0.02,
            eviction_delay: Millis::from_secs(15),
            restart_cost: Millis::from_secs(30),
        }
    }
}

/// A batch task that may be throttled or evicted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task {
    /// The running attempt of the task.
    pub attempt: Attempt,
    /// The batch kind: the service that its job belongs to.
    pub kind: id::Service,
    /// The processor time that it uses unthrottled.
    pub cores: Cores,
    /// When it started or last completed a checkpoint. An eviction loses the
    /// work since then.
    pub progress_at: Instant,
}

/// The latency of one service over one interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The service that answered the requests.
    pub service: id::Service,
    /// The start of the interval.
    pub from: Instant,
    /// The load of the service from 0 to 1, as a fraction of the endpoint's
    /// slots.
    pub load: f64,
    /// The geometric mean of the latencies in milliseconds. It varies less than a
    /// high quantile and grows by the same factor.
    pub latency_ms: f64,
    /// How many requests were observed.
    pub requests: u32,
}

impl Observation {
    /// Returns whether it holds a valid latency and load. An interval without
    /// requests has no latency.
    pub(crate) fn is_usable(&self) -> bool {
        self.requests > 0
            && self.latency_ms.is_finite()
            && self.latency_ms > 0.0
            && self.load.is_finite()
    }
}

/// An input of the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete list of the batch tasks that run now.
    Tasks(Vec<Task>),
    /// Latencies that the endpoint measured over the last second.
    Latency(Observation),
    /// Latencies over an earlier second, reported with a delay.
    DelayedLatency(Observation),
    /// Usage of tasks over an earlier second, reported with a delay.
    Usage(Vec<worker::Usage>),
    /// One second has passed.
    Tick,
}

/// A command of the controller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Throttle a task.
    Throttle {
        /// The attempt to throttle.
        attempt: Attempt,
        /// The share of its size that it may use.
        share: Share,
    },
    /// Take a checkpoint of a task and stop it, because throttling is not
    /// enough.
    Evict(Attempt),
}
