//! The endpoint's slots and connections, and the queue of requests for a slot.

use {
    super::Check,
    crate::attempt::Attempt,
    filbertbend_state::{
        time::Instant,
        unit::{Connections, Slots},
    },
    std::collections::{BTreeSet, VecDeque},
};

/// A request that uses one slot and one connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Request {
    Check(Check),
    Order(Attempt),
}

/// The result of a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Admission {
    Admitted,
    Queued,
    Full,
}

#[derive(Debug)]
struct Waiter {
    request: Request,
    until: Instant,
}

/// Limits the requests at the endpoint.
///
/// Slots count the requests at the endpoint. Connections also count the
/// requests in the queue, which is served first come, first served and bounds
/// each wait.
#[derive(Debug)]
pub(super) struct Endpoint {
    slots: Slots,
    connections: Connections,
    active: BTreeSet<Request>,
    waiting: VecDeque<Waiter>,
}

impl Endpoint {
    pub(super) fn new(slots: Slots, connections: Connections) -> Self {
        Self {
            slots,
            connections,
            active: BTreeSet::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn slots_used(&self) -> Slots {
        Slots(self.active.len() as u32)
    }

    pub(super) fn connections_used(&self) -> Connections {
        Connections((self.active.len() + self.waiting.len()) as u32)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.active.is_empty() && self.waiting.is_empty()
    }

    /// Takes a slot or, if none is free, a place in the queue until `until`.
    pub(super) fn admit(&mut self, now: Instant, request: Request, until: Instant) -> Admission {
        if self.connections_used() >= self.connections {
            return Admission::Full;
        }
        if self.waiting.is_empty() && self.slots_used() < self.slots {
            self.active.insert(request);
            return Admission::Admitted;
        }
        if until <= now {
            return Admission::Full;
        }
        self.waiting.push_back(Waiter { request, until });
        Admission::Queued
    }

    /// Frees the request's slot or its place in the queue.
    pub(super) fn release(&mut self, request: Request) {
        self.active.remove(&request);
        self.waiting.retain(|waiter| waiter.request != request);
    }

    /// Moves the first queued request into a free slot.
    pub(super) fn admit_next(&mut self) -> Option<Request> {
        if self.slots_used() >= self.slots {
            return None;
        }
        let request = self.waiting.pop_front()?.request;
        self.active.insert(request);
        Some(request)
    }

    /// Removes and returns the queued requests whose time limit has passed.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Request> {
        let expired = self
            .waiting
            .iter()
            .filter(|waiter| waiter.until <= now)
            .map(|waiter| waiter.request)
            .collect();
        self.waiting.retain(|waiter| now < waiter.until);
        expired
    }
}
