//! Messages between the owner of a task and the agent that runs it.
//!
//! An attempt is one placement of one task. `docs/design.md`, section 7,
//! explains the exchange of start, claim and grant that keeps a task from
//! running twice.

use {
    filbertbend_state::{id, room::Room, unit::Millis},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
    strum::IntoStaticStr,
};

/// One attempt at one task.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Attempt {
    /// The task.
    pub task: id::Task,
    /// The number of the attempt.
    pub number: id::Attempt,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// What an attempt runs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A batch task on the worker.
    Batch {
        /// The service whose job it is, which also names its kind of load.
        service: id::Service,
        /// The job's input.
        body: Vec<u8>,
        /// The checkpoint to resume from.
        resume: Option<id::Checkpoint>,
    },
    /// An order sent to the endpoint, at most once.
    Order {
        /// The service.
        service: id::Service,
        /// The customer.
        customer: id::Customer,
        /// The idempotency key, passed on to the endpoint.
        key: id::Key,
        /// The request body.
        body: Vec<u8>,
    },
}

impl Work {
    /// Returns the service that the work belongs to.
    pub fn service(&self) -> &id::Service {
        match self {
            Self::Batch { service, .. } | Self::Order { service, .. } => service,
        }
    }
}

/// What an attempt returned.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// The HTTP status; 200 for a batch task that succeeded.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Arc<str>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// How an attempt ended by itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// It finished with this output.
    Completed(Output),
    /// The task failed, which may be the fault of the task or of the worker.
    Failed(Arc<str>),
    /// An order may have run, but its answer was lost.
    Unknown,
}

/// A message from the owner of a task to the agent.
#[derive(Clone, Debug, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Command {
    /// Asks the agent to reserve room and claim the attempt.
    Start {
        /// The room that it takes.
        size: Room,
        /// What it runs.
        work: Work,
    },
    /// Allows the attempt to run until `lease` after the agent asked.
    Grant {
        /// The nonce of the claim or renewal.
        nonce: id::Nonce,
        /// The length of the lease.
        lease: Millis,
    },
    /// Tells that the attempt is not current and must not run.
    Deny {
        /// The nonce of the claim or renewal.
        nonce: id::Nonce,
    },
    /// Asks for a checkpoint, then a stop.
    Evict,
    /// Asks for a stop without a checkpoint.
    Cancel,
    /// Asks for proof that the attempt has not started and never will.
    Withdraw,
    /// Confirms that the attempt's end is durable and may be forgotten.
    Ack,
}

impl Command {
    /// Returns the command's name, for logs.
    pub fn name(&self) -> &'static str {
        self.into()
    }
}

/// A message from the agent to the owner of a task.
#[derive(Clone, Debug, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Report {
    /// The attempt was not started and never will be.
    Refused {
        /// Why.
        reason: Refusal,
    },
    /// Asks for a grant before the first start.
    Claim {
        /// Ties the grant to this request.
        nonce: id::Nonce,
    },
    /// Asks for a longer lease.
    Renew {
        /// Ties the grant to this request.
        nonce: id::Nonce,
    },
    /// A checkpoint is complete.
    Checkpointed {
        /// Its number.
        number: id::Checkpoint,
    },
    /// The attempt was stopped on request or because its lease ended.
    Stopped {
        /// The newest complete checkpoint of this attempt.
        checkpoint: Option<id::Checkpoint>,
    },
    /// The attempt ended by itself.
    Ended(End),
    /// The answer to `Withdraw`: it has not started and never will.
    Withdrawn,
    /// The answer to `Withdraw` of an attempt that has started.
    Started,
}

impl Report {
    /// Returns the report's name, for logs.
    pub fn name(&self) -> &'static str {
        self.into()
    }
}

/// Why an agent refused an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The worker has no room for it.
    NoRoom,
    /// The endpoint is leaving.
    Leaving,
    /// The worker refused to start it.
    Worker,
}

/// Where an attempt stands on its agent, reported to a new owner.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Reserved; the worker has not been told to start it.
    Reserved,
    /// Started on the worker and not known to have ended.
    Running,
    /// Ended; the end is resent until it is acknowledged.
    Ended,
}
