//! The keys in the store.
//!
//! Everything that a leader must see in the order of the store lies below
//! [`INTAKE`], so that one watch tells it of new work and of a newer leader in
//! the order in which they happened.

use {filbertbend_workload::id::Job, std::sync::Arc};

/// What a leader watches.
pub const INTAKE: &str = "fb/in/";
/// The term of the newest leader, written when it claims.
pub const EPOCH: &str = "fb/in/epoch";
/// The last write of the leader.
pub const TERM: &str = "fb/term";
/// Who leads and where; bound to a lease.
pub const LEADER: &str = "fb/leader";
/// The progress of jobs.
pub const PROGRESS: &str = "fb/run/";
/// The keys of the links between the processes.
pub const LINK_IDENTITY: &str = "fb/link";

const JOB: &str = "fb/in/job/";
const STOP: &str = "fb/in/stop/";

/// What lies at a key below [`INTAKE`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Intake {
    /// The newest term.
    Epoch,
    /// An accepted job.
    Job(Job),
    /// The cancellation of a job.
    Stop(Job),
}

impl Intake {
    /// Reads a key; `None` if it is of another kind.
    pub fn parse(key: &str) -> Option<Self> {
        if key == EPOCH {
            return Some(Self::Epoch);
        }
        if let Some(id) = key.strip_prefix(JOB) {
            return id.parse().ok().map(Self::Job);
        }
        key.strip_prefix(STOP)?.parse().ok().map(Self::Stop)
    }
}

/// Returns the key of an accepted job.
pub fn job(id: Job) -> Arc<str> {
    format!("{JOB}{id}").into()
}

/// Returns the key of a job's cancellation.
pub fn stop(id: Job) -> Arc<str> {
    format!("{STOP}{id}").into()
}

/// Returns the key of a job's progress.
pub fn progress(id: Job) -> Arc<str> {
    format!("{PROGRESS}{id}").into()
}
