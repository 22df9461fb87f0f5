//! What the services on one worker leave to fillers.

use {
    crate::interference::{Model, Service},
    filbertbend_state::unit::Millis,
    std::{collections::BTreeMap, sync::Arc},
};

/// How far ahead a rising load is planned for: a filler runs for seconds, and
/// its agent holds it back if need be.
const LOOKAHEAD: Millis = Millis(1000);

/// The slacks of the services, and what the fillers there take of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Headroom {
    /// The utilisation that may be added, by image of the services.
    slacks: BTreeMap<Arc<str>, f64>,
    /// The part of the worker that fillers would use, by image.
    fractions: BTreeMap<Arc<str>, f64>,
    demands: Vec<Demand>,
}

/// What the fillers of one image take.
#[derive(Clone, Debug)]
struct Demand {
    /// The most that they would add to a service by using the whole worker.
    peak_cost: f64,
    /// What they add to each service, in the order of the slacks.
    costs: Vec<f64>,
}

impl Headroom {
    pub(super) fn add_service(&mut self, model: &Model, service: &Service) {
        let slack = self
            .slacks
            .entry(service.image.clone())
            .or_insert(f64::INFINITY);
        *slack = slack.min(model.slack(service, LOOKAHEAD));
    }

    pub(super) fn add_best_effort(&mut self, image: &Arc<str>, fraction: f64) {
        *self.fractions.entry(image.clone()).or_insert(0.0) += fraction;
    }

    /// Works out what the fillers that were added take.
    pub(super) fn update_demands(&mut self, model: &Model) {
        self.demands = self
            .fractions
            .iter()
            .map(|(image, fraction)| self.demand(model, image, *fraction))
            .collect();
    }

    /// Returns the part of one more filler that the services leave room for.
    ///
    /// Agents hold back first what takes most of any service's slack, so only
    /// fillers that do no more harm count.
    pub(super) fn tolerance(&self, model: &Model, image: &Arc<str>, fraction: f64) -> f64 {
        let own = self.demand(model, image, fraction);
        let admitted: Vec<&Demand> = self
            .demands
            .iter()
            .filter(|demand| demand.peak_cost <= own.peak_cost)
            .collect();
        self.slacks
            .values()
            .zip(&own.costs)
            .enumerate()
            .map(|(index, (slack, cost))| {
                let demand: f64 = admitted.iter().map(|demand| demand.costs[index]).sum();
                (slack - demand) / cost.max(f64::EPSILON)
            })
            .fold(f64::INFINITY, f64::min)
    }

    fn demand(&self, model: &Model, image: &Arc<str>, fraction: f64) -> Demand {
        let costs: Vec<f64> = self
            .slacks
            .keys()
            .map(|service| model.cost(service, image, fraction))
            .collect();
        let most = costs.iter().copied().fold(0.0, f64::max);
        Demand {
            peak_cost: most / fraction.max(f64::EPSILON),
            costs,
        }
    }
}
