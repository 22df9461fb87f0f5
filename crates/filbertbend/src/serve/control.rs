//! The control thread: it owns the configuration, the jobs and orders of the
//! slices that this entry owns, and the links to other entries.

use {
    super::{desk::Desk, dial::Dialler, inspect::Status, slices::Slices, store::Calls},
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
    filbertbend_protocol::message::{Control, Forwarded, Stream},
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

/// How often the state machines are told that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the directory and the gate are told that time has passed. Each
/// time looks at every agent, and their timeouts are in seconds.
const DESK_TICK: Millis = Millis(100);
/// How long to wait before a call is tried again at the slice's owner.
const CALL_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Which state machine made a store call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Source {
    /// The follower of the configuration.
    Follower,
    /// The slices of this entry.
    Slices(slices::Source),
}

/// Something that the other threads tell the control thread.
pub(crate) enum Input {
    /// A call for the owner of a slice.
    Call {
        /// The slice.
        slice: id::Slice,
        /// The call.
        call: job::Call,
        /// Where the answer goes.
        reply: oneshot::Sender<Routed>,
    },
    /// An answer of the store.
    Stored {
        /// The machine that made the call.
        source: Source,
        /// The machine's ticket.
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
    /// What an agent has seen kinds of tasks use.
    Peaks(Vec<Peak>),
    /// A report of an agent.
    Report {
        /// The agent's worker.
        worker: id::Worker,
        /// The slice that it is for.
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
        /// The ownership that asked.
        epoch: id::Epoch,
        /// The attempts that the agent holds.
        attempts: Vec<(Attempt, attempt::Phase)>,
    },
    /// A link to another entry is open.
    Opened {
        /// The connection.
        connection: Connection,
        /// The link.
        link: Link,
        /// Where messages for it go.
        outbox: Outbox,
    },
    /// A dial failed, or a link ended.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// Another entry answered a heartbeat.
    Pulse {
        /// The connection.
        connection: Connection,
        /// The answer.
        pulse: Ack,
    },
    /// An operator asks about this entry.
    Inspect {
        /// Where the answer goes.
        reply: oneshot::Sender<Status>,
    },
    /// The process was told to leave.
    Leave {
        /// Told when every slice is handed over.
        left: oneshot::Sender<()>,
    },
}

/// Where a call went.
pub(crate) enum Routed {
    /// It was answered here.
    Answered(job::Answer),
    /// The slice belongs to the entry at the other end of this link.
    Elsewhere(Link),
    /// No live entry is known to own the slice.
    NoOwner,
}

/// The way to the control thread.
#[derive(Clone)]
pub(crate) struct Handle {
    inbox: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Makes a handle and the inbox that it feeds.
    pub(crate) fn channel() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (inbox, inputs) = mpsc::unbounded_channel();
        (Self { inbox }, inputs)
    }

    /// Sends an input; it is lost only when the process ends.
    pub(crate) fn post(&self, input: Input) {
        let _ = self.inbox.send(input);
    }

    /// Calls the owner of `slice`, wherever it is, until it answers or
    /// `remaining` has passed. Calls carry the identity of their job or order,
    /// so a repeated one has no second effect.
    pub(crate) async fn call(
        &self,
        slice: id::Slice,
        call: job::Call,
        remaining: Millis,
    ) -> job::Answer {
        let deadline = tokio::time::Instant::now() + remaining.duration();
        let mut asked = false;
        loop {
            let attempt = self.try_call(slice, &call, deadline, &mut asked);
            if let Ok(Some(answer)) = tokio::time::timeout_at(deadline, attempt).await {
                return answer;
            }
            if tokio::time::Instant::now() + CALL_RETRY_PAUSE >= deadline {
                return job::Answer::Outcome(unanswered(asked));
            }
            tokio::time::sleep(CALL_RETRY_PAUSE).await;
        }
    }

    /// Calls the owner of `slice` if it is this entry.
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
        asked: &mut bool,
    ) -> Option<job::Answer> {
        let asked_before = *asked;
        *asked |= matches!(call, job::Call::Submit(_) | job::Call::Cancel(_));
        match self.route(slice, call.clone()).await? {
            Routed::Answered(answer) => Some(answer),
            Routed::Elsewhere(link) => {
                let left = deadline.saturating_duration_since(tokio::time::Instant::now());
                let remaining = Millis(left.as_millis() as u64);
                match forward(&link, slice, call, remaining).await {
                    Ok(Some(Forwarded::Answer(answer))) => Some(answer),
                    Ok(Some(Forwarded::NotOwner)) => {
                        *asked = asked_before;
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
                *asked = asked_before;
                None
            }
        }
    }
}

/// States what is known of a call that nobody answered in time.
fn unanswered(asked: bool) -> Outcome {
    if asked {
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
    let message = Stream::Forward {
        slice,
        call: call.clone(),
        remaining,
    };
    sender.send(&message).await?;
    sender.finish();
    receiver.receive().await
}

/// What runs on the control thread.
pub(crate) struct Thread {
    pub(crate) follower: Follower,
    pub(crate) beacon: Heartbeater,
    pub(crate) dialler: Dialler,
    pub(crate) calls: Calls,
    pub(crate) desk: Arc<Desk>,
    pub(crate) snapshot: watch::Sender<Arc<Snapshot>>,
    pub(crate) entries: HashMap<Connection, (Link, Outbox)>,
    pub(crate) slices: Slices,
    pub(crate) next_desk_tick: Instant,
}

impl Thread {
    /// Takes inputs until every sender is gone.
    pub(crate) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inbox.recv() => match input {
                    Some(input) => self.take(clock::monotonic(), input),
                    None => return,
                },
                _ = ticks.tick() => self.tick(clock::monotonic()),
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.follow(now, follow::Event::Tick);
        self.announce(now, HeartbeaterEvent::Tick);
        if now >= self.next_desk_tick {
            self.next_desk_tick = now + DESK_TICK;
            self.desk.tick();
        }
        self.slices.tick(now);
        self.list(now);
    }

    /// Passes the entries that the store lists to whom it concerns.
    fn list(&mut self, now: Instant) {
        let Some(members) = self.slices.take_roster() else {
            return;
        };
        let members: Vec<Member> = members
            .iter()
            .filter_map(|member| postcard::from_bytes(&member.value).ok())
            .collect();
        self.desk.list(members.clone());
        self.announce(now, HeartbeaterEvent::Listed(members));
    }

    fn take(&mut self, now: Instant, input: Input) {
        match input {
            Input::Call { slice, call, reply } => self.route(now, slice, call, reply),
            Input::Stored {
                source: Source::Follower,
                ticket,
                answer,
            } => self.follow(now, follow::Event::Answer(ticket, answer)),
            Input::Stored {
                source: Source::Slices(source),
                ticket,
                answer,
            } => self.slices.step(now, |slices, clock, actions| {
                slices.stored(clock, source, ticket, answer, actions);
            }),
            Input::Opened {
                connection,
                link,
                outbox,
            } => {
                self.entries.insert(connection, (link, outbox));
                self.announce(now, HeartbeaterEvent::Opened { connection });
            }
            Input::Closed { connection } => {
                self.entries.remove(&connection);
                self.announce(now, HeartbeaterEvent::Closed { connection });
            }
            Input::Pulse { connection, pulse } => {
                self.announce(
                    now,
                    HeartbeaterEvent::Ack {
                        connection,
                        ack: pulse,
                    },
                );
            }
            Input::Inspect { reply } => {
                let _ = reply.send(self.status(now));
            }
            Input::Leave { left } => {
                self.announce(now, HeartbeaterEvent::Leave);
                self.slices.leave(now, left);
            }
            input => self.take_from_agent(now, input),
        }
    }

    fn take_from_agent(&mut self, now: Instant, input: Input) {
        self.slices.step(now, |slices, clock, actions| match input {
            Input::Agent { agent, state } => slices.agent(clock, agent, state, actions),
            Input::Load { worker, load } => slices.load(&worker, load),
            Input::Peaks(peaks) => slices.observe(peaks),
            Input::Report {
                worker,
                slice,
                attempt,
                report,
            } => slices.report(clock, worker, slice, attempt, report, actions),
            Input::Inventory {
                worker,
                slice,
                epoch,
                attempts,
            } => slices.inventory(clock, worker, slice, epoch, attempts, actions),
            _ => {}
        });
    }

    fn status(&self, now: Instant) -> Status {
        let store_silent_ms = self
            .slices
            .machine()
            .stalled()
            .map(|since| now.since(since));
        Status {
            entry: self.slices.machine().entry().clone(),
            revision: self.follower.revision(),
            slices: self.slices.machine().owned(),
            tasks_waiting: self.slices.machine().planner().waiting_count(),
            store_silent_ms,
            entries: self.slices.machine().entries(),
            agents: self.desk.inspect(now),
        }
    }

    /// Answers a call here, or tells the link to the slice's owner.
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
            .elsewhere(slice)
            .and_then(|entry| self.beacon.entry_connection(entry))
            .and_then(|connection| self.entries.get(&connection))
            .map(|(link, _)| link.clone());
        let _ = reply.send(link.map_or(Routed::NoOwner, Routed::Elsewhere));
    }

    fn follow(&mut self, now: Instant, event: follow::Event) {
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
        self.desk.configure(snapshot);
        self.announce(now, HeartbeaterEvent::Configured(revision));
    }

    fn announce(&mut self, now: Instant, event: HeartbeaterEvent) {
        let mut actions = Vec::new();
        self.beacon.step(now, event, &mut actions);
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
                    self.follow(now, follow::Event::Peer(snapshot));
                }
                HeartbeaterAction::Roster(members) => {
                    debug!("roster", kv: { entries = members.len() });
                }
            }
        }
    }
}

/// Starts the control thread on a runtime of its own.
pub(crate) fn start(thread: Thread, inbox: mpsc::UnboundedReceiver<Input>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    Ok(())
}
