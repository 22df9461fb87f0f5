//! The journal records of an owner's decisions.

use {
    crate::{
        attempt::{Attempt, Output, Refusal},
        job::{Phase, Spec},
    },
    filbertbend_state::{hash, id, outcome::Reason, room::Room, time::Wall, unit::Bytes},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Number of buckets that a slice's state is divided into for compaction.
pub const BUCKETS: usize = 16;

/// The output of a task as stored in the journal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Stored {
    /// The whole output, with a body of at most
    /// [`INLINE_LIMIT_BYTES`](super::INLINE_LIMIT_BYTES).
    Inline(Arc<Output>),
    /// An output whose body is stored in chunks outside the journal, at the keys
    /// given by [`chunk_key`](super::chunk_key).
    Chunks {
        /// The attempt that produced the output, which is part of the chunk keys.
        attempt: id::Attempt,
        /// The HTTP status.
        status: u16,
        /// The media type of the body.
        content_type: Arc<str>,
        /// The length of the whole body in bytes.
        size: Bytes,
        /// A hash of the whole body, which detects a truncated one.
        digest: u64,
    },
}

/// Why an attempt ended without an output. It can no longer run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Termination {
    /// The agent refused it and keeps a tombstone, so that it cannot start later.
    Refused(Refusal),
    /// It was never granted, and a later claim will be denied.
    Abandoned,
    /// The agent confirmed that it has stopped.
    Stopped,
    /// The agent confirmed with a tombstone that it never starts.
    Withdrawn,
    /// Its lease has expired by the owner's clock, including the allowed drift.
    LeaseExpired,
    /// The task failed on the worker, for the reason given.
    Failed(Arc<str>),
    /// An order that may have run, but whose answer was lost.
    Unknown,
}

impl Termination {
    /// Returns the text that the `explain` command shows for the attempt.
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
/// Each record changes a single bucket, so that compaction knows from the records
/// which buckets have changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A job or order was accepted.
    Submitted {
        /// The submitted specification, with an empty body.
        spec: Arc<Spec>,
        /// The input of the job or order.
        body: Arc<[u8]>,
        /// A hash of the input, kept until the job is forgotten.
        digest: u64,
        /// The time of acceptance by the owner's wall clock.
        at: Wall,
    },
    /// An attempt was placed. Its start is sent only once this record is durable.
    Placed {
        /// The new attempt.
        attempt: Attempt,
        /// The worker that it was placed on.
        worker: id::Worker,
        /// The incarnation of the worker's agent at the time.
        incarnation: id::Incarnation,
        /// The resources reserved for it.
        size: Room,
    },
    /// A checkpoint of the current attempt is complete.
    Checkpointed {
        /// The attempt that wrote the checkpoint.
        attempt: Attempt,
        /// The number of the checkpoint.
        number: id::Checkpoint,
    },
    /// The current attempt ended without an output.
    Ended {
        /// The attempt that ended.
        attempt: Attempt,
        /// Why it ended.
        termination: Termination,
        /// The newest complete checkpoint that the agent reported with the end.
        checkpoint: Option<id::Checkpoint>,
    },
    /// The current attempt completed.
    Completed {
        /// The attempt that completed.
        attempt: Attempt,
        /// The output of its task.
        output: Stored,
    },
    /// The customer's next order may run.
    Advanced {
        /// The customer whose sequence advanced.
        customer: id::Customer,
        /// The sequence number of the next order to run.
        next: u64,
    },
    /// A job or order ended and never runs again.
    Closed {
        /// The job that ended.
        job: id::Job,
        /// The final phase.
        phase: Phase,
        /// The reason, if it was refused or parked.
        reason: Option<Reason>,
        /// The time of the end by the owner's wall clock.
        at: Wall,
    },
    /// The retention period of a job or order is over, and its state is dropped.
    Forgotten {
        /// The job to drop.
        job: id::Job,
    },
}

impl Record {
    /// Returns the index of the bucket that the record changes, below [`BUCKETS`].
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
    // The low bits of the hash choose the slice, so the bucket uses the high ones.
    (hash::of(job.0 .0.to_le_bytes()) >> 60) as usize
}

/// Returns the bucket that holds `customer`.
pub(super) fn customer_bucket(customer: &id::Customer) -> usize {
    (hash::of(customer.as_str()) >> 60) as usize
}
