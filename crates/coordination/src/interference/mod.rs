//! Learns how much batch tasks slow a service and controls them.
//!
//! [`Model`] relates a service's latency to its load and to the batch kinds
//! that ran at the time, from reports that arrive about 10 s late.
//! [`Controller`] plans throttle shares from the model and from the shares that
//! are in force now. It never steers by a late report alone, so a change that
//! is not visible in the reports yet is not made twice. See
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

/// Targets and times of a [`Controller`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The worker's cores.
    pub cores: Cores,
    /// The highest factor on a service's latency that is planned for.
    pub max_slowdown: f64,
    /// How many standard deviations of the learned slowdown are added to it.
    pub safety_margin: f64,
    /// How widely strengths are drawn around what is expected, in standard
    /// deviations. Planning with drawn strengths tries uncertain kinds now and
    /// then, and stops doing so as they become certain.
    pub exploration: f64,
    /// How often strengths are drawn anew.
    pub resample_interval: Millis,
    /// How often all tasks are held to the floor for one window, to see the
    /// services nearly alone, while their latency alone is uncertain.
    pub probe_interval: Millis,
    /// How uncertain the latency alone may be without a probe, as a part.
    pub probe_threshold: f64,
    /// The smallest share that a task is throttled to; a task without any
    /// progress would teach nothing and could as well be evicted.
    pub floor: Share,
    /// The largest rise of a share in one second.
    pub max_rise: f64,
    /// The smallest change of a share that is worth a command.
    pub min_step: f64,
    /// How long a service must stay over the limit, with all tasks at the
    /// floor, before one is evicted. Longer than the lag of the reports.
    pub eviction_delay: Millis,
    /// The work that a restart costs, added to the work since a checkpoint.
    pub restart_cost: Millis,
}

impl Settings {
    /// Returns the settings for a worker with this many cores.
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
    /// The attempt.
    pub attempt: Attempt,
    /// The kind of its load: the service that its job belongs to.
    pub kind: id::Service,
    /// The cores that it takes unthrottled.
    pub cores: Cores,
    /// The time since which its work would be lost.
    pub progress_at: Instant,
}

/// The latency of one service over one interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The service.
    pub service: id::Service,
    /// The start of the interval.
    pub from: Instant,
    /// The service's load, from 0 to 1, as a part of the endpoint's slots.
    pub load: f64,
    /// The geometric mean of the latencies in milliseconds, which is steadier
    /// than a high quantile and grows by the same factor.
    pub latency_ms: f64,
    /// How many requests it covers.
    pub requests: u32,
}

impl Observation {
    /// Tells whether anything can be learned from it: a second without requests
    /// has no latency.
    pub(crate) fn is_usable(&self) -> bool {
        self.requests > 0
            && self.latency_ms.is_finite()
            && self.latency_ms > 0.0
            && self.load.is_finite()
    }
}

/// What the controller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The batch tasks that run now.
    Tasks(Vec<Task>),
    /// The endpoint's own latencies over the second that has just passed.
    Latency(Observation),
    /// Latencies that were reported late, over one second.
    DelayedLatency(Observation),
    /// Usage of tasks, late, over one second.
    Usage(Vec<worker::Usage>),
    /// A second has passed.
    Tick,
}

/// What the controller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Holds a task to a share of its room.
    Throttle {
        /// The attempt.
        attempt: Attempt,
        /// The share.
        share: Share,
    },
    /// Takes a checkpoint of a task and stops it, because throttling does not
    /// suffice.
    Evict(Attempt),
}
