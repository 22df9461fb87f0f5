//! Estimates how much best-effort tasks slow services down, for each pair of
//! images.
//!
//! The latency of a service rises with its utilisation as in a queue: `latency
//! = base / (1 - utilisation)`. The utilisation is that of the service's own
//! load plus, for each image of best-effort tasks, a weight times the fraction
//! of the worker that they use. All replicas of a service share its load, so
//! differences between them at one time come from best-effort tasks, and
//! changes that all of them see come from the load.
//!
//! [`Model`] estimates loads and weights jointly for the services of one image.
//! The leader learns from the readings of all workers, uses the model for
//! placement and sends the weights to the agents; each agent goes on learning
//! from its own readings.

mod filter;

use {
    crate::id::{Job, Task},
    filbertbend_state::{time::Instant, unit::Millis},
    filter::{seconds, Filter, Prior},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// The fraction of its target latency up to which a service is planned.
const PLANNED_FRACTION: f64 = 0.85;
/// The assumed base latency of a service as a fraction of its target, until a
/// lower latency has been observed.
const BASE_LATENCY_FRACTION: f64 = 0.25;
/// The prior of the weight of a pair of images: most hardly interfere, and a
/// few interfere several times as much.
const WEIGHT_PRIOR: Prior = Prior {
    value: 0.35,
    deviation: 1.25,
    drift: 0.03,
    max: 4.0,
};
/// The prior of a service's own load, which fluctuates within seconds.
const LOAD_PRIOR: Prior = Prior {
    value: 0.5,
    deviation: 0.25,
    drift: 0.1,
    max: 1.0,
};
/// The standard deviation of a utilisation reading: the platform's measurements
/// are rough.
const READING_DEVIATION: f64 = 0.07;
/// The minimum time over which the slope of a load is measured.
const SLOPE_TIME: Millis = Millis(400);
/// The weight of the newest slope in the moving average.
const SLOPE_WEIGHT: f64 = 0.3;
/// How long the load of a service is kept after its last reading.
const LOAD_RETENTION: Millis = Millis(10_000);
/// The maximum number of services of one image whose loads are tracked: the
/// cost of a reading grows with the square. For further services only the prior
/// is known.
const LOAD_LIMIT: usize = 32;
/// A change of a weight is reported if it exceeds this value plus
/// [`RELATIVE_CHANGE`] times the weight.
const ABSOLUTE_CHANGE: f64 = 0.05;
const RELATIVE_CHANGE: f64 = 0.1;

/// The tasks of one step in one occurrence, which share the load of their
/// service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Replicas {
    job: Job,
    occurrence: u32,
    step: u16,
}

impl From<Task> for Replicas {
    fn from(task: Task) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

/// The estimated interference of one pair of images.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// The image of the service.
    pub service: Arc<str>,
    /// The image of the best-effort task.
    pub aggressor: Arc<str>,
    /// The utilisation that the best-effort task would add by using a whole
    /// worker.
    pub value: f32,
    /// The variance of the value.
    pub variance: f32,
}

/// The measurements of one worker over half a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// The tail latency of each task that serves users.
    pub latencies: Vec<(Task, Millis)>,
    /// The fraction of the worker that best-effort tasks used, by image.
    pub usage: Usage,
}

/// The fraction of a worker that best-effort tasks use, by image.
pub type Usage = BTreeMap<Arc<str>, f32>;

/// A service whose latency is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The tasks that share its load.
    pub replicas: Replicas,
    /// The image that the tasks run.
    pub image: Arc<str>,
    /// The tail latency target.
    pub target: Millis,
}

/// A parameter that is estimated for the services of one image.
#[derive(Clone, Debug, PartialEq)]
enum Parameter {
    /// The load of one service.
    Load(Replicas),
    /// The weight of an image of best-effort tasks.
    Weight(Arc<str>),
}

/// The trend of a load.
#[derive(Clone, Copy, Debug)]
struct Trend {
    /// The smoothed change of the load per second.
    slope: f64,
    /// The value and time from which the next slope is measured.
    from: (f64, Instant),
}

impl Trend {
    fn update(&mut self, now: Instant, value: f64) {
        let span = now.since(self.from.1);
        if span >= SLOPE_TIME {
            let slope = (value - self.from.0) / seconds(span);
            self.slope += SLOPE_WEIGHT * (slope - self.slope);
            self.from = (value, now);
        }
    }
}

/// The estimates for the services of one image.
#[derive(Clone, Debug, Default)]
struct ImageModel {
    /// The lowest observed latency, in milliseconds.
    base_latency: Option<f64>,
    filter: Filter<Parameter>,
    trends: BTreeMap<Replicas, Trend>,
    /// The weights as last reported.
    reported: BTreeMap<Arc<str>, f64>,
}

impl ImageModel {
    fn base_latency(&self, target: Millis) -> f64 {
        self.base_latency
            .unwrap_or(target.0.max(1) as f64 * BASE_LATENCY_FRACTION)
    }

    /// Returns the utilisation up to which a service is planned, near its
    /// target.
    fn planned_utilisation(&self, target: Millis) -> f64 {
        1.0 - (self.base_latency(target) / (target.0.max(1) as f64 * PLANNED_FRACTION)).min(1.0)
    }

