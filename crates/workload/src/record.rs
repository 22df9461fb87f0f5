//! What must survive the loss of every process, as it is kept in the store.

use {
    crate::id::{Epoch, Node, Run},
    filbertbend_state::time::Wall,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    strum::Display,
};

/// Where a job stands, as its caller is told.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have completed.
    Complete,
    /// A task has failed too often.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl State {
    /// Tells whether nothing of the job will run any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}

/// How far a job has come.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Where it stands.
    pub state: State,
    /// When it came to a final state.
    pub ended: Option<Wall>,
    /// Occurrences that have completed or are in progress.
    pub occurrences: Vec<Occurrence>,
    /// All occurrences below this one have completed and are not listed.
    pub completed: u32,
}

/// How far an occurrence of a job has come.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Its number.
    pub number: u32,
    /// For each step, the tasks that have completed, a bit each.
    pub done: Vec<Vec<u64>>,
    /// Tasks with anything else to remember.
    pub unfinished: Vec<Unfinished>,
}

/// What is remembered of a task that has not completed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Unfinished {
    /// The step.
    pub step: u16,
    /// The task's index within the step.
    pub index: u16,
    /// How often it has failed.
    pub failures: u32,
    /// The last run whose failure was counted, so that none counts twice.
    pub failed_run: Run,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Where it has been ordered to run and has not certainly ended. This is
    /// durable before an order is given, so a new leader knows what may run.
    pub runs: Vec<(Node, Run)>,
}

/// The entry that leads, as every process finds it in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    /// Its term.
    pub epoch: Epoch,
    /// Its name.
    pub node: Arc<str>,
    /// Where agents and entries reach it.
    pub address: SocketAddr,
}

/// The last write of a leader. Every write expects the one before, so that a
/// former leader, or a write that was delayed, changes nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Term {
    /// The leader's term.
    pub epoch: Epoch,
    /// The number of the write within the term.
    pub batch: u64,
    /// Who wrote it.
    pub node: Arc<str>,
}
