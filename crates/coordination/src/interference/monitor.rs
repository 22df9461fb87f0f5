//! Monitors the latency of a service as the endpoint measures it, without the
//! delay of the reports.

use filbertbend_state::time::Instant;

/// Weight of the newest second in the fast moving average, which the last three
/// seconds dominate.
const FAST_WEIGHT: f64 = 0.3;

/// Weight of the newest second in the slow moving average, which the last 20
/// seconds dominate.
const SLOW_WEIGHT: f64 = 0.05;

/// Weight of the newest second in the noise estimate.
const NOISE_WEIGHT: f64 = 0.02;

/// The number of standard deviations of the fast average within which a
/// difference counts as noise.
const TOLERANCE_DEVIATIONS: f64 = 2.0;

/// The most by which latencies below the expected ones raise the budget, on a
/// logarithmic scale.
const MAX_SLACK: f64 = 0.1;

/// Tracks the difference between the latency of a service and the one that the
/// model expects.
///
/// The expected latency accounts for the shares in force at the time, so the
/// difference excludes the effect of the controller's own changes.
#[derive(Clone, Debug, Default)]
pub(super) struct Monitor {
    /// The service's load in the newest second.
    pub(super) load: f64,
    /// Since when the limit would be exceeded even with all tasks at the floor.
    pub(super) over_since: Option<Instant>,
    fast: f64,
    slow: f64,
    noise: f64,
}

impl Monitor {
    /// Records the difference between the logarithms of the measured and the
    /// expected latency.
    pub(super) fn record_residual(&mut self, load: f64, residual: f64) {
        self.load = load;
        let innovation = residual - self.fast;
        self.fast += FAST_WEIGHT * innovation;
        // A sudden change is not noise, so it must not widen the tolerance.
        let sample = (innovation * innovation).min(9.0 * self.noise.max(1e-4));
        self.noise += NOISE_WEIGHT * (sample - self.noise);
        let deviation = (self.noise * FAST_WEIGHT / (2.0 - FAST_WEIGHT)).sqrt();
        let band = TOLERANCE_DEVIATIONS * deviation;
        let slow = self.slow + SLOW_WEIGHT * (residual - self.slow);
        self.slow = slow.clamp(self.fast - band, self.fast + band);
    }

    /// Records a second without requests.
    pub(super) fn record_idle(&mut self, load: f64) {
        if load.is_finite() {
            self.load = load;
        }
    }

    /// Returns the unexplained part of the latency on a logarithmic scale. It is
    /// the slow average, kept within the noise tolerance of the fast one.
    pub(super) fn smoothed_residual(&self) -> f64 {
        self.slow.max(-MAX_SLACK)
    }
}
