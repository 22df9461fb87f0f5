//! How long an entry may act as leader without hearing from the store.
//!
//! The leader's key is bound to a store lease. The key disappears when the
//! leader stops renewing the lease, and any entry may then claim the next term.
//! Holding a lease does not prove that it is still valid, so a leader measures
//! from its last confirmed read or write of the store, and each of its writes
//! expects the previous one ([`record::Term`](crate::record::Term)).

use filbertbend_state::{
    time::Instant,
    unit::{Cores, Millis},
};

/// How long the leader's key lasts without renewal.
pub const KEY_TTL: Millis = Millis(2000);
/// How often an agent asks for a new lease of its worker.
pub const LEASE_RENEW_INTERVAL: Millis = Millis(1000);
/// How long a claim, the loading of all jobs and the sessions of all agents take
/// at most after the leader's key is gone.
pub const TAKEOVER_TIME: Millis = Millis(2500);
/// The duration of a worker's lease, which covers all of its tasks. Tasks
/// survive a change of leader although the lease was not renewed just before. A
/// longer lease would free the tasks of a lost worker later.
const TASK_LEASE: Millis = Millis(KEY_TTL.0 + LEASE_RENEW_INTERVAL.0 + TAKEOVER_TIME.0);
/// The largest part of the platform's limit that a lease uses, in percent. The
/// rest covers clocks that differ.
const MAX_LEASE_PERCENT: u64 = 92;
/// How often the leader renews its key: three attempts within its lifetime.
pub const RENEW_INTERVAL: Millis = Millis(600);
/// How long a leader that cannot reach the store keeps its leadership, and the
/// leases that it grants last at most. This covers outages of several seconds; a
/// new leader must wait as long for workers whose agents it cannot reach.
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

/// Returns the duration of the leases of workers that accept at most `limit`.
/// Under a limit of less than 6 s, tasks may be lost in a change of leader.
pub fn task_lease(limit: Millis) -> Millis {
    TASK_LEASE.min(Millis(limit.0 * MAX_LEASE_PERCENT / 100))
}

/// How long an entry that could not reach the store leaves the leader to renew its
/// key once the store answers again.
const OUTAGE_GRACE: Millis = Millis(700);
/// The shortest outage in which the lease of a living leader's key can run out.
const MIN_LAPSE: Millis = Millis(KEY_TTL.0 - RENEW_INTERVAL.0);

/// Returns how much longer an entry waits before it claims a leadership that it
/// found vacant when the store answered again after `silence`. The leases of all
/// keys may have run out meanwhile, so the vacancy does not show that the last
/// leader is gone, and a change of leader costs the sessions of all agents.
pub fn outage_grace(silence: Millis) -> Millis {
    if silence < MIN_LAPSE {
        return Millis::ZERO;
    }
    OUTAGE_GRACE
}

/// How long an entry that is weaker than the last leader leaves stronger ones to
/// claim.
const DEFERENCE: Millis = Millis(1000);
/// The part of the last leader's processor time below which an entry is weaker, in
/// percent.
const WEAKER_PERCENT: u64 = 75;

/// Returns how much longer an entry with `own` processor time waits before it claims
/// after a leader that had `last`, if that is known. Some of the entries may learn
/// of the vacancy late, and a leader with much less processor time than the last one
/// may not keep up with the deployment.
pub fn deference(own: Cores, last: Option<Cores>) -> Millis {
    match last {
        Some(last) if own.0 * 100 < last.0.saturating_mul(WEAKER_PERCENT) => DEFERENCE,
        _ => Millis::ZERO,
    }
}

/// The claim delay of an entry with one core. Entries with less wait longer, in
/// inverse proportion.
const CLAIM_DELAY_PER_CORE: Millis = Millis(30);
/// The claim delay of the weakest entries.
const MAX_CLAIM_DELAY: Millis = Millis(500);

/// Returns how long an entry waits before it claims a vacant leadership. The
/// work of a leader grows with the deployment, so entries with more processor
/// time go first. `rank` is a hash of the entry's name, so that not all of them
/// write at the same time.
pub fn claim_delay(rank: u64, processor: Cores) -> Millis {
    let delay = CLAIM_DELAY_PER_CORE.0 * 1000 / processor.0.max(1);
    MAX_CLAIM_DELAY.min(Millis(delay)) + Millis(rank % 8 * 5)
}
