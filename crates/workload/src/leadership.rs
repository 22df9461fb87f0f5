//! Which entry leads, and until when it may act without hearing from the store.
//!
//! The leader's key is bound to a store lease. It disappears when the leader
//! stops renewing, and any entry may then claim the next term. A lease alone
//! proves nothing to its holder, so a leader counts from its last confirmed
//! look at the store, and its writes expect the one before
//! ([`record::Term`](crate::record::Term)).

use filbertbend_state::{time::Instant, unit::Millis};

/// How long the leader's key lasts without renewal. Shorter than the lease of
/// tasks by more than a claim takes, so that tasks outlive a change of leader.
pub const KEY_TTL: Millis = Millis(2000);
/// How often the leader renews its key: three tries within its lifetime.
pub const RENEW_INTERVAL: Millis = Millis(600);
/// How long a leader that cannot reach the store goes on with what it has. It
/// covers outages of several seconds; a new leader has to wait as long for
/// workers that it cannot reach.
pub const OUTAGE_LIMIT: Millis = Millis(8000);

/// What an entry knows of its own leadership.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    confirmed: Option<Instant>,
}

impl Leadership {
    /// Notes that the store confirmed the leadership; `asked` is the time
    /// before the store was asked.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Returns until when tasks may be granted leases.
    pub fn valid_until(&self) -> Instant {
        self.confirmed
            .map_or(Instant::default(), |confirmed| confirmed + OUTAGE_LIMIT)
    }

    /// Tells whether the leader may act at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until()
    }
}

/// Returns how long an entry waits before it claims a vacant leadership, so
/// that entries that see the vacancy at the same time do not all write. `rank`
/// is a hash of the entry's name.
pub fn claim_delay(rank: u64) -> Millis {
    Millis(rank % 8 * 5)
}
