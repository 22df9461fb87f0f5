//! The control thread. It owns the agent's state machines and is the only thread
//! that accesses them.

use {
    super::{
        links::Dialler, monitor::Monitor, orders::Orders, peaks::Peaks, window::Window, worker,
    },
    filbertbend_coordination::{
        attempt,
        executor::{self, Check, Executor},
        interference,
        membership::{Connection, Heartbeater, HeartbeaterAction, HeartbeaterEvent, Load},
        worker::{Command, Usage},
    },
    filbertbend_protocol::message::{Control, Request, Response},
    filbertbend_state::{config::Snapshot, id, outcome::Reason, time::Instant, unit::Millis},
    filbertbend_transport::{clock, outbox::Outbox},
    metrics::{counter, gauge},
    spdlog::prelude::*,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::MissedTickBehavior,
    },
};

/// How often the timers of the state machines are advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the control thread's inbox, in inputs.
pub(crate) const INBOX_LIMIT: usize = 4096;
/// Suggested delay before a retry after a refusal.
const RETRY_AFTER: Millis = Millis(100);

/// A message from another thread to the control thread.
pub(crate) enum Input {
    /// An event for the executor.
    Executor(executor::Event),
    /// A quick check asks for a slot.
    Admit {
        /// The time left until its deadline.
        remaining: Millis,
        /// Receives the decision.
        reply: oneshot::Sender<Result<Check, Reason>>,
    },
    /// A dialled link is open and its hello has been sent.
    Opened {
        /// The connection.
        connection: Connection,
        /// Queue of messages to the entry.
        outbox: Outbox,
    },
    /// Dialling failed, or the link ended.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// An entry has sent a message.
    Received {
        /// The connection.
        connection: Connection,
        /// The message.
        message: Control,
    },
    /// The endpoint has answered a check.
    Served {
        /// The service.
        service: id::Service,
        /// The time that the endpoint took.
        elapsed: Duration,
    },
    /// Recent usage of tasks.
    Usage(Vec<Usage>),
    /// The process is shutting down.
    Leave,
}

/// Sends messages to the control thread.
#[derive(Clone)]
pub(crate) struct Handle {
    inbox: mpsc::Sender<Input>,
}

impl Handle {
    /// Creates a handle that sends to `inbox`.
    pub(crate) fn new(inbox: mpsc::Sender<Input>) -> Self {
        Self { inbox }
    }

    /// Sends an input. It is lost only if the control thread has ended.
    pub(crate) async fn send(&self, input: Input) {
        let _ = self.inbox.send(input).await;
    }

    /// Requests a slot for a quick check, and returns the refusal if there is
    /// none.
    pub(crate) async fn admit(&self, request: &Request) -> Result<Slot, Response> {
        let refused = |reason| Response::Refused {
            reason,
            retry_after: RETRY_AFTER,
        };
        let (reply, decision) = oneshot::channel();
        let remaining = request.remaining;
        self.send(Input::Admit { remaining, reply }).await;
        match decision.await {
            Ok(Ok(check)) => Ok(Slot {
                check,
                control: self.clone(),
            }),
            Ok(Err(reason)) => Err(refused(reason)),
            Err(_) => Err(refused(Reason::Leaving)),
        }
    }
}

/// A slot of the endpoint. Dropping it frees the slot.
pub(crate) struct Slot {
    check: Check,
    control: Handle,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let event = Input::Executor(executor::Event::CheckEnded(self.check));
        let inbox = self.control.inbox.clone();
        // The inbox is bounded. If it is full, a task waits to free the slot, which
        // would otherwise be lost.
        if let Err(mpsc::error::TrySendError::Full(event)) = inbox.try_send(event) {
            tokio::spawn(async move { inbox.send(event).await });
        }
    }
}

/// An entry that this agent has a link to.
struct Peer {
    connection: Connection,
    outbox: Outbox,
}

/// What the control thread is built from.
pub(crate) struct Parts {
    pub(crate) executor: Executor,
    pub(crate) heartbeater: Heartbeater,
    pub(crate) monitor: Monitor,
    pub(crate) dialler: Dialler,
    pub(crate) worker: worker::Commands,
    pub(crate) orders: Orders,
    pub(crate) config: watch::Sender<Arc<Snapshot>>,
    /// Signalled once the agent may exit.
    pub(crate) exit: oneshot::Sender<()>,
}

/// The state of the control thread.
pub(crate) struct Thread {
    executor: Executor,
    heartbeater: Heartbeater,
    dialler: Dialler,
    worker: worker::Commands,
    orders: Orders,
    outboxes: HashMap<Connection, Outbox>,
    entry_names: HashMap<Connection, id::Entry>,
    entries: BTreeMap<id::Entry, Peer>,
    pending_checks: HashMap<Check, oneshot::Sender<Result<Check, Reason>>>,
    next_check: u64,
    service_times: Window,
    monitor: Monitor,
    peaks: Peaks,
    config: watch::Sender<Arc<Snapshot>>,
    exit: Option<oneshot::Sender<()>>,
}

