//! How much fillers slow services down, learned by pair of images.
//!
//! A service's latency rises with its utilisation as in a queue: with
//! `latency = floor / (1 - utilisation)`, the utilisation is that of its own
//! load plus a weight times the cores that each filler beside it uses. That is
//! linear in the cores, so weights are learned by a normalised least mean
//! squares filter. Agents learn from the figures of their worker; the leader
//! merges what they have learned, places fillers by it and hands it to agents
//! that have seen less.

use {
    filbertbend_state::unit::Millis,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Part of a service's target that is planned for.
const PLANNED_PART: f64 = 0.85;
/// Part of its target that a service takes without any load, until a lower
/// latency has been seen.
const FLOOR_PART: f64 = 0.25;
/// Cores that count as one unit of usage.
const UNIT_CORES: f64 = 10.0;
/// Weight of a pair that nothing is known of.
const PRIOR_WEIGHT: f64 = 0.15;
/// The least weight, so that no image counts as harmless for good.
const LEAST_WEIGHT: f64 = 0.005;
/// The largest weight: a unit of cores fills the service's whole capacity.
const MOST_WEIGHT: f64 = 1.0;
/// How much the squared change of usage must exceed what a service's own load
/// may change by meanwhile, in units, for most of a change to count.
const LOAD_CHANGE: f64 = 0.1;
/// How much of the newest error the model takes over.
const LEARNING_RATE: f64 = 0.6;
/// Readings after which a weight no longer gains in authority.
const MOST_READINGS: u32 = 20;

/// What is known of one pair of images.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weight {
    /// The image of the service.
    pub service: Arc<str>,
    /// The image of the filler.
    pub filler: Arc<str>,
    /// The utilisation that a unit of the filler's cores adds.
    pub value: f32,
    /// How many readings it comes from.
    pub readings: u32,
}

/// How much utilisation fillers may add to the services of one image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slack {
    /// The image of the service.
    pub service: Arc<str>,
    /// What is left of the planned utilisation without any filler.
    pub value: f32,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    value: f64,
    readings: u32,
    /// The value that was passed on last.
    told: f64,
}

/// A service's utilisation at one time, with the cores that fillers of each
/// image used beside it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reading {
    /// The utilisation.
    pub utilisation: f64,
    /// The cores by image.
    pub usage: BTreeMap<Arc<str>, f64>,
}

impl Reading {
    fn units(&self, image: &Arc<str>) -> f64 {
        self.usage.get(image).copied().unwrap_or(0.0) / UNIT_CORES
    }
}

/// The learned weights.
#[derive(Clone, Debug, Default)]
pub struct Model {
    weights: BTreeMap<(Arc<str>, Arc<str>), Known>,
    floors: BTreeMap<Arc<str>, f64>,
}

impl Model {
    /// Returns the utilisation that `cores` of a filler add to a service.
    pub fn cost(&self, service: &Arc<str>, filler: &Arc<str>, cores: f64) -> f64 {
        let weight = self
            .weights
            .get(&(service.clone(), filler.clone()))
            .map_or(PRIOR_WEIGHT, |known| known.value);
        weight * cores / UNIT_CORES
    }

    /// Returns a service's utilisation from its latency.
    pub fn utilisation(&mut self, service: &Arc<str>, target: Millis, latency_ms: f64) -> f64 {
        let target = target.0.max(1) as f64;
        let floor = self
            .floors
            .entry(service.clone())
            .or_insert(target * FLOOR_PART);
        *floor = floor.min(latency_ms.max(1.0));
        1.0 - *floor / latency_ms.max(1.0)
    }

    /// Returns the utilisation at which a service is close to its target.
    pub fn planned(&self, service: &Arc<str>, target: Millis) -> f64 {
        let target = target.0.max(1) as f64;
        let floor = self
            .floors
            .get(service)
            .copied()
            .unwrap_or(target * FLOOR_PART);
        1.0 - (floor / (target * PLANNED_PART)).min(1.0)
    }

    /// Learns from two readings of a service, half a second apart. Its own load
    /// changes little in that time, so a change is put down to that of the
    /// fillers as far as theirs is large.
    pub fn learn(&mut self, service: &Arc<str>, before: &Reading, after: &Reading) {
        let images: BTreeSet<&Arc<str>> = before.usage.keys().chain(after.usage.keys()).collect();
        let changes: Vec<(Arc<str>, f64)> = images
            .into_iter()
            .map(|image| (image.clone(), after.units(image) - before.units(image)))
            .collect();
        let expected: f64 = changes
            .iter()
            .map(|(image, change)| self.cost(service, image, change * UNIT_CORES))
            .sum();
        let norm = LOAD_CHANGE
            + changes
                .iter()
                .map(|(_, change)| change.powi(2))
                .sum::<f64>();
        let error = after.utilisation - before.utilisation - expected;
        let step = LEARNING_RATE * error / norm;
        for (image, change) in changes.into_iter().filter(|(_, change)| *change != 0.0) {
            let known = self
                .weights
                .entry((service.clone(), image))
                .or_insert(Known {
                    value: PRIOR_WEIGHT,
                    readings: 0,
                    told: f64::NAN,
                });
            known.value = (known.value + step * change).clamp(LEAST_WEIGHT, MOST_WEIGHT);
            known.readings = (known.readings + 1).min(MOST_READINGS);
        }
    }

    /// Returns what of a reading is the service's own load.
    pub fn own_load(&self, service: &Arc<str>, reading: &Reading) -> f64 {
        let added: f64 = reading
            .usage
            .iter()
            .map(|(filler, cores)| self.cost(service, filler, *cores))
            .sum();
        (reading.utilisation - added).clamp(0.0, 1.0)
    }

    /// Makes all weights count as changed, for a reader that knows none.
    pub fn renew(&mut self) {
        for known in self.weights.values_mut() {
            known.told = f64::NAN;
        }
    }

    /// Lists the weights that have changed since they were last listed.
    pub fn news(&mut self) -> Vec<Weight> {
        self.weights
            .iter_mut()
            .filter(|(_, known)| {
                let change = (known.value - known.told).abs();
                known.readings > 0 && (change.is_nan() || change > known.value / 8.0)
            })
            .map(|((service, filler), known)| {
                known.told = known.value;
                Weight {
                    service: service.clone(),
                    filler: filler.clone(),
                    value: known.value as f32,
                    readings: known.readings,
                }
            })
            .collect()
    }

    /// Takes over what another process has learned, by how much each has seen.
    pub fn merge(&mut self, weight: &Weight) {
        let value = f64::from(weight.value).clamp(LEAST_WEIGHT, MOST_WEIGHT);
        let known = self
            .weights
            .entry((weight.service.clone(), weight.filler.clone()))
            .or_insert(Known {
                value,
                readings: 0,
                told: f64::NAN,
            });
        let (own, other) = (f64::from(known.readings), f64::from(weight.readings));
        if own + other > 0.0 {
            known.value = (known.value * own + value * other) / (own + other);
        }
        known.readings = known.readings.max(weight.readings);
    }
}
