//! One term of leadership: claiming it, reading everything back, and running
//! the planner until another entry leads or the process ends.

use {
    crate::{
        decision,
        entry::Inbox,
        journal::{encode, Deposed, Journal},
        key::{self, Intake},
        platform::{Change, Changes, Commit, Failure, Item, Lease, Revision, Store, Transaction},
    },
    filbertbend_state::{time::Instant, unit::Millis},
    filbertbend_transport::clock,
    filbertbend_workload::{
        catalog::Catalog,
        id::{Epoch, Job, Link, Node},
        job, lead,
        message::{Question, Reply, Report, Response},
        planner::{Action, Batch, Event, Planner, Settings},
        record::{Leader, Progress, Term},
    },
    metrics::{counter, gauge},
    spdlog::prelude::*,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{interval, sleep, timeout, MissedTickBehavior},
    },
};

/// How long one watch for new work waits. A leader's confirmation is as old as
/// its last watch, so this is a small part of [`lead::HORIZON`].
const WATCH_WAIT: Millis = Millis(1000);
/// How often the planner looks at the time.
const TICK: Duration = Duration::from_millis(50);
/// A tick that comes this late means that the process stood still, which the
/// log tells.
const STALL: Millis = Millis(1000);
/// How long a leader that ends may take to make its progress durable.
const LEAVE_LIMIT: Duration = Duration::from_millis(800);
/// How long to wait before a failed call of the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Who claims.
#[derive(Clone, Debug)]
pub(crate) struct Claimant {
    pub(crate) node: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) settings: Settings,
}

/// What a term is told from outside.
pub(crate) enum Input {
    /// An agent has opened a link.
    Opened(Link, Node, mpsc::Sender<Response>),
    /// An agent opens another session on its link.
    Again(Link, Node),
    /// An agent reports.
    Report(Link, Box<Report>),
    /// A link is gone.
    Closed(Link),
    /// A caller's question.
    Ask(Question, oneshot::Sender<Reply>),
    /// The intake has changed.
    Intake(Instant, Changes),
    /// The intake was read as a whole.
    Reread(Instant, Vec<Item>),
    /// A batch is durable since this time, or another entry leads.
    Written(u64, Result<Instant, Deposed>),
    /// The leader's key has to be written again.
    Announce,
}

/// A claim that succeeded.
pub(crate) struct Claim {
    term: Term,
    revision: Revision,
    lease: Lease,
    asked: Instant,
}

/// Claims the next term, if no entry leads.
pub(crate) async fn claim(
    store: &impl Store,
    claimant: &Claimant,
) -> Result<Option<Claim>, Failure> {
    let found = store.get(key::TERM).await?;
    let revision = found.as_ref().map_or(Revision(0), |item| item.revision);
    let last: Term = match &found {
        Some(item) => postcard::from_bytes(&item.value).unwrap_or_else(|error| {
            error!("term cannot be read", kv: { error: });
            Term::default()
        }),
        None => Term::default(),
    };
    let term = Term {
        epoch: Epoch(last.epoch.0 + 1),
        batch: 0,
        node: claimant.node.clone(),
    };
    let leader = Leader {
        epoch: term.epoch,
        node: claimant.node.clone(),
        address: claimant.address,
    };
    let asked = clock::monotonic();
    let lease = store.grant(lead::KEY_TTL).await?;
    let transaction = Transaction {
        expect: vec![
            (key::TERM.into(), revision),
            (key::LEADER.into(), Revision(0)),
        ],
        set: vec![
            (key::TERM.into(), encode(&term), None),
            (key::EPOCH.into(), encode(&term.epoch), None),
            (key::LEADER.into(), encode(&leader), Some(lease)),
        ],
        remove: Vec::new(),
    };
    match store.commit(&transaction).await? {
        Commit::Done(revision) => Ok(Some(Claim {
            term,
            revision,
            lease,
            asked,
        })),
        Commit::Conflict(_) | Commit::LeaseNotFound => Ok(None),
    }
}

