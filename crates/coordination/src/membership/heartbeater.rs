//! Connects a process to every entry of its region and sends heartbeats.

use {
    super::{roster_hash, session::Session, Ack, Connection, Heartbeat, Load, Member},
    filbertbend_state::{config::Snapshot, id, time::Instant},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Settings of a heartbeater.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Addresses of entries to dial before a roster is received.
    pub seeds: Vec<SocketAddr>,
    /// The process's own address if it is an entry; it is not dialled.
    pub own: Option<SocketAddr>,
    /// Seed of the random backoff.
    pub seed: u64,
}

/// Input of the heartbeater.
#[derive(Clone, Debug)]
pub enum Event {
    /// A dialled connection is open and its hello has been written.
    Opened {
        /// The connection.
        connection: Connection,
    },
    /// A dial failed, or a connection ended.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// An entry acknowledged a heartbeat.
    Ack {
        /// The connection.
        connection: Connection,
        /// The acknowledgement.
        ack: Ack,
    },
    /// The load to report in the next heartbeats.
    Load(Load),
    /// A configuration is in force in this process, from any source.
    Configured(id::Revision),
    /// The entries listed in the store; sent by entries only.
    Listed(Vec<Member>),
    /// The process begins to leave.
    Leave,
    /// Time has passed.
    Tick,
}

/// Output of the heartbeater.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Dial an address from a new socket, write the hello and report
    /// [`Event::Opened`] or [`Event::Closed`] with this number.
    Dial {
        /// The number assigned to the connection.
        connection: Connection,
        /// The address to dial.
        address: SocketAddr,
    },
    /// Send a heartbeat.
    Send {
        /// The connection.
        connection: Connection,
        /// The heartbeat to send.
        heartbeat: Heartbeat,
    },
    /// Close a connection once the requests that use it have ended.
    Retire {
        /// The connection.
        connection: Connection,
    },
    /// Put a newer configuration into force.
    Configure(Arc<Snapshot>),
    /// The known entries have changed to these.
    Roster(Vec<Member>),
}

/// Dials entries, sends heartbeats and follows the roster.
#[derive(Clone, Debug)]
pub struct Heartbeater {
    settings: Settings,
    rng: ChaCha8Rng,
    sessions: BTreeMap<SocketAddr, Session>,
    addresses: BTreeMap<Connection, SocketAddr>,
    listed: Vec<Member>,
    roster: Vec<Member>,
    load: Load,
    leaving: bool,
    revision: id::Revision,
    sequence: u64,
    last_connection: u64,
}

