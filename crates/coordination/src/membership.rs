//! Membership and failure detection for agents and entries.
//!
//! [`Directory`] runs in each entry and detects failures of the peers that
//! connected to it. [`Heartbeater`] runs in each agent, and in each entry
//! towards the other entries; it dials, sends heartbeats and replaces
//! connections that no longer answer. `docs/design.md`, section 9, describes
//! the messages.
//!
//! A heartbeat carries the sequence of the newest ack that its sender has
//! received. The entry knows when it sent that ack, and the heartbeat cannot
//! have been sent earlier, however long the network delayed it. A delayed
//! heartbeat therefore doesn't keep an agent alive that has begun to leave in
//! the meantime, and a link that fails only towards the agent is detected.

use {
    filbertbend_state::{
        config::Snapshot,
        hash, id,
        room::Room,
        unit::{Connections, Millis, Slots},
    },
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, sync::Arc},
};

mod agent;
mod directory;
mod heartbeater;
mod liveness;
mod session;

pub use {
    agent::Agent,
    directory::{Action as DirectoryAction, Directory, Event as DirectoryEvent},
    heartbeater::{Action as HeartbeaterAction, Event as HeartbeaterEvent, Heartbeater, Settings},
    liveness::State,
};

/// Time between two heartbeats on one connection.
pub const HEARTBEAT_INTERVAL_MS: Millis = Millis(1000);
/// Time without an ack after which a new connection is dialled.
pub const ACK_TIMEOUT_MS: Millis = Millis(1500);
/// Time without a heartbeat after which a peer is suspect and gets no new work.
pub const SUSPECT_AFTER_MS: Millis = Millis(2000);
/// Time after an ack was sent during which a heartbeat that carries its sequence
/// keeps the peer alive. A leaving endpoint must get no new work after 3 s;
/// 100 ms less allow for clock drift and for writing the request.
pub const ACK_VALIDITY_MS: Millis = Millis(2900);
/// Time that a peer stays suspect before it is down.
pub const SUSPECT_TO_DOWN_MS: Millis = Millis(2000);
/// Time without a heartbeat after which a peer is removed from the directory.
pub const REMOVE_AFTER_MS: Millis = Millis(60_000);

/// The number of a connection, assigned by the process at this end of it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Connection(pub u64);

impl fmt::Display for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an agent announces about itself and its endpoint.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint that the agent manages.
    pub endpoint: id::Endpoint,
    /// The worker on which the agent and the endpoint run.
    pub worker: id::Worker,
    /// The incarnation of the agent's process; a restart increases it.
    pub incarnation: id::Incarnation,
    /// The data centre of the worker.
    pub data_centre: id::DataCentre,
    /// The rack of the worker.
    pub rack: id::Rack,
    /// The services that the endpoint serves.
    pub services: Vec<id::Service>,
    /// Requests that the endpoint runs concurrently.
    pub slots: Slots,
    /// Connections that the endpoint accepts at most.
    pub connections: Connections,
    /// The resources that the worker offers to tasks.
    pub room: Room,
}

/// An entry as it is listed in rosters.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Member {
    /// The name of the entry.
    pub entry: id::Entry,
    /// The address on which it accepts connections from agents and entries.
    pub address: SocketAddr,
    /// The data centre of the entry.
    pub data_centre: id::DataCentre,
    /// The incarnation of its process; a restart increases it.
    pub incarnation: id::Incarnation,
}

/// The first message on a connection.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Hello {
    /// Sent by an agent that connects to an entry.
    Agent(Announcement),
    /// Sent by an entry that connects to another entry.
    Entry(Member),
}

/// The load of an endpoint and its worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Resources of the worker that no task uses.
    pub free: Room,
    /// Request slots in use.
    pub slots_used: Slots,
    /// Connections of the endpoint in use.
    pub connections_used: Connections,
    /// Expected time that a request waits for a slot.
    pub queue: Millis,
    /// Median service time of recent requests.
    pub service_time: Millis,
    /// Whether the endpoint is shutting down and accepts no new work.
    pub leaving: bool,
}

/// A heartbeat, with what its sender has received from the peer so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Increases with each heartbeat of one incarnation.
    pub sequence: u64,
    /// The sequence of the newest ack received from this peer, or 0.
    pub last_ack: u64,
    /// The sender's load; entries set only `leaving`.
    pub load: Load,
    /// The revision of the configuration in force at the sender.
    pub revision: id::Revision,
    /// The hash of the roster last received from this peer, or 0.
    pub roster: u64,
}

/// The acknowledgement of a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// The sequence of the acknowledged heartbeat.
    pub sequence: u64,
    /// The live entries, unless the heartbeat carried the hash of this list.
    pub roster: Option<Vec<Member>>,
    /// The configuration, if the heartbeat carried an older revision.
    pub config: Option<Arc<Snapshot>>,
}

/// Returns the hash of a roster, which must be sorted by name.
pub fn roster_hash(roster: &[Member]) -> u64 {
    let mut text = String::new();
    for member in roster {
        use fmt::Write as _;
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "{} {} {} {}",
            member.entry, member.address, member.data_centre, member.incarnation
        );
    }
    hash::of(text)
}
