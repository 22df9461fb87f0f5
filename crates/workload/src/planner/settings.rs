//! Durations that a planner works with.

use {crate::leadership::OUTAGE_LIMIT, filbertbend_state::unit::Millis};

/// How much slower a worker's clock may run than the leader's, in percent, from
/// the platform's description.
const CLOCK_SLACK_PERCENT: u64 = 2;
/// Added to a lease to cover the delay between reading a clock and using the
/// value.
const LEASE_SLACK: Millis = Millis(200);
/// How long a watch may hide the claim of a newer term from a former leader,
/// while the store compacts its history.
const CLAIM_DELAY: Millis = Millis(1000);

/// The time from the claim of a term after which every lease that a former leader
/// has granted has certainly expired: none outlives its leadership.
pub const FORMER_LEASE_BOUND: Millis = Millis(bound(OUTAGE_LIMIT).0 + CLAIM_DELAY.0);

/// Durations that a [`Planner`](super::Planner) works with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The duration of a worker's lease, which covers all of its tasks.
    pub lease: Millis,
    /// The longest lease that a worker accepts.
    pub lease_limit: Millis,
    /// How long an agent may stay silent before its worker gets no new tasks.
    pub silence_limit: Millis,
    /// How long an ended job is kept.
    pub job_retention: Millis,
    /// How long a disconnected worker without reservations and lease is kept
    /// after its last report.
    pub worker_retention: Millis,
}

impl Settings {
    /// Returns the time after which a granted lease has certainly expired on
    /// the worker.
    pub fn lease_bound(&self) -> Millis {
        bound(self.lease)
    }

    /// Returns the time after which every lease that a worker has accepted has
    /// certainly expired.
    pub(super) fn longest_lease_bound(&self) -> Millis {
        bound(self.lease_limit)
    }
}

/// Returns the time after which a lease of this duration has certainly expired on
/// the worker.
pub(super) const fn bound(lease: Millis) -> Millis {
    Millis(lease.0 + lease.0 * CLOCK_SLACK_PERCENT / 100 + LEASE_SLACK.0)
}
