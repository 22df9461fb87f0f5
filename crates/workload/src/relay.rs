//! Calls of the store that an entry passes on to the leader, because the store
//! turns the entry away. See `docs/design/relay.md`.

use {
    crate::{id::Job, record::State},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    strum::Display,
};

/// A call that the leader's process carries out for another entry. The
/// conditions of each write are checked by the store, so it does not matter who
/// carries it out, how often, or in which term.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Call {
    /// Stores this encoded job, unless it is stored or was cancelled before.
    Submit(Job, Arc<[u8]>),
    /// Stores the cancellation of a job, or withdraws its identifier.
    Cancel(Job),
    /// Reads the stored state of a job.
    Look(Job),
    /// Asks whether the leader reaches the store.
    Probe,
}

impl Call {
    /// Returns the job that the call concerns, if any.
    pub fn job(&self) -> Option<Job> {
        match self {
            Self::Submit(id, _) | Self::Cancel(id) | Self::Look(id) => Some(*id),
            Self::Probe => None,
        }
    }

    /// Returns the number of bytes that the call carries beside its identifier.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Submit(_, value) => value.len(),
            Self::Cancel(_) | Self::Look(_) | Self::Probe => 0,
        }
    }
}

/// The outcome of a [`Call`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The job or the cancellation is stored, or the store has answered a probe.
    Stored,
    /// The job is certainly not stored, because it was cancelled before.
    Withdrawn,
    /// There is no such job, and its identifier is withdrawn.
    NotFound,
    /// There is no such job, and too many identifiers are withdrawn.
    Exhausted,
    /// The stored state of the job, or `None` if there is no such job.
    State(Option<State>),
    /// The call was certainly not carried out, because the leader is busy or the
    /// store turns it away too.
    Refused,
    /// The call may have been carried out, or may still be.
    Unknown,
}
