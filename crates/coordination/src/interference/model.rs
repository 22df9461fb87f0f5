//! Learns the slowdown of each service by each batch kind.

use {super::filter::Filter, filbertbend_state::id, std::collections::BTreeMap};

/// Number of terms of a service's baseline: constant, load and load squared.
const BASELINE_TERMS: usize = 3;

/// Loads at which the strength of a kind is learned. It is interpolated linearly
/// between them.
const KNOTS: [f64; 3] = [0.0, 0.5, 1.0];

/// Conservative prior of a kind's strength at each knot, as mean and standard
/// deviation. A strength is the relative slowdown when the tasks of the kind
/// fill the worker.
const PRIOR_STRENGTH: [(f64, f64); KNOTS.len()] = [(0.1, 0.2), (0.3, 0.3), (0.7, 0.7)];

/// Prior correlation between the strengths of a kind at different loads.
const PRIOR_CORRELATION: f64 = 0.7;

/// Standard deviation of the drift of a strength from one window to the next.
const STRENGTH_DRIFT: f64 = 0.003;

/// Standard deviation of the drift of a baseline term in one window.
const BASELINE_DRIFT: f64 = 0.001;

/// Weight of the newest residual in the noise estimate.
const NOISE_WEIGHT: f64 = 0.05;

/// Prior standard deviation of the noise of the logarithm of the latency over
/// one second.
const PRIOR_NOISE: f64 = 0.1;

/// Lower bound of the standard deviation of that noise.
const MIN_NOISE: f64 = 0.01;

/// Residuals are clamped to this many standard deviations, so that one outlier
/// does not undo what was learned.
const OUTLIER_DEVIATIONS: f64 = 4.0;

/// An estimated quantity with its uncertainty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The expected value.
    pub mean: f64,
    /// The standard deviation.
    pub deviation: f64,
}

impl Estimate {
    /// Returns the value that lies `deviations` standard deviations above the
    /// mean.
    pub fn at_deviations(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }
}

/// The source of a latency. The noise of each source is estimated separately.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Source {
    /// Latencies that the endpoint measured.
    Endpoint,
    /// Latencies that were reported with a delay.
    Delayed,
}

/// The averages of one service and of the batch kinds over a window.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Window {
    pub(super) load: f64,
    /// Each kind with the fraction of the worker's cores that it used.
    pub(super) fractions: Vec<(id::Service, f64)>,
    pub(super) log_latency: f64,
    /// The number of seconds that were averaged.
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
/// The logarithm of the latency is modelled as a quadratic function of the load
/// plus `ln(1 + s)`, where `s` is the sum over the kinds of the strength times
/// the fraction of the cores used. A strength is piecewise linear in the load.
/// It may come out slightly negative, since clamping it at zero would bias the
/// sum upwards. The variance of the noise is estimated as well.
#[derive(Clone, Debug, Default)]
pub struct Model {
    services: BTreeMap<id::Service, Service>,
}

impl Service {
    fn new(log_latency: f64) -> Self {
        let mut filter = Filter::default();
        let baseline: [(f64, f64); BASELINE_TERMS] = [(log_latency, 0.3), (0.0, 0.3), (0.0, 0.3)];
        filter.add_states(&baseline, 0.0, BASELINE_DRIFT);
        Self {
            filter,
            kinds: BTreeMap::new(),
            noise: BTreeMap::new(),
        }
    }

    /// Returns the index of a kind's first state, and adds the kind if it is new.
    fn kind_index(&mut self, kind: &id::Service) -> usize {
        if let Some(index) = self.kinds.get(kind) {
            return *index;
        }
        let index = self.filter.mean().len();
        self.filter
            .add_states(&PRIOR_STRENGTH, PRIOR_CORRELATION, STRENGTH_DRIFT);
        self.kinds.insert(kind.clone(), index);
        index
    }

    /// Returns the logarithm of the baseline latency and the relative slowdown.
    fn predict(&self, load: f64, fractions: &[(id::Service, f64)]) -> (f64, f64) {
        let mean = self.filter.mean();
        let baseline = baseline_terms(load)
            .iter()
            .zip(mean)
            .map(|(weight, entry)| weight * entry)
            .sum();
        let slowdown = fractions
            .iter()
            .map(|(kind, fraction)| fraction * self.strength(kind, load).mean)
            .sum::<f64>();
        (baseline, slowdown.max(0.0))
    }

