//! Rate limit for an entry's share of the store's writes.

use filbertbend_state::time::Instant;

const MICROS_PER_MS: u64 = 1000;
const MICROS_PER_S: u64 = 1_000_000;

/// A token bucket that grants tokens in the order of the requests.
///
/// All journals of an entry share it. A journal reserves one token and waits
/// for it, so a busy slice cannot starve the others. Time is counted in
/// microseconds, because at 300 writes per second the interval is 3.3 ms.
#[derive(Clone, Debug)]
pub struct Budget {
    interval_micros: u64,
    burst_micros: u64,
    next_micros: u64,
}

impl Budget {
    /// Creates a full bucket of `burst` tokens that refills at `writes_per_s`.
    ///
    /// A rate of zero counts as one write per second, so that queued writes
    /// still complete.
    pub fn new(writes_per_s: u32, burst: u32) -> Self {
        let interval_micros = MICROS_PER_S / u64::from(writes_per_s.max(1));
        Self {
            interval_micros,
            burst_micros: interval_micros * u64::from(burst.max(1) - 1),
            next_micros: 0,
        }
    }

    /// Changes the rate, for example after the number of entries has changed.
    pub fn set_rate(&mut self, writes_per_s: u32) {
        let burst = self.burst_micros / self.interval_micros;
        self.interval_micros = MICROS_PER_S / u64::from(writes_per_s.max(1));
        self.burst_micros = self.interval_micros * burst;
    }

    /// Reserves a token and returns when it may be used.
    pub fn reserve(&mut self, now: Instant) -> Instant {
        let now_micros = now.0.saturating_mul(MICROS_PER_MS);
        let earliest = now_micros.saturating_sub(self.burst_micros);
        let at_micros = self.next_micros.max(earliest);
        self.next_micros = at_micros.saturating_add(self.interval_micros);
        Instant(at_micros.div_ceil(MICROS_PER_MS))
    }
}

/// Holds at most one token that is reserved for the next write.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservation(Option<Instant>);

impl Reservation {
    /// Consumes the reserved token if it is due, after reserving one if there is
    /// none. Returns whether a token was consumed.
    pub(super) fn take(&mut self, now: Instant, budget: &mut Budget) -> bool {
        let at = *self.0.get_or_insert_with(|| budget.reserve(now));
        let due = at <= now;
        if due {
            self.0 = None;
        }
        due
    }

    /// Returns when the reserved token is due.
    pub(super) fn at(&self) -> Option<Instant> {
        self.0
    }
}
