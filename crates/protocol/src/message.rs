//! The messages themselves.
//!
//! A connection carries one long-lived control stream in each direction, with
//! [`Control`] frames, and one stream for each request, with a [`Stream`] head.

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
    /// Sent once and first by the process that dialled.
    Hello(Hello),
    /// Answers `Hello`, once and first.
    Welcome {
        /// The entry that was reached.
        member: Member,
        /// The number of slices. An agent that counts another number would
        /// miss tasks in its inventories, so it must not use the link.
        slices: u16,
    },
    /// Load and liveness.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    Pulse(Ack),
    /// From an agent: what kinds of tasks were seen to use.
    Peaks(Vec<Peak>),
    /// From a task's owner to the agent.
    Command {
        /// The slice that owns the task.
        slice: id::Slice,
        /// The ownership under which it is sent.
        epoch: id::Epoch,
        /// The attempt.
        attempt: Attempt,
        /// The command.
        command: attempt::Command,
    },
    /// From the agent to a task's owner.
    Report {
        /// The slice that owns the task.
        slice: id::Slice,
        /// The attempt.
        attempt: Attempt,
        /// The report.
        report: attempt::Report,
    },
    /// Asks the agent for all attempts of a slice, sent by a new owner.
    Adopt {
        /// The slice.
        slice: id::Slice,
        /// The new ownership.
        epoch: id::Epoch,
    },
    /// Answers `Adopt`; attempts that are not listed have not run since.
    Inventory {
        /// The slice.
        slice: id::Slice,
        /// The ownership that asked.
        epoch: id::Epoch,
        /// The attempts that the agent holds.
        attempts: Vec<(Attempt, attempt::Phase)>,
    },
}

/// The head of a request as it travels from entry to agent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The request, for logs.
    pub id: id::Request,
    /// The entry that received it.
    pub entry: id::Entry,
    /// The service.
    pub service: id::Service,
    /// The class that it was admitted under.
    pub class: Class,
    /// The team that it counts against.
    pub team: id::Team,
    /// The time left until its deadline.
    pub remaining: Millis,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query at the endpoint.
    pub path: Arc<str>,
    /// The HTTP header fields.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
}

/// The first frame of a request stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Stream {
    /// A quick check; body frames follow.
    Check(Request),
    /// A call for the owner of a slice, from entry to entry; one answer follows.
    Forward {
        /// The slice.
        slice: id::Slice,
        /// The call.
        call: job::Call,
        /// The time that the caller still waits.
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
        /// The HTTP header fields.
        headers: Vec<(Arc<str>, Vec<u8>)>,
    },
    /// The request certainly did not reach the endpoint.
    Refused {
        /// Why.
        reason: Reason,
        /// When a retry is worthwhile.
        retry_after: Millis,
    },
    /// The deadline passed; tells whether the endpoint was asked.
    Expired {
        /// Whether the endpoint may have run the request.
        started: bool,
    },
    /// The endpoint was asked and gave no whole answer.
    Broken,
}

/// A frame of a body; a stream that ends before `End` is truncated.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Part of the body.
    Data(bytes::Bytes),
    /// The body is complete; trailer fields follow.
    End(Vec<(Arc<str>, Vec<u8>)>),
    /// The sender gave up; the body is not complete.
    Abort,
}

/// The answer to `Forward`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Forwarded {
    /// The owner's answer.
    Answer(job::Answer),
    /// The entry that was asked does not own the slice and did nothing.
    NotOwner,
}
