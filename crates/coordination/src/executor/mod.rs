//! Runs attempts on one worker and requests on one endpoint, within their room
//! and leases.
//!
//! [`Executor`] is the state machine of the agent. It makes the last check
//! before anything starts, because owners and entries decide from views that
//! may be a second old. `docs/design.md`, section 7, gives the exchange of
//! start, claim and grant that it follows.
//!
//! What it says about an attempt that it does not know holds for its own
//! process life only: a former life may have sent an order to the endpoint. An
//! owner that on_grant an order to a former life must not take `Withdrawn` or a
//! missing line of an inventory as proof that the order did not run.

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

/// Limits and times of an [`Executor`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The worker's room for tasks.
    pub room: Room,
    /// Requests that the endpoint works on at once.
    pub slots: Slots,
    /// Requests that may be at the endpoint or wait for a slot.
    pub connections: Connections,
    /// The number of slices, which tells the slice of a task found running.
    pub slices: u16,
    /// The longest lease that a grant is used for.
    pub lease: Millis,
    /// The lease that a start command carries; the whole lease follows at once
    /// as an extension. A restarted agent waits for as long before it takes
    /// batch work or promises anything, because a start of its former life may
    /// be on its way, and is refused by the worker after that time.
    pub start_window: Millis,
    /// How often an unanswered claim, renewal or stop is repeated.
    pub retry_interval: Millis,
    /// How long room is held for a claim that nobody answers.
    pub claim_timeout: Millis,
    /// The longest time that a checkpoint may take.
    pub checkpoint_timeout: Millis,
    /// How long before the end of its lease an unrenewed task is stopped.
    pub stop_margin: Millis,
    /// How long after the end of a lease the worker's own account is awaited.
    pub event_grace: Millis,
    /// How long a request may wait for a slot.
    pub queue_timeout: Millis,
    /// How long a tombstone is kept at most.
    pub tombstone_ttl: Millis,
    /// How many tombstones are kept at most.
    pub max_tombstones: usize,
    /// Ends that may wait for an acknowledgement before new work is refused.
    pub max_unacknowledged: usize,
    /// How long a leaving agent waits for acknowledgements.
    pub leave_timeout: Millis,
}

impl Settings {
    /// Returns the settings for a worker and endpoint of the stated size.
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
            // A first grant of a former owner cannot be valid for longer than
            // the ownership horizon of 600 s and one lease with its drift.
            tombstone_ttl: Millis::from_secs(640),
            max_tombstones: 16_384,
            max_unacknowledged: 4096,
            leave_timeout: Millis::from_secs(30),
        }
    }
}

/// A quick check, numbered by the agent process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Check(pub u64);

/// How an order that was handed to the endpoint came back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The endpoint's whole answer.
    Answered(Output),
    /// The order certainly did not reach the endpoint.
    NotSent,
    /// It may have run; the answer was lost.
    Lost,
}

/// What the executor is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A command from the owner of a slice.
    Command {
        /// The entry that sent it.
        from: id::Entry,
        /// The slice that owns the task.
        slice: id::Slice,
        /// The ownership under which it was sent.
        epoch: id::Epoch,
        /// The attempt.
        attempt: Attempt,
        /// The command.
        command: attempt::Command,
    },
    /// An owner asks for all attempts of its slice.
    Adopt {
        /// The entry that sent it.
        from: id::Entry,
        /// The slice.
        slice: id::Slice,
        /// The ownership.
        epoch: id::Epoch,
    },
    /// The worker's list of running tasks was read; the worker is reachable.
    Tasks(Vec<worker::Running>),
    /// The worker cannot be reached.
    WorkerLost,
    /// An event of the worker.
    Worker(worker::Event),
    /// An order came back from the endpoint.
    Order {
        /// The attempt.
        attempt: Attempt,
        /// How it came back.
        delivery: Delivery,
    },
    /// A quick check asks to be admitted.
    CheckArrived {
        /// The check.
        check: Check,
        /// The time left until its deadline.
        remaining: Millis,
    },
    /// A quick check is no longer at the endpoint, or its caller went away.
    CheckEnded(Check),
    /// The agent itself evicts a task that slows the service down.
    Evict(Attempt),
    /// The agent has been told to leave.
    Leave,
    /// Time has passed; due at least every 100 ms.
    Tick,
}

/// What the executor asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a report to the owner of a slice.
    Report {
        /// The entry that last spoke for the slice with the highest epoch.
        to: id::Entry,
        /// The slice.
        slice: id::Slice,
        /// The attempt.
        attempt: Attempt,
        /// The report.
        report: attempt::Report,
    },
    /// Answers `Adopt`.
    Inventory {
        /// The entry that asked.
        to: id::Entry,
        /// The slice.
        slice: id::Slice,
        /// The ownership that asked.
        epoch: id::Epoch,
        /// The attempts that are held.
        attempts: Vec<(Attempt, attempt::Phase)>,
    },
    /// Sends a command to the worker.
    Worker(worker::Command),
    /// Reads the worker's list of running tasks again.
    ReadTasks,
    /// Sends an order to the endpoint, unless `send_by` has passed.
    SendOrder {
        /// The attempt.
        attempt: Attempt,
        /// The work, always [`attempt::Work::Order`].
        work: attempt::Work,
        /// When it must have been sent; later it is [`Delivery::NotSent`].
        send_by: Instant,
    },
    /// Lets a quick check go to the endpoint.
    Admit(Check),
    /// Refuses a quick check, which certainly has not run.
    Refuse {
        /// The check.
        check: Check,
        /// Why.
        reason: Reason,
    },
    /// Everything has ended and been acknowledged: the process may exit.
    Exit,
}

/// The load that the executor knows of, for heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Room that is not taken by any attempt.
    pub free: Room,
    /// Slots in use.
    pub slots: Slots,
    /// Requests at the endpoint or waiting for a slot.
    pub connections: Connections,
    /// Whether new work is refused because the agent leaves.
    pub leaving: bool,
}

/// A batch task on the worker, for the interference control.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task {
    /// The attempt.
    pub attempt: Attempt,
    /// The service, which names its kind of load.
    pub service: id::Service,
    /// The room that it takes.
    pub size: Room,
    /// When it started or was found running.
    pub since: Instant,
    /// When its newest checkpoint of this attempt was completed.
    pub checkpointed: Option<Instant>,
}
