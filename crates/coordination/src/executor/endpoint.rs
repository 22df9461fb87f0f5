//! The endpoint's slots and connections, and who waits for them.

use {
    super::Check,
    crate::attempt::Attempt,
    filbertbend_state::{
        time::Instant,
        unit::{Connections, Slots},
    },
    std::collections::{BTreeSet, VecDeque},
};

/// A request that takes one slot and one connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Holder {
    Check(Check),
    Order(Attempt),
}

/// The answer to a request that asks for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    Admitted,
    Waits,
    Full,
}

#[derive(Debug)]
struct Waiter {
    holder: Holder,
    until: Instant,
}

/// Slots are for requests at the endpoint; connections also count the requests
/// that wait here, first come first served, for at most a bounded time.
#[derive(Debug)]
pub(super) struct Endpoint {
    slots: Slots,
    connections: Connections,
    held: BTreeSet<Holder>,
    waiting: VecDeque<Waiter>,
}

impl Endpoint {
    pub(super) fn new(slots: Slots, connections: Connections) -> Self {
        Self {
            slots,
            connections,
            held: BTreeSet::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn slots_used(&self) -> Slots {
        Slots(self.held.len() as u32)
    }

    pub(super) fn connections_used(&self) -> Connections {
        Connections((self.held.len() + self.waiting.len()) as u32)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.held.is_empty() && self.waiting.is_empty()
    }

    /// Takes a slot, or a place in the queue until `until`.
    pub(super) fn ask(&mut self, now: Instant, holder: Holder, until: Instant) -> Verdict {
        if self.connections_used() >= self.connections {
            return Verdict::Full;
        }
        if self.waiting.is_empty() && self.slots_used() < self.slots {
            self.held.insert(holder);
            return Verdict::Admitted;
        }
        if until <= now {
            return Verdict::Full;
        }
        self.waiting.push_back(Waiter { holder, until });
        Verdict::Waits
    }

    /// Frees the slot or the place in the queue.
    pub(super) fn end(&mut self, holder: Holder) {
        self.held.remove(&holder);
        self.waiting.retain(|waiter| waiter.holder != holder);
    }

    /// Moves the next waiting request into a free slot.
    pub(super) fn admit_next(&mut self) -> Option<Holder> {
        if self.slots_used() >= self.slots {
            return None;
        }
        let holder = self.waiting.pop_front()?.holder;
        self.held.insert(holder);
        Some(holder)
    }

    /// Removes and returns the requests that have waited for too long.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Holder> {
        let expired = self
            .waiting
            .iter()
            .filter(|waiter| waiter.until <= now)
            .map(|waiter| waiter.holder)
            .collect();
        self.waiting.retain(|waiter| now < waiter.until);
        expired
    }
}
