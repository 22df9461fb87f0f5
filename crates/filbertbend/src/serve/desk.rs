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
        admission::{self, Controller},
        membership::{
            Agent, Connection, Directory, DirectoryAction, DirectoryEvent, Heartbeat, Hello,
            Member, State as Liveness,
        },
        placement,
        retry::{self, Budget, Hedge, Next, Plan},
        routing::{self, Criteria, Router},
    },
    filbertbend_protocol::message::Control,
    filbertbend_state::{
        config::Snapshot,
        id,
        outcome::{Outcome, Reason},
        service::Declaration,
        time::Instant,
        unit::Millis,
    },
    filbertbend_transport::{clock, link::Link},
    metrics::gauge,
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::oneshot,
};

/// Round trip to another data centre, which is about 4 ms away one way.
const REMOTE_DELAY: Millis = Millis(8);
/// What a request must gain to be worth a link between data centres.
const REMOTE_COST: Millis = Millis(5);

/// How often the gate learns which slots there are; heartbeats come once a
/// second, so a few times as often follows each of them soon.
const SUPPLY_INTERVAL: Millis = Millis(200);
/// When a retry is worthwhile after a refusal that says nothing better.
const RETRY_AFTER: Millis = Millis(250);

struct State {
    directory: Directory,
    router: Router,
    budget: Budget,
    hedge: Hedge,
    gate: Controller,
    turns: HashMap<id::Request, oneshot::Sender<Turn>>,
    next_supply: Instant,
    peers: HashMap<Connection, Peer>,
    endpoints: HashMap<id::Worker, id::Endpoint>,
}

/// The shared state of the traffic threads.
pub(crate) struct Desk {
    state: Mutex<State>,
    control: control::Handle,
}

/// A request's place among those admitted, given back when dropped.
pub(crate) struct Permit {
    request: id::Request,
    desk: Arc<Desk>,
    ended: bool,
}

impl Permit {
    /// Gives the place back after an endpoint has answered, from which the
    /// gate learns how long requests take.
    pub(crate) fn complete(mut self) {
        self.end(admission::Event::Completed(self.request));
    }

    /// Goes back to the head of the queue after no endpoint had room, and
    /// waits for another turn.
    pub(crate) async fn wait_again(&mut self) -> Result<(), Outcome> {
        let turn = self.desk.expect_turn(self.request);
        self.desk.gate(admission::Event::Returned(self.request));
        wait_for_turn(turn).await
    }

    fn end(&mut self, event: admission::Event) {
        if !std::mem::replace(&mut self.ended, true) {
            let mut state = self.desk.lock();
            state.turns.remove(&self.request);
            step_gate(&mut state, event);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(admission::Event::Dropped(self.request));
    }
}

/// The gate's decision about a request that waits.
type Turn = Result<(), Outcome>;

async fn wait_for_turn(turn: oneshot::Receiver<Turn>) -> Turn {
    turn.await.unwrap_or(Err(Outcome::Refused {
        reason: Reason::Leaving,
        retry_after_ms: RETRY_AFTER,
    }))
}

/// Why no answer may come on the link of a try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Silence {
    /// The agent has not been heard from.
    Agent,
    /// The agent uses a newer link. The old one may have gone silent, or only
    /// have been slow.
    Link,
}

/// A request on its way to one endpoint.
pub(crate) struct Try {
    endpoint: id::Endpoint,
    connection: Connection,
    link: Link,
    desk: Arc<Desk>,
    started: Instant,
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

    /// Returns how long the try has taken so far.
    pub(crate) fn elapsed(&self) -> Millis {
        clock::monotonic().since(self.started)
    }

    /// Tells what speaks against an answer on the link.
    pub(crate) fn silence(&self) -> Option<Silence> {
        let now = clock::monotonic();
        let state = self.desk.lock();
        let agent = state.directory.agent(&self.endpoint);
        let Some(agent) = agent.filter(|agent| agent.state(now) == Liveness::Alive) else {
            return Some(Silence::Agent);
        };
        (agent.connection() != Some(self.connection)).then_some(Silence::Link)
    }

    /// Frees the request's place at the endpoint.
    pub(crate) fn end(&mut self, end: routing::Feedback) {
        if !std::mem::replace(&mut self.ended, true) {
            let mut state = self.desk.lock();
            let state = &mut *state;
            let now = clock::monotonic();
            state
                .router
                .ended(now, &state.directory, &self.endpoint, end);
        }
    }
}

impl Drop for Try {
    fn drop(&mut self) {
        self.end(routing::Feedback::Accepted);
    }
}