/// Everything that lasts, as it was read back.
struct Image {
    intake: Vec<Item>,
    progress: Vec<Item>,
    revision: Revision,
}

async fn read_back(store: &impl Store) -> Result<Image, Failure> {
    let (intake, revision) = store.list(key::INTAKE).await?;
    let (progress, _) = store.list(key::PROGRESS).await?;
    Ok(Image {
        intake,
        progress,
        revision,
    })
}

/// A term in progress.
pub(crate) struct Driver<S> {
    store: S,
    claimant: Claimant,
    epoch: Epoch,
    lease: Lease,
    planner: Planner,
    lead: lead::Lead,
    journal: mpsc::UnboundedSender<Order>,
    outboxes: HashMap<Link, mpsc::Sender<Response>>,
    inbox: Rc<Inbox>,
    ticked: Instant,
}

/// What the journal's task is to write.
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
    /// Begins a term that was claimed.
    pub(crate) fn new(store: S, claimant: Claimant, claim: Claim, inbox: Rc<Inbox>) -> Self {
        let now = clock::monotonic();
        let mut lead = lead::Lead::default();
        lead.confirm(claim.asked);
        let epoch = claim.term.epoch;
        let planner = Planner::new(claimant.settings.clone(), epoch, now);
        let (journal, orders) = mpsc::unbounded_channel();
        let writer = Journal::new(store.clone(), claim.term, claim.revision);
        tokio::task::spawn_local(write(writer, orders, inbox.clone()));
        info!("leading", kv: { epoch = epoch.0, node: = &*claimant.node });
        counter!("filbertbend_terms_total").increment(1);
        Self {
            store,
            claimant,
            epoch,
            lease: claim.lease,
            planner,
            lead,
            journal,
            outboxes: HashMap::new(),
            inbox,
            ticked: now,
        }
    }

    /// Runs the term until it ends.
    pub(crate) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut catalog: watch::Receiver<Option<Arc<Catalog>>>,
        mut stop: watch::Receiver<bool>,
    ) -> Ended {
        let renewal =
            tokio::task::spawn_local(renew(self.store.clone(), self.lease, self.inbox.clone()));
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut loading = Box::pin(load(self.store.clone()));
        let mut watching = None;
        if let Some(catalog) = catalog.borrow_and_update().clone() {
            self.step(Event::Configured(catalog));
        }
        let ended = loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => if let Some(ended) = self.input(input).await { break ended },
                    None => break Ended::Stopped,
                },
                image = &mut loading, if watching.is_none() => {
                    let revision = image.revision;
                    self.load(image);
                    watching = Some(tokio::task::spawn_local(watch_intake(
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
                _ = stop.wait_for(|stop| *stop) => break Ended::Stopped,
            }
        };
        if ended == Ended::Stopped && timeout(LEAVE_LIMIT, self.leave(&mut inputs)).await.is_err() {
            warn!("left with progress that is not durable");
        }
        renewal.abort();
        if let Some(watching) = watching {
            watching.abort();
        }
        info!("no longer leading", kv: { epoch = self.epoch.0, reason: = ended });
        if ended == Ended::Stopped {
            if let Err(error) = self.store.revoke(self.lease).await {
                warn!("leader's key not given up", kv: { error: });
            }
        }
        ended
    }

    /// Makes durable what has gathered, so that the next leader has it. New
    /// sessions and orders have come to an end by then.
    async fn leave(&mut self, inputs: &mut mpsc::Receiver<Input>) {
        self.step(Event::Leave);
        while !self.planner.is_durable() {
            match inputs.recv().await {
                Some(Input::Written(number, Ok(_))) => self.step(Event::Persisted(number)),
                Some(Input::Written(_, Err(_))) | None => return,
                Some(_) => {}
            }
        }
    }

    async fn input(&mut self, input: Input) -> Option<Ended> {
        match input {
            Input::Opened(link, node, outbox) => {
                self.outboxes.insert(link, outbox);
                self.step(Event::Opened(link, node));
            }
            Input::Again(link, node) => self.step(Event::Opened(link, node)),
            Input::Report(link, report) => self.step(Event::Report(link, report)),
            Input::Closed(link) => {
                self.outboxes.remove(&link);
                self.step(Event::Closed(link));
            }
            Input::Ask(question, reply) => {
                // The asker may have given up meanwhile.
                let _ = reply.send(self.planner.answer(&question));
            }
            Input::Intake(asked, changes) => return self.intake(asked, changes),
            Input::Reread(asked, items) => return self.reread(asked, items),
            Input::Written(number, Ok(asked)) => {
                self.lead.confirm(asked);
                self.step(Event::Persisted(number));
            }
            Input::Written(_, Err(deposed)) => {
                warn!("another entry leads", kv: { epoch = self.epoch.0, by: = deposed.by.map_or(0, |by| by.0) });
                return Some(Ended::Deposed);
            }
            Input::Announce => self.announce().await,
        }
        None
    }

    /// Binds the leader's key to a new lease after the old one has ended.
    async fn announce(&mut self) {
        match self.store.grant(lead::KEY_TTL).await {
            Ok(lease) => {
                self.lease = lease;
                let leader = Leader {
                    epoch: self.epoch,
                    node: self.claimant.node.clone(),
                    address: self.claimant.address,
                };
                // Fails only if the journal has ended, which is reported.
                let _ = self.journal.send(Order::Announce(leader, lease));
                tokio::task::spawn_local(renew(self.store.clone(), lease, self.inbox.clone()));
            }
            Err(error) => {
                warn!("no lease for the leader's key", kv: { error: });
                let inbox = self.inbox.clone();
                tokio::task::spawn_local(async move {
                    sleep(RETRY_DELAY).await;
                    inbox.send(Input::Announce).await;
                });
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::monotonic();
        if now.since(self.ticked) > STALL {
            warn!("stood still", kv: { ms = now.since(self.ticked).0 });
        }
        self.ticked = now;
        let (jobs, workers) = self.planner.size();
        gauge!("filbertbend_jobs").set(jobs as f64);
        gauge!("filbertbend_workers").set(workers as f64);
        self.step(Event::Tick);
    }

    fn load(&mut self, image: Image) {
        let mut progress: HashMap<Job, Progress> = HashMap::new();
        for item in &image.progress {
            let id = item
                .key
                .strip_prefix(key::PROGRESS)
                .and_then(|id| id.parse().ok());
            match (id, postcard::from_bytes::<Progress>(&item.value)) {
                (Some(id), Ok(found)) => {
                    progress.insert(id, found);
                }
                _ => warn!("progress cannot be read", kv: { key: = &*item.key }),
            }
        }
        let jobs = image.intake.len();
        let mut stops = HashSet::new();
        for item in &image.intake {
            match Intake::parse(&item.key) {
                Some(Intake::Job(id)) => match postcard::from_bytes::<job::Job>(&item.value) {
                    Ok(found) => {
                        let progress = progress.remove(&id).unwrap_or_default();
                        self.step(Event::Recovered(id, Arc::new(found), progress));
                    }
                    Err(error) => warn!("job cannot be read", kv: { key: = &*item.key, error: }),
                },
                Some(Intake::Stop(id)) => {
                    stops.insert(id);
                }
                Some(Intake::Epoch) => {}
                None => warn!("unknown key", kv: { key: = &*item.key }),
            }
        }
        for id in stops {
            self.step(Event::Cancelled(id));
        }
        self.step(Event::Loaded);
        info!("state read back", kv: { epoch = self.epoch.0, items = jobs });
    }

    /// Takes in what has changed; an answer of the watch that shows no other
    /// term confirms the leadership.
    fn intake(&mut self, asked: Instant, changes: Changes) -> Option<Ended> {
        for change in changes.changes {
            match change {
                Change::Set(item) => {
                    if let Some(ended) = self.take(&item) {
                        return Some(ended);
                    }
                }
                Change::Removed(_) => {}
            }
        }
        self.lead.confirm(asked);
        self.step(Event::Tick);
        None
    }

    fn reread(&mut self, asked: Instant, items: Vec<Item>) -> Option<Ended> {
        let newest = items.iter().find(|item| *item.key == *key::EPOCH);
        if newest.is_none_or(|item| self.is_foreign(item)) {
            return Some(Ended::Deposed);
        }
        for item in items.iter().filter(|item| *item.key != *key::EPOCH) {
            self.take(item);
        }
        self.lead.confirm(asked);
        None
    }

    fn is_foreign(&self, item: &Item) -> bool {
        postcard::from_bytes::<Epoch>(&item.value).map_or(true, |epoch| epoch > self.epoch)
    }

    fn take(&mut self, item: &Item) -> Option<Ended> {
        match Intake::parse(&item.key) {
            Some(Intake::Epoch) if self.is_foreign(item) => return Some(Ended::Deposed),
            Some(Intake::Epoch) => {}
            Some(Intake::Job(id)) => match postcard::from_bytes::<job::Job>(&item.value) {
                Ok(job) => self.step(Event::Submitted(id, Arc::new(job))),
                Err(error) => warn!("job cannot be read", kv: { key: = &*item.key, error: }),
            },
            Some(Intake::Stop(id)) => self.step(Event::Cancelled(id)),
            None => warn!("unknown key", kv: { key: = &*item.key }),
        }
        None
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        let until = self.lead.until();
        self.planner.step(
            clock::monotonic(),
            clock::wall(),
            until,
            event,
            &mut actions,
        );
        for action in actions {
            match action {
                Action::Send(link, response) => self.send(link, response),
                Action::Persist(batch) => {
                    // Fails only if the journal has ended, which is reported.
                    let _ = self.journal.send(Order::Batch(batch));
                }
                Action::Decided(decision) => decision::log(&decision),
            }
        }
    }

    /// Leaves a message for a link. One that is too far behind is closed, since
    /// a session must not miss an order.
    fn send(&mut self, link: Link, response: Response) {
        let Some(outbox) = self.outboxes.get(&link) else {
            return;
        };
        if outbox.try_send(response).is_err() {
            warn!("link too far behind", kv: { link = link.0 });
            self.outboxes.remove(&link);
            let mut actions = Vec::new();
            let until = self.lead.until();
            self.planner.step(
                clock::monotonic(),
                clock::wall(),
                until,
                Event::Closed(link),
                &mut actions,
            );
        }
    }
}

async fn load<S: Store>(store: S) -> Image {
    loop {
        match read_back(&store).await {
            Ok(image) => return image,
            Err(error) => {
                warn!("state not read back yet", kv: { error: });
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes one order after another.
async fn write<S: Store>(
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

/// Renews the lease of the leader's key until it has ended.
async fn renew<S: Store>(store: S, lease: Lease, inbox: Rc<Inbox>) {
    loop {
        sleep(lead::RENEW_INTERVAL.duration()).await;
        match store.renew(lease).await {
            Ok(()) => {}
            Err(Failure::LeaseNotFound) => {
                warn!("lease of the leader's key has ended");
                inbox.send(Input::Announce).await;
                return;
            }
            Err(error) => debug!("leader's key not renewed", kv: { error: }),
        }
    }
}

/// Passes on what changes in the intake.
async fn watch_intake<S: Store>(store: S, mut revision: Revision, inbox: Rc<Inbox>) {
    loop {
        let asked = clock::monotonic();
        match store.watch(key::INTAKE, revision, WATCH_WAIT).await {
            Ok(changes) => {
                revision = changes.revision;
                inbox.send(Input::Intake(asked, changes)).await;
            }
            Err(Failure::Compacted) => match store.list(key::INTAKE).await {
                Ok((items, newest)) => {
                    info!("history dropped; intake read as a whole", kv: { items = items.len() });
                    revision = newest;
                    inbox.send(Input::Reread(asked, items)).await;
                }
                Err(error) => {
                    warn!("intake not read", kv: { error: });
                    sleep(RETRY_DELAY).await;
                }
            },
            Err(error) => {
                debug!("intake not watched", kv: { error: });
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
