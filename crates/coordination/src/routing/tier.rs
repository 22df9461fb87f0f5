//! Wait estimates for endpoints, grouped into local and remote ones.

use {
    super::{NO_ENDPOINT_RETRY_AFTER_MS, RETRY_AFTER_MIN_MS},
    crate::membership::Agent,
    filbertbend_state::{outcome::Reason, unit::Millis},
    rand::{Rng, RngExt},
};

/// The time and the penalty of sending a request to a data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NetworkCost {
    pub(super) round_trip_ms: f64,
    pub(super) penalty_ms: f64,
}

/// The expected wait at one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate<'a> {
    pub(super) agent: &'a Agent,
    pub(super) full: bool,
    /// Expected time until a request gets a slot, with the round trip.
    pub(super) wait_ms: f64,
    /// The cost of the link expressed as time; it counts in comparisons but is
    /// no real wait.
    pub(super) penalty_ms: f64,
    /// The service time weighted by utilization; it ranks endpoints that have no
    /// wait.
    pub(super) weighted_service_ms: f64,
    /// Whether the next slot belongs to another entry's fair share.
    pub(super) is_borrowed: bool,
}

impl Estimate<'_> {
    pub(super) fn score_ms(&self) -> f64 {
        self.wait_ms + self.penalty_ms + self.weighted_service_ms
    }
}

/// The endpoints of the local data centre, or of all others.
#[derive(Debug)]
pub(super) struct Tier<'d> {
    pub(super) takes_work: bool,
    pub(super) free: Vec<Estimate<'d>>,
    pub(super) full_wait_ms: f64,
}

impl Default for Tier<'_> {
    fn default() -> Self {
        Self {
            takes_work: false,
            free: Vec::new(),
            full_wait_ms: f64::INFINITY,
        }
    }
}

impl Tier<'_> {
    pub(super) fn min_wait_ms(&self) -> f64 {
        self.free
            .iter()
            .map(|estimate| estimate.wait_ms + estimate.penalty_ms)
            .fold(f64::INFINITY, f64::min)
    }

    pub(super) fn reason(&self, other: &Self) -> Reason {
        if self.takes_work || other.takes_work {
            Reason::NoRoom
        } else {
            Reason::NoEndpoint
        }
    }

    pub(super) fn retry_after(&self, other: &Self) -> Millis {
        if self.takes_work || other.takes_work {
            round_up_wait(self.full_wait_ms.min(other.full_wait_ms))
        } else {
            NO_ENDPOINT_RETRY_AFTER_MS
        }
    }
}

pub(super) fn choose_random<'a, T>(rng: &mut impl Rng, items: &'a [T]) -> Option<&'a T> {
    match items.len() {
        0 => None,
        1 => items.first(),
        length => items.get(rng.random_range(0..length)),
    }
}

/// Rounds a retry delay up to whole milliseconds, between 10 ms and 1 s.
pub(super) fn round_up_wait(wait_ms: f64) -> Millis {
    let limited = wait_ms.min(NO_ENDPOINT_RETRY_AFTER_MS.0 as f64).ceil() as u64;
    Millis(limited.max(RETRY_AFTER_MIN_MS.0))
}
