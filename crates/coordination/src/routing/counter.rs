//! This entry's requests at one endpoint, beside the newest report from it.

use {
    crate::membership::Agent,
    filbertbend_state::{id, time::Instant},
};

/// Counts own requests, which the newest report may include or not.
#[derive(Clone, Debug, Default)]
pub(super) struct Counter {
    /// Own requests in progress.
    pub(super) own: u32,
    /// Own requests that were in progress when the newest report arrived, and
    /// that it therefore counts.
    pub(super) own_reported: u32,
    /// The number of that report.
    pub(super) report_sequence: u64,
    pub(super) incarnation: id::Incarnation,
    /// Set by a refusal; the next report ends it sooner.
    pub(super) full_until: Instant,
}

impl Counter {
    pub(super) fn is_current(&self, agent: &Agent) -> bool {
        self.report_sequence == agent.report_sequence()
            && self.incarnation == agent.announcement().incarnation
    }

    /// Own requests that the newest report of `agent` counts.
    pub(super) fn own_in_report(&self, agent: &Agent) -> u32 {
        if self.is_current(agent) {
            self.own_reported
        } else {
            self.own
        }
    }
}
