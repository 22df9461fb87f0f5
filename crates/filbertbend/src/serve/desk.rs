//! What the traffic threads share: the directory of agents, admission and
//! routing, behind one short lock.
//!
//! The lock is held only for a step of a state machine, never across I/O.

use {
    super::{
        control::{self, Input},
        front::Terms,
        inspect,
        links::Peer,
    },
    filbertbend_coordination::{
        membership::{
            Agent, Connection, Directory, DirectoryAction, DirectoryEvent, Heartbeat, Hello, Member,
        },
        placement,
    },
    filbertbend_protocol::message::Control,
    filbertbend_state::{
        config::Snapshot,
        id,
        outcome::{Outcome, Reason},
        service::Declaration,
        time::Instant,
    },
    filbertbend_transport::{clock, link::Link},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

struct State {
    directory: Directory,
    peers: HashMap<Connection, Peer>,
    outstanding: HashMap<id::Endpoint, u32>,
    endpoints: HashMap<id::Worker, id::Endpoint>,
}

/// The shared state of the traffic threads.
pub(crate) struct Desk {
    state: Mutex<State>,
    control: control::Handle,
}

/// A request's place among those admitted, given back when dropped.
#[derive(Default)]
pub(crate) struct Permit;

/// A request on its way to one endpoint.
pub(crate) struct Try {
    endpoint: id::Endpoint,
    link: Link,
    desk: Arc<Desk>,
    ended: bool,
}

impl Try {
    /// Returns the endpoint.
    pub(crate) fn endpoint(&self) -> &id::Endpoint {
        &self.endpoint
    }

    /// Returns the link to the endpoint's agent.
    pub(crate) fn link(&self) -> &Link {
        &self.link
    }

    /// Records the end of the try; `complete` if the answer was whole.
    pub(crate) fn end(&mut self, complete: bool) {
        if !std::mem::replace(&mut self.ended, true) {
            self.desk.ended(&self.endpoint, complete);
        }
    }
}

impl Drop for Try {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl Desk {
    /// Makes the desk of the entry `own`.
    pub(crate) fn new(own: Member, control: control::Handle) -> Self {
        Self {
            state: Mutex::new(State {
                directory: Directory::new(own),
                peers: HashMap::new(),
                outstanding: HashMap::new(),
                endpoints: HashMap::new(),
            }),
            control,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the request may go on, or tells why it may not.
    pub(crate) async fn admit(
        &self,
        _declaration: &Declaration,
        _terms: &Terms,
    ) -> Result<Permit, Outcome> {
        Ok(Permit)
    }

    /// Chooses an endpoint for a request of `service`.
    pub(crate) fn pick(
        self: &Arc<Self>,
        service: &id::Service,
        tried: &[id::Endpoint],
    ) -> Result<Try, Reason> {
        let now = clock::monotonic();
        let mut state = self.lock();
        let chosen = state
            .directory
            .serving(service)
            .flat_map(|(_, endpoints)| endpoints)
            .filter(|endpoint| !tried.contains(endpoint))
            .filter_map(|endpoint| {
                let agent = state.directory.agent(endpoint)?;
                if !state.directory.takes_work(agent, now) {
                    return None;
                }
                let peer = state.peers.get(&agent.connection()?)?;
                let outstanding = state.outstanding.get(endpoint).copied().unwrap_or(0);
                Some((outstanding, endpoint.clone(), peer.link.clone()))
            })
            .min_by_key(|(outstanding, ..)| *outstanding);
        let (_, endpoint, link) = chosen.ok_or(Reason::NoEndpoint)?;
        *state.outstanding.entry(endpoint.clone()).or_default() += 1;
        Ok(Try {
            endpoint,
            link,
            desk: self.clone(),
            ended: false,
        })
    }

    fn ended(&self, endpoint: &id::Endpoint, _complete: bool) {
        if let Some(count) = self.lock().outstanding.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
    }

    /// Registers a link whose hello has arrived.
    pub(crate) fn opened(
        &self,
        connection: Connection,
        accepted: Instant,
        hello: Hello,
        peer: Peer,
    ) {
        self.lock().peers.insert(connection, peer);
        self.step(DirectoryEvent::Hello {
            connection,
            accepted,
            hello,
        });
    }

    /// Drops a link that has ended.
    pub(crate) fn closed(&self, connection: Connection) {
        self.lock().peers.remove(&connection);
        self.step(DirectoryEvent::Closed { connection });
    }

    /// Sends a message to the agent beside a worker, if there is a link. The
    /// owner repeats what it gets no answer to.
    pub(crate) fn send(&self, worker: &id::Worker, message: Control) {
        let state = self.lock();
        let peer = state
            .endpoints
            .get(worker)
            .and_then(|endpoint| state.directory.agent(endpoint)?.connection())
            .and_then(|connection| state.peers.get(&connection));
        if let Some(peer) = peer {
            peer.outbox.send(message);
        }
    }

    /// Returns every agent as operators see it.
    pub(crate) fn inspect(&self, now: Instant) -> Vec<inspect::Agent> {
        let state = self.lock();
        let agents = state.directory.agents();
        agents
            .map(|agent| inspected(&state.directory, agent, now))
            .collect()
    }

    /// Takes note of the entries that the store lists.
    pub(crate) fn list(&self, members: Vec<Member>) {
        self.step(DirectoryEvent::Listed(members));
    }

    /// Takes a heartbeat in, and passes an agent's load on.
    pub(crate) fn heartbeat(
        &self,
        connection: Connection,
        worker: Option<&id::Worker>,
        heartbeat: Heartbeat,
    ) {
        if let Some(worker) = worker {
            self.control.post(Input::Load {
                worker: worker.clone(),
                load: heartbeat.load,
            });
        }
        self.step(DirectoryEvent::Heartbeat {
            connection,
            heartbeat,
        });
    }

    /// Puts a configuration in force for the traffic threads.
    pub(crate) fn configure(&self, snapshot: Arc<Snapshot>) {
        self.step(DirectoryEvent::Configured(snapshot));
    }

    /// Tells that time has passed.
    pub(crate) fn tick(&self) {
        self.step(DirectoryEvent::Tick);
    }

    fn step(&self, event: DirectoryEvent) {
        let now = clock::monotonic();
        let mut actions = Vec::new();
        let mut state = self.lock();
        state.directory.step(now, event, &mut actions);
        for action in actions {
            self.act(&mut state, action);
        }
    }

    fn act(&self, state: &mut State, action: DirectoryAction) {
        match action {
            DirectoryAction::Pulse { connection, pulse } => {
                if let Some(peer) = state.peers.get(&connection) {
                    peer.outbox.send(Control::Pulse(pulse));
                }
            }
            DirectoryAction::Close { connection } => {
                if let Some(peer) = state.peers.remove(&connection) {
                    peer.link.close();
                }
            }
            DirectoryAction::Agent {
                endpoint,
                state: liveness,
            } => {
                if let Some(agent) = state.directory.agent(&endpoint).map(planned) {
                    state.endpoints.insert(agent.worker.clone(), endpoint);
                    self.control.post(Input::Agent {
                        agent,
                        state: liveness,
                    });
                }
            }
            DirectoryAction::Forgotten { endpoint } => {
                state.outstanding.remove(&endpoint);
                state.endpoints.retain(|_, known| *known != endpoint);
            }
            DirectoryAction::Roster(_) => {}
        }
    }
}

/// Makes the planner's view of an agent.
fn planned(agent: &Agent) -> placement::Agent {
    let announcement = agent.announcement();
    placement::Agent {
        worker: announcement.worker.clone(),
        endpoint: announcement.endpoint.clone(),
        incarnation: announcement.incarnation,
        data_centre: announcement.data_centre.clone(),
        rack: announcement.rack.clone(),
        services: announcement.services.clone(),
        slots: announcement.slots,
        room: announcement.room,
    }
}

fn inspected(directory: &Directory, agent: &Agent, now: Instant) -> inspect::Agent {
    let announcement = agent.announcement();
    let load = agent.load();
    inspect::Agent {
        endpoint: announcement.endpoint.clone(),
        worker: announcement.worker.clone(),
        data_centre: announcement.data_centre.clone(),
        state: agent.state(now).to_string(),
        leaving: agent.is_leaving() || directory.config().drains(&announcement.endpoint),
        slots: [load.slots_used.0, announcement.slots.0],
        free: load.free.to_string(),
    }
}
