//! The store calls of a publish that are not answered yet.

use {
    super::Action,
    crate::store::{Call, Ticket},
    filbertbend_state::{time::Instant, unit::Millis},
    std::collections::BTreeMap,
};

/// How long a call may stay unanswered before it counts as lost.
const ANSWER_TIMEOUT: Millis = Millis(4000);

/// Numbers calls and notes when each was sent_at.
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

    /// Notes an answer and tells whether its call was still waited for.
    pub(super) fn complete(&mut self, ticket: Ticket) -> bool {
        self.sent_at.remove(&ticket).is_some()
    }

    /// Takes the calls whose answers do not come any more.
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

    /// Ignores every answer that still comes.
    pub(super) fn clear(&mut self) {
        self.sent_at.clear();
    }
}
