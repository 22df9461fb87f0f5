//! One term of leadership: loads the stored state and runs the planner until
//! another entry leads or the process shuts down.

#[cfg(test)]
mod tests;

use {
    crate::{
        claim::{load_snapshot, Claim, Snapshot},
        decision,
        entry::Inbox,
        evacuation_watch,
        journal::{Deposed, Journal},
        key::{self, Watched},
        key_lease,
        load::Load,
        platform::{Change, Changes, Failure, Item, Lease, Revision, Store},
    },
    filbertbend_state::{
        time::Instant,
        unit::{Cores, Millis},
    },
    filbertbend_transport::clock,
    filbertbend_workload::{
        catalog::Catalog,
        id::{Epoch, Job, Link, Node},
        job, leadership,
        message::{Query, Reply, Report, Response},
        planner::{Action, Batch, Event, Planner, Settings},
        record::{Leader, Progress},
    },
    metrics::{counter, gauge},
    spdlog::prelude::*,
    std::{
        collections::{HashMap, HashSet, VecDeque},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        task::AbortHandle,
        time::{interval, sleep, timeout, MissedTickBehavior},
    },
};

/// Timeout of one long poll for new work. Each answer confirms the leadership
/// as of the time when the poll was sent, so this is a small fraction of
/// [`leadership::OUTAGE_LIMIT`].
const WATCH_WAIT: Millis = Millis(1000);
/// Interval at which the planner checks its timers.
const TICK: Duration = Duration::from_millis(50);
/// A gap of this length between two ticks means that the process was stalled,
/// which is logged.
const STALL_THRESHOLD: Millis = Millis(1000);
/// An input that waited for this long, or a gap of this length between two
/// ticks, means that the process is behind.
const DELAY_THRESHOLD: Millis = Millis(250);
/// How long a leader that shuts down waits for its last writes.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// An entry that claims the leadership.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) node: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) processor: Cores,
    pub(crate) settings: Settings,
    pub(crate) evacuations: Option<evacuation_watch::Source>,
    /// Since when no process at this address has led.
    pub(crate) retired_since: Instant,
}

/// An input to a term in progress.
pub(crate) enum Input {
    /// An agent has opened a session on a new link.
    LinkOpened(Link, Node, mpsc::Sender<Response>),
    /// An agent has opened another session on its existing link.
    SessionReopened(Link, Node),
    /// A report from an agent.
    Report(Link, Box<Report>),
    /// A link has closed.
    LinkClosed(Link),
    /// A question about a job or a queue, and where to send the reply.
    Ask(Query, oneshot::Sender<Reply>),
    /// Changes to the watched keys, and when the poll for them was sent.
    Changed(Instant, Changes),
    /// A full listing of the watched keys, when the poll before it was sent, and
    /// the revision up to which changes have been delivered.
    Relisted(Instant, Revision, Vec<Item>),
    /// The batch with this number was written by an attempt sent at this time,
    /// or another entry leads. The number is 0 for the leader's key.
    Written(u64, Result<Instant, Deposed>),
    /// The lease of the leader's key had expired, so the key must be written
    /// again and bound to this one.
    Announce(Lease),
}

/// An input that waits to be processed.
pub(crate) struct Queued {
    /// When it was queued.
    pub(crate) since: Instant,
    pub(crate) input: Input,
}

/// A term in progress.
pub(crate) struct Driver<S> {
    store: S,
    candidate: Candidate,
    epoch: Epoch,
    lease: Lease,
    former: Option<SocketAddr>,
    planner: Planner,
    leadership: leadership::Leadership,
    journal: mpsc::UnboundedSender<Order>,
    /// The task that writes the journal. It must not outlive the term, because
    /// the inbox passes its answers to whichever term is in progress.
    writer: AbortHandle,
    outboxes: HashMap<Link, mpsc::Sender<Response>>,
    inbox: Rc<Inbox>,
    /// When the last call was made that the store answered after an outage.
    recovered: watch::Sender<tokio::time::Instant>,
    last_tick: Instant,
    load: Load,
    /// Reads the monotonic clock.
    clock: fn() -> Instant,
}

