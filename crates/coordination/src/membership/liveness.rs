//! Failure detection for one peer, based on the messages it sends.

use {
    super::{
        Connection, Heartbeat, ACK_VALIDITY_MS, REMOVE_AFTER_MS, SUSPECT_AFTER_MS,
        SUSPECT_TO_DOWN_MS,
    },
    filbertbend_state::{id, time::Instant},
    std::collections::VecDeque,
    strum::{Display, IntoStaticStr},
};

/// Acks whose send times are kept. A heartbeat carries one of the last few; one
/// that carries an older sequence says nothing about recent liveness.
const MAX_RECORDED_ACKS: usize = 8;

/// The state of a peer.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Sent a heartbeat recently; may get work.
    Alive,
    /// Sent no heartbeat for [`SUSPECT_AFTER_MS`]; gets no new work.
    Suspect,
    /// Suspect for [`SUSPECT_TO_DOWN_MS`]; its work counts as lost.
    Down,
}

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    connection: Connection,
    accepted: Instant,
}

#[derive(Clone, Copy, Debug)]
struct SentAck {
    sequence: u64,
    at: Instant,
}

/// The open connections and the liveness of one peer.
///
/// The state is computed from one deadline, so a read between two ticks never
/// returns a peer as alive after it has passed.
#[derive(Clone, Debug)]
pub(super) struct Liveness {
    pub(super) incarnation: id::Incarnation,
    pub(super) sequence: u64,
    pub(super) leaving: bool,
    alive_until: Instant,
    open: Vec<OpenConnection>,
    current: Option<Connection>,
    acks: VecDeque<SentAck>,
}

impl Liveness {
    pub(super) fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            leaving: false,
            alive_until: Instant::default(),
            open: Vec::new(),
            current: None,
            acks: VecDeque::with_capacity(MAX_RECORDED_ACKS),
        }
    }

    /// Returns whether this peer supersedes one with `incarnation`. A peer that
    /// is down supersedes none, so that a process whose clock was set back can
    /// still rejoin after a restart.
    pub(super) fn supersedes(&self, incarnation: id::Incarnation, now: Instant) -> bool {
        self.incarnation > incarnation && self.state(now) != State::Down
    }

    /// Adds a connection of the current incarnation and sends on it from now on.
    pub(super) fn add_connection(
        &mut self,
        now: Instant,
        connection: Connection,
        accepted: Instant,
    ) {
        self.open.push(OpenConnection {
            connection,
            accepted,
        });
        self.current = Some(connection);
        self.extend(now, accepted);
    }

    /// Records a heartbeat; returns false if it is not newer than all before it.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Instant,
        connection: Connection,
        heartbeat: &Heartbeat,
    ) -> bool {
        let Some(open) = self.open.iter().find(|open| open.connection == connection) else {
            return false;
        };
        if heartbeat.sequence <= self.sequence {
            return false;
        }
        let accepted = open.accepted;
        let ack_sent = self
            .acks
            .iter()
            .find(|sent| sent.sequence == heartbeat.last_ack)
            .map_or(accepted, |sent| sent.at.max(accepted));
        self.sequence = heartbeat.sequence;
        self.leaving |= heartbeat.load.leaving;
        self.current = Some(connection);
        self.extend(now, ack_sent);
        true
    }

    /// Records that the heartbeat `sequence` is acknowledged now.
    pub(super) fn record_ack(&mut self, now: Instant, sequence: u64) {
        if self.acks.len() == MAX_RECORDED_ACKS {
            self.acks.pop_front();
        }
        self.acks.push_back(SentAck { sequence, at: now });
    }

    /// Removes a connection; the newest remaining one takes its place. A peer
    /// without a connection cannot be reached, so it is suspect at once.
    pub(super) fn remove_connection(&mut self, now: Instant, connection: Connection) {
        self.open.retain(|open| open.connection != connection);
        if self.current == Some(connection) {
            self.current = self.open.last().map(|open| open.connection);
        }
        if self.current.is_none() {
            self.alive_until = self.alive_until.min(now);
        }
    }

    /// Returns the connection on which messages to the peer are sent.
    pub(super) fn current(&self) -> Option<Connection> {
        self.current
    }

    /// Returns every open connection.
    pub(super) fn connections(&self) -> impl Iterator<Item = Connection> + '_ {
        self.open.iter().map(|open| open.connection)
    }

    pub(super) fn state(&self, now: Instant) -> State {
        if now < self.alive_until {
            State::Alive
        } else if now < self.alive_until + SUSPECT_TO_DOWN_MS {
            State::Suspect
        } else {
            State::Down
        }
    }

    /// Returns whether the peer has left, or has sent nothing for so long that
    /// its record can be removed.
    pub(super) fn is_removable(&self, now: Instant) -> bool {
        let left = self.leaving && self.open.is_empty();
        left || now >= self.alive_until + REMOVE_AFTER_MS
    }

    /// Extends the alive deadline for a message that was sent at `sent_after` or
    /// later.
    fn extend(&mut self, now: Instant, sent_after: Instant) {
        let until = (now + SUSPECT_AFTER_MS).min(sent_after + ACK_VALIDITY_MS);
        self.alive_until = self.alive_until.max(until);
    }
}
