//! The keys in the store.
//!
//! Everything that a leader must see in the order of the store lies below
//! [`WATCHED_PREFIX`], so that one watch tells it of new work and of a newer leader in
//! the order in which they happened.

use {filbertbend_workload::id::Job, std::sync::Arc};

/// What a leader watches.
pub const WATCHED_PREFIX: &str = "fb/in/";
/// The term of the newest leader, written when it claims.
pub const EPOCH: &str = "fb/in/epoch";
/// The last write of the leader.
pub const TERM: &str = "fb/term";
/// Who leads and where; bound to a lease.
pub const LEADER: &str = "fb/leader";
/// The progress of jobs.
pub const PROGRESS_PREFIX: &str = "fb/run/";
/// The keys of the links between the processes.
pub const LINK_IDENTITY: &str = "fb/link";

const JOB_PREFIX: &str = "fb/in/job/";
const CANCELLATION_PREFIX: &str = "fb/in/stop/";

/// What lies at a key below [`WATCHED_PREFIX`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Watched {
    /// The newest term.
    Epoch,
    /// An accepted job.
    Job(Job),
    /// The cancellation of a job.
    Cancellation(Job),
}

impl Watched {
    /// Reads a key; `None` if it is of another kind.
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

/// Returns the key of an accepted job.
pub fn job(id: Job) -> Arc<str> {
    format!("{JOB_PREFIX}{id}").into()
}

/// Returns the key of a job's cancellation.
pub fn cancellation(id: Job) -> Arc<str> {
    format!("{CANCELLATION_PREFIX}{id}").into()
}

/// Returns the key of a job's progress.
pub fn progress(id: Job) -> Arc<str> {
    format!("{PROGRESS_PREFIX}{id}").into()
}
