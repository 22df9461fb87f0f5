//! Tracks the agents and entries that are alive.
//!
//! [`Directory`] runs in each entry and judges the peers that dialled it.
//! [`Heartbeater`] runs in each agent, and in each entry towards the other entries;
//! it dials, sends heartbeats and replaces connections that have gone silent.
//! `docs/design.md`, section 9, describes the messages.
//!
//! A heartbeat names the newest pulse that its sender has received. The entry
//! knows when it sent that pulse, so it knows a point in time that the
//! heartbeat cannot precede, however long the network held it back. This keeps
//! a delayed heartbeat from prolonging the life of an agent that has begun to
//! leave since, and makes a link that is cut towards the agent visible.

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
/// Time without an answer after which a new connection is dialled.
pub const ACK_TIMEOUT_MS: Millis = Millis(1500);
/// Time without a heartbeat after which a peer gets no new work.
pub const SUSPECT_AFTER_MS: Millis = Millis(2000);
/// Time after a pulse during which a heartbeat that answers it counts. It is
/// the 3 s after which a leaving endpoint gets no new work, less 100 ms for
/// clock drift and for the request to be written.
pub const ACK_VALIDITY_MS: Millis = Millis(2900);
/// Time from suspect to down.
pub const SUSPECT_TO_DOWN_MS: Millis = Millis(2000);
/// Time after which a peer that is down is forgotten.
pub const REMOVE_AFTER_MS: Millis = Millis(60_000);

/// A connection, numbered by the process that holds this end of it.
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

/// The load of an endpoint and worker.
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

/// A heartbeat, and what its sender has received so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Rises with each heartbeat of one process life.
    pub sequence: u64,
    /// The sequence of the newest pulse received from this peer, or 0.
    pub last_ack: u64,
    /// The load; entries set only `leaving`.
    pub load: Load,
    /// The configuration in force.
    pub revision: id::Revision,
    /// The hash of the roster last received from this peer, or 0.
    pub roster: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// The sequence of the heartbeat.
    pub sequence: u64,
    /// The live entries, if the sender of the heartbeat had others.
    pub roster: Option<Vec<Member>>,
    /// The configuration, if the sender of the heartbeat had an older one.
    pub config: Option<Arc<Snapshot>>,
}

/// Hashes a roster, whose members are in the order of their names.
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
