//! Runs attempts on one worker and requests on one endpoint, within their room
//! and leases.
//!
//! [`Executor`] is the state machine of the agent. It validates every start
//! against the current state, because owners and entries decide from views that
//! may be a second old. It follows the exchange of start, claim and grant in
//! `docs/design.md`, section 7.
//!
//! What it reports about an attempt that it does not know is valid for its own
//! incarnation only: a previous incarnation may have sent an order to the
//! endpoint. An owner that granted an order to a previous incarnation must not
//! take `Withdrawn`, or the absence of the attempt from an inventory, as proof
//! that the order did not run.

mod command;
mod endpoint;
mod lifecycle;
mod machine;
mod order;
mod owners;
mod record;
mod report;
mod task;
mod timers;
mod tombstone;

use {
    crate::{
        attempt::{self, Attempt, Output},
        worker,
    },
    filbertbend_state::{
        id,
        outcome::Reason,
        room::Room,
        time::Instant,
        unit::{Connections, Millis, Slots},
    },
};

pub use machine::Executor;

/// Limits and timeouts of an [`Executor`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The worker's room for batch tasks.
    pub room: Room,
    /// Maximum number of requests at the endpoint at once.
    pub slots: Slots,
    /// Maximum number of requests at the endpoint or queued for a slot.
    pub connections: Connections,
    /// The number of slices, from which the slice of a task found on the worker
    /// is computed.
    pub slices: u16,
    /// The longest lease that is used, even if a grant allows a longer one.
    pub lease: Millis,
    /// The lease in a start command; an extension to the end of the full lease
    /// follows at once.
    ///
    /// A restarted agent waits this long before it accepts batch work or
    /// confirms anything to owners: a start command of its previous incarnation
    /// may still be in transit, and the worker refuses it after this time.
    pub start_window: Millis,
    /// The interval at which an unanswered claim, renewal or stop is repeated.
    pub retry_interval: Millis,
    /// How long room is reserved for a claim that is not answered.
    pub claim_timeout: Millis,
    /// The maximum duration of a checkpoint.
    pub checkpoint_timeout: Millis,
    /// How long before the end of its lease a task is stopped if the lease was
    /// not renewed.
    pub stop_margin: Millis,
    /// How long after the end of a lease the executor waits for the worker to
    /// report the end of the task.
    pub event_grace: Millis,
    /// How long a request may be queued for a slot.
    pub queue_timeout: Millis,
    /// How long a tombstone is kept.
    pub tombstone_ttl: Millis,
    /// Maximum number of tombstones.
    pub max_tombstones: usize,
    /// Maximum number of unacknowledged ends; at the limit, new work is
    /// refused.
    pub max_unacknowledged: usize,
    /// How long a leaving agent waits for acknowledgements.
    pub leave_timeout: Millis,
}

impl Settings {
    /// Returns the default timeouts and limits for a worker and an endpoint of
    /// this size.
    pub fn new(room: Room, slots: Slots, connections: Connections, slices: u16) -> Self {
        Self {
            room,
            slots,
            connections,
            slices,
            lease: Millis::from_secs(15),
            start_window: Millis::from_secs(1),
            retry_interval: Millis::from_secs(1),
            claim_timeout: Millis::from_secs(10),
            checkpoint_timeout: Millis::from_secs(5),
            stop_margin: Millis::from_secs(1),
            event_grace: Millis(500),
            queue_timeout: Millis(500),
            // A first grant of a previous owner is valid for at most the
            // ownership horizon of 600 s plus one lease and its clock drift.
            tombstone_ttl: Millis::from_secs(640),
            max_tombstones: 16_384,
            max_unacknowledged: 4096,
            leave_timeout: Millis::from_secs(30),
        }
    }
}

/// Identifies a quick check. The agent process assigns it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Check(pub u64);

/// The result of an order that was passed to the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The complete response of the endpoint.
    Answered(Output),
    /// The order is known not to have reached the endpoint.
    NotSent,
    /// The order may have run, but the response was lost.
    Lost,
}

