//! The state that the directory keeps for each peer.

use {
    super::{
        directory::Action,
        liveness::{Liveness, State},
        Announcement, Connection, Load, Member,
    },
    filbertbend_state::{config::Snapshot, id, service::Declaration, time::Instant, unit::Millis},
    std::sync::Arc,
};

/// Time that an entry may hold an older configuration before another entry
/// sends it the new one. A published configuration must arrive within 12 s;
/// this leaves most of that time for the transfer.
const PEER_CONFIG_GRACE_MS: Millis = Millis(3000);

/// The directory's record of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    pub(super) announcement: Announcement,
    pub(super) liveness: Liveness,
    pub(super) load: Load,
    pub(super) reported_at: Instant,
    emitted: Option<State>,
}

impl Agent {
    /// Creates the record of an agent that has sent no heartbeat yet.
    pub(super) fn new(announcement: Announcement, now: Instant) -> Self {
        Self {
            liveness: Liveness::new(announcement.incarnation),
            load: Load::default(),
            reported_at: now,
            emitted: None,
            announcement,
        }
    }

    /// Returns the announcement that the agent connected with.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns the load of the newest report.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Returns the sequence of the newest report, which increases with each one.
    pub fn report_sequence(&self) -> u64 {
        self.liveness.sequence
    }

    /// Returns the time at which the newest report arrived.
    pub fn reported_at(&self) -> Instant {
        self.reported_at
    }

    /// Returns whether the agent is alive, suspect or down at `now`.
    pub fn state(&self, now: Instant) -> State {
        self.liveness.state(now)
    }

    /// Returns whether the agent has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.liveness.leaving
    }

    /// Returns the connection on which messages to the agent are sent.
    pub fn connection(&self) -> Option<Connection> {
        self.liveness.current()
    }

    /// Returns the services and drains of a configuration that apply to the
    /// agent. Sending the whole configuration to every agent on each change
    /// would take most of the traffic that a node may use.
    pub(super) fn filter_config(&self, config: &Snapshot) -> Arc<Snapshot> {
        let concerned = |service: &&Declaration| self.announcement.services.contains(&service.name);
        let endpoint = &self.announcement.endpoint;
        Arc::new(Snapshot {
            revision: config.revision,
            services: config.services.iter().filter(concerned).cloned().collect(),
            drains: config
                .drains
                .iter()
                .filter(|drained| *drained == endpoint)
                .cloned()
                .collect(),
        })
    }

    /// Emits the state if it has changed since it was last emitted.
    pub(super) fn emit_state_change(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let state = self.liveness.state(now);
        if self.emitted != Some(state) {
            self.emitted = Some(state);
            let endpoint = self.announcement.endpoint.clone();
            actions.push(Action::Agent { endpoint, state });
        }
    }
}

/// The directory's record of another entry.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) liveness: Liveness,
    /// The time since which its configuration has been older than the local one.
    pub(super) behind_since: Option<Instant>,
}

impl Peer {
    /// Returns whether the peer must be sent the configuration because it has
    /// not read it from the store. Every entry reads the store shortly after a
    /// publish, so sending it at once would only transfer it twice.
    pub(super) fn needs_config(&mut self, now: Instant, behind: bool) -> bool {
        if !behind {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.since(since) >= PEER_CONFIG_GRACE_MS
    }
}

/// The peer at the other end of a connection.
#[derive(Clone, Debug)]
pub(super) enum PeerId {
    Agent(id::Endpoint),
    Entry(id::Entry),
}
