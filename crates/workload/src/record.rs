//! Records kept in the store, which must survive the loss of every process.

use {
    crate::id::{Epoch, Node, Run},
    filbertbend_state::{time::Wall, unit::Cores},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    strum::Display,
};

/// The state of a job, as callers see it.
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
    /// A task has failed as often as its policy allows.
    Failed,
    /// A caller has cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether no task of the job will be started any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}

/// The progress of a job.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The state of the job.
    pub state: State,
    /// When the job reached a final state.
    pub ended: Option<Wall>,
    /// Occurrences that are due and not covered by `completed`.
    pub occurrences: Vec<Occurrence>,
    /// All occurrences below this one have completed and are not listed.
    pub completed: u32,
}

/// The progress of an occurrence.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// The number of the occurrence, from 0.
    pub number: u32,
    /// A bit set of the completed tasks for each step.
    pub done: Vec<Vec<u64>>,
    /// The incomplete tasks with failures, blame, a checkpoint or runs.
    pub unfinished: Vec<Unfinished>,
}

/// The state of a task that has not completed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Unfinished {
    /// The index of the step.
    pub step: u16,
    /// The task's index within the step.
    pub index: u16,
    /// The number of counted failures.
    pub failures: u32,
    /// The last run whose failure was counted; prevents counting it twice.
    pub failed_run: Run,
    /// The blame for crashes of workers.
    pub blame: u32,
    /// The last run that was blamed; prevents counting a crash twice.
    pub blamed_run: Run,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// The runs that were ordered and have not certainly ended. They are
    /// durable before the start is sent, so that a new leader knows what may be
    /// running.
    pub runs: Vec<(Node, Run)>,
}

/// The current leader, as published in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    /// The leader's term.
    pub epoch: Epoch,
    /// The name of the entry.
    pub node: Arc<str>,
    /// The address for agents and other entries.
    pub address: SocketAddr,
    /// The address of the entry that led before, if leases that it has granted
    /// may last and those of earlier leaders don't. Whoever listens there now
    /// tells the leader that its predecessor is gone.
    pub former: Option<SocketAddr>,
}

/// The last write of a leader. Each write expects the previous one, so that
/// neither a former leader nor a delayed write can change anything.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Term {
    /// The leader's term.
    pub epoch: Epoch,
    /// The number of the write within the term.
    pub batch: u64,
    /// The name of the entry that wrote it.
    pub node: Arc<str>,
    /// The address of the entry that wrote it.
    pub address: SocketAddr,
    /// Whether all leases that earlier leaders had granted were over.
    pub settled: bool,
    /// The processor time of the entry that wrote it. Processes of an earlier
    /// version neither write nor read it, see [`Term::complete`].
    pub processor: Option<Cores>,
}

impl Term {
    /// Completes a stored record of a version that had no `processor`, which then
    /// reads as `None`. Fields are stored without names, in order, and whatever
    /// follows the last one is ignored: by this version and by earlier ones.
    pub fn complete(mut stored: Vec<u8>) -> Vec<u8> {
        const NONE: u8 = 0;
        stored.push(NONE);
        stored
    }
}
