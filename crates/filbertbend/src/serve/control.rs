//! The control thread. It runs the state machines of the configuration, of the
//! slices that this entry owns with their jobs and orders, and of the links to
//! other entries.

use {
    super::{dial::Dialler, dispatcher::Dispatcher, inspect::Status, slices::Slices, store::Calls},
    filbertbend_coordination::{
        attempt::{self, Attempt},
        config::{follow, Follower},
        job,
        membership::{
            Ack, Connection, Heartbeater, HeartbeaterAction, HeartbeaterEvent, Load, Member, State,
        },
        placement::{self, Peak},
        slices, store,
    },
    filbertbend_protocol::message::{Control, Forwarded, Preamble},
    filbertbend_state::{
        config::Snapshot,
        id,
        outcome::{Outcome, Reason},
        time::Instant,
        unit::Millis,
    },
    filbertbend_transport::{
        clock,
        link::{Error, Link},
        outbox::Outbox,
    },
    metrics::gauge,
    spdlog::prelude::*,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::MissedTickBehavior,
    },
};

/// How often the timers of the state machines are advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the timers of the directory and of admission are advanced. Each
/// tick visits every agent, and their timeouts are in seconds.
const DISPATCHER_TICK_INTERVAL: Millis = Millis(100);
/// Pause before a call to the slice's owner is retried.
const CALL_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Which state machine made a store call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Source {
    /// The follower of the configuration.
    Follower,
    /// The slices of this entry.
    Slices(slices::Source),
}

/// A message from another thread to the control thread.
pub(crate) enum Input {
    /// A call for the owner of a slice.
    Call {
        /// The slice.
        slice: id::Slice,
        /// The call.
        call: job::Call,
        /// Receives the answer or where else to call.
        reply: oneshot::Sender<Routed>,
    },
    /// An answer of the store.
    Stored {
        /// The state machine that made the call.
        source: Source,
        /// The ticket under which it made the call.
        ticket: store::Ticket,
        /// The answer.
        answer: store::Answer,
    },
    /// An agent's state has changed.
    Agent {
        /// What it announced.
        agent: placement::Agent,
        /// The new state.
        state: State,
    },
    /// An agent's load has changed.
    Load {
        /// Its worker.
        worker: id::Worker,
        /// The load.
        load: Load,
    },
    /// The peak usage of each service's tasks that an agent has observed.
    Peaks(Vec<Peak>),
    /// A report of an agent.
    Report {
        /// The agent's worker.
        worker: id::Worker,
        /// The slice that owns the attempt.
        slice: id::Slice,
        /// The attempt.
        attempt: Attempt,
        /// The report.
        report: attempt::Report,
    },
    /// An agent's answer to `Adopt`.
    Inventory {
        /// The agent's worker.
        worker: id::Worker,
        /// The slice.
        slice: id::Slice,
        /// The epoch of the owner that asked.
        epoch: id::Epoch,
        /// The attempts that the agent holds, with their phases.
        attempts: Vec<(Attempt, attempt::Phase)>,
    },
    /// A link to another entry is open.
    Opened {
        /// The connection.
        connection: Connection,
        /// The link.
        link: Link,
        /// Queue of messages to the entry.
        outbox: Outbox,
    },
    /// Dialling failed, or the link ended.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// Another entry acknowledged a heartbeat.
    Ack {
        /// The connection.
        connection: Connection,
        /// The acknowledgement.
        ack: Ack,
    },
    /// An operator requests the status of this entry.
    Inspect {
        /// Where the answer goes.
        reply: oneshot::Sender<Status>,
    },
    /// The process is shutting down.
    Leave {
        /// Signalled when every slice has been handed over.
        handed_over: oneshot::Sender<()>,
    },
}

/// How a call was routed.
pub(crate) enum Routed {
    /// This entry owns the slice and answered.
    Answered(job::Answer),
    /// The entry at the other end of this link owns the slice.
    Remote(Link),
    /// No live entry is known to own the slice.
    NoOwner,
}