impl Thread {
    /// Creates the initial state from its parts.
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            executor: parts.executor,
            heartbeater: parts.heartbeater,
            dialler: parts.dialler,
            worker: parts.worker,
            orders: parts.orders,
            outboxes: HashMap::new(),
            entry_names: HashMap::new(),
            entries: BTreeMap::new(),
            pending_checks: HashMap::new(),
            next_check: 0,
            service_times: Window::default(),
            monitor: parts.monitor,
            peaks: Peaks::default(),
            config: parts.config,
            exit: Some(parts.exit),
        }
    }

    /// Handles inputs and ticks until every sender is dropped.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Input>) {
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
        self.step_executor(now, executor::Event::Tick);
        let actions = self.monitor.tick(now, || self.executor.tasks());
        self.act_on_interference(now, actions);
        let load = self.executor.load();
        gauge!("filbertbend_endpoint_slots_used").set(f64::from(load.slots.0));
        gauge!("filbertbend_endpoint_connections_used").set(f64::from(load.connections.0));
        let load = Load {
            free: load.free,
            slots_used: load.slots,
            connections_used: load.connections,
            queue: Millis::ZERO,
            service_time: self.service_times.median(),
            leaving: load.leaving,
        };
        self.step_heartbeater(now, HeartbeaterEvent::Load(load));
        self.step_heartbeater(now, HeartbeaterEvent::Tick);
        let peaks = self.peaks.take_due(now);
        if !peaks.is_empty() {
            for peer in self.entries.values() {
                peer.outbox.send(Control::Peaks(peaks.clone()));
            }
        }
    }

    /// Performs the actions of the interference controller.
    fn act_on_interference(&mut self, now: Instant, actions: Vec<interference::Action>) {
        for action in actions {
            match action {
                interference::Action::Throttle { attempt, share } => {
                    debug!("task throttled", kv: { job: = attempt.task.job, attempt:, share: });
                    counter!("filbertbend_throttles_total").increment(1);
                    self.worker.send(Command::Throttle { attempt, share });
                }
                interference::Action::Evict(attempt) => {
                    info!("task evicted", kv: { job: = attempt.task.job, attempt: });
                    counter!("filbertbend_evictions_total", "cause" => "interference").increment(1);
                    self.step_executor(now, executor::Event::Evict(attempt));
                }
            }
        }
    }

    fn handle_input(&mut self, now: Instant, input: Input) {
        match input {
            Input::Executor(event) => self.step_executor(now, event),
            Input::Admit { remaining, reply } => {
                self.next_check += 1;
                let check = Check(self.next_check);
                self.pending_checks.insert(check, reply);
                self.step_executor(now, executor::Event::CheckArrived { check, remaining });
            }
            Input::Opened { connection, outbox } => {
                self.outboxes.insert(connection, outbox);
                self.step_heartbeater(now, HeartbeaterEvent::Opened { connection });
            }
            Input::Closed { connection } => self.handle_closed(now, connection),
            Input::Received {
                connection,
                message,
            } => self.handle_message(now, connection, message),
            Input::Served { service, elapsed } => {
                self.service_times.push(Millis(elapsed.as_millis() as u64));
                self.monitor.record_latency(service, elapsed);
            }
            Input::Usage(usage) => {
                self.peaks.add(&usage, &self.executor.tasks());
                let actions = self.monitor.usage(now, usage);
                self.act_on_interference(now, actions);
            }
            Input::Leave => {
                info!("agent is leaving", kv: { tasks = self.executor.tasks().len() });
                self.step_executor(now, executor::Event::Leave);
                self.step_heartbeater(now, HeartbeaterEvent::Leave);
            }
        }
    }

    fn handle_closed(&mut self, now: Instant, connection: Connection) {
        self.outboxes.remove(&connection);
        if let Some(entry) = self.entry_names.remove(&connection) {
            let current = self.entries.get(&entry);
            if current.is_some_and(|peer| peer.connection == connection) {
                self.entries.remove(&entry);
            }
        }
        self.step_heartbeater(now, HeartbeaterEvent::Closed { connection });
    }

    fn handle_message(&mut self, now: Instant, connection: Connection, message: Control) {
        match message {
            Control::Welcome { member, .. } => self.register_entry(connection, member.entry),
            Control::Ack(ack) => {
                self.step_heartbeater(now, HeartbeaterEvent::Ack { connection, ack });
            }
            Control::Command {
                slice,
                epoch,
                attempt,
                command,
            } => {
                if let Some(from) = self.entry_names.get(&connection).cloned() {
                    debug!("command", kv: { job: = attempt.task.job, attempt:, command = command.name() });
                    let event = executor::Event::Command {
                        from,
                        slice,
                        epoch,
                        attempt,
                        command,
                    };
                    self.step_executor(now, event);
                }
            }
            Control::Adopt { slice, epoch } => {
                if let Some(from) = self.entry_names.get(&connection).cloned() {
                    self.step_executor(now, executor::Event::Adopt { from, slice, epoch });
                }
            }
            _ => warn!("unexpected message from an entry", kv: { connection: }),
        }
    }

    fn register_entry(&mut self, connection: Connection, entry: id::Entry) {
        let Some(outbox) = self.outboxes.get(&connection).cloned() else {
            return;
        };
        info!("link to an entry opened", kv: { entry:, connection: });
        self.entry_names.insert(connection, entry.clone());
        self.entries.insert(entry, Peer { connection, outbox });
    }

    fn step_heartbeater(&mut self, now: Instant, event: HeartbeaterEvent) {
        let mut actions = Vec::new();
        self.heartbeater.step(now, event, &mut actions);
        for action in actions {
            self.act_on_heartbeater(now, action);
        }
    }

    fn act_on_heartbeater(&mut self, now: Instant, action: HeartbeaterAction) {
        match action {
            HeartbeaterAction::Dial {
                connection,
                address,
            } => self.dialler.dial(connection, address),
            HeartbeaterAction::Send {
                connection,
                heartbeat,
            } => {
                if let Some(outbox) = self.outboxes.get(&connection) {
                    outbox.send(Control::Heartbeat(heartbeat));
                }
            }
            HeartbeaterAction::Retire { connection } => {
                if let Some(outbox) = self.outboxes.get(&connection) {
                    outbox.retire();
                }
            }
            HeartbeaterAction::Configure(snapshot) => self.configure(now, snapshot),
            HeartbeaterAction::Roster(members) => debug!("roster", kv: { entries = members.len() }),
        }
    }

    fn configure(&mut self, now: Instant, snapshot: Arc<Snapshot>) {
        let revision = snapshot.revision;
        info!("configuration in force", kv: { revision = revision.0 });
        gauge!("filbertbend_config_revision").set(revision.0 as f64);
        self.config.send_replace(snapshot);
        self.step_heartbeater(now, HeartbeaterEvent::Configured(revision));
    }

    fn step_executor(&mut self, now: Instant, event: executor::Event) {
        let mut actions = Vec::new();
        self.executor.step(now, event, &mut actions);
        for action in actions {
            self.act_on_executor(action);
        }
    }

    fn act_on_executor(&mut self, action: executor::Action) {
        match action {
            executor::Action::Report {
                to,
                slice,
                attempt,
                report,
            } => self.report(to, slice, attempt, report),
            executor::Action::Inventory {
                to,
                slice,
                epoch,
                attempts,
            } => self.send_to_entry(
                &to,
                Control::Inventory {
                    slice,
                    epoch,
                    attempts,
                },
            ),
            executor::Action::Worker(command) => self.worker.send(command),
            executor::Action::ReadTasks => self.worker.read_tasks(),
            executor::Action::SendOrder {
                attempt,
                work,
                send_by,
            } => self.orders.send(attempt, work, send_by),
            executor::Action::Admit(check) => self.reply_to_check(check, Ok(check)),
            executor::Action::Refuse { check, reason } => {
                counter!("filbertbend_endpoint_refused_total", "reason" => reason.to_string())
                    .increment(1);
                self.reply_to_check(check, Err(reason));
            }
            executor::Action::Exit => {
                if let Some(exit) = self.exit.take() {
                    let _ = exit.send(());
                }
            }
        }
    }

    fn reply_to_check(&mut self, check: Check, decision: Result<Check, Reason>) {
        let Some(reply) = self.pending_checks.remove(&check) else {
            return;
        };
        // If the entry has reset the stream in the meantime, nobody receives the
        // decision and the slot is freed at once.
        if let Err(Ok(check)) = reply.send(decision) {
            self.step_executor(clock::monotonic(), executor::Event::CheckEnded(check));
        }
    }

    fn report(
        &self,
        to: id::Entry,
        slice: id::Slice,
        attempt: attempt::Attempt,
        report: attempt::Report,
    ) {
        debug!("report", kv: { job: = attempt.task.job, attempt:, report = report.name() });
        let message = Control::Report {
            slice,
            attempt,
            report,
        };
        self.send_to_entry(&to, message);
    }

    /// Sends a message to an entry, or drops it if there is no link: reports are
    /// repeated until they are answered.
    fn send_to_entry(&self, entry: &id::Entry, message: Control) {
        if let Some(peer) = self.entries.get(entry) {
            peer.outbox.send(message);
        }
    }
}

/// Starts the control thread with its own single-threaded runtime.
pub(crate) fn start(thread: Thread, inbox: mpsc::Receiver<Input>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    Ok(())
}