impl Heartbeater {
    /// Creates a heartbeater that dials its seeds at the first tick.
    pub fn new(settings: Settings) -> Self {
        let sessions = settings
            .seeds
            .iter()
            .filter(|address| Some(**address) != settings.own)
            .map(|address| (*address, Session::for_seed()))
            .collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            sessions,
            settings,
            addresses: BTreeMap::new(),
            listed: Vec::new(),
            roster: Vec::new(),
            load: Load::default(),
            leaving: false,
            revision: id::Revision::default(),
            sequence: 0,
            last_connection: 0,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Opened { connection } => self.opened(now, connection, actions),
            Event::Closed { connection } => self.closed(now, connection, actions),
            Event::Ack { connection, ack } => self.ack(now, connection, ack, actions),
            Event::Load(load) => self.load = load,
            Event::Configured(revision) => self.revision = self.revision.max(revision),
            Event::Listed(members) => {
                self.listed = members;
                self.update_roster(actions);
            }
            Event::Leave => self.leave(actions),
            Event::Tick => {}
        }
        self.tick(now, actions);
    }

    /// Returns the time at which the next tick is due.
    pub fn wake(&self) -> Option<Instant> {
        self.sessions.values().map(Session::wake).min()
    }

    /// Returns the connection on which messages to `address` are sent.
    pub fn connection(&self, address: &SocketAddr) -> Option<Connection> {
        self.sessions.get(address)?.current()
    }

    /// Returns the connection on which messages to `entry` are sent.
    pub fn entry_connection(&self, entry: &id::Entry) -> Option<Connection> {
        let member = self.roster.iter().find(|member| member.entry == *entry)?;
        self.connection(&member.address)
    }

    /// Returns the known entries, sorted by name.
    pub fn roster(&self) -> &[Member] {
        &self.roster
    }

    /// Returns the newest configuration revision received.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns whether at least one entry answers at `now`.
    pub fn is_connected(&self, now: Instant) -> bool {
        self.sessions
            .values()
            .any(|session| !session.is_silent(now))
    }

    fn opened(&mut self, now: Instant, connection: Connection, actions: &mut Vec<Action>) {
        let accepted = self
            .addresses
            .get(&connection)
            .and_then(|address| self.sessions.get_mut(address))
            .is_some_and(|session| session.opened(now, connection));
        if !accepted {
            self.addresses.remove(&connection);
            actions.push(Action::Retire { connection });
        }
    }

    fn closed(&mut self, now: Instant, connection: Connection, actions: &mut Vec<Action>) {
        let Some(address) = self.addresses.remove(&connection) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&address) {
            session.closed(now, connection);
        }
        self.update_roster(actions);
    }

    fn ack(&mut self, now: Instant, connection: Connection, ack: Ack, actions: &mut Vec<Action>) {
        let Some(session) = self
            .addresses
            .get(&connection)
            .and_then(|address| self.sessions.get_mut(address))
        else {
            return;
        };
        let newest = ack.sequence > session.last_ack;
        for old in session.record_ack(now, connection, ack.sequence) {
            self.addresses.remove(&old);
            actions.push(Action::Retire { connection: old });
        }
        if let Some(roster) = ack.roster.filter(|_| newest) {
            session.roster_hash = roster_hash(&roster);
            session.roster = roster;
            self.update_roster(actions);
        }
        if let Some(config) = ack.config {
            if config.revision > self.revision {
                self.revision = config.revision;
                actions.push(Action::Configure(config));
            }
        }
    }

    /// Sends the leaving flag to every entry on every open connection, so that
    /// it arrives if any of them works. The current connection is last, since
    /// the entry sends on the connection of the newest heartbeat.
    fn leave(&mut self, actions: &mut Vec<Action>) {
        self.leaving = true;
        let addresses: Vec<_> = self.sessions.keys().copied().collect();
        for address in addresses {
            let open = match self.sessions.get(&address) {
                Some(session) => session.open().to_vec(),
                None => continue,
            };
            for connection in open {
                self.send(address, connection, actions);
            }
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.wake() <= now)
            .map(|(address, _)| *address)
            .collect();
        for address in due {
            self.tick_session(now, address, actions);
        }
    }

    fn tick_session(&mut self, now: Instant, address: SocketAddr, actions: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(&address) else {
            return;
        };
        if let Some(connection) = session.expire_dial(now) {
            self.addresses.remove(&connection);
            actions.push(Action::Retire { connection });
        }
        if session.needs_dial(now) {
            self.last_connection += 1;
            let connection = Connection(self.last_connection);
            session.start_dial(now, connection, &mut self.rng);
            self.addresses.insert(connection, address);
            actions.push(Action::Dial {
                connection,
                address,
            });
        }
        if session.schedule_heartbeat(now) {
            if let Some(connection) = session.current() {
                self.send(address, connection, actions);
            }
        }
    }

    /// Sends a heartbeat. Sequences increase across all sessions, so a session
    /// that is dropped and recreated doesn't reuse sequences the entry has seen.
    fn send(&mut self, address: SocketAddr, connection: Connection, actions: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(&address) else {
            return;
        };
        self.sequence += 1;
        let mut load = self.load;
        load.leaving |= self.leaving;
        let heartbeat = Heartbeat {
            sequence: self.sequence,
            last_ack: session.last_ack,
            load,
            revision: self.revision,
            roster: session.roster_hash,
        };
        actions.push(Action::Send {
            connection,
            heartbeat,
        });
    }

    /// Merges the received rosters and opens a session for each entry in them.
    /// Rosters may differ for a while; a session is dropped when no roster
    /// lists its entry and no connection to it is open. The roster of an entry
    /// without a connection counts only while no entry has one; otherwise the
    /// entry would keep itself listed for ever.
    fn update_roster(&mut self, actions: &mut Vec<Action>) {
        let connected = self
            .sessions
            .values()
            .any(|session| !session.open().is_empty());
        let mut members: BTreeMap<&id::Entry, &Member> = BTreeMap::new();
        let rosters = self
            .sessions
            .values()
            .filter(|session| !connected || !session.open().is_empty())
            .flat_map(|session| &session.roster);
        for member in rosters.chain(&self.listed) {
            let known = members.entry(&member.entry).or_insert(member);
            if member.incarnation > known.incarnation {
                *known = member;
            }
        }
        let roster: Vec<Member> = members.into_values().cloned().collect();
        let own = self.settings.own;
        let addresses: BTreeSet<SocketAddr> = roster
            .iter()
            .map(|member| member.address)
            .filter(|address| Some(*address) != own)
            .collect();
        self.drop_sessions(&addresses, actions);
        for address in addresses {
            self.sessions.entry(address).or_default();
        }
        if roster != self.roster {
            self.roster = roster;
            actions.push(Action::Roster(self.roster.clone()));
        }
    }

    fn drop_sessions(&mut self, wanted: &BTreeSet<SocketAddr>, actions: &mut Vec<Action>) {
        let dropped: Vec<_> = self
            .sessions
            .iter()
            .filter(|(address, session)| {
                !session.seed && session.open().is_empty() && !wanted.contains(address)
            })
            .map(|(address, _)| *address)
            .collect();
        for address in dropped {
            self.sessions.remove(&address);
            let dials: Vec<_> = self
                .addresses
                .iter()
                .filter(|(_, found)| **found == address)
                .map(|(connection, _)| *connection)
                .collect();
            for connection in dials {
                self.addresses.remove(&connection);
                actions.push(Action::Retire { connection });
            }
        }
    }
}