    fn strength(&self, kind: &id::Service, load: f64) -> Estimate {
        let Some(index) = self.kinds.get(kind).copied() else {
            return prior_strength(load);
        };
        let weights = knot_weights(load);
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

    /// Returns the standard deviation of the logarithm of the baseline latency.
    fn baseline_deviation(&self, load: f64) -> f64 {
        let mut gradient = vec![0.0; self.filter.mean().len()];
        gradient[..BASELINE_TERMS].copy_from_slice(&baseline_terms(load));
        self.filter.variance(&gradient).sqrt()
    }

    fn learn(&mut self, source: Source, window: &Window) {
        let load = window.load;
        let indices: Vec<usize> = window
            .fractions
            .iter()
            .map(|(kind, _)| self.kind_index(kind))
            .collect();
        let (baseline, slowdown) = self.predict(load, &window.fractions);
        let mut gradient = vec![0.0; self.filter.mean().len()];
        gradient[..BASELINE_TERMS].copy_from_slice(&baseline_terms(load));
        for (index, (_, fraction)) in indices.into_iter().zip(&window.fractions) {
            for (knot, weight) in knot_weights(load).into_iter().enumerate() {
                gradient[index + knot] += fraction * weight / (1.0 + slowdown);
            }
        }
        let noise_variance = self
            .noise
            .entry(source)
            .or_insert(PRIOR_NOISE * PRIOR_NOISE);
        let noise = *noise_variance / window.secs;
        let predicted_variance = self.filter.variance(&gradient);
        let bound = OUTLIER_DEVIATIONS * (predicted_variance + noise).sqrt();
        let residual = window.log_latency - baseline - slowdown.ln_1p();
        let residual = residual.clamp(-bound, bound);
        self.filter.update(&gradient, residual, noise);
        let sample = (residual * residual - predicted_variance).max(0.0) * window.secs;
        *noise_variance += NOISE_WEIGHT * (sample - *noise_variance);
        *noise_variance = noise_variance.max(MIN_NOISE * MIN_NOISE);
    }
}

fn baseline_terms(load: f64) -> [f64; BASELINE_TERMS] {
    [1.0, load, load * load]
}

/// Returns the interpolation weight of each knot at `load`.
fn knot_weights(load: f64) -> [f64; KNOTS.len()] {
    let load = load.clamp(KNOTS[0], KNOTS[KNOTS.len() - 1]);
    let mut weights = [0.0; KNOTS.len()];
    for (index, pair) in KNOTS.windows(2).enumerate() {
        if load <= pair[1] {
            let fraction = (load - pair[0]) / (pair[1] - pair[0]);
            weights[index] = 1.0 - fraction;
            weights[index + 1] = fraction;
            break;
        }
    }
    weights
}

/// Returns the prior strength of a kind that has not been observed.
fn prior_strength(load: f64) -> Estimate {
    let sum = |entry: fn(&(f64, f64)) -> f64| {
        knot_weights(load)
            .iter()
            .zip(&PRIOR_STRENGTH)
            .map(|(weight, prior)| weight * entry(prior))
            .sum()
    };
    Estimate {
        mean: sum(|prior| prior.0),
        deviation: sum(|prior| prior.1),
    }
}

impl Model {
    /// Creates a model without observations, which expects strong interference.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns from the averages over one window.
    pub(super) fn learn(&mut self, service: &id::Service, source: Source, window: &Window) {
        self.services
            .entry(service.clone())
            .or_insert_with(|| Service::new(window.log_latency))
            .learn(source, window);
    }

    /// Returns the relative slowdown of a service by a kind at this load, if the
    /// tasks of the kind filled the worker unthrottled.
    pub fn strength(&self, service: &id::Service, kind: &id::Service, load: f64) -> Estimate {
        match self.services.get(service) {
            Some(found) => found.strength(kind, load),
            None => prior_strength(load),
        }
    }

    /// Returns the standard deviation of the logarithm of the service's baseline
    /// latency at this load.
    pub(super) fn baseline_deviation(&self, service: &id::Service, load: f64) -> f64 {
        self.services
            .get(service)
            .map_or(f64::INFINITY, |found| found.baseline_deviation(load))
    }

    /// Returns the expected logarithm of the service's latency while the kinds
    /// use `fractions` of the cores, or `None` before the first window of the
    /// service.
    pub(super) fn log_latency(
        &self,
        service: &id::Service,
        load: f64,
        fractions: &[(id::Service, f64)],
    ) -> Option<f64> {
        let found = self.services.get(service)?;
        let (baseline, slowdown) = found.predict(load, fractions);
        Some(baseline + slowdown.ln_1p())
    }
}
