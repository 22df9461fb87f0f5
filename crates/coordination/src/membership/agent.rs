//! What the directory keeps about one peer.

use {
    super::{
        directory::Action,
        liveness::{Liveness, State},
        Announcement, Connection, Load, Member,
    },
    filbertbend_state::{config::Snapshot, id, service::Declaration, time::Instant, unit::Millis},
    std::sync::Arc,
};

/// How long an entry may be behind before it gets the configuration from
/// another one, which leaves most of the 12 s for it to arrive.
const PEER_CONFIG_GRACE_MS: Millis = Millis(3000);

/// An agent as the directory knows it.
#[derive(Clone, Debug)]
pub struct Agent {
    pub(super) announcement: Announcement,
    pub(super) liveness: Liveness,
    pub(super) load: Load,
    pub(super) reported_at: Instant,
    emitted: Option<State>,
}

impl Agent {
    /// Makes an agent that has not been heard from.
    pub(super) fn new(announcement: Announcement, now: Instant) -> Self {
        Self {
            liveness: Liveness::new(announcement.incarnation),
            load: Load::default(),
            reported_at: now,
            emitted: None,
            announcement,
        }
    }

    /// Returns what the agent announced.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns the newest reported load.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Returns the number of the newest report, which rises with each.
    pub fn report_sequence(&self) -> u64 {
        self.liveness.sequence
    }

    /// Returns when the newest report arrived.
    pub fn reported_at(&self) -> Instant {
        self.reported_at
    }

    /// Returns the agent's state at `now`.
    pub fn state(&self, now: Instant) -> State {
        self.liveness.state(now)
    }

    /// Tells whether the agent has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.liveness.leaving
    }

    /// Returns the connection to send on.
    pub fn connection(&self) -> Option<Connection> {
        self.liveness.current()
    }

    /// Returns the part of a configuration that concerns the agent. The whole
    /// one, sent to every agent with each change, would take most of the
    /// traffic that a node may spend.
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

    /// Tells the state if it differs from the one told last.
    pub(super) fn emit_state_change(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let state = self.liveness.state(now);
        if self.emitted != Some(state) {
            self.emitted = Some(state);
            let endpoint = self.announcement.endpoint.clone();
            actions.push(Action::Agent { endpoint, state });
        }
    }
}

/// Another entry as the directory knows it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) liveness: Liveness,
    /// Since when its configuration has been older than ours.
    pub(super) behind_since: Option<Instant>,
}

impl Peer {
    /// Tells whether the peer does not get the configuration from the store by
    /// itself. Every entry reads the store within moments of a publish, so
    /// sending the whole configuration at once would only repeat it.
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
