//! The true slowdown of services by batch tasks, which the system under test
//! cannot see.

use {filbertbend_state::id, std::collections::BTreeMap};

/// How strongly each kind of batch task interferes with each service.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    strengths: BTreeMap<(id::Service, id::Service), f64>,
}

impl Interference {
    /// Creates a set in which no kind interferes with any service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the relative increase of the service's latency when tasks of the
    /// kind fill the worker unthrottled and the service runs at full load.
    #[must_use]
    pub fn with(mut self, service: id::Service, kind: id::Service, strength: f64) -> Self {
        self.strengths.insert((service, kind), strength);
        self
    }

    /// Returns the strength of one pair, for baseline controllers that know it.
    pub fn strength(&self, service: &id::Service, kind: &id::Service) -> f64 {
        self.strengths
            .get(&(service.clone(), kind.clone()))
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns the fraction of a pair's strength that applies at `load`, both
    /// from 0 to 1. It grows faster than the load, as queueing delays do.
    pub fn weight(load: f64) -> f64 {
        load.max(0.0).powf(1.5)
    }

    /// Returns the factor on the service's latency at `load`.
    ///
    /// Each task is given as its kind and the fraction of the worker's cores
    /// that it uses.
    pub fn slowdown<'a>(
        &self,
        service: &id::Service,
        load: f64,
        tasks: impl IntoIterator<Item = (&'a id::Service, f64)>,
    ) -> f64 {
        let pressure: f64 = tasks
            .into_iter()
            .map(|(kind, fraction)| self.strength(service, kind) * fraction)
            .sum();
        1.0 + pressure * Self::weight(load)
    }
}
