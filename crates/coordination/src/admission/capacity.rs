//! The concurrency limit and the service time estimate of a service.

use {
    crate::routing::SlotUsage,
    filbertbend_state::{time::Instant, unit::Millis},
};

/// Weight of one completion in the moving average of the service time.
const OBSERVATION_WEIGHT: f64 = 0.02;
/// Mean deviations above the mean within which a request is expected to end:
/// with exponential service times, about 92% of the requests do.
const DEVIATION_FACTOR: f64 = 2.0;
/// Observed times are capped at this many times the conservative estimate: the
/// caller may have read slowly, which says nothing about the next request.
const OUTLIER_FACTOR: f64 = 3.0;
/// Decrease of the limit after one refusal by an endpoint, as a fraction.
const REFUSAL_DECREASE: f64 = 0.02;
/// Increase of the limit after one completion, as a fraction.
const COMPLETION_INCREASE: f64 = 0.001;
/// Minimum fraction of the limit that remains after refusals.
const LIMIT_FACTOR_MIN: f64 = 0.5;
/// Factor applied to the slots that other entries use. Reports are samples and
/// up to a second old; without it, busy entries take slots from each other
/// whenever a report is low, and endpoints refuse the excess.
const OTHERS_SAFETY_FACTOR: f64 = 1.15;
/// Pause in dispatching a service after a refusal, so that the same request is
/// not dispatched and returned in a loop.
const REFUSAL_PAUSE_MS: Millis = Millis(5);

/// The capacity for one service or for all services.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    pub(super) running: u32,
    slots: f64,
    /// Factor on the slots; lowered when endpoints refuse requests that the
    /// slots should allow.
    limit_factor: f64,
    paused_until: Instant,
    mean_ms: f64,
    deviation_ms: f64,
    observed: bool,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            running: 0,
            slots: 0.0,
            limit_factor: 1.0,
            paused_until: Instant::default(),
            mean_ms: 1.0,
            deviation_ms: 0.0,
            observed: false,
        }
    }
}

impl Capacity {
    /// Updates the slots. Each entry may use an equal part of them, or what the
    /// others leave free if that is more.
    pub(super) fn set_slots(&mut self, entries: u32, usage: SlotUsage) {
        let all = f64::from(usage.total.0);
        let others = f64::from(usage.used_by_others.0) * OTHERS_SAFETY_FACTOR;
        self.slots = (all - others).max(all / f64::from(entries.max(1)));
    }

    /// Returns the maximum number of requests in progress.
    pub(super) fn limit(&self) -> u32 {
        if self.slots == 0.0 {
            return 0;
        }
        ((self.slots * self.limit_factor).round() as u32).max(1)
    }

    pub(super) fn has_room(&self, now: Instant) -> bool {
        self.running < self.limit() && now >= self.paused_until
    }

    /// Uses the declared run time as the mean until a completion is observed.
    pub(super) fn set_declared(&mut self, run_time: Millis) {
        if !self.observed {
            self.mean_ms = (run_time.0 as f64).max(1.0);
        }
    }

    /// Records the service time of one completed request.
    pub(super) fn observe(&mut self, span: Millis) {
        if !self.observed {
            self.observed = true;
            self.deviation_ms = self.mean_ms / 2.0;
        }
        let span_ms = (span.0 as f64).min(OUTLIER_FACTOR * self.conservative_ms());
        let error_ms = span_ms - self.mean_ms;
        self.mean_ms = (self.mean_ms + OBSERVATION_WEIGHT * error_ms).max(1.0);
        self.deviation_ms += OBSERVATION_WEIGHT * (error_ms.abs() - self.deviation_ms);
    }

    /// Moves the estimate towards the declared run time after a request was
    /// refused because of it. While all requests are refused, no completion
    /// would correct it.
    pub(super) fn decay_towards_declared(&mut self, run_time: Millis) {
        let declared_ms = (run_time.0 as f64).max(1.0);
        self.mean_ms += OBSERVATION_WEIGHT * (declared_ms - self.mean_ms);
        self.deviation_ms += OBSERVATION_WEIGHT * (declared_ms / 2.0 - self.deviation_ms);
    }

    pub(super) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns a service time within which most requests end.
    pub(super) fn conservative_ms(&self) -> f64 {
        self.mean_ms + DEVIATION_FACTOR * self.deviation_ms
    }

    pub(super) fn refused(&mut self, now: Instant) {
        self.paused_until = now + REFUSAL_PAUSE_MS;
        self.decrease_limit();
    }

    pub(super) fn decrease_limit(&mut self) {
        self.limit_factor = (self.limit_factor - REFUSAL_DECREASE).max(LIMIT_FACTOR_MIN);
    }

    pub(super) fn increase_limit(&mut self) {
        self.limit_factor = (self.limit_factor + COMPLETION_INCREASE).min(1.0);
    }
}
