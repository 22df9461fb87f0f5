//! Tracks the unanswered store calls of a publish.

use {
    super::Action,
    crate::store::{Call, Ticket},
    filbertbend_state::{time::Instant, unit::Millis},
    std::collections::BTreeMap,
};

/// How long a call may stay unanswered before it counts as lost.
const ANSWER_TIMEOUT: Millis = Millis(4000);

/// Assigns tickets to calls and records when each call was sent.
#[derive(Debug, Default)]
pub(super) struct Calls {
    tickets: u64,
    sent_at: BTreeMap<Ticket, Instant>,
}

impl Calls {
    pub(super) fn issue(&mut self, now: Instant, call: Call, actions: &mut Vec<Action>) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.sent_at.insert(ticket, now);
        actions.push(Action::Store(ticket, call));
        ticket
    }

    /// Removes an answered call; returns whether it was still in flight.
    pub(super) fn complete(&mut self, ticket: Ticket) -> bool {
        self.sent_at.remove(&ticket).is_some()
    }

    /// Removes and returns the calls that have timed out.
    pub(super) fn take_overdue(&mut self, now: Instant) -> Vec<Ticket> {
        let overdue: Vec<Ticket> = self
            .sent_at
            .iter()
            .filter(|(_, sent_at)| **sent_at + ANSWER_TIMEOUT <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        self.sent_at.retain(|ticket, _| !overdue.contains(ticket));
        overdue
    }

    pub(super) fn next_timeout(&self) -> Option<Instant> {
        self.sent_at
            .values()
            .min()
            .map(|sent_at| *sent_at + ANSWER_TIMEOUT)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.sent_at.len()
    }

    /// Forgets all calls, so that later answers are ignored.
    pub(super) fn clear(&mut self) {
        self.sent_at.clear();
    }
}
