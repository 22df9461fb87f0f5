//! The answers that a caller can get, and what each one guarantees.
//!
//! `docs/guide.md` lists them for callers.

use {
    crate::unit::Millis,
    serde::{Deserialize, Serialize},
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// Why a request was refused before it ran.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The queue is at its bound, or the request would wait in it past its
    /// deadline.
    QueueFull,
    /// The deadline of the request cannot be met.
    DeadlineTooShort,
    /// No endpoint or worker has room.
    NoRoom,
    /// No endpoint serves the service.
    NoEndpoint,
    /// The process that received the request is leaving.
    Leaving,
    /// The store is down, so new work cannot be made durable.
    StoreUnavailable,
    /// The team is over its quota.
    QuotaExceeded,
    /// The service is not in the configuration.
    UnknownService,
    /// An earlier order of the customer is missing.
    SequenceGap,
    /// The idempotency key was already used with a different body.
    KeyReused,
    /// The job is larger than every worker.
    TooLarge,
    /// The job failed on several workers that are not on probation.
    Parked,
    /// The slice currently has no owner.
    NoOwner,
    /// The retry budget is exhausted.
    RetryBudget,
}

/// Whether a request that got no answer ran.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Ran {
    /// It certainly did not run.
    No,
    /// It may have run.
    Unknown,
}

/// How a request, job or order ended for its caller.
///
/// The enum is not internally tagged: frames between entries are not
/// self-describing, so an internally tagged form could be encoded but not
/// decoded.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is complete.
    Done,
    /// It certainly did not run.
    Refused {
        /// Why it was refused.
        reason: Reason,
        /// How long the caller should wait before it retries.
        retry_after_ms: Millis,
    },
    /// It may have run; ask again with the same key.
    Unknown,
    /// Its deadline passed.
    Expired {
        /// Whether it ran before the deadline.
        ran: Ran,
    },
    /// The caller cancelled it.
    Cancelled,
    /// The request itself is wrong and did not run.
    Invalid,
}
