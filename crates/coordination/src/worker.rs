//! Messages between an agent and the worker that it manages.
//!
//! The worker is part of the platform. It runs tasks under leases that end at a
//! time of the instance's monotonic clock, which the agent and the worker
//! share.

use {
    crate::attempt::{Attempt, Output, Work},
    filbertbend_state::{
        id,
        room::Room,
        time::Instant,
        unit::{Millis, Share},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A command to the worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Starts a task, unless `lease_end` has passed.
    Start {
        /// The attempt to start.
        attempt: Attempt,
        /// The work to run.
        work: Work,
        /// The room that the task may use.
        size: Room,
        /// When the worker must stop the task, unless the lease is extended.
        lease_end: Instant,
    },
    /// Extends the lease of a running task.
    Extend {
        /// The attempt whose lease is extended.
        attempt: Attempt,
        /// The new end of the lease.
        lease_end: Instant,
    },
    /// Limits a task to a share of its room.
    Throttle {
        /// The attempt to throttle.
        attempt: Attempt,
        /// The share of its room that the task may use.
        share: Share,
    },
    /// Takes a checkpoint of a running task.
    Checkpoint {
        /// The attempt to take a checkpoint of.
        attempt: Attempt,
    },
    /// Stops a running task.
    Stop {
        /// The attempt to stop.
        attempt: Attempt,
    },
}

/// The resource usage of one task in one interval, reported with a delay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The attempt that was measured.
    pub attempt: Attempt,
    /// The start of the interval, in time of the instance's monotonic clock.
    pub from: Instant,
    /// The length of the interval.
    pub span: Millis,
    /// The peak usage of each resource.
    pub peak: Room,
    /// The speed of the task as a share of its unthrottled speed.
    pub speed: Share,
}

/// An event reported by the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The task is running.
    Started(Attempt),
    /// The task was not started, and this start command will never start it.
    Refused(Attempt),
    /// A checkpoint is complete.
    Checkpointed(Attempt, id::Checkpoint),
    /// The task completed with this output.
    Completed(Attempt, Output),
    /// The task failed for this reason.
    Failed(Attempt, Arc<str>),
    /// The task was stopped by a command or by the end of its lease.
    Stopped(Attempt),
    /// The resource usage of tasks, reported with a delay.
    Usage(Vec<Usage>),
}

/// A task in the worker's list of running tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The attempt that is running.
    pub attempt: Attempt,
    /// The service that the task belongs to.
    pub service: id::Service,
    /// The room that the task uses.
    pub size: Room,
    /// The end of the task's lease.
    pub lease_end: Instant,
}
