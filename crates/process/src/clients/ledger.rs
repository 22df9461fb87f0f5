//! Decides which connections stay open and which bodies may be read.
//!
//! Clients may open connections and begin bodies that they never end. Instead
//! of refusing everyone else then, the ledger gives up the connections that
//! have made no progress for longest.

use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    time::{Duration, Instant},
};

/// Bytes of a body that count as progress. Fewer bytes at a time keep a
/// connection as old as it is, so that it cannot be kept by single bytes.
pub const PROGRESS_BYTES: usize = 4 << 10;
/// How long a connection must have made no progress before another may take its
/// place. A network delivers a lost packet again within this time.
pub const STALL_TIME: Duration = Duration::from_millis(500);
/// The same for a connection that waits for a header from a client on or near
/// the machine, whose packets arrive within a few milliseconds.
pub const NEAR_STALL_TIME: Duration = Duration::from_millis(50);

/// The limits on all connections of one listener together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of all requests in memory, in bytes. The oldest of them may
    /// exceed it.
    pub request_bytes: usize,
    /// How long a connection may wait for a header before another may take its
    /// place.
    pub stall_time: Duration,
}

/// Identifies a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Hash)]
pub struct Id(u64);

/// Whether bytes of a request may be kept in memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// They may. The connections in `evicted` must be closed.
    Granted {
        /// Connections whose bodies have stalled.
        evicted: Vec<Id>,
    },
    /// They may not; the request must be refused.
    Refused,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Waits for a header.
    Waiting,
    /// Receives the body of a request.
    Receiving,
    /// A request is whole and is being answered, which is never interrupted.
    Answering,
}

#[derive(Debug)]
struct Connection {
    peer: IpAddr,
    phase: Phase,
    /// When the header of the last request arrived.
    begun: Instant,
    /// When the connection last made progress.
    progressed: Instant,
    /// Bytes received since then.
    received: usize,
    reserved: usize,
}

/// The connections of one listener.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    connections: BTreeMap<Id, Connection>,
    /// The number of connections by peer.
    peers: HashMap<IpAddr, usize>,
    reserved: usize,
    next: u64,
}

