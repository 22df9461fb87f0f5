//! What the planner decides, as the log tells it.

use {
    crate::{
        id::{Fence, Incarnation, Job, Node, Run, Task},
        record::State,
        worker::Exit,
    },
    filbertbend_state::unit::Millis,
};

/// A decision, with what it was based on.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A task was placed.
    Placed {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// Where.
        node: Node,
        /// How long it was ready before.
        waited: Millis,
        /// Whether it resumes from a checkpoint.
        resumed: bool,
    },
    /// A run was told to stop.
    Stopped {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// Where.
        node: Node,
        /// Why.
        reason: Reason,
    },
    /// A run has ended.
    Ended {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// Where.
        node: Node,
        /// How.
        exit: Exit,
        /// How often the task has failed by now.
        failures: u32,
    },
    /// A run is given up without an end from the worker.
    Lost {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// Where.
        node: Node,
        /// Why.
        reason: Reason,
    },
    /// A job has changed its state.
    Job {
        /// The job.
        job: Job,
        /// The state.
        state: State,
    },
    /// A worker can be used.
    Joined {
        /// Its agent's node.
        node: Node,
        /// Its life.
        incarnation: Incarnation,
        /// The session's fence.
        fence: Fence,
        /// How many runs were adopted.
        adopted: usize,
    },
}

/// Why a run is stopped or given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Its job has ended or is unknown.
    NotWanted,
    /// Another copy has completed or is newer.
    Duplicate,
    /// More urgent work needs the room.
    Preempted,
    /// The worker is about to leave.
    Draining,
    /// It makes no progress.
    Stalled,
    /// It slows a service down even when held back.
    #[strum(serialize = "crowding")]
    Interference,
    /// The worker has begun another life.
    #[strum(serialize = "reborn")]
    WorkerRestarted,
    /// The worker's lease has passed.
    LeasePassed,
    /// The worker refused the start.
    Refused,
    /// The worker's list does not hold it.
    Missing,
}
