//! State that the traffic threads share: the directory of agents, admission,
//! routing and the retry budget, behind one mutex.
//!
//! The mutex is held only while a state machine takes a step, never across I/O.

use {
    super::{
        api::Options,
        control::{self, Input},
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

/// Assumed round trip to another data centre; one way takes about 4 ms.
const REMOTE_ROUND_TRIP: Millis = Millis(8);
/// Latency that a request must save before it is sent to another data centre.
const REMOTE_PENALTY: Millis = Millis(5);

/// How often admission is told the number of slots. Heartbeats arrive once a
/// second, so this is frequent enough to follow each of them soon.
const SLOT_UPDATE_INTERVAL: Millis = Millis(200);
/// Suggested delay before a retry when a refusal gives none of its own.
const RETRY_AFTER: Millis = Millis(250);

struct State {
    directory: Directory,
    router: Router,
    budget: Budget,
    hedge: Hedge,
    admission: Controller,
    waiters: HashMap<id::Request, oneshot::Sender<Decision>>,
    next_slot_update: Instant,
    peers: HashMap<Connection, Peer>,
    endpoints: HashMap<id::Worker, id::Endpoint>,
}

/// Admits requests, routes them to endpoints and keeps the links to agents.
/// Shared by the traffic threads.
pub(crate) struct Dispatcher {
    state: Mutex<State>,
    control: control::Handle,
}

/// An admitted request. Dropping it releases its place in admission.
pub(crate) struct Permit {
    request: id::Request,
    dispatcher: Arc<Dispatcher>,
    ended: bool,
}

impl Permit {
    /// Releases the place after an endpoint has answered; admission measures
    /// from this how long requests take.
    pub(crate) fn complete(mut self) {
        self.end(admission::Event::Completed(self.request));
    }

    /// Returns to the head of the queue because no endpoint had room, and waits
    /// to be dispatched again.
    pub(crate) async fn requeue(&mut self) -> Result<(), Outcome> {
        let decision = self.dispatcher.register_waiter(self.request);
        self.dispatcher
            .update_admission(admission::Event::Returned(self.request));
        wait_for_decision(decision).await
    }

    fn end(&mut self, event: admission::Event) {
        if !std::mem::replace(&mut self.ended, true) {
            let mut state = self.dispatcher.lock();
            state.waiters.remove(&self.request);
            step_admission(&mut state, event);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(admission::Event::Dropped(self.request));
    }
}

/// Admission's decision about a queued request: dispatched, or refused with
/// this outcome.
type Decision = Result<(), Outcome>;

async fn wait_for_decision(decision: oneshot::Receiver<Decision>) -> Decision {
    decision.await.unwrap_or(Err(Outcome::Refused {
        reason: Reason::Leaving,
        retry_after_ms: RETRY_AFTER,
    }))
}

/// Why an answer may never arrive on the link of a try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Suspicion {
    /// The agent is unknown or its heartbeats are overdue.
    AgentNotAlive,
    /// The agent has opened a newer link. The old one may be broken or merely
    /// slow.
    LinkReplaced,
}

/// One try of a request at one endpoint. Dropping it frees the slot.
pub(crate) struct Try {
    endpoint: id::Endpoint,
    connection: Connection,
    link: Link,
    dispatcher: Arc<Dispatcher>,
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

    /// Returns why an answer on the link is unlikely, if it is.
    pub(crate) fn suspicion(&self) -> Option<Suspicion> {
        let now = clock::monotonic();
        let state = self.dispatcher.lock();
        let agent = state.directory.agent(&self.endpoint);
        let Some(agent) = agent.filter(|agent| agent.state(now) == Liveness::Alive) else {
            return Some(Suspicion::AgentNotAlive);
        };
        (agent.connection() != Some(self.connection)).then_some(Suspicion::LinkReplaced)
    }

    /// Frees the request's slot at the endpoint and reports how the try ended to
    /// the router. Only the first call has an effect.
    pub(crate) fn end(&mut self, end: routing::Feedback) {
        if !std::mem::replace(&mut self.ended, true) {
            let mut state = self.dispatcher.lock();
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

impl Dispatcher {
    /// Creates the dispatcher of the entry `own`.
    pub(crate) fn new(own: Member, seed: u64, control: control::Handle) -> Self {
        let settings = routing::Settings {
            data_centre: own.data_centre.clone(),
            default_round_trip: REMOTE_ROUND_TRIP,
            round_trips: BTreeMap::new(),
            remote_penalty: REMOTE_PENALTY,
            seed,
        };
        Self {
            state: Mutex::new(State {
                directory: Directory::new(own),
                router: Router::new(settings),
                budget: Budget::new(),
                hedge: Hedge::new(),
                admission: Controller::new(),
                waiters: HashMap::new(),
                next_slot_update: Instant::default(),
                peers: HashMap::new(),
                endpoints: HashMap::new(),
            }),
            control,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until admission dispatches the request, or returns the outcome with
    /// which it was refused.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        declaration: &Declaration,
        options: &Options,
    ) -> Result<Permit, Outcome> {
        let deadline = clock::monotonic() + options.remaining();
        let decision = self.register_waiter(options.request);
        // Dropping the permit removes the request from the queue, also when
        // the caller disconnects while the request waits.
        let permit = Permit {
            request: options.request,
            dispatcher: self.clone(),
            ended: false,
        };
        let team = options.team.clone();
        let arrival = admission::Request::new(options.request, declaration, team, deadline);
        self.update_admission(admission::Event::Arrived(arrival));
        wait_for_decision(decision).await.map(|()| permit)
    }

    fn register_waiter(&self, request: id::Request) -> oneshot::Receiver<Decision> {
        let (waiter, decision) = oneshot::channel();
        self.lock().waiters.insert(request, waiter);
        decision
    }

    fn update_admission(&self, event: admission::Event) {
        step_admission(&mut self.lock(), event);
    }

    /// Refuses new requests from now on; queued requests are still served.
    pub(crate) fn leave(&self) {
        self.update_admission(admission::Event::Leave);
    }

    /// Starts the retry plan of an admitted request with `left` until its
    /// deadline, and adds the request to the retry budget.
    pub(crate) fn start_plan(&self, declaration: &Declaration, left: Millis) -> Plan {
        let now = clock::monotonic();
        self.lock().budget.record_request(now, &declaration.name);
        Plan::new(declaration, now + left)
    }

    /// Chooses an endpoint for the next try and takes a slot there.
    pub(crate) fn pick(
        self: &Arc<Self>,
        declaration: &Declaration,
        plan: &mut Plan,
    ) -> Result<Try, routing::Refusal> {
        let now = clock::monotonic();
        let mut state = self.lock();
        let state = &mut *state;
        let queued = u32::try_from(state.admission.queued()).unwrap_or(u32::MAX);
        state.router.set_queued(queued);
        let criteria = Criteria {
            declaration,
            tried: plan.tried(),
            remaining: plan.remaining(now),
        };
        let choice = state.router.pick(now, &state.directory, &criteria)?;
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
            dispatcher: self.clone(),
            started: now,
            ended: false,
        })
    }

    /// Records how a try ended and returns what to do next.
    pub(crate) fn try_ended(
        &self,
        plan: &mut Plan,
        endpoint: &id::Endpoint,
        end: retry::Completion,
    ) -> Next {
        let now = clock::monotonic();
        plan.ended(now, endpoint, end, &mut self.lock().budget)
    }

    /// Returns how long the first try may go unanswered before a hedge may start.
    pub(crate) fn hedge_delay(&self, declaration: &Declaration) -> Option<Millis> {
        self.lock().hedge.delay(declaration)
    }

    /// Tells whether a hedge may start now; if so, it is charged to the budget.
    pub(crate) fn try_hedge(&self, declaration: &Declaration, plan: &mut Plan) -> bool {
        let now = clock::monotonic();
        let mut state = self.lock();
        let state = &mut *state;
        plan.try_hedge(now, declaration, &state.hedge, &mut state.budget)
    }

    /// Records how long a service took to answer.
    pub(crate) fn record_latency(&self, service: &id::Service, latency: Millis) {
        self.lock().hedge.observe(service, latency);
    }

    /// Registers a link whose hello arrived; `accepted` is when its handshake
    /// began.
    pub(crate) fn link_opened(
        &self,
        connection: Connection,
        accepted: Instant,
        hello: Hello,
        peer: Peer,
    ) {
        self.lock().peers.insert(connection, peer);
        self.step_directory(DirectoryEvent::Hello {
            connection,
            accepted,
            hello,
        });
    }

    /// Removes a link that has ended.
    pub(crate) fn link_closed(&self, connection: Connection) {
        self.lock().peers.remove(&connection);
        self.step_directory(DirectoryEvent::Closed { connection });
    }

    /// Sends a message to the agent of a worker if there is a link to it.
    /// Otherwise the message is dropped: the slice's owner repeats what stays
    /// unanswered.
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

    /// Returns every known agent for the operators' status page.
    pub(crate) fn agents(&self, now: Instant) -> Vec<inspect::Agent> {
        let state = self.lock();
        let agents = state.directory.agents();
        agents
            .map(|agent| agent_status(&state.directory, agent, now))
            .collect()
    }

    /// Sets the entries that the store lists.
    pub(crate) fn set_entries(&self, members: Vec<Member>) {
        self.step_directory(DirectoryEvent::Listed(members));
    }

    /// Handles a heartbeat. An agent's load, which names its worker, is passed
    /// on to the control thread.
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
        self.step_directory(DirectoryEvent::Heartbeat {
            connection,
            heartbeat,
        });
    }

    /// Applies a new configuration to the traffic threads.
    pub(crate) fn configure(&self, snapshot: Arc<Snapshot>) {
        self.step_directory(DirectoryEvent::Configured(snapshot));
    }

    /// Advances the timers of the directory and of admission.
    pub(crate) fn tick(&self) {
        self.step_directory(DirectoryEvent::Tick);
        let now = clock::monotonic();
        let mut state = self.lock();
        step_admission(&mut state, admission::Event::Tick);
        if now >= state.next_slot_update {
            state.next_slot_update = now + SLOT_UPDATE_INTERVAL;
            update_slots(&mut state, now);
        }
    }

    fn step_directory(&self, event: DirectoryEvent) {
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
                    peer.outbox.send(Control::Ack(ack));
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
                state.next_slot_update = Instant::default();
                if let Some(agent) = state.directory.agent(&endpoint).map(placement_agent) {
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

/// Tells admission the number of slots in total and of each service.
fn update_slots(state: &mut State, now: Instant) {
    let slots = |service| state.router.slot_usage(now, &state.directory, service);
    let services = state.directory.services();
    let event = admission::Event::SlotsChanged {
        entries: u32::try_from(state.directory.roster().len()).unwrap_or(u32::MAX),
        total: slots(None),
        services: services
            .map(|service| (service.clone(), slots(Some(service))))
            .collect(),
    };
    step_admission(state, event);
    gauge!("filbertbend_requests_queued").set(state.admission.queued() as f64);
    gauge!("filbertbend_requests_running").set(state.admission.running() as f64);
}

fn step_admission(state: &mut State, event: admission::Event) {
    let mut actions = Vec::new();
    state
        .admission
        .step(clock::monotonic(), event, &mut actions);
    for action in actions {
        let (request, decision) = match action {
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
        // The waiter may be gone; dropping its permit informs admission.
        if let Some(waiter) = state.waiters.remove(&request) {
            let _ = waiter.send(decision);
        }
    }
}

/// Converts an agent to the form that the planner uses.
fn placement_agent(agent: &Agent) -> placement::Agent {
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

fn agent_status(directory: &Directory, agent: &Agent, now: Instant) -> inspect::Agent {
    let announcement = agent.announcement();
    let load = agent.load();
    inspect::Agent {
        endpoint: announcement.endpoint.clone(),
        worker: announcement.worker.clone(),
        data_centre: announcement.data_centre.clone(),
        state: agent.state(now).to_string(),
        leaving: agent.is_leaving() || directory.config().is_draining(&announcement.endpoint),
        slots: [load.slots_used.0, announcement.slots.0],
        free: load.free.to_string(),
    }
}
