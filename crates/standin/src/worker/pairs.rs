//! How much batch tasks slow services down, hidden from the system under test.

use {filbertbend_state::id, std::collections::BTreeMap};

/// The strength of each pair of a service and a kind of batch task.
#[derive(Clone, Debug, Default)]
pub struct Pairs {
    strengths: BTreeMap<(id::Service, id::Service), f64>,
}

impl Pairs {
    /// Makes a set in which no pair interferes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets by which part the kind raises the service's latency if its tasks
    /// fill the worker unthrottled while the service runs at full load.
    #[must_use]
    pub fn with(mut self, service: id::Service, kind: id::Service, strength: f64) -> Self {
        self.strengths.insert((service, kind), strength);
        self
    }

    /// Returns the strength of one pair, for controllers that may know it.
    pub fn strength(&self, service: &id::Service, kind: &id::Service) -> f64 {
        self.strengths
            .get(&(service.clone(), kind.clone()))
            .copied()
            .unwrap_or(0.0)
    }

    /// Returns the part of a pair's strength that is felt at `load`, from 0 to
    /// 1; it grows faster than the load, as queues do.
    pub fn weight(load: f64) -> f64 {
        load.max(0.0).powf(1.5)
    }

    /// Returns the factor on the service's latency at `load`.
    ///
    /// Each task is given as its kind and the part of the worker's cores that
    /// it uses.
    pub fn slowdown<'a>(
        &self,
        service: &id::Service,
        load: f64,
        tasks: impl IntoIterator<Item = (&'a id::Service, f64)>,
    ) -> f64 {
        let pressure: f64 = tasks
            .into_iter()
            .map(|(kind, part)| self.strength(service, kind) * part)
            .sum();
        1.0 + pressure * Self::weight(load)
    }
}
