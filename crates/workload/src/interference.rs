//! How much fillers slow services down, learned by pair of images.
//!
//! A service's latency rises with its utilisation as in a queue: with
//! `latency = floor / (1 - utilisation)`, the utilisation is that of its own
//! load plus, for each image of a filler, a weight times the part of the worker
//! that the filler uses. The replicas of a service share its load, so what
//! differs between them at one time is the fillers' doing, and what changes for
//! all of them is the load's.
//!
//! [`Model`] estimates both, for the services of one image together. The leader
//! learns from the readings of all workers, places fillers by it and hands the
//! weights to the agents; each agent goes on learning from its own readings.

mod filter;

use {
    crate::id::{Job, Task},
    filbertbend_state::{time::Instant, unit::Millis},
    filter::{seconds, Filter, Prior},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Part of a service's target that is planned for.
const PLANNED_FRACTION: f64 = 0.85;
/// Part of its target that a service takes without any load, until a lower
/// latency has been seen.
const BASE_LATENCY_FRACTION: f64 = 0.25;
/// What is assumed of a pair of images: most hardly matter, and a few matter
/// several times as much.
const WEIGHT_PRIOR: Prior = Prior {
    value: 0.35,
    deviation: 1.25,
    drift: 0.03,
    max: 4.0,
};
/// What is assumed of a service's own load, which swings within seconds.
const LOAD_PRIOR: Prior = Prior {
    value: 0.5,
    deviation: 0.25,
    drift: 0.1,
    max: 1.0,
};
/// Deviation of one reading of the utilisation: the platform's figures are
/// rough.
const READING_DEVIATION: f64 = 0.07;
/// The least time over which a slope of the load is taken.
const SLOPE_TIME: Millis = Millis(400);
/// Weight of the newest slope.
const SLOPE_WEIGHT: f64 = 0.3;
/// How long the load of a service that is not read any more is kept.
const LOAD_RETENTION: Millis = Millis(10_000);
/// Services of one image whose loads are kept; the cost of a reading grows with
/// the square. Of further ones nothing is known but the prior.
const LOAD_LIMIT: usize = 32;
/// The least change of a weight that is worth telling others, and the part of
/// the weight that is added to it.
const ABSOLUTE_CHANGE: f64 = 0.05;
const RELATIVE_CHANGE: f64 = 0.1;

/// The tasks of one step, which share the load of their service.
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

/// What is known of one pair of images.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// The image of the service.
    pub service: Arc<str>,
    /// The image of the filler.
    pub aggressor: Arc<str>,
    /// The utilisation that a whole worker of the filler adds.
    pub value: f32,
    /// The variance of the value.
    pub variance: f32,
}

/// The figures of one worker over half a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// The tail latency of each task that serves.
    pub latencies: Vec<(Task, Millis)>,
    /// The part of the worker that fillers of each image used.
    pub usage: Usage,
}

/// The part of a worker that fillers use, by image.
pub type Usage = BTreeMap<Arc<str>, f32>;

/// A service of which there is a reading.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The tasks that share its load.
    pub replicas: Replicas,
    /// What it runs.
    pub image: Arc<str>,
    /// Its highest tail latency.
    pub target: Millis,
}

/// What is estimated for the services of one image.
#[derive(Clone, Debug, PartialEq)]
enum Parameter {
    /// The load of one service.
    Load(Replicas),
    /// The weight of a filler's image.
    Weight(Arc<str>),
}

/// How a load moves.
#[derive(Clone, Copy, Debug)]
struct Trend {
    /// How fast it rises, for each second.
    slope: f64,
    /// The value that the next slope is taken from, and its time.
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

/// The services of one image.
#[derive(Clone, Debug, Default)]
struct ImageModel {
    /// The least latency that was seen, in milliseconds.
    base_latency: Option<f64>,
    filter: Filter<Parameter>,
    trends: BTreeMap<Replicas, Trend>,
    /// The weights as they were passed on last.
    reported: BTreeMap<Arc<str>, f64>,
}

impl ImageModel {
    fn base_latency(&self, target: Millis) -> f64 {
        self.base_latency
            .unwrap_or(target.0.max(1) as f64 * BASE_LATENCY_FRACTION)
    }

    /// Returns the utilisation at which a service is close to its target.
    fn planned_utilisation(&self, target: Millis) -> f64 {
        1.0 - (self.base_latency(target) / (target.0.max(1) as f64 * PLANNED_FRACTION)).min(1.0)
    }

    /// Returns a service's utilisation from its latency.
    fn utilisation(&mut self, target: Millis, latency: Millis) -> f64 {
        let latency = latency.0.max(1) as f64;
        let base_latency = self.base_latency(target).min(latency);
        self.base_latency = Some(base_latency);
        1.0 - base_latency / latency
    }

    /// Returns the load of a service if it goes on rising for `ahead`.
    fn load(&self, replicas: Replicas, ahead: Millis) -> f64 {
        let load = self.filter.get(&Parameter::Load(replicas));
        let slope = self.trends.get(&replicas).map_or(0.0, |trend| trend.slope);
        load.map_or(LOAD_PRIOR.value, |(load, _)| load) + slope.max(0.0) * seconds(ahead)
    }
}

/// What is learned of all images of services.
#[derive(Clone, Debug, Default)]
pub struct Model {
    images: BTreeMap<Arc<str>, ImageModel>,
}

impl Model {
    /// Returns the utilisation that a filler adds to a service by using `part`
    /// of their worker.
    pub fn cost(&self, service: &Arc<str>, aggressor: &Arc<str>, fraction: f64) -> f64 {
        let weight = self
            .images
            .get(service)
            .and_then(|image| image.filter.get(&Parameter::Weight(aggressor.clone())));
        weight.map_or(WEIGHT_PRIOR.value, |(weight, _)| weight) * fraction
    }

    /// Returns the utilisation that fillers may add to a service so that it
    /// stays within its target, if its load goes on rising for `ahead`.
    pub fn slack(&self, service: &Service, ahead: Millis) -> f64 {
        let unknown = ImageModel::default();
        let image = self.images.get(&service.image).unwrap_or(&unknown);
        image.planned_utilisation(service.target) - image.load(service.replicas, ahead)
    }

    /// Learns from the latency of one replica of a service and what fillers
    /// used beside it.
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

    /// Forgets the loads of services that are not read any more.
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

    /// Makes all weights count as changed, for a reader that knows none.
    pub fn reset_reported(&mut self) {
        for image in self.images.values_mut() {
            image.reported.clear();
        }
    }

    /// Lists the weights that have changed since they were last listed.
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

    /// Takes over what another process has learned, if it is more certain.
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
