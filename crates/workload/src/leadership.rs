//! How long an entry may act as leader without hearing from the store.
//!
//! The leader's key is bound to a store lease. The key disappears when the
//! leader stops renewing the lease, and any entry may then claim the next term.
//! Holding a lease does not prove that it is still valid, so a leader measures
//! from its last confirmed read or write of the store, and each of its writes
//! expects the previous one ([`record::Term`](crate::record::Term)).

use filbertbend_state::{time::Instant, unit::Millis};

/// How long the leader's key lasts without renewal. It is shorter than the
/// lease of tasks by more than the time of a claim, so that tasks survive a
/// change of leader.
pub const KEY_TTL: Millis = Millis(2000);
/// How often the leader renews its key: three attempts within its lifetime.
pub const RENEW_INTERVAL: Millis = Millis(600);
/// How long a leader that cannot reach the store keeps its leadership. This
/// covers outages of several seconds; a new leader must wait as long for
/// workers that it cannot reach.
pub const OUTAGE_LIMIT: Millis = Millis(8000);

/// The leadership of an entry, as last confirmed by the store.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    confirmed: Option<Instant>,
}

impl Leadership {
    /// Records that the store confirmed the leadership in answer to a call made
    /// at `sent`.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Returns the time until which leases may be granted to workers.
    pub fn valid_until(&self) -> Instant {
        self.confirmed
            .map_or(Instant::default(), |confirmed| confirmed + OUTAGE_LIMIT)
    }

    /// Returns whether the entry may act as leader at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until()
    }
}

/// Returns how long an entry waits before it claims a vacant leadership, so
/// that entries that notice the vacancy at the same time do not all write.
/// `rank` is a hash of the entry's name.
pub fn claim_delay(rank: u64) -> Millis {
    Millis(rank % 8 * 5)
}
