//! The messages themselves.
//!
//! A connection carries one long-lived control stream in each direction, with
//! [`Control`] frames, and one stream for each request, with a [`Stream`] head.

use {
    filbertbend_coordination::{
        attempt::{self, Attempt},
        job,
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        outcome::Reason,
        room::Room,
        service::Class,
        unit::{Connections, Millis, Slots},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// What an agent announces about itself and its endpoint.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint beside the agent.
    pub endpoint: id::Endpoint,
    /// The worker that both run on.
    pub worker: id::Worker,
    /// The life of the agent's process.
    pub incarnation: id::Incarnation,
    /// The data centre.
    pub data_centre: id::DataCentre,
    /// The rack.
    pub rack: id::Rack,
    /// The services that the endpoint answers.
    pub services: Vec<id::Service>,
    /// The endpoint's request slots.
    pub slots: Slots,
    /// The endpoint's connection limit.
    pub connections: Connections,
    /// The worker's room for tasks.
    pub room: Room,
}

/// An entry as others see it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Member {
    /// The entry.
    pub entry: id::Entry,
    /// The address where it takes connections from agents and entries.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// The life of its process.
    pub incarnation: id::Incarnation,
}

/// The first message on a connection.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Hello {
    /// An agent dials an entry.
    Agent(Announcement),
    /// An entry dials an entry.
    Entry(Member),
}

/// The load of an endpoint and worker, sent every heartbeat interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Free room for tasks.
    pub free: Room,
    /// Request slots in use.
    pub slots_used: Slots,
    /// Connections in use.
    pub connections_used: Connections,
    /// Expected wait for a slot.
    pub queue: Millis,
    /// Recent median service time.
    pub service_time: Millis,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
}

/// A heartbeat, and the newest configuration that its sender has in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Rises with each heartbeat of one process life.
    pub sequence: u64,
    /// The load, absent from entries.
    pub load: Load,
    /// The configuration in force.
    pub revision: id::Revision,
    /// A hash of the roster that the sender knows.
    pub roster: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Pulse {
    /// The sequence of the heartbeat.
    pub sequence: u64,
    /// The live entries, if the sender of the heartbeat had others.
    pub roster: Option<Vec<Member>>,
    /// The configuration, if the sender of the heartbeat had an older one.
    pub config: Option<Arc<Snapshot>>,
}

/// A frame of a control stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Control {
    /// Sent by the process that dialled, once and first.
    Hello(Hello),
    /// Load and liveness.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    Pulse(Pulse),
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
