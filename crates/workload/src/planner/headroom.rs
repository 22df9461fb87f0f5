//! The interference that the services on one worker tolerate from best-effort
//! tasks.

use {
    crate::interference::{Model, Service},
    filbertbend_state::unit::Millis,
    std::{collections::BTreeMap, sync::Arc},
};

/// How far a rising load is extrapolated. A best-effort task runs for seconds,
/// and its agent throttles it if necessary.
const LOOKAHEAD: Millis = Millis(1000);

/// The slack of the services and what the present best-effort tasks use of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Headroom {
    /// The utilisation that may be added to the services, by their image.
    slacks: BTreeMap<Arc<str>, f64>,
    /// The fraction of the worker's cores that best-effort tasks would use, by
    /// image.
    fractions: BTreeMap<Arc<str>, f64>,
    demands: Vec<Demand>,
}

/// What the best-effort tasks of one image use of the slack.
#[derive(Clone, Debug)]
struct Demand {
    /// The largest utilisation that they would add to any service by using the
    /// whole worker.
    peak_cost: f64,
    /// The utilisation that they add to each service, in the order of the
    /// slacks.
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

    /// Computes the demands of the best-effort tasks that were added.
    pub(super) fn update_demands(&mut self, model: &Model) {
        self.demands = self
            .fractions
            .iter()
            .map(|(image, fraction)| self.demand(model, image, *fraction))
            .collect();
    }

    /// Returns the fraction of a further best-effort task that the services
    /// tolerate.
    ///
    /// Agents throttle the tasks with the highest peak cost first, so only
    /// demands with at most the peak cost of the new task are subtracted from
    /// the slack.
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
