//! The liveness of one peer, judged from what arrives on its connections.

use {
    super::{
        Connection, Heartbeat, ACK_VALIDITY_MS, REMOVE_AFTER_MS, SUSPECT_AFTER_MS,
        SUSPECT_TO_DOWN_MS,
    },
    filbertbend_state::{id, time::Instant},
    std::collections::VecDeque,
    strum::{Display, IntoStaticStr},
};

/// Pulses whose sending times are remembered. The peer answers one of the
/// last few; a heartbeat that answers an older one proves nothing recent.
const MAX_RECORDED_ACKS: usize = 8;

/// How a peer stands.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Heard from recently; may get work.
    Alive,
    /// Silent for long enough to get no new work.
    Suspect,
    /// Silent for so long that its work counts as lost.
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

/// The connections and the liveness of one peer.
///
/// The state is a function of one deadline, so that a reader between two ticks
/// cannot see a peer as alive past its time.
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

    /// Tells whether a message of `incarnation` comes from a life that this one
    /// has replaced. A life that is down does not outrank another one, so that
    /// a clock that was set back does not keep a restarted process out.
    pub(super) fn supersedes(&self, incarnation: id::Incarnation, now: Instant) -> bool {
        self.incarnation > incarnation && self.state(now) != State::Down
    }

    /// Takes a new connection of the current incarnation into use.
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

    /// Takes a heartbeat in; returns whether it is the newest so far.
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

    /// Notes that the pulse that answers `sequence` is sent now.
    pub(super) fn record_ack(&mut self, now: Instant, sequence: u64) {
        if self.acks.len() == MAX_RECORDED_ACKS {
            self.acks.pop_front();
        }
        self.acks.push_back(SentAck { sequence, at: now });
    }

    /// Drops a connection. The newest one left takes its place; a peer without
    /// a connection cannot be sent anything, so it is suspect at once.
    pub(super) fn remove_connection(&mut self, now: Instant, connection: Connection) {
        self.open.retain(|open| open.connection != connection);
        if self.current == Some(connection) {
            self.current = self.open.last().map(|open| open.connection);
        }
        if self.current.is_none() {
            self.alive_until = self.alive_until.min(now);
        }
    }

    /// Returns the connection to send on.
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

    /// Tells whether the peer has been silent for so long, or has left, that
    /// nothing about it needs to be kept.
    pub(super) fn is_removable(&self, now: Instant) -> bool {
        let left = self.leaving && self.open.is_empty();
        left || now >= self.alive_until + REMOVE_AFTER_MS
    }

    /// `sent_after` is a time that the message cannot have been sent before.
    fn extend(&mut self, now: Instant, sent_after: Instant) {
        let until = (now + SUSPECT_AFTER_MS).min(sent_after + ACK_VALIDITY_MS);
        self.alive_until = self.alive_until.max(until);
    }
}
