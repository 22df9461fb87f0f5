//! An entry: accepts jobs from callers, and leads when no other entry does.

mod callers;
mod relay;

pub use callers::{Cancellation, Submission};

use {
    crate::{
        budget::{Amount, Budget, Permit},
        claim::{self, Prior},
        evacuation_watch, key,
        key_watch::Watcher,
        leader_link::{self, Answer, Body, LeaderLink},
        listener::Listener,
        platform::Store,
        term::{Candidate, Driver, Ended, Input, Queued},
        withdrawal::Ledger,
    },
    filbertbend_state::{
        time,
        unit::{Cores, Millis},
    },
    filbertbend_transport::{
        clock,
        link::{self, Link, Receiver, Sender, Socket},
        tls::Identity,
    },
    filbertbend_workload::{
        catalog::Catalog,
        id::{self, Node},
        leadership,
        message::{Query, Reply, Request, Response},
        planner::Settings,
        record::Leader,
    },
    metrics::counter,
    relay::Relay,
    spdlog::prelude::*,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{sleep, timeout},
    },
};

/// Capacity of the queue of inputs to the planner, in messages.
const INBOX_LIMIT: usize = 4096;
/// Capacity of the send queue of one link, in messages.
const OUTBOX_LIMIT: usize = 512;
/// The queries of one link that the planner has not answered. An entry keeps no
/// more questions open.
const OPEN_QUERY_LIMIT: Amount = Amount {
    count: leader_link::QUESTION_LIMIT,
    bytes: 0,
};
/// How long a question to the leader waits for its answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of one long poll for the leader's key.
const WATCH_WAIT: Millis = Millis(2000);
/// Delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// An entry that has not heard from the store for this long reports that it is
/// not ready, so that callers are sent to other entries. A little more than two
/// long polls for the leader's key.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(4500);
/// The same for an entry whose calls fail: a little more than one call without
/// an answer lasts, so that a single one does not count.
const STORE_AWAY_LIMIT: Duration = Duration::from_millis(1500);

/// Holds the sender to the current term while this entry leads.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    sender: RefCell<Option<mpsc::Sender<Queued>>>,
}

impl Inbox {
    /// Passes an input to the current term. Drops it if there is none.
    pub(crate) async fn send(&self, input: Input) {
        let sender = self.sender.borrow().clone();
        if let Some(sender) = sender {
            // Fails only if the term has just ended.
            let queued = Queued {
                since: clock::monotonic(),
                input,
            };
            let _ = sender.send(queued).await;
        }
    }

    fn is_open(&self) -> bool {
        self.sender.borrow().is_some()
    }
}

/// The options that an entry is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry's name.
    pub node: Arc<str>,
    /// The address at which the entry accepts links from agents and other
    /// entries.
    pub address: SocketAddr,
    /// The processor time of the entry; those with more lead first.
    pub processor: Cores,
    /// The settings of the planner that runs while the entry leads.
    pub planner: Settings,
    /// Where operators request evacuations. Without it nothing waits for them.
    pub evacuations: Option<evacuation_watch::Source>,
}

/// The state of an entry, shared by all its asynchronous tasks.
pub struct Entry<S> {
    store: S,
    options: Options,
    catalog: watch::Receiver<Option<Arc<Catalog>>>,
    leader: Watcher,
    inbox: Rc<Inbox>,
    leader_link: LeaderLink,
    relay: Relay,
    withdrawals: Ledger,
    /// Since when this process has not led.
    retired_since: Cell<time::Instant>,
    next_link: Cell<u64>,
}

