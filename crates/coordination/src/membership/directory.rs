//! An entry's view of the live agents and entries.

use {
    super::{
        agent::{Agent, Peer, PeerId},
        liveness::{Liveness, State},
        roster_hash, Ack, Announcement, Connection, Heartbeat, Hello, Member,
    },
    filbertbend_state::{config::Snapshot, id, time::Instant},
    std::{collections::BTreeMap, sync::Arc},
};

/// Input of the directory.
#[derive(Clone, Debug)]
pub enum Event {
    /// A connection was opened and has sent its first message.
    Hello {
        /// The connection.
        connection: Connection,
        /// When the connection's handshake began on this side; the message
        /// cannot have been sent earlier.
        accepted: Instant,
        /// The message that identifies the peer.
        hello: Hello,
    },
    /// A heartbeat arrived.
    Heartbeat {
        /// The connection on which it arrived.
        connection: Connection,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A connection ended.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// The entries listed in the store have been read.
    Listed(Vec<Member>),
    /// A newer configuration has come into force in this process.
    Configured(Arc<Snapshot>),
    /// Time has passed.
    Tick,
}

/// Output of the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Acknowledge a heartbeat.
    Ack {
        /// The connection on which the heartbeat arrived.
        connection: Connection,
        /// The message to send.
        ack: Ack,
    },
    /// Close a connection of an agent or entry that was replaced or removed.
    Close {
        /// The connection.
        connection: Connection,
    },
    /// An agent's state differs from the one that was last emitted.
    Agent {
        /// Its endpoint.
        endpoint: id::Endpoint,
        /// The new state.
        state: State,
    },
    /// An agent was removed from the directory.
    Removed {
        /// Its endpoint.
        endpoint: id::Endpoint,
    },
    /// The set of live entries has changed to these.
    Roster(Vec<Member>),
}

/// Tracks the agents and entries that are connected to this entry.
///
/// Maps are ordered so that equal event sequences produce equal actions.
#[derive(Clone, Debug)]
pub struct Directory {
    own: Member,
    agents: BTreeMap<id::Endpoint, Agent>,
    peers: BTreeMap<id::Entry, Peer>,
    listed: BTreeMap<id::Entry, Member>,
    peer_ids: BTreeMap<Connection, PeerId>,
    services: BTreeMap<id::Service, BTreeMap<id::DataCentre, Vec<id::Endpoint>>>,
    config: Arc<Snapshot>,
    roster: Vec<Member>,
    roster_hash: u64,
}

