//! What a worker says of itself.

use {
    crate::id::{Incarnation, Run, Sequence, Task},
    filbertbend_state::room::Room,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    strum::{Display, EnumString},
};

/// A worker's description of itself, repeated with every heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// Its life.
    pub incarnation: Incarnation,
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// The data centre that it is in.
    pub data_centre: Arc<str>,
    /// Its room.
    pub room: Room,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The least time that is left before it leaves, if it is about to.
    pub remaining_ms: Option<u64>,
}

/// One task on a worker's list of running tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// Its run.
    pub run: Run,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// How much of its work is done; for a lasting task whether it is at work.
    pub percent: u8,
    /// Over the last half second: the tail latency in milliseconds of a task
    /// that serves, the thousandths of a core in use otherwise.
    pub measurement: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Exit {
    /// It completed.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease lapsed.
    #[strum(serialize = "lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[strum(serialize = "broken")]
    GangBroken,
    /// It waited in vain for the other members of its gang.
    #[strum(serialize = "alone")]
    GangIncomplete,
}

/// One entry of a worker's list of ends.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Its number within the worker's life.
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