impl<S: Store> Entry<S> {
    /// Starts an entry, which accepts links and competes for leadership until
    /// `stop` turns true.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        store: S,
        options: Options,
        identity: Identity,
        catalog: watch::Receiver<Option<Arc<Catalog>>>,
        stop: watch::Receiver<bool>,
    ) -> Result<Rc<Self>, link::Error> {
        let socket = Socket::listen(options.address, &identity)?;
        let leader = Watcher::start(store.clone(), key::LEADER, WATCH_WAIT);
        let leader_link = LeaderLink::new(Node(options.node.clone()), identity);
        let entry = Rc::new(Self {
            store,
            options,
            catalog,
            leader,
            inbox: Rc::default(),
            leader_link,
            relay: Relay::default(),
            withdrawals: Ledger::default(),
            retired_since: Cell::new(clock::monotonic()),
            next_link: Cell::new(0),
        });
        tokio::task::spawn_local(entry.clone().accept(Listener::new(socket)));
        tokio::task::spawn_local(entry.clone().probe());
        tokio::task::spawn_local(entry.clone().campaign(stop));
        Ok(entry)
    }

    /// Returns whether the entry can serve callers: it has a configuration and
    /// has reached the store recently, itself or through the leader.
    pub fn is_ready(&self) -> bool {
        self.catalog.borrow().is_some() && (self.reaches_store() || self.relay.is_proven())
    }

    /// Returns whether the store serves this entry, as far as it knows. If not, the
    /// entry does not learn of a new configuration.
    pub fn reaches_store(&self) -> bool {
        let away = self.leader.away();
        self.leader.age() < STORE_SILENCE_LIMIT && away.is_none_or(|away| away < STORE_AWAY_LIMIT)
    }

    /// Returns the current configuration, if one has been read.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Claims the leadership whenever it is vacant, and runs the term.
    async fn campaign(self: Rc<Self>, mut stop: watch::Receiver<bool>) {
        let mut leader = self.leader.clone();
        leader.wait_until_read().await;
        loop {
            if *stop.borrow() {
                return;
            }
            match decode_leader(&leader) {
                Some(found) if *found.node != *self.options.node => {
                    tokio::select! {
                        () = leader.changed() => {}
                        () = self.report_retirement(found) => {}
                        _ = stop.wait_for(|stop| *stop) => return,
                    }
                    continue;
                }
                // The key is from an earlier process or term of this entry. It
                // disappears when its lease expires.
                Some(_) => sleep(RETRY_DELAY).await,
                None => {
                    let prior = tokio::select! {
                        prior = self.await_turn(&mut leader) => prior,
                        _ = stop.wait_for(|stop| *stop) => return,
                    };
                    if let Some(prior) = prior {
                        self.run_term(&prior, &stop).await;
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
            leader.refresh();
            let _ = timeout(ASK_TIMEOUT, leader.changed()).await;
        }
    }

    /// Waits until this entry may claim the vacant leadership. Returns `None` if it
    /// is not vacant any more.
    async fn await_turn(&self, leader: &mut Watcher) -> Option<Prior> {
        let silence = Millis(leader.silence().as_millis() as u64);
        let rank = xxhash_rust::xxh3::xxh3_64(self.options.node.as_bytes());
        sleep(leadership::claim_delay(rank, self.options.processor).duration()).await;
        let prior = tokio::select! {
            prior = Prior::load(&self.store) => prior,
            () = appearance(leader) => return None,
        };
        if !prior.exists() {
            return Some(prior);
        }
        let processor = self.options.processor;
        let wait =
            leadership::outage_grace(silence) + leadership::deference(processor, prior.processor);
        if wait == Millis::ZERO {
            return Some(prior);
        }
        info!("leadership vacant, waiting before a claim", kv: {
            wait_ms = wait.0,
            silence_ms = silence.0,
            processor_millicores = processor.0,
            last_millicores = prior.processor.map_or(0, |last| last.0)
        });
        if timeout(wait.duration(), appearance(leader)).await.is_ok() {
            info!("leadership not vacant any more, not claimed");
            return None;
        }
        Some(prior)
    }

    /// Tells the leader that its predecessor is gone, if that was a process at this
    /// entry's address, or this process in an earlier term. Never returns.
    async fn report_retirement(&self, leader: Leader) {
        let address = self.options.address;
        while leader.former == Some(address) {
            let idle = clock::monotonic().since(self.retired_since.get());
            let body = Body::Query(Query::Retired(address, idle));
            if let Some(asked) = self.leader_link.ask(leader.clone(), body, None) {
                let noted = Answer::Reply(Reply::Noted);
                if timeout(ASK_TIMEOUT, asked.answer).await == Ok(Ok(noted)) {
                    info!("leader told that its predecessor is gone", kv: { epoch = leader.epoch.0, idle_ms = idle.0 });
                    break;
                }
            }
            sleep(RETRY_DELAY).await;
        }
        std::future::pending().await
    }

    async fn run_term(self: &Rc<Self>, prior: &Prior, stop: &watch::Receiver<bool>) {
        let candidate = Candidate {
            node: self.options.node.clone(),
            address: self.options.address,
            processor: self.options.processor,
            settings: self.options.planner.clone(),
            evacuations: self.options.evacuations,
            retired_since: self.retired_since.get(),
        };
        let claim = match claim::claim(&self.store, &candidate, prior).await {
            Ok(Some(claim)) => claim,
            Ok(None) => {
                info!("leadership claim lost, another entry has written");
                return;
            }
            Err(error) => {
                info!("leadership claim failed", kv: { error: });
                return;
            }
        };
        let (sender, inputs) = mpsc::channel(INBOX_LIMIT);
        self.inbox.sender.replace(Some(sender));
        let driver = Driver::new(self.store.clone(), candidate, claim, self.inbox.clone());
        let ended = driver.run(inputs, self.catalog.clone(), stop.clone()).await;
        self.inbox.sender.replace(None);
        self.retired_since.set(clock::monotonic());
        counter!("filbertbend_terms_ended_total", "reason" => ended.to_string()).increment(1);
        if ended == Ended::Deposed {
            self.leader.refresh();
        }
    }

    async fn accept(self: Rc<Self>, listener: Listener) {
        while let Some(incoming) = listener.accept().await {
            let entry = self.clone();
            tokio::task::spawn_local(async move {
                let Some(link) = incoming.complete().await else {
                    return;
                };
                let peer = link.peer();
                if let Err(error) = entry.serve_link(link).await {
                    debug!("link ended", kv: { peer:, error: });
                }
            });
        }
    }

    async fn serve_link(self: &Rc<Self>, link: Link) -> Result<(), link::Error> {
        let (mut sender, mut receiver) = link.accept().await?;
        let Some(first) = receiver.receive::<Request>().await? else {
            return Ok(());
        };
        if !self.inbox.is_open() {
            let leader = decode_leader(&self.leader).map(|leader| leader.address);
            sender.send(&Response::NotLeader(leader)).await?;
            sender.finish();
            sender.stopped().await;
            return Ok(());
        }
        let (outbox, mut queue) = mpsc::channel::<Response>(OUTBOX_LIMIT);
        let number = id::Link(self.next_link.replace(self.next_link.get() + 1));
        let agent = matches!(first, Request::Agent(_));
        if let Request::Agent(node) = &first {
            let opened = Input::LinkOpened(number, node.clone(), outbox.clone());
            self.inbox.send(opened).await;
        }
        let result = tokio::select! {
            result = send_all(&mut queue, &mut sender) => result,
            result = self.receive_all(number, &mut receiver, outbox) => result,
            // A session ends with the term that it belongs to.
            () = self.term_ended() => Ok(()),
        };
        if agent {
            self.inbox.send(Input::LinkClosed(number)).await;
        }
        link.close();
        result
    }

    async fn term_ended(&self) {
        let sender = self.inbox.sender.borrow().clone();
        if let Some(sender) = sender {
            sender.closed().await;
        }
    }

    async fn receive_all(
        self: &Rc<Self>,
        number: id::Link,
        receiver: &mut Receiver,
        outbox: mpsc::Sender<Response>,
    ) -> Result<(), link::Error> {
        let open_queries = Budget::new(OPEN_QUERY_LIMIT);
        while let Some(request) = receiver.receive::<Request>().await? {
            match request {
                Request::Agent(node) => self.inbox.send(Input::SessionReopened(number, node)).await,
                Request::Report(report) => {
                    self.inbox.send(Input::Report(number, report)).await;
                }
                Request::Query(ticket, question) => {
                    if let Some(permit) = open_queries.admit(0) {
                        self.serve_query(ticket, question, permit, &outbox);
                    } else {
                        let answer = Response::Answer(ticket, Reply::NotReady);
                        let _ = outbox.send(answer).await;
                    }
                }
                Request::Relay(ticket, call) => self.serve_relay(ticket, call, &outbox),
                Request::Ping => {
                    let _ = outbox.send(Response::Pong).await;
                }
                Request::Entry(_) => {}
            }
        }
        Ok(())
    }

    /// Passes a query on to the planner and answers it, while the link is read on:
    /// calls of the store don't wait for a busy planner.
    fn serve_query(
        self: &Rc<Self>,
        ticket: u64,
        query: Query,
        permit: Permit,
        outbox: &mpsc::Sender<Response>,
    ) {
        let entry = self.clone();
        let outbox = outbox.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            let reply = async {
                let (reply, answer) = oneshot::channel();
                entry.inbox.send(Input::Ask(query, reply)).await;
                answer.await.unwrap_or(Reply::NotReady)
            };
            let reply = tokio::select! {
                reply = reply => reply,
                () = outbox.closed() => return,
            };
            // Fails only if the link is closed, which needs no answer.
            let _ = outbox.send(Response::Answer(ticket, reply)).await;
        });
    }
}

async fn send_all(
    queue: &mut mpsc::Receiver<Response>,
    sender: &mut Sender,
) -> Result<(), link::Error> {
    while let Some(response) = queue.recv().await {
        sender.send(&response).await?;
    }
    Ok(())
}

/// Waits until the store's key names a leader.
async fn appearance(watcher: &mut Watcher) {
    while decode_leader(watcher).is_none() {
        watcher.changed().await;
    }
}

/// Returns the leader that the store's key names, if any.
pub(crate) fn decode_leader(watcher: &Watcher) -> Option<Leader> {
    let item = watcher.item()?;
    match postcard::from_bytes(&item.value) {
        Ok(leader) => Some(leader),
        Err(error) => {
            error!("leader's key cannot be decoded", kv: { error: });
            None
        }
    }
}