/// Sends messages to the control thread.
#[derive(Clone)]
pub(crate) struct Handle {
    inbox: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Creates a handle and the receiving end of its inbox.
    pub(crate) fn channel() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (inbox, inputs) = mpsc::unbounded_channel();
        (Self { inbox }, inputs)
    }

    /// Sends an input. It is lost only if the control thread has ended.
    pub(crate) fn post(&self, input: Input) {
        let _ = self.inbox.send(input);
    }

    /// Calls the owner of `slice`, here or on another entry, and retries until
    /// it answers or `remaining` has passed. Calls carry the identity of their
    /// job or order, so a repeated call has no second effect.
    pub(crate) async fn call(
        &self,
        slice: id::Slice,
        call: job::Call,
        remaining: Millis,
    ) -> job::Answer {
        let deadline = tokio::time::Instant::now() + remaining.duration();
        let mut may_have_run = false;
        loop {
            let attempt = self.try_call(slice, &call, deadline, &mut may_have_run);
            if let Ok(Some(answer)) = tokio::time::timeout_at(deadline, attempt).await {
                return answer;
            }
            if tokio::time::Instant::now() + CALL_RETRY_PAUSE >= deadline {
                return job::Answer::Outcome(timeout_outcome(may_have_run));
            }
            tokio::time::sleep(CALL_RETRY_PAUSE).await;
        }
    }

    /// Calls the owner of `slice` if this entry owns it, and returns `None`
    /// otherwise.
    pub(crate) async fn call_here(
        &self,
        slice: id::Slice,
        call: job::Call,
        remaining: Millis,
    ) -> Option<job::Answer> {
        let routed = tokio::time::timeout(remaining.duration(), self.route(slice, call));
        match routed.await {
            Ok(Some(Routed::Answered(answer))) => Some(answer),
            Ok(_) => None,
            Err(_) => Some(job::Answer::Outcome(Outcome::Unknown)),
        }
    }

    async fn route(&self, slice: id::Slice, call: job::Call) -> Option<Routed> {
        let (reply, answer) = oneshot::channel();
        self.post(Input::Call { slice, call, reply });
        answer.await.ok()
    }

    async fn try_call(
        &self,
        slice: id::Slice,
        call: &job::Call,
        deadline: tokio::time::Instant,
        may_have_run: &mut bool,
    ) -> Option<job::Answer> {
        let may_have_run_before = *may_have_run;
        *may_have_run |= matches!(call, job::Call::Submit(_) | job::Call::Cancel(_));
        match self.route(slice, call.clone()).await? {
            Routed::Answered(answer) => Some(answer),
            Routed::Remote(link) => {
                let time_left = deadline.saturating_duration_since(tokio::time::Instant::now());
                let remaining = Millis(time_left.as_millis() as u64);
                match forward(&link, slice, call, remaining).await {
                    Ok(Some(Forwarded::Answer(answer))) => Some(answer),
                    Ok(Some(Forwarded::NotOwner)) => {
                        *may_have_run = may_have_run_before;
                        None
                    }
                    Ok(None) => None,
                    Err(error) => {
                        debug!("call not forwarded", kv: { slice:, error: });
                        None
                    }
                }
            }
            Routed::NoOwner => {
                *may_have_run = may_have_run_before;
                None
            }
        }
    }
}

/// Returns the outcome of a call that was not answered in time: unknown if an
/// owner may have received it, refused otherwise.
fn timeout_outcome(may_have_run: bool) -> Outcome {
    if may_have_run {
        Outcome::Unknown
    } else {
        Outcome::Refused {
            reason: Reason::NoOwner,
            retry_after_ms: Millis::from_secs(1),
        }
    }
}

async fn forward(
    link: &Link,
    slice: id::Slice,
    call: &job::Call,
    remaining: Millis,
) -> Result<Option<Forwarded>, Error> {
    let (mut sender, mut receiver) = link.open().await?;
    let message = Preamble::Forward {
        slice,
        call: call.clone(),
        remaining,
    };
    sender.send(&message).await?;
    sender.finish();
    receiver.receive().await
}

/// The state of the control thread.
pub(crate) struct Thread {
    pub(crate) follower: Follower,
    pub(crate) heartbeater: Heartbeater,
    pub(crate) dialler: Dialler,
    pub(crate) calls: Calls,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) snapshot: watch::Sender<Arc<Snapshot>>,
    pub(crate) entries: HashMap<Connection, (Link, Outbox)>,
    pub(crate) slices: Slices,
    pub(crate) next_dispatcher_tick: Instant,
}

