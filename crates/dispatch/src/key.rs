//! Keys in the store.
//!
//! Every key whose changes a leader must see in commit order lies below
//! [`WATCHED_PREFIX`], so that a single watch delivers new work and the claims
//! of newer leaders in the order in which they were committed.

use {filbertbend_workload::id::Job, std::sync::Arc};

/// Prefix of the keys that a leader watches.
pub const WATCHED_PREFIX: &str = "fb/in/";
/// Epoch of the newest leader, written when it claims its term.
pub const EPOCH: &str = "fb/in/epoch";
/// Term and batch number of the leader's last write.
pub const TERM: &str = "fb/term";
/// Name and address of the leader. The key is bound to a store lease.
pub const LEADER: &str = "fb/leader";
/// Prefix of the keys that hold the progress of jobs.
pub const PROGRESS_PREFIX: &str = "fb/run/";
/// TLS certificate, private key and authority for links between processes.
pub const LINK_IDENTITY: &str = "fb/link";

const JOB_PREFIX: &str = "fb/in/job/";
/// Not below [`WATCHED_PREFIX`]: only submissions depend on withdrawals.
const WITHDRAWAL_PREFIX: &str = "fb/withdrawn/";
const CANCELLATION_PREFIX: &str = "fb/in/stop/";

/// Kind of a key below [`WATCHED_PREFIX`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Watched {
    /// The epoch of the newest leader.
    Epoch,
    /// An accepted job.
    Job(Job),
    /// The cancellation of a job.
    Cancellation(Job),
}

impl Watched {
    /// Parses a key. Returns `None` if the key is of no known kind.
    pub fn parse(key: &str) -> Option<Self> {
        if key == EPOCH {
            return Some(Self::Epoch);
        }
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            return id.parse().ok().map(Self::Job);
        }
        key.strip_prefix(CANCELLATION_PREFIX)?
            .parse()
            .ok()
            .map(Self::Cancellation)
    }
}

/// Returns the key that holds an accepted job.
pub fn job(id: Job) -> Arc<str> {
    format!("{JOB_PREFIX}{id}").into()
}

/// Returns the key that marks a job as cancelled.
pub fn cancellation(id: Job) -> Arc<str> {
    format!("{CANCELLATION_PREFIX}{id}").into()
}

/// Returns the key whose presence prevents a job from being stored.
pub fn withdrawal(id: Job) -> Arc<str> {
    format!("{WITHDRAWAL_PREFIX}{id}").into()
}

/// Returns the key that holds a job's progress.
pub fn progress(id: Job) -> Arc<str> {
    format!("{PROGRESS_PREFIX}{id}").into()
}
