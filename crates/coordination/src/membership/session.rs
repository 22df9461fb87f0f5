//! The connections that this process opens to one entry.

use {
    super::{Connection, Member, ACK_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS},
    filbertbend_state::{time::Instant, unit::Millis},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
};

/// Backoff after the first failed dial; it doubles with each further one.
const BACKOFF_FIRST_MS: Millis = Millis(250);
/// Maximum backoff between two dials.
const BACKOFF_LIMIT_MS: Millis = Millis(4000);
/// Time after which a pending dial counts as failed.
const DIAL_TIMEOUT_MS: Millis = Millis(2000);

#[derive(Clone, Copy, Debug)]
struct Dial {
    connection: Connection,
    since: Instant,
}

/// The connections to one entry's address, and what was received on them.
#[derive(Clone, Debug, Default)]
pub(super) struct Session {
    /// Whether the address is a configured seed, whose session is never dropped.
    pub(super) seed: bool,
    /// The sequence of the newest ack received.
    pub(super) last_ack: u64,
    /// The roster received last.
    pub(super) roster: Vec<Member>,
    pub(super) roster_hash: u64,
    dial: Option<Dial>,
    open: Vec<Connection>,
    confirmed: bool,
    last_heard: Instant,
    next_dial: Instant,
    next_heartbeat: Instant,
    failures: u32,
}

impl Session {
    /// Creates the session of a configured seed.
    pub(super) fn for_seed() -> Self {
        Self {
            seed: true,
            ..Self::default()
        }
    }

    /// Returns the newest connection, on which messages are sent.
    pub(super) fn current(&self) -> Option<Connection> {
        self.open.last().copied()
    }

    /// Returns every open connection, the newest one last.
    pub(super) fn open(&self) -> &[Connection] {
        &self.open
    }

    /// Returns whether a heartbeat is due, and schedules the next one if so.
    pub(super) fn schedule_heartbeat(&mut self, now: Instant) -> bool {
        if self.open.is_empty() || now < self.next_heartbeat {
            return false;
        }
        // Missed intervals are skipped, so a process that was frozen sends one.
        let next = self.next_heartbeat + HEARTBEAT_INTERVAL_MS;
        self.next_heartbeat = if next > now {
            next
        } else {
            now + HEARTBEAT_INTERVAL_MS
        };
        true
    }

    /// Returns whether no connection is open, or the newest one has brought no
    /// ack for [`ACK_TIMEOUT_MS`].
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.open.is_empty() || now.since(self.last_heard) >= ACK_TIMEOUT_MS
    }

    /// Returns whether a new connection must be dialled.
    pub(super) fn needs_dial(&self, now: Instant) -> bool {
        self.dial.is_none() && now >= self.next_dial && self.is_silent(now)
    }

    /// Records that `connection` is being dialled, and schedules the next dial.
    pub(super) fn start_dial(
        &mut self,
        now: Instant,
        connection: Connection,
        rng: &mut ChaCha8Rng,
    ) {
        self.dial = Some(Dial {
            connection,
            since: now,
        });
        self.next_dial = now + self.backoff(rng);
        self.failures = self.failures.saturating_add(1);
    }

    /// Adds a connection; returns false if it is not the one being dialled.
    pub(super) fn opened(&mut self, now: Instant, connection: Connection) -> bool {
        if self.dial.map(|dial| dial.connection) != Some(connection) {
            return false;
        }
        self.dial = None;
        self.open.push(connection);
        self.confirmed = false;
        self.last_heard = now;
        self.next_heartbeat = now;
        true
    }

    /// Fails a dial that has timed out; returns its connection.
    pub(super) fn expire_dial(&mut self, now: Instant) -> Option<Connection> {
        let dial = self
            .dial
            .filter(|dial| now.since(dial.since) >= DIAL_TIMEOUT_MS)?;
        self.dial = None;
        Some(dial.connection)
    }

    /// Removes a connection that ended, or a dial that failed.
    pub(super) fn closed(&mut self, now: Instant, connection: Connection) {
        if self.dial.map(|dial| dial.connection) == Some(connection) {
            self.dial = None;
        }
        let was_current = self.current() == Some(connection);
        self.open.retain(|open| *open != connection);
        if was_current {
            self.last_heard = now;
            self.next_heartbeat = now;
        }
    }

    /// Records an ack that arrived on `connection`. The first one on the newest
    /// connection confirms that it works; the older ones are returned to be
    /// closed.
    pub(super) fn record_ack(
        &mut self,
        now: Instant,
        connection: Connection,
        sequence: u64,
    ) -> Vec<Connection> {
        self.last_ack = self.last_ack.max(sequence);
        if self.current() != Some(connection) {
            return Vec::new();
        }
        self.last_heard = now;
        self.failures = 0;
        self.next_dial = now;
        if self.confirmed {
            return Vec::new();
        }
        self.confirmed = true;
        self.open.drain(..self.open.len() - 1).collect()
    }

    /// Returns the time at which the next tick is due.
    pub(super) fn wake(&self) -> Instant {
        let dial = match self.dial {
            Some(dial) => dial.since + DIAL_TIMEOUT_MS,
            None if self.open.is_empty() => self.next_dial,
            None => self.next_dial.max(self.last_heard + ACK_TIMEOUT_MS),
        };
        if self.open.is_empty() {
            dial
        } else {
            dial.min(self.next_heartbeat)
        }
    }

    /// Returns the wait before the next dial. Half of it is random, so that
    /// agents that lost an entry at the same time don't redial it together.
    fn backoff(&self, rng: &mut ChaCha8Rng) -> Millis {
        let factor = 1_u64 << self.failures.min(8);
        let wait = (BACKOFF_FIRST_MS.0 * factor).min(BACKOFF_LIMIT_MS.0);
        Millis(wait / 2 + rng.random_range(0..=wait / 2))
    }
}