impl Thread {
    /// Handles inputs and ticks until every sender is dropped.
    pub(crate) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inbox.recv() => match input {
                    Some(input) => self.handle_input(clock::monotonic(), input),
                    None => return,
                },
                _ = ticks.tick() => self.tick(clock::monotonic()),
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.step_follower(now, follow::Event::Tick);
        self.step_heartbeater(now, HeartbeaterEvent::Tick);
        if now >= self.next_dispatcher_tick {
            self.next_dispatcher_tick = now + DISPATCHER_TICK_INTERVAL;
            self.dispatcher.tick();
        }
        self.slices.tick(now);
        self.update_roster(now);
    }

    /// Passes a changed list of live entries to the directory and the
    /// heartbeater.
    fn update_roster(&mut self, now: Instant) {
        let Some(members) = self.slices.take_roster() else {
            return;
        };
        let members: Vec<Member> = members
            .iter()
            .filter_map(|member| postcard::from_bytes(&member.value).ok())
            .collect();
        self.dispatcher.set_entries(members.clone());
        self.step_heartbeater(now, HeartbeaterEvent::Listed(members));
    }

    fn handle_input(&mut self, now: Instant, input: Input) {
        match input {
            Input::Call { slice, call, reply } => self.route(now, slice, call, reply),
            Input::Stored {
                source: Source::Follower,
                ticket,
                answer,
            } => self.step_follower(now, follow::Event::Answer(ticket, answer)),
            Input::Stored {
                source: Source::Slices(source),
                ticket,
                answer,
            } => self.slices.step(now, |slices, clock, actions| {
                slices.handle_store_answer(clock, source, ticket, answer, actions);
            }),
            Input::Opened {
                connection,
                link,
                outbox,
            } => {
                self.entries.insert(connection, (link, outbox));
                self.step_heartbeater(now, HeartbeaterEvent::Opened { connection });
            }
            Input::Closed { connection } => {
                self.entries.remove(&connection);
                self.step_heartbeater(now, HeartbeaterEvent::Closed { connection });
            }
            Input::Ack { connection, ack } => {
                self.step_heartbeater(now, HeartbeaterEvent::Ack { connection, ack });
            }
            Input::Inspect { reply } => {
                let _ = reply.send(self.status(now));
            }
            Input::Leave { handed_over } => {
                self.step_heartbeater(now, HeartbeaterEvent::Leave);
                self.slices.leave(now, handed_over);
            }
            input => self.handle_agent_input(now, input),
        }
    }

    fn handle_agent_input(&mut self, now: Instant, input: Input) {
        self.slices.step(now, |slices, clock, actions| match input {
            Input::Agent { agent, state } => slices.update_agent(clock, agent, state, actions),
            Input::Load { worker, load } => slices.update_load(&worker, load),
            Input::Peaks(peaks) => slices.record_peaks(peaks),
            Input::Report {
                worker,
                slice,
                attempt,
                report,
            } => slices.handle_report(clock, worker, slice, attempt, report, actions),
            Input::Inventory {
                worker,
                slice,
                epoch,
                attempts,
            } => slices.handle_inventory(clock, worker, slice, epoch, attempts, actions),
            _ => {}
        });
    }

    fn status(&self, now: Instant) -> Status {
        let store_silent_ms = self
            .slices
            .machine()
            .stalled_since()
            .map(|since| now.since(since));
        Status {
            entry: self.slices.machine().entry().clone(),
            revision: self.follower.revision(),
            slices: self.slices.machine().served(),
            tasks_waiting: self.slices.machine().planner().waiting_count(),
            store_silent_ms,
            entries: self.slices.machine().entries(),
            agents: self.dispatcher.agents(now),
        }
    }

    /// Passes a call to the slice's owner here, or replies with the link to the
    /// entry that owns the slice.
    fn route(
        &mut self,
        now: Instant,
        slice: id::Slice,
        call: job::Call,
        reply: oneshot::Sender<Routed>,
    ) {
        if self.slices.machine().serves(slice) {
            return self.slices.call(now, slice, call, reply);
        }
        let link = self
            .slices
            .machine()
            .redirect_target(slice)
            .and_then(|entry| self.heartbeater.entry_connection(entry))
            .and_then(|connection| self.entries.get(&connection))
            .map(|(link, _)| link.clone());
        let _ = reply.send(link.map_or(Routed::NoOwner, Routed::Remote));
    }

    fn step_follower(&mut self, now: Instant, event: follow::Event) {
        let mut actions = Vec::new();
        self.follower.step(now, event, &mut actions);
        for action in actions {
            match action {
                follow::Action::Store(ticket, call) => {
                    self.calls.start(Source::Follower, ticket, call);
                }
                follow::Action::Adopt(snapshot) => self.configure(now, snapshot),
                follow::Action::Unreadable(key, error) => {
                    error!("configuration cannot be read", kv: { key:, error: });
                }
            }
        }
    }

    fn configure(&mut self, now: Instant, snapshot: Arc<Snapshot>) {
        let revision = snapshot.revision;
        info!("configuration in force", kv: { revision = revision.0 });
        gauge!("filbertbend_config_revision").set(revision.0 as f64);
        self.snapshot.send_replace(snapshot.clone());
        self.slices
            .step(now, |slices, _, _| slices.configure(&snapshot));
        self.dispatcher.configure(snapshot);
        self.step_heartbeater(now, HeartbeaterEvent::Configured(revision));
    }

    fn step_heartbeater(&mut self, now: Instant, event: HeartbeaterEvent) {
        let mut actions = Vec::new();
        self.heartbeater.step(now, event, &mut actions);
        for action in actions {
            match action {
                HeartbeaterAction::Dial {
                    connection,
                    address,
                } => self.dialler.dial(connection, address),
                HeartbeaterAction::Send {
                    connection,
                    heartbeat,
                } => {
                    if let Some((_, outbox)) = self.entries.get(&connection) {
                        outbox.send(Control::Heartbeat(heartbeat));
                    }
                }
                HeartbeaterAction::Retire { connection } => {
                    if let Some((_, outbox)) = self.entries.get(&connection) {
                        outbox.retire();
                    }
                }
                HeartbeaterAction::Configure(snapshot) => {
                    self.step_follower(now, follow::Event::Peer(snapshot));
                }
                HeartbeaterAction::Roster(members) => {
                    debug!("roster", kv: { entries = members.len() });
                }
            }
        }
    }
}

/// Starts the control thread with its own single-threaded runtime.
pub(crate) fn start(thread: Thread, inbox: mpsc::UnboundedReceiver<Input>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    Ok(())
}
