//! The learned slowdown of each service by each batch kind.

use {super::filter::Filter, filbertbend_state::id, std::collections::BTreeMap};

/// Entries that describe a service running alone: level, load, load squared.
const BASE: usize = 3;

/// Loads at which the strength of a kind is learned; between them it is a line.
const KNOTS: [f64; 3] = [0.0, 0.5, 1.0];

/// Cautious prior of a kind: the part by which it raises the latency at each
/// knot when its tasks fill the worker, and the deviation of it.
const PRIOR: [(f64, f64); KNOTS.len()] = [(0.1, 0.2), (0.3, 0.3), (0.7, 0.7)];

/// How much what is learned at one load tells about the others.
const PRIOR_CORRELATION: f64 = 0.7;

/// Deviation by which a kind's strength may drift from one window to the next.
const STRENGTH_DRIFT: f64 = 0.003;

/// Deviation by which a service's own latency may drift in one window.
const BASE_DRIFT: f64 = 0.001;

/// Weight of the newest residual in the estimate of the noise.
const NOISE_WEIGHT: f64 = 0.05;

/// Prior deviation of the noise of one second, on the logarithm.
const PRIOR_NOISE: f64 = 0.1;

/// Smallest deviation of the noise of one second that is assumed.
const LEAST_NOISE: f64 = 0.01;

/// Residuals beyond this many deviations are cut off, so that one wild report
/// does not undo what was learned.
const OUTLIER: f64 = 4.0;

/// A learned quantity with its uncertainty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The expected value.
    pub mean: f64,
    /// The standard deviation.
    pub deviation: f64,
}

impl Estimate {
    /// Returns the value that lies `deviations` above the expected one.
    pub fn at(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }
}

/// Where a latency comes from; each source has its own noise.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Source {
    /// The endpoint's own latencies.
    Own,
    /// Latencies that were reported late.
    Report,
}

/// What one service and the batch kinds did over a window.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Window {
    pub(super) load: f64,
    /// Each kind with the part of the worker's cores that it used.
    pub(super) parts: Vec<(id::Service, f64)>,
    pub(super) log_latency: f64,
    /// How many seconds were averaged.
    pub(super) secs: f64,
}

#[derive(Clone, Debug)]
struct Service {
    filter: Filter,
    kinds: BTreeMap<id::Service, usize>,
    noise: BTreeMap<Source, f64>,
}

/// The slowdown of each service by each batch kind, with its uncertainty.
///
/// The logarithm of the latency is modelled as a quadratic in the load plus
/// the logarithm of one plus the sum over kinds of strength times used cores.
/// A strength is a line between knots over the load; it may come out slightly
/// negative, because cutting it off would make the sum too high. The noise is
/// learned too.
#[derive(Clone, Debug, Default)]
pub struct Model {
    services: BTreeMap<id::Service, Service>,
}

impl Service {
    fn new(log_latency: f64) -> Self {
        let mut filter = Filter::default();
        let base: [(f64, f64); BASE] = [(log_latency, 0.3), (0.0, 0.3), (0.0, 0.3)];
        filter.grow(&base, 0.0, BASE_DRIFT);
        Self {
            filter,
            kinds: BTreeMap::new(),
            noise: BTreeMap::new(),
        }
    }

    fn index(&mut self, kind: &id::Service) -> usize {
        if let Some(index) = self.kinds.get(kind) {
            return *index;
        }
        let index = self.filter.mean().len();
        self.filter.grow(&PRIOR, PRIOR_CORRELATION, STRENGTH_DRIFT);
        self.kinds.insert(kind.clone(), index);
        index
    }

    /// Returns the expected logarithm of the latency alone and the pressure.
    fn expect(&self, load: f64, parts: &[(id::Service, f64)]) -> (f64, f64) {
        let mean = self.filter.mean();
        let alone = base(load)
            .iter()
            .zip(mean)
            .map(|(weight, entry)| weight * entry)
            .sum();
        let pressure = parts
            .iter()
            .map(|(kind, part)| part * self.strength(kind, load).mean)
            .sum::<f64>();
        (alone, pressure.max(0.0))
    }

