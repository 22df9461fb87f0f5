//! The records that make the decisions of an owner durable.

use {
    crate::{
        attempt::{Attempt, Output, Refusal},
        job::{Phase, Spec},
    },
    filbertbend_state::{hash, id, outcome::Reason, room::Room, time::Wall, unit::Bytes},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The number of buckets that a slice's state is divided into for compaction.
pub const BUCKETS: usize = 16;

/// The output of a task as the journal holds it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Stored {
    /// The output itself, at most [`INLINE_LIMIT_BYTES`](super::INLINE_LIMIT_BYTES).
    Inline(Arc<Output>),
    /// The body is in chunks in the store; see [`chunk_key`](super::chunk_key).
    Chunks {
        /// The attempt that wrote them, which is part of their keys.
        attempt: id::Attempt,
        /// The HTTP status.
        status: u16,
        /// The media type of the body.
        content_type: Arc<str>,
        /// The length of the whole body.
        size: Bytes,
        /// A hash of the whole body, so that a truncated one is noticed.
        digest: u64,
    },
}

/// Why an attempt is certainly over without an output.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Termination {
    /// The agent refused it and keeps a tombstone.
    Refused(Refusal),
    /// It was never granted, and its claim will be denied.
    Abandoned,
    /// The agent confirmed that it was stopped.
    Stopped,
    /// The agent proved with a tombstone that it never starts.
    Withdrawn,
    /// Its lease has expired as counted by the owner.
    LeaseExpired,
    /// The task failed.
    Failed(Arc<str>),
    /// An order may have run, but its answer was lost.
    Unknown,
}

impl Termination {
    /// Describes the end of the attempt for `explain`.
    pub fn describe(&self) -> Arc<str> {
        match self {
            Self::Refused(reason) => format!("refused: {reason}").into(),
            Self::Abandoned => "abandoned before the grant".into(),
            Self::Stopped => "stopped".into(),
            Self::Withdrawn => "withdrawn before the start".into(),
            Self::LeaseExpired => "lost: lease expired".into(),
            Self::Failed(reason) => format!("failed: {reason}").into(),
            Self::Unknown => "unknown: answer lost".into(),
        }
    }
}

/// One durable change of a slice's state.
///
/// Each record changes one bucket only, so that a compaction can tell from the
/// records which buckets have changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A job or order was accepted.
    Submitted {
        /// What was submitted, with an empty body.
        spec: Arc<Spec>,
        /// The input.
        body: Arc<[u8]>,
        /// A hash of the input, kept for as long as the job is remembered.
        digest: u64,
        /// When, by the wall clock of the owner.
        at: Wall,
    },
    /// An attempt was placed; nothing has been sent before this is durable.
    Placed {
        /// The attempt.
        attempt: Attempt,
        /// Where.
        worker: id::Worker,
        /// The life of the agent that is asked to run it.
        incarnation: id::Incarnation,
        /// The room that it takes.
        size: Room,
    },
    /// A checkpoint of the current attempt is complete.
    Checkpointed {
        /// The attempt.
        attempt: Attempt,
        /// The checkpoint.
        number: id::Checkpoint,
    },
    /// The current attempt is over without an output.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// Why.
        termination: Termination,
        /// The newest complete checkpoint that the agent named.
        checkpoint: Option<id::Checkpoint>,
    },
    /// The current attempt completed.
    Completed {
        /// The attempt.
        attempt: Attempt,
        /// What it returned.
        output: Stored,
    },
    /// The customer's next order may run.
    Advanced {
        /// The customer.
        customer: id::Customer,
        /// The sequence number of the next order to run.
        next: u64,
    },
    /// A job or order reached its end and never runs again.
    Closed {
        /// The job.
        job: id::Job,
        /// How it ended.
        phase: Phase,
        /// Why, if it was refused or parked.
        reason: Option<Reason>,
        /// When, by the wall clock of the owner.
        at: Wall,
    },
    /// A job or order is no longer remembered.
    Forgotten {
        /// The job.
        job: id::Job,
    },
}

impl Record {
    /// Returns the bucket that the record changes, below [`BUCKETS`].
    pub fn bucket(&self) -> usize {
        match self {
            Self::Submitted { spec, .. } => job_bucket(spec.id),
            Self::Placed { attempt, .. }
            | Self::Checkpointed { attempt, .. }
            | Self::Ended { attempt, .. }
            | Self::Completed { attempt, .. } => job_bucket(attempt.task.job),
            Self::Advanced { customer, .. } => customer_bucket(customer),
            Self::Closed { job, .. } | Self::Forgotten { job } => job_bucket(*job),
        }
    }
}

/// Returns the bucket that holds `job`.
pub(super) fn job_bucket(job: id::Job) -> usize {
    // The high bits are used because the slice was chosen by the low ones.
    (hash::of(job.0 .0.to_le_bytes()) >> 60) as usize
}

/// Returns the bucket that holds `customer`.
pub(super) fn customer_bucket(customer: &id::Customer) -> usize {
    (hash::of(customer.as_str()) >> 60) as usize
}
