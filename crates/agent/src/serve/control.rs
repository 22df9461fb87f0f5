//! The control thread: it owns the agent's state machines and nothing else
//! touches them.

use {
    super::{guard::Guard, links::Dialler, orders::Orders, peaks::Peaks, recent::Recent, worker},
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

/// How often the state machines are told that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Inputs that may wait for the control thread.
pub(crate) const INBOX_LIMIT: usize = 4096;
/// When a refused caller may try again.
const RETRY_AFTER: Millis = Millis(100);

/// Something that the other threads tell the control thread.
pub(crate) enum Input {
    /// Something for the executor.
    Executor(executor::Event),
    /// A quick check asks for a slot.
    Ask {
        /// The time left until its deadline.
        remaining: Millis,
        /// Where the verdict goes.
        verdict: oneshot::Sender<Result<Check, Reason>>,
    },
    /// A dialled link is open and its hello has been sent.
    Opened {
        /// The connection.
        connection: Connection,
        /// Where messages for it go.
        outbox: Outbox,
    },
    /// A dial failed, or a link ended.
    Closed {
        /// The connection.
        connection: Connection,
    },
    /// A message of an entry.
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
        /// After this time.
        elapsed: Duration,
    },
    /// Late usage of tasks.
    Usage(Vec<Usage>),
    /// The process was told to leave.
    Leave,
}

/// The way to the control thread.
#[derive(Clone)]
pub(crate) struct Handle {
    inbox: mpsc::Sender<Input>,
}

impl Handle {
    /// Makes a handle that feeds `inbox`.
    pub(crate) fn new(inbox: mpsc::Sender<Input>) -> Self {
        Self { inbox }
    }

    /// Sends an input; it is lost only when the process ends.
    pub(crate) async fn send(&self, input: Input) {
        let _ = self.inbox.send(input).await;
    }

    /// Asks for a slot for a quick check.
    pub(crate) async fn admit(&self, request: &Request) -> Result<Slot, Response> {
        let refused = |reason| Response::Refused {
            reason,
            retry_after: RETRY_AFTER,
        };
        let (verdict, answer) = oneshot::channel();
        let remaining = request.remaining;
        self.send(Input::Ask { remaining, verdict }).await;
        match answer.await {
            Ok(Ok(check)) => Ok(Slot {
                check,
                control: self.clone(),
            }),
            Ok(Err(reason)) => Err(refused(reason)),
            Err(_) => Err(refused(Reason::Leaving)),
        }
    }
}

