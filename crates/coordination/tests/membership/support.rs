//! Fixtures of the membership tests.

use {
    filbertbend_coordination::membership::{
        Ack, Announcement, Connection, Directory, DirectoryAction, DirectoryEvent, Heartbeat,
        Heartbeater, HeartbeaterAction, HeartbeaterEvent, Hello, Member, Settings, State,
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        room::Room,
        time::Instant,
        unit::{Connections, Slots},
    },
    std::{net::SocketAddr, sync::Arc},
};

pub(crate) fn at(ms: u64) -> Instant {
    Instant(ms)
}

pub(crate) fn endpoint() -> id::Endpoint {
    id::Endpoint::new("e1").unwrap()
}

pub(crate) fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n))
}

pub(crate) fn member(n: u16, incarnation: u64) -> Member {
    Member {
        entry: id::Entry::new(format!("entry-{n}")).unwrap(),
        address: address(n),
        data_centre: id::DataCentre::new("xela").unwrap(),
        incarnation: id::Incarnation(incarnation),
    }
}

pub(crate) fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        endpoint: endpoint(),
        worker: id::Worker::new("w1").unwrap(),
        incarnation: id::Incarnation(incarnation),
        data_centre: id::DataCentre::new("xela").unwrap(),
        rack: id::Rack::new("r1").unwrap(),
        services: vec![id::Service::new("spacing").unwrap()],
        slots: Slots(8),
        connections: Connections(64),
        room: Room::NONE,
    }
}

pub(crate) fn numbered_heartbeat(sequence: u64, last_ack: u64) -> Heartbeat {
    Heartbeat {
        sequence,
        last_ack,
        ..Heartbeat::default()
    }
}

pub(crate) fn leaving(mut heartbeat: Heartbeat) -> Heartbeat {
    heartbeat.load.leaving = true;
    heartbeat
}

pub(crate) fn snapshot(revision: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        revision: id::Revision(revision),
        ..Snapshot::default()
    })
}

/// A directory with the actions of its last step.
pub(crate) struct Entry {
    pub(crate) directory: Directory,
    pub(crate) actions: Vec<DirectoryAction>,
}

pub(crate) fn entry() -> Entry {
    Entry {
        directory: Directory::new(member(0, 1)),
        actions: Vec::new(),
    }
}

impl Entry {
    pub(crate) fn step(&mut self, ms: u64, event: DirectoryEvent) {
        self.actions.clear();
        self.directory.step(at(ms), event, &mut self.actions);
    }

    pub(crate) fn hello(&mut self, ms: u64, connection: u64, incarnation: u64) {
        self.step(
            ms,
            DirectoryEvent::Hello {
                connection: Connection(connection),
                accepted: at(ms),
                hello: Hello::Agent(announcement(incarnation)),
            },
        );
    }

    pub(crate) fn heartbeat(&mut self, ms: u64, connection: u64, heartbeat: Heartbeat) {
        self.step(
            ms,
            DirectoryEvent::Heartbeat {
                connection: Connection(connection),
                heartbeat,
            },
        );
    }

    pub(crate) fn state(&self, ms: u64) -> State {
        self.directory
            .agent(&endpoint())
            .map_or(State::Down, |agent| agent.state(at(ms)))
    }

    pub(crate) fn takes_work(&self, ms: u64) -> bool {
        self.directory
            .agent(&endpoint())
            .is_some_and(|agent| self.directory.takes_work(agent, at(ms)))
    }

    pub(crate) fn connection(&self) -> Option<Connection> {
        self.directory.agent(&endpoint())?.connection()
    }
}

/// A heartbeater towards `entry-1`, with the actions of its last step.
pub(crate) struct Agent {
    pub(crate) heartbeater: Heartbeater,
    pub(crate) actions: Vec<HeartbeaterAction>,
}

pub(crate) fn agent() -> Agent {
    Agent {
        heartbeater: Heartbeater::new(Settings {
            seeds: vec![address(1)],
            own: None,
            seed: 7,
        }),
        actions: Vec::new(),
    }
}

/// Returns an agent whose first connection, number 1, opened at 0 ms.
pub(crate) fn connected_agent() -> Agent {
    let mut agent = agent();
    agent.step(0, HeartbeaterEvent::Tick);
    agent.opened(0, 1);
    agent
}

impl Agent {
    pub(crate) fn step(&mut self, ms: u64, event: HeartbeaterEvent) {
        self.actions.clear();
        self.heartbeater.step(at(ms), event, &mut self.actions);
    }

    pub(crate) fn opened(&mut self, ms: u64, connection: u64) {
        let connection = Connection(connection);
        self.step(ms, HeartbeaterEvent::Opened { connection });
    }

    pub(crate) fn ack(&mut self, ms: u64, connection: u64, ack: Ack) {
        let connection = Connection(connection);
        self.step(ms, HeartbeaterEvent::Ack { connection, ack });
    }

    pub(crate) fn answer(&mut self, ms: u64, connection: u64, sequence: u64) {
        let ack = Ack {
            sequence,
            ..Ack::default()
        };
        self.ack(ms, connection, ack);
    }

    /// Ticks whenever the heartbeater requires it, until it dials or `until`.
    pub(crate) fn next_dial(&mut self, until: u64) -> Option<(u64, Connection)> {
        while let Some(Instant(ms)) = self.heartbeater.wake().filter(|wake| wake.0 <= until) {
            self.step(ms, HeartbeaterEvent::Tick);
            if let Some(connection) = self.dialled().next() {
                return Some((ms, connection));
            }
        }
        None
    }

    /// Returns every dial up to `until`, none of which succeeds or fails.
    pub(crate) fn dials(&mut self, until: u64) -> Vec<(u64, Connection)> {
        std::iter::from_fn(|| self.next_dial(until)).collect()
    }

    pub(crate) fn dialled(&self) -> impl Iterator<Item = Connection> + '_ {
        self.actions.iter().filter_map(|action| match action {
            HeartbeaterAction::Dial { connection, .. } => Some(*connection),
            _ => None,
        })
    }

    pub(crate) fn sent(&self) -> Vec<(Connection, Heartbeat)> {
        self.actions
            .iter()
            .filter_map(|action| match action {
                HeartbeaterAction::Send {
                    connection,
                    heartbeat,
                } => Some((*connection, *heartbeat)),
                _ => None,
            })
            .collect()
    }
}

pub(crate) fn retires(action: &HeartbeaterAction) -> bool {
    matches!(action, HeartbeaterAction::Retire { .. })
}
