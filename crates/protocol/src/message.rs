//! Message types.
//!
//! A connection carries one long-lived control stream in each direction, with
//! [`Control`] frames, and one stream for each request, which starts with a
//! [`Preamble`].

use {
    filbertbend_coordination::{
        attempt::{self, Attempt},
        job,
        membership::{Ack, Heartbeat, Hello, Member},
        placement::Peak,
    },
    filbertbend_state::{id, outcome::Reason, service::Class, unit::Millis},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A frame of a control stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Control {
    /// The first frame from the process that dialled; sent once.
    Hello(Hello),
    /// Answers `Hello`: the first frame from the process that accepted; sent
    /// once.
    Welcome {
        /// The entry that accepted the link.
        member: Member,
        /// The number of slices. An agent with a different number would leave
        /// tasks out of its inventories, so it must not use the link.
        slices: u16,
    },
    /// Reports that the sender is alive, and its load.
    Heartbeat(Heartbeat),
    /// Acknowledges a heartbeat.
    Ack(Ack),
    /// From an agent: the peak resource use that it observed, by kind of task.
    Peaks(Vec<Peak>),
    /// From a task's owner to the agent.
    Command {
        /// The slice of the task.
        slice: id::Slice,
        /// The epoch of the owner that sends the command.
        epoch: id::Epoch,
        /// The attempt that the command is for.
        attempt: Attempt,
        /// What the agent should do.
        command: attempt::Command,
    },
    /// From the agent to a task's owner.
    Report {
        /// The slice of the task.
        slice: id::Slice,
        /// The attempt that the report is about.
        attempt: Attempt,
        /// What happened to the attempt.
        report: attempt::Report,
    },
    /// From the new owner of a slice: asks the agent for all attempts of the
    /// slice.
    Adopt {
        /// The slice whose owner changed.
        slice: id::Slice,
        /// The epoch of the new owner.
        epoch: id::Epoch,
    },
    /// Answers `Adopt`; attempts that are not listed have not run since.
    Inventory {
        /// The slice that was asked for.
        slice: id::Slice,
        /// The epoch of the owner that asked.
        epoch: id::Epoch,
        /// The attempts that the agent holds.
        attempts: Vec<(Attempt, attempt::Phase)>,
    },
}

/// The head of a request that an entry sends to an agent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request in logs.
    pub id: id::Request,
    /// The entry that received the request.
    pub entry: id::Entry,
    /// The service that was called.
    pub service: id::Service,
    /// The class under which the request was admitted.
    pub class: Class,
    /// The team whose quota the request counts against.
    pub team: id::Team,
    /// The time left until the deadline of the request.
    pub remaining: Millis,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query to request from the endpoint.
    pub path: Arc<str>,
    /// The HTTP header fields, without hop-by-hop ones.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
}

/// The first frame of a request stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Preamble {
    /// A check; body frames follow.
    Check(Request),
    /// A call that one entry forwards to the entry that owns a slice; one answer
    /// follows.
    Forward {
        /// The slice whose owner is called.
        slice: id::Slice,
        /// The call to carry out.
        call: job::Call,
        /// How much longer the caller waits for an answer.
        remaining: Millis,
    },
}

/// The first frame of the answer to a check.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The endpoint's answer; body frames follow.
    Head {
        /// The HTTP status.
        status: u16,
        /// The HTTP header fields, without hop-by-hop ones.
        headers: Vec<(Arc<str>, Vec<u8>)>,
    },
    /// The request certainly did not reach the endpoint.
    Refused {
        /// Why it was refused.
        reason: Reason,
        /// How long to wait before a retry.
        retry_after: Millis,
    },
    /// The deadline passed before the endpoint answered.
    Expired {
        /// Whether the endpoint may have run the request.
        started: bool,
    },
    /// The request was sent to the endpoint, and its answer is missing or
    /// incomplete.
    Broken,
}

/// A frame of a body; a body whose stream ends before `End` is truncated.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Part of the body.
    Data(bytes::Bytes),
    /// The body is complete; carries its trailer fields.
    End(Vec<(Arc<str>, Vec<u8>)>),
    /// The sender aborted the body, which is incomplete.
    Abort,
}

/// The answer to `Forward`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Forwarded {
    /// The owner's answer.
    Answer(job::Answer),
    /// The entry that was called does not own the slice and did nothing.
    NotOwner,
}
