//! Counts this entry's requests at one endpoint since its newest report.

use {
    crate::membership::Agent,
    filbertbend_state::{id, time::Instant},
};

/// Counts own requests, and how many of them the newest report includes.
#[derive(Clone, Debug, Default)]
pub(super) struct Counter {
    /// Own requests in progress.
    pub(super) own: u32,
    /// Own requests that were in progress when the newest report arrived; the
    /// report includes them.
    pub(super) own_reported: u32,
    /// The sequence of that report.
    pub(super) report_sequence: u64,
    pub(super) incarnation: id::Incarnation,
    /// End of the pause after a refusal; the next report ends it early.
    pub(super) full_until: Instant,
}

impl Counter {
    pub(super) fn is_current(&self, agent: &Agent) -> bool {
        self.report_sequence == agent.report_sequence()
            && self.incarnation == agent.announcement().incarnation
    }

    /// Returns the own requests that the newest report of `agent` includes.
    pub(super) fn own_in_report(&self, agent: &Agent) -> u32 {
        if self.is_current(agent) {
            self.own_reported
        } else {
            self.own
        }
    }
}