    /// Estimates a service's utilisation from its latency, and lowers the base
    /// latency if the reading is lower.
    fn utilisation(&mut self, target: Millis, latency: Millis) -> f64 {
        let latency = latency.0.max(1) as f64;
        let base_latency = self.base_latency(target).min(latency);
        self.base_latency = Some(base_latency);
        1.0 - base_latency / latency
    }

    /// Returns the load of a service, extrapolated by `ahead` if it is rising.
    fn load(&self, replicas: Replicas, ahead: Millis) -> f64 {
        let load = self.filter.get(&Parameter::Load(replicas));
        let slope = self.trends.get(&replicas).map_or(0.0, |trend| trend.slope);
        load.map_or(LOAD_PRIOR.value, |(load, _)| load) + slope.max(0.0) * seconds(ahead)
    }
}

/// The interference model of all images of services.
#[derive(Clone, Debug, Default)]
pub struct Model {
    images: BTreeMap<Arc<str>, ImageModel>,
}

impl Model {
    /// Returns the utilisation that a best-effort task adds to a service by
    /// using `fraction` of their worker.
    pub fn cost(&self, service: &Arc<str>, aggressor: &Arc<str>, fraction: f64) -> f64 {
        let weight = self
            .images
            .get(service)
            .and_then(|image| image.filter.get(&Parameter::Weight(aggressor.clone())));
        weight.map_or(WEIGHT_PRIOR.value, |(weight, _)| weight) * fraction
    }

    /// Returns the utilisation that best-effort tasks may add to a service so
    /// that it stays within its target, with a rising load extrapolated by
    /// `ahead`.
    pub fn slack(&self, service: &Service, ahead: Millis) -> f64 {
        let unknown = ImageModel::default();
        let image = self.images.get(&service.image).unwrap_or(&unknown);
        image.planned_utilisation(service.target) - image.load(service.replicas, ahead)
    }

    /// Updates the estimates with the latency of one replica of a service and
    /// the usage of best-effort tasks on its worker.
    pub fn observe(&mut self, now: Instant, service: &Service, latency: Millis, usage: &Usage) {
        let image = self.images.entry(service.image.clone()).or_default();
        let utilisation = image.utilisation(service.target, latency);
        let replicas = service.replicas;
        if !image.trends.contains_key(&replicas) && image.trends.len() >= LOAD_LIMIT {
            return;
        }
        let weights =
            usage
                .iter()
                .filter(|(_, fraction)| **fraction > 0.0)
                .map(|(aggressor, fraction)| {
                    (
                        Parameter::Weight(aggressor.clone()),
                        WEIGHT_PRIOR,
                        f64::from(*fraction),
                    )
                });
        let load = (Parameter::Load(replicas), LOAD_PRIOR, 1.0);
        let sum = std::iter::once(load).chain(weights);
        image
            .filter
            .observe(now, sum, utilisation, READING_DEVIATION);
        let value = image.load(replicas, Millis::ZERO);
        let trend = image.trends.entry(replicas).or_insert(Trend {
            slope: 0.0,
            from: (value, now),
        });
        trend.update(now, value);
    }

    /// Removes the loads of services without recent readings.
    pub fn remove_stale_loads(&mut self, now: Instant) {
        for image in self.images.values_mut() {
            image.filter.retain(|name, last_read| match name {
                Parameter::Load(_) => now < last_read + LOAD_RETENTION,
                Parameter::Weight(_) => true,
            });
            let ImageModel { filter, trends, .. } = image;
            trends.retain(|replicas, _| filter.get(&Parameter::Load(*replicas)).is_some());
        }
    }

    /// Marks all weights as changed, for a recipient that knows none.
    pub fn reset_reported(&mut self) {
        for image in self.images.values_mut() {
            image.reported.clear();
        }
    }

    /// Returns the weights that have changed since they were last returned.
    pub fn changed_weights(&mut self) -> Vec<Weight> {
        let mut changed_weights = Vec::new();
        for (service, image) in &mut self.images {
            for (name, value) in image.filter.iter() {
                let Parameter::Weight(aggressor) = name else {
                    continue;
                };
                let known = image.reported.get(aggressor);
                if known.is_some_and(|reported| {
                    (value - reported).abs() < ABSOLUTE_CHANGE + RELATIVE_CHANGE * reported
                }) {
                    continue;
                }
                image.reported.insert(aggressor.clone(), value);
                let variance = image.filter.get(name).map_or(0.0, |(_, variance)| variance);
                changed_weights.push(Weight {
                    service: service.clone(),
                    aggressor: aggressor.clone(),
                    value: value as f32,
                    variance: variance as f32,
                });
            }
        }
        changed_weights
    }

    /// Takes over a weight from another process if its variance is lower.
    pub fn merge(&mut self, now: Instant, weight: &Weight) {
        let image = self.images.entry(weight.service.clone()).or_default();
        let name = Parameter::Weight(weight.aggressor.clone());
        let (value, variance) = (f64::from(weight.value), f64::from(weight.variance));
        let known = image
            .filter
            .get(&name)
            .map_or(WEIGHT_PRIOR.deviation.powi(2), |(_, known)| known);
        if value.is_finite() && variance < known {
            image.filter.set(name, WEIGHT_PRIOR, now, value, variance);
        }
    }
}
