//! The agents and entries that an entry knows.

use {
    super::{
        agent::{Agent, Owner, Peer},
        link::{Link, State},
        roster_hash, Announcement, Connection, Heartbeat, Hello, Member, Pulse,
    },
    filbertbend_state::{config::Snapshot, id, time::Instant},
    std::{collections::BTreeMap, sync::Arc},
};

/// Something that the directory learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The first message on a connection.
    Hello {
        /// The connection.
        connection: Connection,
        /// When the connection's handshake began here, which the message
        /// cannot precede.
        accepted: Instant,
        /// The message.
        hello: Hello,
    },
    /// A heartbeat.
    Heartbeat {
        /// The connection that it came on.
        connection: Connection,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A connection ended.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// The entries that the store lists.
    Listed(Vec<Member>),
    /// A newer configuration is in force here.
    Configured(Arc<Snapshot>),
    /// Time has passed.
    Tick,
}

/// Something that the directory asks for or tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a heartbeat.
    Pulse {
        /// The connection that the heartbeat came on.
        connection: Connection,
        /// The answer.
        pulse: Pulse,
    },
    /// Closes a connection of a process life that has been replaced.
    Close {
        /// The connection.
        connection: Connection,
    },
    /// An agent's state has changed since it was last told.
    Agent {
        /// Its endpoint.
        endpoint: id::Endpoint,
        /// The new state.
        state: State,
    },
    /// An agent was forgotten.
    Forgotten {
        /// Its endpoint.
        endpoint: id::Endpoint,
    },
    /// The set of live entries has changed.
    Roster(Vec<Member>),
}

/// The agents and entries that an entry knows, and how they stand.
///
/// Maps are ordered so that two runs with the same events act alike.
#[derive(Clone, Debug)]
pub struct Directory {
    own: Member,
    agents: BTreeMap<id::Endpoint, Agent>,
    peers: BTreeMap<id::Entry, Peer>,
    listed: BTreeMap<id::Entry, Member>,
    owners: BTreeMap<Connection, Owner>,
    services: BTreeMap<id::Service, BTreeMap<id::DataCentre, Vec<id::Endpoint>>>,
    config: Arc<Snapshot>,
    roster: Vec<Member>,
    roster_hash: u64,
}

impl Directory {
    /// Makes the directory of the entry `own`.
    pub fn new(own: Member) -> Self {
        let roster = vec![own.clone()];
        Self {
            own,
            agents: BTreeMap::new(),
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            owners: BTreeMap::new(),
            services: BTreeMap::new(),
            config: Arc::default(),
            roster_hash: roster_hash(&roster),
            roster,
        }
    }

    /// Takes one event in.
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

    /// Finds an agent by its endpoint.
    pub fn agent(&self, endpoint: &id::Endpoint) -> Option<&Agent> {
        self.agents.get(endpoint)
    }

    /// Returns every known agent in the order of the endpoints' names.
    pub fn agents(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// Returns the endpoints that answer `service`, by data centre.
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

    /// Returns the services that any known endpoint answers.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.services.keys()
    }

    /// Tells whether `agent` may be sent new work at `now`.
    pub fn takes_work(&self, agent: &Agent, now: Instant) -> bool {
        agent.state(now) == State::Alive
            && !agent.is_leaving()
            && agent.connection().is_some()
            && !self.config.is_draining(&agent.announcement.endpoint)
    }

    /// Returns the connection of another entry, to forward a call on.
    pub fn entry_connection(&self, entry: &id::Entry, now: Instant) -> Option<Connection> {
        let peer = self.peers.get(entry)?;
        (peer.link.state(now) == State::Alive)
            .then(|| peer.link.current())
            .flatten()
    }

    /// Returns the live entries, this one among them, in the order of names.
    pub fn roster(&self) -> &[Member] {
        &self.roster
    }

