//! What the gate learns and what it decides.

use {
    crate::routing::SlotUsage,
    filbertbend_state::{
        id,
        outcome::Reason,
        service::{Class, Declaration},
        time::Instant,
        unit::{Millis, Share},
    },
};

/// Shortest wait proposed to a caller.
pub(super) const RETRY_AFTER_MIN_MS: Millis = Millis(10);

/// The longest that a request of `class` is queued, even if its deadline
/// allows more. A longer queue adds no throughput, only delay.
pub fn max_queue_time(class: Class) -> Millis {
    match class {
        Class::Urgent | Class::Interactive => Millis(500),
        Class::Batch => Millis(2000),
    }
}

/// A request that asks to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The request.
    pub id: id::Request,
    /// Its service.
    pub service: id::Service,
    /// Its class.
    pub class: Class,
    /// The team that it counts against.
    pub team: id::Team,
    /// The part of the capacity guaranteed to the team for this service.
    pub share: Share,
    /// When the caller gives up.
    pub deadline: Instant,
    /// How long it is declared to run, which counts until enough is observed.
    pub run_time: Millis,
}

impl Request {
    /// Makes the ask of a request of a declared service. The guaranteed share
    /// is that of the declaring team; other teams get what is lent.
    pub fn new(
        id: id::Request,
        declaration: &Declaration,
        team: id::Team,
        deadline: Instant,
    ) -> Self {
        let share = if team == declaration.team {
            declaration.share
        } else {
            Share::NONE
        };
        Self {
            id,
            service: declaration.name.clone(),
            class: declaration.class,
            team,
            share,
            deadline,
            run_time: declaration.run_time,
        }
    }
}

/// Something that the gate learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived.
    Arrived(Request),
    /// A dispatched request was answered by an endpoint.
    Completed(id::Request),
    /// A dispatched request found no room at any endpoint and was not run; it
    /// goes back to the head of its queue.
    Returned(id::Request),
    /// A dispatched request ended in another way, or a queued one was given
    /// up by its caller.
    Dropped(id::Request),
    /// The slots of the live endpoints have changed.
    SlotsChanged {
        /// Live entries, this one among them, which share the slots.
        entries: u32,
        /// The slots of all endpoints.
        total: SlotUsage,
        /// The slots for each service.
        services: Vec<(id::Service, SlotUsage)>,
    },
    /// The process begins to leave: what is queued is still served.
    Leave,
    /// Time has passed.
    Tick,
}

/// Something that the gate decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends the request on to the router.
    Dispatch(id::Request),
    /// Refuses the request, which was certainly not run.
    Refuse {
        /// The request.
        request: id::Request,
        /// Why.
        reason: Reason,
        /// When a retry is worthwhile.
        retry_after: Millis,
    },
}

impl Action {
    /// Refuses a queued request whose deadline is too near for its service.
    pub(super) fn refuse_late(request: id::Request, mean_ms: f64) -> Self {
        Self::Refuse {
            request,
            reason: Reason::QueueFull,
            retry_after: Millis(mean_ms as u64).max(RETRY_AFTER_MIN_MS),
        }
    }
}
