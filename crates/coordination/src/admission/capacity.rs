//! How many requests may be in progress, and how long one takes.

use {
    crate::routing::SlotUsage,
    filbertbend_state::{time::Instant, unit::Millis},
};

/// Weight of one completion in the mean service time.
const OBSERVATION_WEIGHT: f64 = 0.02;
/// Mean deviations above the mean within which a request should end: for
/// exponential times, about 92% of the requests do.
const DEVIATION_FACTOR: f64 = 2.0;
/// A request that takes more than this many times the cautious time counts as
/// one that took so long: its caller may have read slowly, which says nothing
/// about the next one.
const OUTLIER_FACTOR: f64 = 3.0;
/// What one refusal by the endpoints takes off the limit, as a part of it.
const REFUSAL_DECREASE: f64 = 0.02;
/// What one completion restores.
const COMPLETION_INCREASE: f64 = 0.001;
/// The least part of the limit that is left.
const LIMIT_FACTOR_MIN: f64 = 0.5;
/// What the slots that others use are multiplied with. Reports are samples and
/// up to a second old; without it, entries that are all busy take from each
/// other whenever a report is low, and endpoints refuse the excess.
const OTHERS_SAFETY_FACTOR: f64 = 1.15;
/// Time after a refusal in which the service gets no slot, so that the same
/// request does not go back and forth.
const REFUSAL_PAUSE_MS: Millis = Millis(5);

/// The capacity of one service or of all.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    pub(super) running: u32,
    slots: f64,
    /// Falls when endpoints refuse what the slots should allow.
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
    /// Takes the slots in. Every entry may count on an equal part, and on
    /// those that the others leave free.
    pub(super) fn set_slots(&mut self, entries: u32, usage: SlotUsage) {
        let all = f64::from(usage.total.0);
        let others = f64::from(usage.used_by_others.0) * OTHERS_SAFETY_FACTOR;
        self.slots = (all - others).max(all / f64::from(entries.max(1)));
    }

    /// Returns how many requests may be in progress at a time.
    pub(super) fn limit(&self) -> u32 {
        if self.slots == 0.0 {
            return 0;
        }
        ((self.slots * self.limit_factor).round() as u32).max(1)
    }

    pub(super) fn has_room(&self, now: Instant) -> bool {
        self.running < self.limit() && now >= self.paused_until
    }

    /// Uses the declared run time until something is observed.
    pub(super) fn set_declared(&mut self, run_time: Millis) {
        if !self.observed {
            self.mean_ms = (run_time.0 as f64).max(1.0);
        }
    }

    /// Takes the time of one completed request in.
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

    /// Moves the expected time towards the declared run time, because a request
    /// was refused for it. Nothing else would correct it while all are refused.
    pub(super) fn decay_towards_declared(&mut self, run_time: Millis) {
        let declared_ms = (run_time.0 as f64).max(1.0);
        self.mean_ms += OBSERVATION_WEIGHT * (declared_ms - self.mean_ms);
        self.deviation_ms += OBSERVATION_WEIGHT * (declared_ms / 2.0 - self.deviation_ms);
    }

    pub(super) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns a time within which most requests end.
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