impl Directory {
    /// Creates the directory of the entry `own`, with no other member.
    pub fn new(own: Member) -> Self {
        let roster = vec![own.clone()];
        Self {
            own,
            agents: BTreeMap::new(),
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            peer_ids: BTreeMap::new(),
            services: BTreeMap::new(),
            config: Arc::default(),
            roster_hash: roster_hash(&roster),
            roster,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Hello {
                connection,
                accepted,
                hello: Hello::Agent(announcement),
            } => self.agent_hello(now, connection, accepted, announcement, actions),
            Event::Hello {
                connection,
                accepted,
                hello: Hello::Entry(member),
            } => self.entry_hello(now, connection, accepted, member, actions),
            Event::Heartbeat {
                connection,
                heartbeat,
            } => self.heartbeat(now, connection, &heartbeat, actions),
            Event::Closed { connection } => self.closed(now, connection),
            Event::Listed(members) => {
                self.listed = members
                    .into_iter()
                    .map(|member| (member.entry.clone(), member))
                    .collect();
                self.update_roster(now, actions);
            }
            Event::Configured(config) => {
                if config.revision > self.config.revision {
                    self.config = config;
                }
            }
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Returns the agent of an endpoint.
    pub fn agent(&self, endpoint: &id::Endpoint) -> Option<&Agent> {
        self.agents.get(endpoint)
    }

    /// Returns every known agent, sorted by endpoint name.
    pub fn agents(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// Returns the endpoints that serve `service`, by data centre.
    pub fn serving(
        &self,
        service: &id::Service,
    ) -> impl Iterator<Item = (&id::DataCentre, &[id::Endpoint])> {
        self.services
            .get(service)
            .into_iter()
            .flatten()
            .map(|(data_centre, endpoints)| (data_centre, &endpoints[..]))
    }

    /// Returns the services that at least one known endpoint serves.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.services.keys()
    }

    /// Returns whether new work may be sent to `agent` at `now`.
    pub fn takes_work(&self, agent: &Agent, now: Instant) -> bool {
        agent.state(now) == State::Alive
            && !agent.is_leaving()
            && agent.connection().is_some()
            && !self.config.drains(&agent.announcement.endpoint)
    }

    /// Returns the connection on which calls are forwarded to another entry.
    pub fn entry_connection(&self, entry: &id::Entry, now: Instant) -> Option<Connection> {
        let peer = self.peers.get(entry)?;
        (peer.liveness.state(now) == State::Alive)
            .then(|| peer.liveness.current())
            .flatten()
    }

    /// Returns the live entries including this one, sorted by name.
    pub fn roster(&self) -> &[Member] {
        &self.roster
    }

    /// Returns the newest configuration received.
    pub fn config(&self) -> &Arc<Snapshot> {
        &self.config
    }

    fn agent_hello(
        &mut self,
        now: Instant,
        connection: Connection,
        accepted: Instant,
        announcement: Announcement,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = announcement.endpoint.clone();
        let known = self.agents.get(&endpoint).map(|agent| &agent.liveness);
        if known.is_some_and(|liveness| liveness.supersedes(announcement.incarnation, now)) {
            actions.push(Action::Close { connection });
            return;
        }
        if known.map(|liveness| liveness.incarnation) != Some(announcement.incarnation) {
            self.replace_agent(now, announcement, actions);
        }
        if let Some(agent) = self.agents.get_mut(&endpoint) {
            agent.liveness.add_connection(now, connection, accepted);
            agent.emit_state_change(now, actions);
            self.peer_ids.insert(connection, PeerId::Agent(endpoint));
        }
    }

    fn replace_agent(
        &mut self,
        now: Instant,
        announcement: Announcement,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = announcement.endpoint.clone();
        self.remove_agent(&endpoint, actions);
        for service in &announcement.services {
            self.services
                .entry(service.clone())
                .or_default()
                .entry(announcement.data_centre.clone())
                .or_default()
                .push(endpoint.clone());
        }
        let agent = Agent::new(announcement, now);
        self.agents.insert(endpoint, agent);
    }

    fn remove_agent(&mut self, endpoint: &id::Endpoint, actions: &mut Vec<Action>) {
        let Some(agent) = self.agents.remove(endpoint) else {
            return;
        };
        self.services.retain(|_, places| {
            places.retain(|_, endpoints| {
                endpoints.retain(|found| found != endpoint);
                !endpoints.is_empty()
            });
            !places.is_empty()
        });
        self.drop_connections(&agent.liveness, actions);
    }

    fn drop_connections(&mut self, liveness: &Liveness, actions: &mut Vec<Action>) {
        for connection in liveness.connections() {
            self.peer_ids.remove(&connection);
            actions.push(Action::Close { connection });
        }
    }

    fn entry_hello(
        &mut self,
        now: Instant,
        connection: Connection,
        accepted: Instant,
        member: Member,
        actions: &mut Vec<Action>,
    ) {
        let entry = member.entry.clone();
        let known = self.peers.get(&entry).map(|peer| &peer.liveness);
        if known.is_some_and(|liveness| liveness.supersedes(member.incarnation, now)) {
            actions.push(Action::Close { connection });
            return;
        }
        if known.map(|liveness| liveness.incarnation) != Some(member.incarnation) {
            if let Some(old) = self.peers.remove(&entry) {
                self.drop_connections(&old.liveness, actions);
            }
        }
        let peer = self.peers.entry(entry.clone()).or_insert_with(|| Peer {
            liveness: Liveness::new(member.incarnation),
            member,
            behind_since: None,
        });
        peer.liveness.add_connection(now, connection, accepted);
        self.peer_ids.insert(connection, PeerId::Entry(entry));
        self.update_roster(now, actions);
    }

    fn heartbeat(
        &mut self,
        now: Instant,
        connection: Connection,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let behind = heartbeat.revision < self.config.revision;
        let (liveness, config) = match self.peer_ids.get(&connection) {
            Some(PeerId::Agent(endpoint)) => {
                let Some(agent) = self.agents.get_mut(endpoint) else {
                    return;
                };
                if !agent.liveness.record_heartbeat(now, connection, heartbeat) {
                    return;
                }
                agent.load = heartbeat.load;
                agent.reported_at = now;
                agent.emit_state_change(now, actions);
                let config = behind.then(|| agent.filter_config(&self.config));
                (&mut agent.liveness, config)
            }
            Some(PeerId::Entry(entry)) => {
                let Some(peer) = self.peers.get_mut(entry) else {
                    return;
                };
                if !peer.liveness.record_heartbeat(now, connection, heartbeat) {
                    return;
                }
                let config = peer.needs_config(now, behind).then(|| self.config.clone());
                (&mut peer.liveness, config)
            }
            None => return,
        };
        liveness.record_ack(now, heartbeat.sequence);
        let ack = Ack {
            sequence: heartbeat.sequence,
            roster: (heartbeat.roster != self.roster_hash).then(|| self.roster.clone()),
            config,
        };
        actions.push(Action::Ack { connection, ack });
    }

    fn closed(&mut self, now: Instant, connection: Connection) {
        match self.peer_ids.remove(&connection) {
            Some(PeerId::Agent(endpoint)) => {
                if let Some(agent) = self.agents.get_mut(&endpoint) {
                    agent.liveness.remove_connection(now, connection);
                }
            }
            Some(PeerId::Entry(entry)) => {
                if let Some(peer) = self.peers.get_mut(&entry) {
                    peer.liveness.remove_connection(now, connection);
                }
            }
            None => {}
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let removable: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.liveness.is_removable(now))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in removable {
            self.remove_agent(&endpoint, actions);
            actions.push(Action::Removed { endpoint });
        }
        for agent in self.agents.values_mut() {
            agent.emit_state_change(now, actions);
        }
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.liveness.is_removable(now))
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in gone {
            if let Some(peer) = self.peers.remove(&entry) {
                self.drop_connections(&peer.liveness, actions);
            }
        }
        self.update_roster(now, actions);
    }

    /// Recomputes the roster from the entries listed in the store and those
    /// connected directly. The store's list is stale during a store outage, and
    /// two entries can lose their connection while agents still reach both.
    fn update_roster(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut members = self.listed.clone();
        for (entry, peer) in &self.peers {
            let listed = members.get(entry).map(|member| member.incarnation);
            if listed > Some(peer.member.incarnation) {
                continue;
            }
            if peer.liveness.leaving {
                members.remove(entry);
            } else if peer.liveness.state(now) != State::Down {
                members.insert(entry.clone(), peer.member.clone());
            }
        }
        members.insert(self.own.entry.clone(), self.own.clone());
        if !members.values().eq(self.roster.iter()) {
            self.roster = members.into_values().collect();
            self.roster_hash = roster_hash(&self.roster);
            actions.push(Action::Roster(self.roster.clone()));
        }
    }
}
