//! The inputs and outputs of the admission controller.

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

/// Minimum retry delay returned to a caller.
pub(super) const RETRY_AFTER_MIN_MS: Millis = Millis(10);

/// Returns the maximum time that a request of `class` is queued, even if its
/// deadline allows more. A longer queue adds delay but no throughput.
pub fn max_queue_time(class: Class) -> Millis {
    match class {
        Class::Urgent | Class::Interactive => Millis(500),
        Class::Batch => Millis(2000),
    }
}

/// A request that asks to be admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The number of the request.
    pub id: id::Request,
    /// The requested service.
    pub service: id::Service,
    /// The class of the service.
    pub class: Class,
    /// The team whose share the request uses.
    pub team: id::Team,
    /// The part of the capacity guaranteed to the team for this service.
    pub share: Share,
    /// The time at which the caller gives up.
    pub deadline: Instant,
    /// The declared run time, which is used until a completion is observed.
    pub run_time: Millis,
}

impl Request {
    /// Creates the request for a declared service. Only the declaring team has
    /// the guaranteed share; other teams use slots that are lent.
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

/// Input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has arrived.
    Arrived(Request),
    /// An endpoint answered a dispatched request.
    Completed(id::Request),
    /// No endpoint had room for a dispatched request, so it was not run; it
    /// returns to the head of its queue.
    Returned(id::Request),
    /// A dispatched request ended without an answer, or the caller of a queued
    /// one gave up.
    Dropped(id::Request),
    /// The slots of the live endpoints have changed.
    SlotsChanged {
        /// Number of live entries that share the slots, including this one.
        entries: u32,
        /// The slots of all endpoints.
        total: SlotUsage,
        /// The slots for each service.
        services: Vec<(id::Service, SlotUsage)>,
    },
    /// The process begins to leave; queued requests are still served.
    Leave,
    /// Time has passed.
    Tick,
}

/// Output of the controller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Pass the request to the router.
    Dispatch(id::Request),
    /// Refuse the request, which was not run.
    Refuse {
        /// The refused request.
        request: id::Request,
        /// The reason given to the caller.
        reason: Reason,
        /// The time after which a retry may succeed.
        retry_after: Millis,
    },
}

impl Action {
    /// Refuses a queued request whose remaining time is below the service time.
    pub(super) fn refuse_late(request: id::Request, mean_ms: f64) -> Self {
        Self::Refuse {
            request,
            reason: Reason::QueueFull,
            retry_after: Millis(mean_ms as u64).max(RETRY_AFTER_MIN_MS),
        }
    }
}
