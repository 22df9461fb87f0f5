//! The store calls of a publish that are not answered yet.

use {
    super::Action,
    crate::store::{Call, Ticket},
    filbertbend_state::{time::Instant, unit::Millis},
    std::collections::BTreeMap,
};

/// How long a call may stay unanswered before it counts as lost.
const ANSWER_LIMIT: Millis = Millis(4000);

/// Numbers calls and notes when each was made.
#[derive(Debug, Default)]
pub(super) struct Calls {
    tickets: u64,
    made: BTreeMap<Ticket, Instant>,
}

impl Calls {
    pub(super) fn make(&mut self, now: Instant, call: Call, actions: &mut Vec<Action>) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.made.insert(ticket, now);
        actions.push(Action::Store(ticket, call));
        ticket
    }

    /// Notes an answer and tells whether its call was still waited for.
    pub(super) fn answered(&mut self, ticket: Ticket) -> bool {
        self.made.remove(&ticket).is_some()
    }

    /// Takes the calls whose answers do not come any more.
    pub(super) fn overdue(&mut self, now: Instant) -> Vec<Ticket> {
        let overdue: Vec<Ticket> = self
            .made
            .iter()
            .filter(|(_, made)| **made + ANSWER_LIMIT <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        self.made.retain(|ticket, _| !overdue.contains(ticket));
        overdue
    }

    pub(super) fn next_limit(&self) -> Option<Instant> {
        self.made.values().min().map(|made| *made + ANSWER_LIMIT)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.made.len()
    }

    /// Ignores every answer that still comes.
    pub(super) fn forget(&mut self) {
        self.made.clear();
    }
}
