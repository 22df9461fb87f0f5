//! Messages between the owner of a task and the agent that runs it.
//!
//! An attempt is one placement of one task. The exchange of start, claim and
//! grant that keeps a task from running twice is described in `docs/design.md`,
//! section 7.

use {
    filbertbend_state::{id, room::Room, unit::Millis},
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
    strum::IntoStaticStr,
};

/// Identifies one attempt at one task.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Attempt {
    /// The task that is placed.
    pub task: id::Task,
    /// The number of the attempt, counted per task.
    pub number: id::Attempt,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// The work of an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A batch task, run by the worker.
    Batch {
        /// The service that the job belongs to, by which resource usage is
        /// grouped.
        service: id::Service,
        /// The job's input.
        body: Vec<u8>,
        /// The checkpoint to resume from, or `None` to start from the
        /// beginning.
        resume: Option<id::Checkpoint>,
    },
    /// An order, sent to the endpoint at most once.
    Order {
        /// The service that processes the order.
        service: id::Service,
        /// The customer who placed the order.
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

/// The output of a completed attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// The HTTP status, or 200 for a batch task that succeeded.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Arc<str>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// How an attempt ended without being stopped.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// It completed with this output.
    Completed(Output),
    /// It failed for this reason, either in the task or on the worker.
    Failed(Arc<str>),
    /// It is an order that may have run, but the response was lost.
    Unknown,
}

/// A message from the owner of a task to the agent.
#[derive(Clone, Debug, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Command {
    /// Requests that the agent reserve room and claim the attempt.
    Start {
        /// The room to reserve.
        size: Room,
        /// The work to run.
        work: Work,
    },
    /// Allows the attempt to run for `lease`, counted from before the agent
    /// sent the request with this nonce.
    Grant {
        /// The nonce of the claim or renewal that is granted.
        nonce: id::Nonce,
        /// The duration of the lease.
        lease: Millis,
    },
    /// Reports that the attempt is not current and must not run.
    Deny {
        /// The nonce of the claim or renewal that is denied.
        nonce: id::Nonce,
    },
    /// Requests a checkpoint followed by a stop.
    Evict,
    /// Requests a stop without a checkpoint.
    Cancel,
    /// Requests a confirmation that the attempt has not started and never will.
    Withdraw,
    /// Confirms that the end of the attempt is durable, so that the agent may
    /// drop it.
    Ack,
}

impl Command {
    /// Returns the name of the command, for logs.
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
        /// Why it was refused.
        reason: Refusal,
    },
    /// Requests the grant that the attempt needs to start.
    Claim {
        /// Matches the grant or denial to this request.
        nonce: id::Nonce,
    },
    /// Requests a longer lease.
    Renew {
        /// Matches the grant or denial to this request.
        nonce: id::Nonce,
    },
    /// A checkpoint is complete.
    Checkpointed {
        /// The number of the checkpoint.
        number: id::Checkpoint,
    },
    /// The attempt was stopped on request, evicted by the agent itself, or
    /// stopped because its lease ended.
    Stopped {
        /// The newest complete checkpoint of this attempt.
        checkpoint: Option<id::Checkpoint>,
    },
    /// The attempt ended without being stopped.
    Ended(End),
    /// Confirms that the attempt has not started and never will.
    Withdrawn,
    /// Answers `Withdraw` for an attempt that has started.
    Started,
}

impl Report {
    /// Returns the name of the report, for logs.
    pub fn name(&self) -> &'static str {
        self.into()
    }
}

/// Why an agent refused an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The worker or the endpoint has no room, or the claim was not answered.
    NoRoom,
    /// The agent is leaving.
    Leaving,
    /// The worker could not be reached or refused the task, or the order could
    /// not be sent to the endpoint.
    Worker,
}

/// The phase of an attempt on its agent, as reported to a new owner.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Room or a slot is reserved or awaited, but the attempt has not started.
    Reserved,
    /// It may have started and is not known to have ended.
    Running,
    /// It has ended; the end is sent again until it is acknowledged.
    Ended,
}
