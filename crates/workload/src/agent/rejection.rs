//! Why the agent does not pass a start on to its worker.

use {
    super::room::Occupancy,
    crate::{
        id::{Run, Task},
        message::StartStatus,
    },
    filbertbend_state::unit::Millis,
};

/// A start that was not passed on to the worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// Why it was not passed on.
    pub cause: Cause,
}

/// Why a start was not passed on to the worker.
#[derive(Clone, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// There is no session, no lease or no reading of the worker's clock.
    Unprepared,
    /// Too little of the lease is left.
    LeaseEnding {
        /// What is left.
        left: Millis,
    },
    /// The worker is draining.
    Draining,
    /// No heartbeat has shown the worker's profile since the agent began or was
    /// stalled.
    ProfileUnconfirmed,
    /// The worker lacks room.
    NoRoom(Occupancy),
}

impl Cause {
    /// Returns the status that the leader gets.
    pub(super) fn status(&self) -> StartStatus {
        match self {
            Self::NoRoom(_) => StartStatus::NoRoom,
            Self::Unprepared
            | Self::LeaseEnding { .. }
            | Self::Draining
            | Self::ProfileUnconfirmed => StartStatus::Unready,
        }
    }
}
