//! The answers that a caller can get, and what each one promises.
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
    /// The queue would hold the request past its deadline or its bound.
    QueueFull,
    /// Its deadline cannot be met.
    DeadlineTooShort,
    /// No endpoint or worker has room.
    NoRoom,
    /// No endpoint serves the service.
    NoEndpoint,
    /// The process that was asked is leaving.
    Leaving,
    /// The store is down, so nothing new can be made durable.
    StoreUnavailable,
    /// The team is over its quota.
    QuotaExceeded,
    /// The service is not in the configuration.
    UnknownService,
    /// An earlier order of the customer is missing.
    SequenceGap,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The job is larger than every worker.
    TooLarge,
    /// The job failed on several workers in good standing.
    Parked,
    /// The slice has no owner at the moment.
    NoOwner,
    /// No try is left in the retry budget.
    RetryBudget,
}

/// Whether a request that has no answer ran.
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
/// Not internally tagged: frames between entries are not self-describing, so a
/// tagged form could be written but not read there.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is complete.
    Done,
    /// It certainly did not run.
    Refused {
        /// Why it was refused.
        reason: Reason,
        /// When a retry is worthwhile.
        retry_after_ms: Millis,
    },
    /// It may have run; ask again with the same key.
    Unknown,
    /// Its deadline passed.
    Expired {
        /// Whether it ran.
        ran: Ran,
    },
    /// The caller cancelled it.
    Cancelled,
    /// The request itself is wrong and did not run.
    Invalid,
}
