//! The immediate view of a service through the endpoint's own latencies.

use filbertbend_state::time::Instant;

/// Weight of the newest second in the fast average: three seconds dominate it.
const FAST_WEIGHT: f64 = 0.3;

/// Weight of the newest second in the slow average: 20 seconds dominate it.
const SLOW_WEIGHT: f64 = 0.05;

/// Weight of the newest second in the estimate of the noise.
const NOISE_WEIGHT: f64 = 0.02;

/// How many deviations of the fast average count as noise.
const TOLERANCE_DEVIATIONS: f64 = 2.0;

/// The most by which latencies below the expected ones raise the budget, on the
/// logarithm.
const MAX_SLACK: f64 = 0.1;

/// How far a service's latencies are from what the model expects now.
///
/// The expectation is for the shares in force at the time, so the difference
/// holds no effect of the controller's own changes.
#[derive(Clone, Debug, Default)]
pub(super) struct Monitor {
    /// The service's load in the newest second.
    pub(super) load: f64,
    /// Since when the limit has been exceeded with all tasks at the floor.
    pub(super) over_since: Option<Instant>,
    fast: f64,
    slow: f64,
    noise: f64,
}

impl Monitor {
    /// Takes the difference of the logarithms of latency and expectation.
    pub(super) fn record_residual(&mut self, load: f64, residual: f64) {
        self.load = load;
        let innovation = residual - self.fast;
        self.fast += FAST_WEIGHT * innovation;
        // A jump is a change, not noise: it must not widen the tolerance.
        let sample = (innovation * innovation).min(9.0 * self.noise.max(1e-4));
        self.noise += NOISE_WEIGHT * (sample - self.noise);
        let deviation = (self.noise * FAST_WEIGHT / (2.0 - FAST_WEIGHT)).sqrt();
        let band = TOLERANCE_DEVIATIONS * deviation;
        let slow = self.slow + SLOW_WEIGHT * (residual - self.slow);
        self.slow = slow.clamp(self.fast - band, self.fast + band);
    }

    /// Takes a second without requests.
    pub(super) fn record_idle(&mut self, load: f64) {
        if load.is_finite() {
            self.load = load;
        }
    }

    /// Returns the unexplained part of the latency on the logarithm: the slow
    /// average, which follows the fast one at once when that leaves the noise.
    pub(super) fn smoothed_residual(&self) -> f64 {
        self.slow.max(-MAX_SLACK)
    }
}