/// An input of [`Executor::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A command from the owner of a slice.
    Command {
        /// The entry that sent it.
        from: id::Entry,
        /// The slice that owns the task.
        slice: id::Slice,
        /// The epoch of the owner that sent it.
        epoch: id::Epoch,
        /// The attempt that it applies to.
        attempt: Attempt,
        /// What to do with the attempt.
        command: attempt::Command,
    },
    /// An owner requests the list of all attempts of its slice.
    Adopt {
        /// The entry that sent it.
        from: id::Entry,
        /// The slice whose attempts are requested.
        slice: id::Slice,
        /// The epoch of the owner.
        epoch: id::Epoch,
    },
    /// The worker's list of running tasks was read, so the worker is reachable.
    Tasks(Vec<worker::Running>),
    /// The worker cannot be reached.
    WorkerUnreachable,
    /// The worker reported an event.
    Worker(worker::Event),
    /// The endpoint finished an order, or the order could not be delivered.
    Order {
        /// The attempt at the order.
        attempt: Attempt,
        /// The result of the delivery.
        delivery: Delivery,
    },
    /// A quick check arrived and requests a slot.
    CheckArrived {
        /// Identifies the check in [`Action::Admit`] and [`Action::Refuse`].
        check: Check,
        /// The time left until its deadline.
        remaining: Millis,
    },
    /// A quick check has left the endpoint, or its caller has disconnected.
    CheckEnded(Check),
    /// The interference control evicts a task that slows the service down.
    Evict(Attempt),
    /// The agent was told to leave.
    Leave,
    /// Time has passed. Must be sent at least every 100 ms.
    Tick,
}

/// An output of [`Executor::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a report to the owner of a slice.
    Report {
        /// The entry with the highest epoch that has sent a message for the
        /// slice.
        to: id::Entry,
        /// The slice that owns the task.
        slice: id::Slice,
        /// The attempt that the report is about.
        attempt: Attempt,
        /// What happened to the attempt.
        report: attempt::Report,
    },
    /// Answers [`Event::Adopt`].
    Inventory {
        /// The entry that requested it.
        to: id::Entry,
        /// The slice whose attempts are listed.
        slice: id::Slice,
        /// The epoch of the request.
        epoch: id::Epoch,
        /// The attempts of the slice that the agent holds.
        attempts: Vec<(Attempt, attempt::Phase)>,
    },
    /// Sends a command to the worker.
    Worker(worker::Command),
    /// Reads the worker's list of running tasks again.
    ReadTasks,
    /// Sends an order to the endpoint, unless `send_by` has passed.
    SendOrder {
        /// The attempt at the order.
        attempt: Attempt,
        /// The order, always [`attempt::Work::Order`].
        work: attempt::Work,
        /// The deadline for sending it. If it passes, the result is
        /// [`Delivery::NotSent`].
        send_by: Instant,
    },
    /// Sends a quick check to the endpoint.
    Admit(Check),
    /// Refuses a quick check, which is known not to have run.
    Refuse {
        /// The check.
        check: Check,
        /// The reason that the caller is given.
        reason: Reason,
    },
    /// Every attempt has ended, and its end is acknowledged or the time limit
    /// for acknowledgements has passed. The process may exit.
    Exit,
}

/// The current load, for heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Room that is not reserved by any attempt.
    pub free: Room,
    /// Slots in use.
    pub slots: Slots,
    /// Requests at the endpoint or queued for a slot.
    pub connections: Connections,
    /// Whether new work is refused because the agent is leaving.
    pub leaving: bool,
}

/// A running batch task, for the interference control.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task {
    /// The attempt that runs.
    pub attempt: Attempt,
    /// The service, by which resource usage is grouped.
    pub service: id::Service,
    /// The room that the task reserves.
    pub size: Room,
    /// When the task started, or was found running after a restart of the
    /// agent.
    pub since: Instant,
    /// When the newest checkpoint of this attempt was completed.
    pub checkpointed: Option<Instant>,
}