    fn strength(&self, kind: &id::Service, load: f64) -> Estimate {
        let Some(index) = self.kinds.get(kind).copied() else {
            return prior(load);
        };
        let weights = hats(load);
        let mut gradient = vec![0.0; self.filter.mean().len()];
        gradient[index..index + KNOTS.len()].copy_from_slice(&weights);
        Estimate {
            mean: weights
                .iter()
                .zip(&self.filter.mean()[index..])
                .map(|(weight, entry)| weight * entry)
                .sum(),
            deviation: self.filter.variance(&gradient).sqrt(),
        }
    }

    /// Returns how uncertain the logarithm of the latency alone is.
    fn alone_deviation(&self, load: f64) -> f64 {
        let mut gradient = vec![0.0; self.filter.mean().len()];
        gradient[..BASE].copy_from_slice(&base(load));
        self.filter.variance(&gradient).sqrt()
    }

    fn learn(&mut self, source: Source, window: &Window) {
        let load = window.load;
        let indices: Vec<usize> = window
            .parts
            .iter()
            .map(|(kind, _)| self.index(kind))
            .collect();
        let (alone, pressure) = self.expect(load, &window.parts);
        let mut gradient = vec![0.0; self.filter.mean().len()];
        gradient[..BASE].copy_from_slice(&base(load));
        for (index, (_, part)) in indices.into_iter().zip(&window.parts) {
            for (knot, weight) in hats(load).into_iter().enumerate() {
                gradient[index + knot] += part * weight / (1.0 + pressure);
            }
        }
        let known = self
            .noise
            .entry(source)
            .or_insert(PRIOR_NOISE * PRIOR_NOISE);
        let noise = *known / window.secs;
        let expected = self.filter.variance(&gradient);
        let bound = OUTLIER * (expected + noise).sqrt();
        let residual = window.log_latency - alone - pressure.ln_1p();
        let residual = residual.clamp(-bound, bound);
        self.filter.update(&gradient, residual, noise);
        let sample = (residual * residual - expected).max(0.0) * window.secs;
        *known += NOISE_WEIGHT * (sample - *known);
        *known = known.max(LEAST_NOISE * LEAST_NOISE);
    }
}

fn base(load: f64) -> [f64; BASE] {
    [1.0, load, load * load]
}

/// Returns the weight of each knot at `load`.
fn hats(load: f64) -> [f64; KNOTS.len()] {
    let load = load.clamp(KNOTS[0], KNOTS[KNOTS.len() - 1]);
    let mut weights = [0.0; KNOTS.len()];
    for (index, pair) in KNOTS.windows(2).enumerate() {
        if load <= pair[1] {
            let part = (load - pair[0]) / (pair[1] - pair[0]);
            weights[index] = 1.0 - part;
            weights[index + 1] = part;
            break;
        }
    }
    weights
}

/// Returns what is assumed of a kind that has not been seen.
fn prior(load: f64) -> Estimate {
    let sum = |entry: fn(&(f64, f64)) -> f64| {
        hats(load)
            .iter()
            .zip(&PRIOR)
            .map(|(weight, prior)| weight * entry(prior))
            .sum()
    };
    Estimate {
        mean: sum(|prior| prior.0),
        deviation: sum(|prior| prior.1),
    }
}

impl Model {
    /// Makes a model that knows nothing and expects much interference.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns from what happened over one window.
    pub(super) fn learn(&mut self, service: &id::Service, source: Source, window: &Window) {
        self.services
            .entry(service.clone())
            .or_insert_with(|| Service::new(window.log_latency))
            .learn(source, window);
    }

    /// Returns by which part a kind raises the service's latency if its tasks
    /// fill the worker unthrottled at this load.
    pub fn strength(&self, service: &id::Service, kind: &id::Service, load: f64) -> Estimate {
        match self.services.get(service) {
            Some(found) => found.strength(kind, load),
            None => prior(load),
        }
    }

    /// Returns how uncertain the logarithm of the service's latency alone is
    /// at this load.
    pub(super) fn alone_deviation(&self, service: &id::Service, load: f64) -> f64 {
        self.services
            .get(service)
            .map_or(f64::INFINITY, |found| found.alone_deviation(load))
    }

    /// Returns the expected logarithm of the service's latency beside `parts`,
    /// or `None` before the first report about the service.
    pub(super) fn log_latency(
        &self,
        service: &id::Service,
        load: f64,
        parts: &[(id::Service, f64)],
    ) -> Option<f64> {
        let found = self.services.get(service)?;
        let (alone, pressure) = found.expect(load, parts);
        Some(alone + pressure.ln_1p())
    }
}
