//! The calls that an agent makes to its worker, and their results.

use {
    crate::{
        id::{Fence, Incarnation, Run, Sequence, Task},
        message::Start,
        throttle::Change,
        worker::{End, Running},
    },
    filbertbend_state::unit::Millis,
    std::fmt,
};

/// The end of a lease on the clock of one incarnation of the worker, with the
/// reading of that clock that it was computed from. Every incarnation begins its
/// clock anew, so the time has no meaning for any other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deadline {
    /// The incarnation whose clock it is.
    pub incarnation: Incarnation,
    /// The end of the lease, in milliseconds of that clock.
    pub until_ms: u64,
    /// The clock when it was last read, in milliseconds.
    pub read_ms: u64,
    /// How long ago the clock was read.
    pub age: Millis,
}

impl fmt::Display for Deadline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            incarnation,
            until_ms,
            read_ms,
            age,
        } = self;
        write!(
            f,
            "{until_ms} ms, from {read_ms} ms of {incarnation}, read {age} ago"
        )
    }
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Lets the worker discard ends up to `acknowledged`, and returns a snapshot
    /// once there is an end or `wait` has passed.
    Poll {
        /// The fence of the session.
        fence: Fence,
        /// The last end that is durable.
        acknowledged: Sequence,
        /// The maximum time to wait for an end.
        wait: Millis,
    },
    /// Extends the lease; answered by a snapshot at once. A poll does not do so,
    /// because one is nearly always under way when a worker ends, and a deadline
    /// may then take effect in the next incarnation.
    Extend {
        /// The fence of the session.
        fence: Fence,
        /// The end of the lease.
        deadline: Deadline,
    },
    /// Asks whether an incarnation is running, without any other effect than
    /// that the worker sees the fence; answered by a snapshot.
    Identify {
        /// The fence of the session.
        fence: Fence,
        /// The incarnation, which the agent does not take for the running one.
        incarnation: Incarnation,
    },
    /// Starts a task.
    Start {
        /// The fence of the session.
        fence: Fence,
        /// The end of the lease.
        deadline: Deadline,
        /// The start to carry out.
        start: Start,
    },
    /// Stops a run, or prevents its start if that has not arrived yet.
    Stop {
        /// The fence of the session.
        fence: Fence,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
    },
    /// Sets the share of a best-effort task.
    Throttle {
        /// The fence of the session.
        fence: Fence,
        /// The new share.
        change: Change,
    },
}

impl Call {
    /// Returns whether the call is an order, of which only a few are made at a
    /// time.
    pub fn is_order(&self) -> bool {
        matches!(
            self,
            Self::Start { .. } | Self::Stop { .. } | Self::Throttle { .. }
        )
    }
}

/// The result of a call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The state of the worker, in answer to a poll.
    Snapshot(Snapshot),
    /// The call was carried out.
    Done,
    /// The call was not carried out and never will be.
    Refused(Refusal),
    /// No connection could be opened, so the call was certainly not carried out.
    Unreachable,
    /// No answer arrived; the call may have been carried out, or may be later.
    Lost,
}

/// Why a worker refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher fence.
    Fence,
    /// The worker has seen a later run of the task.
    #[strum(serialize = "old")]
    Superseded,
    /// The lease had expired.
    #[strum(serialize = "late")]
    LeaseExpired,
    /// The worker lacks resources.
    NoRoom,
    /// The worker is unhealthy.
    Unhealthy,
    /// The call was meant for another incarnation of the worker.
    #[strum(serialize = "wrong_life")]
    Restarted,
    /// The worker cannot parse the call.
    Invalid,
}

/// The state of a worker at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The start time of the incarnation, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// The running tasks.
    pub running: Vec<Running>,
    /// The ends that have not been acknowledged.
    pub ends: Vec<End>,
}

/// The maximum number of ends in a snapshot.
const ENDS_PER_PAGE: usize = 500;

impl Snapshot {
    /// Returns whether the snapshot certainly holds all ends. A full list may
    /// continue.
    pub(super) fn lists_all_ends(&self) -> bool {
        self.ends.len() < ENDS_PER_PAGE
    }
}
