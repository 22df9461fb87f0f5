//! The calls of a worker, and how they end.

use {
    crate::{
        id::{Fence, Run, Sequence, Task},
        message::Start,
        throttle::Change,
        worker::{End, Running},
    },
    filbertbend_state::unit::Millis,
};

/// A call of the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Extends the lease, lets ends up to `settled` be forgotten, and returns
    /// both lists after an end or `wait`.
    Poll {
        /// The session's fence.
        fence: Fence,
        /// The lease's end on the worker's clock.
        deadline: Option<u64>,
        /// Ends that may be forgotten.
        acknowledged: Sequence,
        /// How long to wait for an end.
        wait: Millis,
    },
    /// Starts a task.
    Start {
        /// The session's fence.
        fence: Fence,
        /// The lease's end on the worker's clock.
        deadline: u64,
        /// The order.
        start: Start,
    },
    /// Stops a run, or rules it out.
    Stop {
        /// The session's fence.
        fence: Fence,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
    },
    /// Holds a filler back.
    Throttle {
        /// The session's fence.
        fence: Fence,
        /// The change.
        change: Change,
    },
}

/// How a call of the worker ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The lists.
    Snapshot(Snapshot),
    /// It was done.
    Done,
    /// It was not done and never will be.
    Refused(Refusal),
    /// Unknown: it may have been done, or be done later.
    Lost,
}

/// Why a worker refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It has seen a higher fence.
    Fence,
    /// It has seen a later run.
    #[strum(serialize = "old")]
    Superseded,
    /// The lease had passed.
    #[strum(serialize = "late")]
    LeaseExpired,
    /// There is no room.
    NoRoom,
    /// It is not well.
    Unhealthy,
    /// It is another life.
    #[strum(serialize = "wrong_life")]
    WrongIncarnation,
    /// It cannot read the order.
    Invalid,
}

/// What a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// When its life began.
    pub started_ms: Option<u64>,
    /// Its clock.
    pub clock: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and may not be forgotten yet.
    pub ends: Vec<End>,
}
