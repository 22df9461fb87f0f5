//! The data that a worker reports: its description, its running tasks and its
//! ends.

use {
    crate::id::{Incarnation, Run, Sequence, Task},
    filbertbend_state::room::Room,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    strum::{Display, EnumString},
};

/// A worker's description, repeated with every heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// The pool that the worker belongs to.
    pub pool: Arc<str>,
    /// The data centre of the worker.
    pub data_centre: Arc<str>,
    /// The total resources of the worker.
    pub room: Room,
    /// The kind and the rack of the worker, in this order.
    pub labels: Vec<Arc<str>>,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// The minimum time before a draining worker leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
}

/// A running task on a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The run of the task.
    pub run: Run,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// The completed percentage of the work; 100 for a long-running task that
    /// is ready.
    pub percent: u8,
    /// The measurement of the last half second: the tail latency in
    /// milliseconds of a task that serves users, otherwise the used thousandths
    /// of a core.
    pub measurement: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Exit {
    /// The task completed.
    Done,
    /// The task or the worker failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    #[strum(serialize = "lapsed")]
    LeaseExpired,
    /// Another member of the gang ended.
    #[strum(serialize = "broken")]
    GangBroken,
    /// The other members of the gang did not start in time.
    #[strum(serialize = "alone")]
    GangIncomplete,
}

/// The end of a run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The number of the end within the worker's incarnation.
    pub sequence: Sequence,
    /// The task.
    pub task: Task,
    /// The run that ended.
    pub run: Run,
    /// How it ended.
    pub exit: Exit,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}
