//! What an agent asks of the worker beside it, and what the worker answers.
//!
//! The worker is the platform's. It runs tasks under leases whose ends are
//! points on the instance's monotonic clock, which agent and worker share.

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
        /// The attempt.
        attempt: Attempt,
        /// What to run.
        work: Work,
        /// The room to run it in.
        size: Room,
        /// When the worker must have stopped it, unless the lease is extended.
        lease_end: Instant,
    },
    /// Extends the lease of a running task.
    Extend {
        /// The attempt.
        attempt: Attempt,
        /// The new end.
        lease_end: Instant,
    },
    /// Holds a task to a share of its room.
    Throttle {
        /// The attempt.
        attempt: Attempt,
        /// The share it may use.
        share: Share,
    },
    /// Takes a checkpoint of a running task.
    Checkpoint {
        /// The attempt.
        attempt: Attempt,
    },
    /// Stops a task.
    Stop {
        /// The attempt.
        attempt: Attempt,
    },
}

/// The usage of one task over one interval, reported with a lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The attempt.
    pub attempt: Attempt,
    /// The start of the interval on the instance's monotonic clock.
    pub from: Instant,
    /// The length of the interval.
    pub span: Millis,
    /// The highest use of each resource.
    pub peak: Room,
    /// The work done, as a part of the task's unthrottled speed.
    pub speed: Share,
}

/// An event from the worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The task runs.
    Started(Attempt),
    /// The task was not started and never will be by that command.
    Refused(Attempt),
    /// A checkpoint is complete.
    Checkpointed(Attempt, id::Checkpoint),
    /// The task finished.
    Completed(Attempt, Output),
    /// The task failed.
    Failed(Attempt, Arc<str>),
    /// The task was stopped by command or by the end of its lease.
    Stopped(Attempt),
    /// Usage of tasks, late.
    Usage(Vec<Usage>),
}

/// A task found running when an agent starts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The attempt.
    pub attempt: Attempt,
    /// What it runs.
    pub service: id::Service,
    /// The room that it takes.
    pub size: Room,
    /// The end of its lease.
    pub lease_end: Instant,
}