    /// Returns the newest configuration that was taken in.
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
        let known = self.agents.get(&endpoint).map(|agent| &agent.link);
        if known.is_some_and(|link| link.outranks(announcement.incarnation, now)) {
            actions.push(Action::Close { connection });
            return;
        }
        if known.map(|link| link.incarnation) != Some(announcement.incarnation) {
            self.replace_agent(now, announcement, actions);
        }
        if let Some(agent) = self.agents.get_mut(&endpoint) {
            agent.link.connect(now, connection, accepted);
            agent.tell(now, actions);
            self.owners.insert(connection, Owner::Agent(endpoint));
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
        self.drop_connections(&agent.link, actions);
    }

    fn drop_connections(&mut self, link: &Link, actions: &mut Vec<Action>) {
        for connection in link.connections() {
            self.owners.remove(&connection);
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
        let known = self.peers.get(&entry).map(|peer| &peer.link);
        if known.is_some_and(|link| link.outranks(member.incarnation, now)) {
            actions.push(Action::Close { connection });
            return;
        }
        if known.map(|link| link.incarnation) != Some(member.incarnation) {
            if let Some(old) = self.peers.remove(&entry) {
                self.drop_connections(&old.link, actions);
            }
        }
        let peer = self.peers.entry(entry.clone()).or_insert_with(|| Peer {
            link: Link::new(member.incarnation),
            member,
            behind_since: None,
        });
        peer.link.connect(now, connection, accepted);
        self.owners.insert(connection, Owner::Entry(entry));
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
        let (link, config) = match self.owners.get(&connection) {
            Some(Owner::Agent(endpoint)) => {
                let Some(agent) = self.agents.get_mut(endpoint) else {
                    return;
                };
                if !agent.link.heard(now, connection, heartbeat) {
                    return;
                }
                agent.load = heartbeat.load;
                agent.reported = now;
                agent.tell(now, actions);
                let config = behind.then(|| agent.part_of(&self.config));
                (&mut agent.link, config)
            }
            Some(Owner::Entry(entry)) => {
                let Some(peer) = self.peers.get_mut(entry) else {
                    return;
                };
                if !peer.link.heard(now, connection, heartbeat) {
                    return;
                }
                let config = peer.is_cut_off(now, behind).then(|| self.config.clone());
                (&mut peer.link, config)
            }
            None => return,
        };
        link.answered(now, heartbeat.sequence);
        let pulse = Pulse {
            sequence: heartbeat.sequence,
            roster: (heartbeat.roster != self.roster_hash).then(|| self.roster.clone()),
            config,
        };
        actions.push(Action::Pulse { connection, pulse });
    }

    fn closed(&mut self, now: Instant, connection: Connection) {
        match self.owners.remove(&connection) {
            Some(Owner::Agent(endpoint)) => {
                if let Some(agent) = self.agents.get_mut(&endpoint) {
                    agent.link.closed(now, connection);
                }
            }
            Some(Owner::Entry(entry)) => {
                if let Some(peer) = self.peers.get_mut(&entry) {
                    peer.link.closed(now, connection);
                }
            }
            None => {}
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let forgotten: Vec<_> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.link.is_forgotten(now))
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in forgotten {
            self.remove_agent(&endpoint, actions);
            actions.push(Action::Forgotten { endpoint });
        }
        for agent in self.agents.values_mut() {
            agent.tell(now, actions);
        }
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.link.is_forgotten(now))
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in gone {
            if let Some(peer) = self.peers.remove(&entry) {
                self.drop_connections(&peer.link, actions);
            }
        }
        self.update_roster(now, actions);
    }

    /// The roster holds the entries that the store lists and those that are
    /// heard from directly: the store's list is stale during its outages, and a
    /// link between two entries can be cut while agents still reach both.
    fn update_roster(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut members = self.listed.clone();
        for (entry, peer) in &self.peers {
            let listed = members.get(entry).map(|member| member.incarnation);
            if listed > Some(peer.member.incarnation) {
                continue;
            }
            if peer.link.leaving {
                members.remove(entry);
            } else if peer.link.state(now) != State::Down {
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