/// An order to the task that writes the journal.
enum Order {
    Batch(Batch),
    Announce(Leader, Lease),
}

/// Why a term has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Ended {
    /// Another entry leads.
    Deposed,
    /// The process is ending.
    Stopped,
}

impl<S: Store> Driver<S> {
    /// Starts a claimed term.
    pub(crate) fn new(store: S, candidate: Candidate, claim: Claim, inbox: Rc<Inbox>) -> Self {
        let now = clock::monotonic();
        let mut leadership = leadership::Leadership::default();
        leadership.confirm(claim.sent_at);
        let epoch = claim.term.epoch;
        let mut planner = Planner::new(candidate.settings.clone(), epoch, now);
        if candidate.evacuations.is_some() {
            planner = planner.awaiting_evacuations();
        }
        let (journal, orders) = mpsc::unbounded_channel();
        let recovered = watch::Sender::new(tokio::time::Instant::now());
        let writer = Journal::new(store.clone(), claim.term, claim.revision, now)
            .with_recovery(recovered.subscribe());
        let writer =
            tokio::task::spawn_local(write_orders(writer, orders, inbox.clone())).abort_handle();
        info!("leading", kv: { epoch = epoch.0, node: = &*candidate.node });
        counter!("filbertbend_terms_total").increment(1);
        Self {
            store,
            candidate,
            epoch,
            lease: claim.lease,
            former: claim.former,
            planner,
            leadership,
            journal,
            writer,
            outboxes: HashMap::new(),
            inbox,
            recovered,
            last_tick: now,
            load: Load::default(),
            clock: clock::monotonic,
        }
    }