impl Ledger {
    /// Creates a ledger without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            peers: HashMap::new(),
            reserved: 0,
            next: 0,
        }
    }

    /// Opens a connection of `peer`. The caller has made sure that there is
    /// room for it.
    pub fn open(&mut self, now: Instant, peer: IpAddr) -> Id {
        let id = Id(self.next);
        self.next += 1;
        let connection = Connection {
            peer,
            phase: Phase::Waiting,
            begun: now,
            progressed: now,
            received: 0,
            reserved: 0,
        };
        self.connections.insert(id, connection);
        *self.peers.entry(peer).or_default() += 1;
        id
    }

    /// Removes a connection that has stalled if there is no room for another, and
    /// returns it to be closed. If there is none, a new connection waits, because a
    /// younger one may not have had the time to send its request.
    pub fn make_room(&mut self, now: Instant) -> Option<Id> {
        if self.connections.len() < self.limits.connections {
            return None;
        }
        self.evict(now, self.limits.stall_time, STALL_TIME)
    }

    /// Removes a connection to free its descriptor, if possible one that has
    /// stalled. Returns `None` if all are being answered.
    pub fn shed(&mut self, now: Instant) -> Option<Id> {
        self.evict(now, self.limits.stall_time, STALL_TIME)
            .or_else(|| self.evict(now, Duration::ZERO, Duration::ZERO))
    }

    /// Removes the connection that should be given up first of those that have
    /// waited for a header for `waiting`, or made no progress with a body for
    /// `receiving`: one of the peer with the most connections, and of
    /// these, the one without progress for longest.
    fn evict(&mut self, now: Instant, waiting: Duration, receiving: Duration) -> Option<Id> {
        let may_go = |connection: &Connection| {
            let idle = now.saturating_duration_since(connection.progressed);
            match connection.phase {
                Phase::Waiting => idle >= waiting,
                Phase::Receiving => idle >= receiving,
                Phase::Answering => false,
            }
        };
        let (id, _) = self
            .connections
            .iter()
            .filter(|(_, connection)| may_go(connection))
            .min_by_key(|(_, connection)| {
                let of_peer = self.peers.get(&connection.peer).copied().unwrap_or(0);
                (std::cmp::Reverse(of_peer), connection.progressed)
            })?;
        let id = *id;
        self.close(id);
        Some(id)
    }

    /// Notes that a header has arrived and the body is being received.
    pub fn begin(&mut self, now: Instant, id: Id) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = Phase::Receiving;
            connection.begun = now;
            connection.progressed = now;
            connection.received = 0;
        }
    }

    /// Reserves memory for a request. If it is short, bodies that have stalled
    /// lose theirs. The oldest request in memory gets what it needs, so that
    /// one is always completed and a request without others is never refused.
    pub fn reserve(&mut self, now: Instant, id: Id, bytes: usize) -> Reservation {
        if !self.connections.contains_key(&id) {
            return Reservation::Refused;
        }
        let fits = |reserved: usize| reserved + bytes <= self.limits.request_bytes;
        let mut reserved = self.reserved;
        let mut evicted = Vec::new();
        if !fits(reserved) {
            for (stalled, bytes) in self.stalled(now, id) {
                if fits(reserved) {
                    break;
                }
                reserved -= bytes;
                evicted.push(stalled);
            }
            if !fits(reserved) && !self.is_oldest(id, &evicted) {
                return Reservation::Refused;
            }
        }
        for id in &evicted {
            self.close(*id);
        }
        self.reserved += bytes;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.reserved += bytes;
        }
        Reservation::Granted { evicted }
    }

    /// Returns whether a request has been in memory for longest, or is the
    /// first, if the connections in `evicted` are closed.
    fn is_oldest(&self, id: Id, evicted: &[Id]) -> bool {
        let oldest = self
            .connections
            .iter()
            .filter(|(id, connection)| connection.reserved > 0 && !evicted.contains(id))
            .min_by_key(|(id, connection)| (connection.begun, **id));
        oldest.is_none_or(|(oldest, _)| *oldest == id)
    }

    /// Returns the connections other than `except` whose bodies have stalled,
    /// the one without progress for longest first, with the bytes that each has
    /// reserved.
    fn stalled(&self, now: Instant, except: Id) -> Vec<(Id, usize)> {
        let mut stalled: Vec<_> = self
            .connections
            .iter()
            .filter(|(id, connection)| {
                **id != except
                    && connection.phase == Phase::Receiving
                    && connection.reserved > 0
                    && now.saturating_duration_since(connection.progressed) >= STALL_TIME
            })
            .map(|(id, connection)| (connection.progressed, *id, connection.reserved))
            .collect();
        stalled.sort_unstable();
        stalled
            .into_iter()
            .map(|(_, id, reserved)| (id, reserved))
            .collect()
    }

    /// Notes bytes of a body that have arrived.
    pub fn receive(&mut self, now: Instant, id: Id, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.received += bytes;
            if connection.received >= PROGRESS_BYTES {
                connection.received = 0;
                connection.progressed = now;
            }
        }
    }

    /// Notes that a request is whole, or needs no body, and is being answered.
    pub fn answer(&mut self, id: Id) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = Phase::Answering;
        }
    }

    /// Notes that a request has been answered, and releases its memory.
    pub fn finish(&mut self, now: Instant, id: Id) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.reserved -= connection.reserved;
            connection.reserved = 0;
            connection.phase = Phase::Waiting;
            connection.progressed = now;
        }
    }

    /// Forgets a connection that has been closed.
    pub fn close(&mut self, id: Id) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.reserved -= connection.reserved;
        if let Some(count) = self.peers.get_mut(&connection.peer) {
            *count -= 1;
            if *count == 0 {
                self.peers.remove(&connection.peer);
            }
        }
    }
}