/// A slot of the endpoint, given back when dropped.
pub(crate) struct Slot {
    check: Check,
    control: Handle,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let event = Input::Executor(executor::Event::CheckEnded(self.check));
        let inbox = self.control.inbox.clone();
        // The inbox is bounded, so a slot is given back by a task that waits
        // rather than lost when the inbox is full.
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

/// What the control thread is made of.
pub(crate) struct Parts {
    pub(crate) executor: Executor,
    pub(crate) beacon: Heartbeater,
    pub(crate) guard: Guard,
    pub(crate) dialler: Dialler,
    pub(crate) worker: worker::Commands,
    pub(crate) orders: Orders,
    pub(crate) revision: watch::Sender<Arc<Snapshot>>,
    /// Told once the agent has left.
    pub(crate) exit: oneshot::Sender<()>,
}

/// What runs on the control thread.
pub(crate) struct Thread {
    executor: Executor,
    beacon: Heartbeater,
    dialler: Dialler,
    worker: worker::Commands,
    orders: Orders,
    outboxes: HashMap<Connection, Outbox>,
    names: HashMap<Connection, id::Entry>,
    entries: BTreeMap<id::Entry, Peer>,
    asked: HashMap<Check, oneshot::Sender<Result<Check, Reason>>>,
    next_check: u64,
    service_times: Recent,
    guard: Guard,
    peaks: Peaks,
    revision: watch::Sender<Arc<Snapshot>>,
    exit: Option<oneshot::Sender<()>>,
}

impl Thread {
    /// Puts the parts together.
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            executor: parts.executor,
            beacon: parts.beacon,
            dialler: parts.dialler,
            worker: parts.worker,
            orders: parts.orders,
            outboxes: HashMap::new(),
            names: HashMap::new(),
            entries: BTreeMap::new(),
            asked: HashMap::new(),
            next_check: 0,
            service_times: Recent::default(),
            guard: parts.guard,
            peaks: Peaks::default(),
            revision: parts.revision,
            exit: Some(parts.exit),
        }
    }

    /// Takes inputs until every sender is gone.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Input>) {
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
        self.execute(now, executor::Event::Tick);
        let actions = self.guard.tick(now, || self.executor.tasks());
        self.throttle(now, actions);
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
        self.announce(now, HeartbeaterEvent::Load(load));
        self.announce(now, HeartbeaterEvent::Tick);
        let peaks = self.peaks.take(now);
        if !peaks.is_empty() {
            for peer in self.entries.values() {
                peer.outbox.send(Control::Peaks(peaks.clone()));
            }
        }
    }

    /// Carries out what the interference controller decided.
    fn throttle(&mut self, now: Instant, actions: Vec<interference::Action>) {
        for action in actions {
            match action {
                interference::Action::Throttle { attempt, share } => {
                    debug!("throttled", kv: { job: = attempt.task.job, attempt:, share: });
                    counter!("filbertbend_throttles_total").increment(1);
                    self.worker.send(Command::Throttle { attempt, share });
                }
                interference::Action::Evict(attempt) => {
                    info!("evicted", kv: { job: = attempt.task.job, attempt: });
                    counter!("filbertbend_evictions_total", "cause" => "interference").increment(1);
                    self.execute(now, executor::Event::Evict(attempt));
                }
            }
        }
    }

    fn take(&mut self, now: Instant, input: Input) {
        match input {
            Input::Executor(event) => self.execute(now, event),
            Input::Ask { remaining, verdict } => {
                self.next_check += 1;
                let check = Check(self.next_check);
                self.asked.insert(check, verdict);
                self.execute(now, executor::Event::CheckArrived { check, remaining });
            }
            Input::Opened { connection, outbox } => {
                self.outboxes.insert(connection, outbox);
                self.announce(now, HeartbeaterEvent::Opened { connection });
            }
            Input::Closed { connection } => self.closed(now, connection),
            Input::Received {
                connection,
                message,
            } => self.received(now, connection, message),
            Input::Served { service, elapsed } => {
                self.service_times.add(Millis(elapsed.as_millis() as u64));
                self.guard.served(service, elapsed);
            }
            Input::Usage(usage) => {
                self.peaks.add(&usage, &self.executor.tasks());
                let actions = self.guard.usage(now, usage);
                self.throttle(now, actions);
            }
            Input::Leave => {
                info!("leaving", kv: { tasks = self.executor.tasks().len() });
                self.execute(now, executor::Event::Leave);
                self.announce(now, HeartbeaterEvent::Leave);
            }
        }
    }

    fn closed(&mut self, now: Instant, connection: Connection) {
        self.outboxes.remove(&connection);
        if let Some(entry) = self.names.remove(&connection) {
            let current = self.entries.get(&entry);
            if current.is_some_and(|peer| peer.connection == connection) {
                self.entries.remove(&entry);
            }
        }
        self.announce(now, HeartbeaterEvent::Closed { connection });
    }

    fn received(&mut self, now: Instant, connection: Connection, message: Control) {
        match message {
            Control::Welcome { member, .. } => self.named(connection, member.entry),
            Control::Pulse(ack) => {
                self.announce(now, HeartbeaterEvent::Ack { connection, ack });
            }
            Control::Command {
                slice,
                epoch,
                attempt,
                command,
            } => {
                if let Some(from) = self.names.get(&connection).cloned() {
                    debug!("command", kv: { job: = attempt.task.job, attempt:, command = command.name() });
                    let event = executor::Event::Command {
                        from,
                        slice,
                        epoch,
                        attempt,
                        command,
                    };
                    self.execute(now, event);
                }
            }
            Control::Adopt { slice, epoch } => {
                if let Some(from) = self.names.get(&connection).cloned() {
                    self.execute(now, executor::Event::Adopt { from, slice, epoch });
                }
            }
            _ => warn!("unexpected message from an entry", kv: { connection: }),
        }
    }

    fn named(&mut self, connection: Connection, entry: id::Entry) {
        let Some(outbox) = self.outboxes.get(&connection).cloned() else {
            return;
        };
        info!("linked", kv: { entry:, connection: });
        self.names.insert(connection, entry.clone());
        self.entries.insert(entry, Peer { connection, outbox });
    }

    fn announce(&mut self, now: Instant, event: HeartbeaterEvent) {
        let mut actions = Vec::new();
        self.beacon.step(now, event, &mut actions);
        for action in actions {
            self.act_on_beacon(now, action);
        }
    }

    fn act_on_beacon(&mut self, now: Instant, action: HeartbeaterAction) {
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
        self.revision.send_replace(snapshot);
        self.announce(now, HeartbeaterEvent::Configured(revision));
    }

    fn execute(&mut self, now: Instant, event: executor::Event) {
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
            } => self.post(
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
            executor::Action::Admit(check) => self.verdict(check, Ok(check)),
            executor::Action::Refuse { check, reason } => {
                counter!("filbertbend_endpoint_refused_total", "reason" => reason.to_string())
                    .increment(1);
                self.verdict(check, Err(reason));
            }
            executor::Action::Exit => {
                if let Some(exit) = self.exit.take() {
                    let _ = exit.send(());
                }
            }
        }
    }

    fn verdict(&mut self, check: Check, verdict: Result<Check, Reason>) {
        let Some(reply) = self.asked.remove(&check) else {
            return;
        };
        // The asker has gone if the entry reset its stream meanwhile; its slot
        // is free again at once.
        if let Err(Ok(check)) = reply.send(verdict) {
            self.execute(clock::monotonic(), executor::Event::CheckEnded(check));
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
        self.post(&to, message);
    }

    /// Sends to an entry, or drops the message if there is no link: reports
    /// are repeated until they are answered.
    fn post(&self, entry: &id::Entry, message: Control) {
        if let Some(peer) = self.entries.get(entry) {
            peer.outbox.send(message);
        }
    }
}

/// Starts the control thread on a runtime of its own.
pub(crate) fn start(thread: Thread, inbox: mpsc::Receiver<Input>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    Ok(())
}