    /// Runs the term until it ends.
    pub(crate) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Queued>,
        mut catalog: watch::Receiver<Option<Arc<Catalog>>>,
        mut stop: watch::Receiver<bool>,
    ) -> Ended {
        let renewal_task = tokio::task::spawn_local(key_lease::keep(
            self.store.clone(),
            self.lease,
            self.inbox.clone(),
            self.recovered.clone(),
        ));
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut loading_snapshot = Box::pin(load_snapshot(self.store.clone()));
        let mut evacuations =
            evacuation_watch::Watch::start(self.store.clone(), self.candidate.evacuations);
        let mut watch_task = None;
        if let Some(catalog) = catalog.borrow_and_update().clone() {
            self.step(Event::Configured(catalog));
        }
        let idle = (self.clock)().since(self.candidate.retired_since);
        self.retired(self.candidate.address, idle);
        let ended = loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(Queued { since, input }) => {
                        self.note_delay((self.clock)().since(since));
                        if let Some(ended) = self.input(input).await { break ended }
                    }
                    None => break Ended::Stopped,
                },
                snapshot = &mut loading_snapshot, if watch_task.is_none() => {
                    let revision = snapshot.revision;
                    self.restore(snapshot);
                    watch_task = Some(tokio::task::spawn_local(watch_changes(
                        self.store.clone(), revision, self.inbox.clone(),
                    )));
                }
                _ = tick.tick() => self.tick(),
                changed = catalog.changed() => {
                    let newest = catalog.borrow_and_update().clone();
                    if let (Ok(()), Some(newest)) = (changed, newest) {
                        self.step(Event::Configured(newest));
                    }
                }
                evacuated = evacuations.changed() => self.step(Event::Evacuated(evacuated)),
                _ = stop.wait_for(|stop| *stop) => break Ended::Stopped,
            }
        };
        if ended == Ended::Stopped
            && timeout(SHUTDOWN_TIMEOUT, self.flush(&mut inputs))
                .await
                .is_err()
        {
            warn!("shut down before all progress was durable");
        }
        renewal_task.abort();
        if let Some(watch_task) = watch_task {
            watch_task.abort();
        }
        evacuation_watch::record(0);
        info!("no longer leading", kv: { epoch = self.epoch.0, reason: = ended });
        if ended == Ended::Stopped {
            if let Err(error) = self.store.revoke(self.lease).await {
                warn!("lease of the leader's key not revoked", kv: { error: });
            }
        }
        self.writer.abort();
        ended
    }

    /// Writes all pending progress to the store, so that the next leader starts
    /// from it. No new sessions or orders are handled any more.
    async fn flush(&mut self, inputs: &mut mpsc::Receiver<Queued>) {
        self.step(Event::Shutdown);
        while !self.planner.is_durable() {
            match inputs.recv().await.map(|queued| queued.input) {
                Some(Input::Written(number, Ok(_))) => self.step(Event::Persisted(number)),
                Some(Input::Written(_, Err(_))) | None => return,
                Some(_) => {}
            }
        }
    }

    async fn input(&mut self, input: Input) -> Option<Ended> {
        match input {
            Input::LinkOpened(link, node, outbox) => {
                self.outboxes.insert(link, outbox);
                self.step(Event::Opened(link, node));
            }
            Input::SessionReopened(link, node) => self.step(Event::Opened(link, node)),
            Input::Report(link, report) => self.step(Event::Report(link, report)),
            Input::LinkClosed(link) => {
                self.outboxes.remove(&link);
                self.step(Event::Closed(link));
            }
            Input::Ask(question, reply) => {
                if let Query::Retired(address, idle) = question {
                    self.retired(address, idle);
                }
                // Fails only if the asker has stopped waiting.
                let _ = reply.send(self.planner.answer(&question));
            }
            Input::Changed(sent_at, changes) => return self.apply_changes(sent_at, changes),
            Input::Relisted(sent_at, after, items) => {
                return self.apply_listing(sent_at, after, &items);
            }
            Input::Written(number, Ok(sent_at)) => {
                self.leadership.confirm(sent_at);
                self.step(Event::Persisted(number));
            }
            Input::Written(_, Err(deposed)) => {
                warn!("another entry leads", kv: { epoch = self.epoch.0, by: = deposed.by.map_or(0, |by| by.0) });
                return Some(Ended::Deposed);
            }
            Input::Announce(lease) => self.announce(lease),
        }
        None
    }

    /// Takes into account that no process at `address` has led for `idle`. If the
    /// last leader listened there, it grants nothing any more.
    fn retired(&mut self, address: SocketAddr, idle: Millis) {
        if self.former == Some(address) {
            info!("former leader is gone", kv: { epoch = self.epoch.0, address:, idle_ms = idle.0 });
            self.step(Event::FormerTermOver(idle));
        }
    }

    /// Binds the leader's key to a new lease after the old one has expired.
    fn announce(&mut self, lease: Lease) {
        self.lease = lease;
        let leader = Leader {
            epoch: self.epoch,
            node: self.candidate.node.clone(),
            address: self.candidate.address,
            former: self.former,
        };
        // Fails only if the journal has ended, which it reports itself.
        let _ = self.journal.send(Order::Announce(leader, lease));
    }

    /// Tells the planner that the process is behind, if it is.
    fn note_delay(&mut self, delay: Millis) {
        if delay < DELAY_THRESHOLD {
            return;
        }
        self.load.delayed(delay);
        self.step(Event::Delayed(delay));
    }

    fn tick(&mut self) {
        let now = clock::monotonic();
        let gap = now.since(self.last_tick);
        if gap > STALL_THRESHOLD {
            warn!("process was stalled", kv: { ms = gap.0 });
        }
        self.last_tick = now;
        self.note_delay(gap);
        self.load.log(now);
        let (jobs, workers) = self.planner.size();
        gauge!("filbertbend_jobs").set(jobs as f64);
        gauge!("filbertbend_workers").set(workers as f64);
        gauge!("filbertbend_sessions").set(self.outboxes.len() as f64);
        evacuation_watch::record(self.planner.evacuated());
        self.step(Event::Tick);
    }

    fn restore(&mut self, snapshot: Snapshot) {
        let mut progress: HashMap<Job, Progress> = HashMap::new();
        for item in &snapshot.progress {
            let id = item
                .key
                .strip_prefix(key::PROGRESS_PREFIX)
                .and_then(|id| id.parse().ok());
            match (id, postcard::from_bytes::<Progress>(&item.value)) {
                (Some(id), Ok(found)) => {
                    progress.insert(id, found);
                }
                _ => warn!("progress cannot be decoded", kv: { key: = &*item.key }),
            }
        }
        let jobs = snapshot.watched.len();
        let mut stops = HashSet::new();
        for item in &snapshot.watched {
            match Watched::parse(&item.key) {
                Some(Watched::Job(id)) => match decode_job(&item.value) {
                    Ok(found) => {
                        let progress = progress.remove(&id).unwrap_or_default();
                        self.step(Event::Recovered(id, Arc::new(found), progress));
                    }
                    Err(error) => warn!("job cannot be decoded", kv: { key: = &*item.key, error: }),
                },
                Some(Watched::Cancellation(id)) => {
                    stops.insert(id);
                }
                Some(Watched::Epoch) => {}
                None => warn!("unknown key", kv: { key: = &*item.key }),
            }
        }
        for id in stops {
            self.step(Event::Cancelled(id));
        }
        self.step(Event::Loaded);
        info!("stored state loaded", kv: { epoch = self.epoch.0, items = jobs });
    }

    /// Applies changes to the watched keys. An answer without a newer term
    /// confirms the leadership as of `sent_at`.
    fn apply_changes(&mut self, sent_at: Instant, changes: Changes) -> Option<Ended> {
        for change in changes.changes {
            match change {
                Change::Set(item) => {
                    if let Some(ended) = self.apply_item(&item) {
                        return Some(ended);
                    }
                }
                Change::Removed(_) => {}
            }
        }
        self.leadership.confirm(sent_at);
        self.step(Event::Tick);
        None
    }

    /// Applies a full listing of the watched keys, which replaces a watch whose
    /// history was compacted after the revision `after`. Items up to there have
    /// been applied. A job among them that the planner no longer knows has ended,
    /// and its removal from the store may not have taken effect yet.
    fn apply_listing(
        &mut self,
        sent_at: Instant,
        after: Revision,
        items: &[Item],
    ) -> Option<Ended> {
        let newest = items.iter().find(|item| *item.key == *key::EPOCH);
        if newest.is_none_or(|item| self.supersedes(item)) {
            return Some(Ended::Deposed);
        }
        let missed = |item: &&Item| item.revision > after && *item.key != *key::EPOCH;
        for item in items.iter().filter(missed) {
            self.apply_item(item);
        }
        self.leadership.confirm(sent_at);
        None
    }

    /// Returns whether `item` holds a newer epoch. One that cannot be decoded
    /// counts as newer, so that this leader steps down.
    fn supersedes(&self, item: &Item) -> bool {
        postcard::from_bytes::<Epoch>(&item.value).map_or(true, |epoch| epoch > self.epoch)
    }

    fn apply_item(&mut self, item: &Item) -> Option<Ended> {
        match Watched::parse(&item.key) {
            Some(Watched::Epoch) if self.supersedes(item) => return Some(Ended::Deposed),
            Some(Watched::Epoch) => {}
            Some(Watched::Job(id)) => match decode_job(&item.value) {
                Ok(job) => self.step(Event::Submitted(id, Arc::new(job))),
                Err(error) => warn!("job cannot be decoded", kv: { key: = &*item.key, error: }),
            },
            Some(Watched::Cancellation(id)) => self.step(Event::Cancelled(id)),
            None => warn!("unknown key", kv: { key: = &*item.key }),
        }
        None
    }

    /// Processes an event, and the closing of each session that could not be
    /// sent its orders.
    fn step(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let (actions, placed) = self.plan(event);
            for action in actions {
                match action {
                    Action::Send(link, response) => {
                        if !self.send(link, response) {
                            events.push_back(Event::Closed(link));
                        }
                    }
                    Action::Persist(batch) => {
                        // Fails only if the journal has ended, which it reports
                        // itself.
                        let _ = self.journal.send(Order::Batch(batch));
                    }
                    Action::Decided(decision) => decision::log(&decision),
                }
            }
            if placed {
                events.push_front(Event::Placed);
            }
        }
    }

    /// Returns the planner's actions for an event, and whether it has run a
    /// placement pass.
    fn plan(&mut self, event: Event) -> (Vec<Action>, bool) {
        let mut actions = Vec::new();
        let until = self.leadership.valid_until();
        let kind = (&event).into();
        let passes = self.planner.passes();
        let began = std::time::Instant::now();
        self.planner
            .step((self.clock)(), clock::wall(), until, event, &mut actions);
        let placed = self.planner.passes() > passes;
        let kind = if placed { "placement" } else { kind };
        self.load.record(kind, began.elapsed());
        (actions, placed)
    }

    /// Queues a message for a link. If the queue is full or closed, drops it and
    /// returns `false`: the session must end, because it has missed an order.
    fn send(&mut self, link: Link, response: Response) -> bool {
        let Some(outbox) = self.outboxes.get(&link) else {
            return true;
        };
        if outbox.try_send(response).is_ok() {
            return true;
        }
        warn!("send queue of a link is full or closed, ending the session", kv: { link = link.0 });
        self.outboxes.remove(&link);
        false
    }
}