impl Desk {
    /// Makes the desk of the entry `own`.
    pub(crate) fn new(own: Member, seed: u64, control: control::Handle) -> Self {
        let settings = routing::Settings {
            data_centre: own.data_centre.clone(),
            default_round_trip: REMOTE_DELAY,
            round_trips: BTreeMap::new(),
            remote_penalty: REMOTE_COST,
            seed,
        };
        Self {
            state: Mutex::new(State {
                directory: Directory::new(own),
                router: Router::new(settings),
                budget: Budget::new(),
                hedge: Hedge::new(),
                gate: Controller::new(),
                turns: HashMap::new(),
                next_supply: Instant::default(),
                peers: HashMap::new(),
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
        self: &Arc<Self>,
        declaration: &Declaration,
        terms: &Terms,
    ) -> Result<Permit, Outcome> {
        let deadline = clock::monotonic() + terms.left();
        let turn = self.expect_turn(terms.request);
        // Dropping the permit takes the request out of the queue, also when
        // its caller goes away while it waits.
        let permit = Permit {
            request: terms.request,
            desk: self.clone(),
            ended: false,
        };
        let team = terms.team.clone();
        let ask = admission::Request::new(terms.request, declaration, team, deadline);
        self.gate(admission::Event::Arrived(ask));
        wait_for_turn(turn).await.map(|()| permit)
    }

    fn expect_turn(&self, request: id::Request) -> oneshot::Receiver<Turn> {
        let (turn, waiting) = oneshot::channel();
        self.lock().turns.insert(request, turn);
        waiting
    }

    fn gate(&self, event: admission::Event) {
        step_gate(&mut self.lock(), event);
    }

    /// Refuses new requests from now on; those that wait are still served.
    pub(crate) fn leave(&self) {
        self.gate(admission::Event::Leave);
    }

    /// Starts the plan of an admitted request.
    pub(crate) fn plan(&self, declaration: &Declaration, left: Millis) -> Plan {
        let now = clock::monotonic();
        self.lock().budget.record_request(now, &declaration.name);
        Plan::new(declaration, now + left)
    }

    /// Chooses an endpoint for the next try.
    pub(crate) fn pick(
        self: &Arc<Self>,
        declaration: &Declaration,
        plan: &mut Plan,
    ) -> Result<Try, routing::Refusal> {
        let now = clock::monotonic();
        let mut state = self.lock();
        let state = &mut *state;
        let waiting = u32::try_from(state.gate.queued()).unwrap_or(u32::MAX);
        state.router.set_queued(waiting);
        let ask = Criteria {
            declaration,
            tried: plan.tried(),
            remaining: plan.remaining(now),
        };
        let choice = state.router.pick(now, &state.directory, &ask)?;
        let Some(peer) = state.peers.get(&choice.connection) else {
            let end = routing::Feedback::Accepted;
            state
                .router
                .ended(now, &state.directory, &choice.endpoint, end);
            return Err(routing::Refusal {
                reason: Reason::NoEndpoint,
                retry_after: RETRY_AFTER,
            });
        };
        plan.sent(choice.endpoint.clone());
        Ok(Try {
            endpoint: choice.endpoint,
            connection: choice.connection,
            link: peer.link.clone(),
            desk: self.clone(),
            started: now,
            ended: false,
        })
    }

    /// Decides what follows the end of a try.
    pub(crate) fn ended(
        &self,
        plan: &mut Plan,
        endpoint: &id::Endpoint,
        end: retry::Completion,
    ) -> Next {
        let now = clock::monotonic();
        plan.ended(now, endpoint, end, &mut self.lock().budget)
    }

    /// Returns after which time without an answer a second try may start.
    pub(crate) fn hedge_delay(&self, declaration: &Declaration) -> Option<Millis> {
        self.lock().hedge.delay(declaration)
    }

    /// Decides whether a second try starts now.
    pub(crate) fn hedges(&self, declaration: &Declaration, plan: &mut Plan) -> bool {
        let now = clock::monotonic();
        let mut state = self.lock();
        let state = &mut *state;
        plan.try_hedge(now, declaration, &state.hedge, &mut state.budget)
    }

    /// Takes note of how long a service took to answer.
    pub(crate) fn answered(&self, service: &id::Service, latency: Millis) {
        self.lock().hedge.observe(service, latency);
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
        let now = clock::monotonic();
        let mut state = self.lock();
        step_gate(&mut state, admission::Event::Tick);
        if now >= state.next_supply {
            state.next_supply = now + SUPPLY_INTERVAL;
            supply(&mut state, now);
        }
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
            DirectoryAction::Ack { connection, ack } => {
                if let Some(peer) = state.peers.get(&connection) {
                    peer.outbox.send(Control::Pulse(ack));
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
                state.next_supply = Instant::default();
                if let Some(agent) = state.directory.agent(&endpoint).map(planned) {
                    state.endpoints.insert(agent.worker.clone(), endpoint);
                    self.control.post(Input::Agent {
                        agent,
                        state: liveness,
                    });
                }
            }
            DirectoryAction::Removed { endpoint } => {
                state.endpoints.retain(|_, known| *known != endpoint);
            }
            DirectoryAction::Roster(_) => {}
        }
    }
}

/// Tells the gate which slots there are.
fn supply(state: &mut State, now: Instant) {
    let slots = |service| state.router.slot_usage(now, &state.directory, service);
    let services = state.directory.services();
    let event = admission::Event::SlotsChanged {
        entries: u32::try_from(state.directory.roster().len()).unwrap_or(u32::MAX),
        total: slots(None),
        services: services
            .map(|service| (service.clone(), slots(Some(service))))
            .collect(),
    };
    step_gate(state, event);
    gauge!("filbertbend_requests_queued").set(state.gate.queued() as f64);
    gauge!("filbertbend_requests_running").set(state.gate.running() as f64);
}

fn step_gate(state: &mut State, event: admission::Event) {
    let mut actions = Vec::new();
    state.gate.step(clock::monotonic(), event, &mut actions);
    for action in actions {
        let (request, turn) = match action {
            admission::Action::Dispatch(request) => (request, Ok(())),
            admission::Action::Refuse {
                request,
                reason,
                retry_after,
            } => {
                let outcome = Outcome::Refused {
                    reason,
                    retry_after_ms: retry_after,
                };
                (request, Err(outcome))
            }
        };
        // The waiter may have gone; its permit tells the gate.
        if let Some(waiter) = state.turns.remove(&request) {
            let _ = waiter.send(turn);
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
