//! Keeps the clients of a listener within the memory and the descriptors of the
//! process.

mod ledger;

pub use ledger::{Id, Ledger, Limits, Reservation, NEAR_STALL_TIME, PROGRESS_BYTES, STALL_TIME};

use {
    metrics::counter,
    rustix::io::Errno,
    spdlog::prelude::*,
    std::{
        collections::HashMap,
        io,
        net::IpAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{watch, OwnedSemaphorePermit, Semaphore},
        time::timeout,
    },
};

/// Minimum interval between two log lines on refusals and evictions. The
/// counters count each.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a connection that waits for room looks for one that has
/// stalled. Short beside [`STALL_TIME`].
const ROOM_CHECK: Duration = Duration::from_millis(20);

/// The connections of one listener; clones share them.
#[derive(Clone, Debug)]
pub struct Clients {
    shared: Arc<Mutex<Shared>>,
    /// One permit a connection. An evicted connection keeps its permit until it
    /// is closed.
    permits: Arc<Semaphore>,
}

#[derive(Debug)]
struct Shared {
    /// What the clients use, for logs and metrics.
    listener: &'static str,
    ledger: Ledger,
    evictions: HashMap<Id, watch::Sender<bool>>,
    logged: Option<Instant>,
    /// Evictions, refusals and delays since the last log line.
    unlogged: u64,
}

/// Tells when a connection must be closed.
#[derive(Clone, Debug)]
pub struct Eviction(watch::Receiver<bool>);

/// One open connection, forgotten when dropped.
#[derive(Debug)]
pub struct Client {
    id: Id,
    clients: Clients,
    _permit: OwnedSemaphorePermit,
}

/// A request of a [`Client`]; releases its memory when dropped.
#[derive(Debug)]
pub struct Request {
    client: Arc<Client>,
}

impl Clients {
    /// Creates the clients of a listener, whose name is used in logs and
    /// metrics.
    pub fn new(listener: &'static str, limits: Limits) -> Self {
        let shared = Shared {
            listener,
            ledger: Ledger::new(limits),
            evictions: HashMap::new(),
            logged: None,
            unlogged: 0,
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
            permits: Arc::new(Semaphore::new(limits.connections)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection, perhaps in the place of one that has stalled, which
    /// is closed first. Waits while there is no room; the wait may be dropped.
    pub async fn open(&self, peer: IpAddr) -> (Arc<Client>, Eviction) {
        let permit = self.permit().await;
        let (id, eviction) = self.lock().open(peer);
        let client = Client {
            id,
            clients: self.clone(),
            _permit: permit,
        };
        (Arc::new(client), eviction)
    }

    /// Waits for room for another connection.
    async fn permit(&self) -> OwnedSemaphorePermit {
        let mut delayed = false;
        loop {
            if self.permits.available_permits() == 0 {
                self.lock().make_room();
            }
            let acquired = self.permits.clone().acquire_owned();
            // Fails only if the semaphore is closed, which it never is.
            if let Ok(Ok(permit)) = timeout(ROOM_CHECK, acquired).await {
                return permit;
            }
            if !std::mem::replace(&mut delayed, true) {
                self.lock().note("connection_delayed");
            }
        }
    }

    /// Counts a request that was refused before it reached a handler.
    pub fn refuse(&self, reason: &'static str) {
        self.lock().note(reason);
    }

    /// Closes one connection if another could not be accepted because
    /// descriptors or memory have run out.
    pub fn shed(&self, error: &io::Error) {
        let exhausted = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
        if !Errno::from_io_error(error).is_some_and(|error| exhausted.contains(&error)) {
            return;
        }
        let mut shared = self.lock();
        if let Some(evicted) = shared.ledger.shed(Instant::now()) {
            shared.evict(evicted, "connection_evicted");
        }
    }
}

impl Eviction {
    /// Returns whether the connection must be closed.
    pub fn is_due(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the connection must be closed; forever if it closes itself.
    pub async fn wait(&mut self) {
        if self.0.wait_for(|due| *due).await.is_err() {
            std::future::pending().await
        }
    }
}

impl Shared {
    fn open(&mut self, peer: IpAddr) -> (Id, Eviction) {
        let id = self.ledger.open(Instant::now(), peer);
        let (sender, eviction) = watch::channel(false);
        self.evictions.insert(id, sender);
        (id, Eviction(eviction))
    }

    /// Closes a connection that has stalled, if there is no room for another.
    fn make_room(&mut self) {
        if let Some(evicted) = self.ledger.make_room(Instant::now()) {
            self.evict(evicted, "connection_evicted");
        }
    }

    fn evict(&mut self, id: Id, reason: &'static str) {
        if let Some(eviction) = self.evictions.remove(&id) {
            eviction.send_replace(true);
        }
        self.note(reason);
    }

    /// Counts a refusal, an eviction or a delay, and logs it unless one was logged
    /// just before.
    fn note(&mut self, reason: &'static str) {
        let listener = self.listener;
        counter!("filbertbend_clients_limited_total", "listener" => listener, "reason" => reason)
            .increment(1);
        self.unlogged += 1;
        let now = Instant::now();
        let recent = |logged: Instant| now.saturating_duration_since(logged) < LOG_INTERVAL;
        if !self.logged.is_some_and(recent) {
            let count = std::mem::take(&mut self.unlogged);
            self.logged = Some(now);
            warn!("clients limited", kv: { listener, reason, count });
        }
    }
}

impl Client {
    /// Begins a request whose header has arrived.
    pub fn begin(self: &Arc<Self>) -> Request {
        self.clients.lock().ledger.begin(Instant::now(), self.id);
        Request {
            client: self.clone(),
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut shared = self.clients.lock();
        shared.ledger.close(self.id);
        shared.evictions.remove(&self.id);
    }
}

impl Request {
    /// Reserves memory, perhaps that of stalled bodies. Returns whether the
    /// request may use it.
    pub fn reserve(&self, bytes: usize) -> bool {
        let client = &self.client;
        let mut shared = client.clients.lock();
        match shared.ledger.reserve(Instant::now(), client.id, bytes) {
            Reservation::Granted { evicted } => {
                for id in evicted {
                    shared.evict(id, "body_evicted");
                }
                true
            }
            Reservation::Refused => {
                shared.note("body_refused");
                false
            }
        }
    }

    /// Notes bytes of the body that have arrived.
    pub fn receive(&self, bytes: usize) {
        let client = &self.client;
        let mut shared = client.clients.lock();
        shared.ledger.receive(Instant::now(), client.id, bytes);
    }

    /// Notes that the request is whole, or needs no body. From now on its
    /// connection is not evicted until the request is dropped.
    pub fn answer(&self) {
        let client = &self.client;
        client.clients.lock().ledger.answer(client.id);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let client = &self.client;
        let mut shared = client.clients.lock();
        shared.ledger.finish(Instant::now(), client.id);
    }
}