/// Why a stored job cannot be used.
#[derive(Debug, thiserror::Error)]
enum JobError {
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    #[error(transparent)]
    Steps(#[from] job::Error),
}

/// Decodes a stored job. It is validated again, because it may come from another
/// writer, and a job that the planner cannot carry out would end every leader.
fn decode_job(value: &[u8]) -> Result<job::Job, JobError> {
    let found: job::Job = postcard::from_bytes(value)?;
    found.check()?;
    Ok(found)
}

/// Carries out the journal's orders one at a time, until another entry leads.
async fn write_orders<S: Store>(
    mut journal: Journal<S>,
    mut orders: mpsc::UnboundedReceiver<Order>,
    inbox: Rc<Inbox>,
) {
    while let Some(order) = orders.recv().await {
        let (number, result) = match order {
            Order::Batch(batch) => (batch.number, journal.write(&batch).await),
            Order::Announce(leader, lease) => (0, journal.announce(&leader, lease).await),
        };
        let deposed = result.is_err();
        inbox.send(Input::Written(number, result)).await;
        if deposed {
            return;
        }
    }
}

/// Watches the keys below [`key::WATCHED_PREFIX`] and passes their changes to
/// the term.
async fn watch_changes<S: Store>(store: S, mut revision: Revision, inbox: Rc<Inbox>) {
    loop {
        let sent_at = clock::monotonic();
        match store.watch(key::WATCHED_PREFIX, revision, WATCH_WAIT).await {
            Ok(changes) => {
                revision = changes.revision;
                inbox.send(Input::Changed(sent_at, changes)).await;
            }
            Err(Failure::Compacted) => match store.list(key::WATCHED_PREFIX).await {
                Ok((items, newest)) => {
                    info!("history compacted, watched keys listed in full", kv: { items = items.len() });
                    let after = std::mem::replace(&mut revision, newest);
                    inbox.send(Input::Relisted(sent_at, after, items)).await;
                }
                Err(error) => {
                    warn!("watched keys not listed, retrying", kv: { error: });
                    sleep(RETRY_DELAY).await;
                }
            },
            Err(error) => {
                debug!("watch failed, retrying", kv: { error: });
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
