//! Jobs and orders as callers submit them and see them.

use {
    crate::attempt::Output,
    filbertbend_state::{id, outcome, room::Room, service::Class, time::Wall, unit::Millis},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The place of an order among its customer's orders.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The customer.
    pub customer: id::Customer,
    /// The order's number in the customer's sequence, from 1.
    pub sequence: u64,
    /// The idempotency key.
    pub key: id::Key,
}

/// A job or order as it was submitted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// The job.
    pub id: id::Job,
    /// The service that runs it.
    pub service: id::Service,
    /// The team that it counts against.
    pub team: id::Team,
    /// How urgent it is.
    pub class: Class,
    /// The room that one task takes.
    pub size: Room,
    /// How many tasks it has, at least 1.
    pub tasks: u32,
    /// How long one task is expected to run.
    pub run_time: Millis,
    /// When the caller gives up, by the wall clock.
    pub expires_at: Option<Wall>,
    /// Where it may run; empty means everywhere.
    pub data_centres: Vec<id::DataCentre>,
    /// The input.
    pub body: Vec<u8>,
    /// Set for an order.
    pub order: Option<Order>,
}

/// How far a job has come.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Waits for room, for its turn or for a lease to lapse.
    Waiting,
    /// At least one task runs.
    Running,
    /// All tasks completed.
    Done,
    /// A task failed and will not be tried again.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed before it started.
    Expired,
    /// An order that may have run.
    Unknown,
    /// Refused after it was accepted, for a stated reason, and not run.
    Refused,
}

impl Phase {
    /// Tells whether the job has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

/// One attempt in the account that `explain` gives.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// The task's index.
    pub index: u32,
    /// The attempt.
    pub number: id::Attempt,
    /// Where it was placed.
    pub worker: id::Worker,
    /// How it stands or ended, in words.
    pub state: Arc<str>,
}

/// The state of a job as callers and operators see it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The job.
    pub job: id::Job,
    /// How far it has come.
    pub phase: Phase,
    /// The service that runs it.
    pub service: id::Service,
    /// Why it waits, or why it was refused.
    pub reason: Option<outcome::Reason>,
    /// Tasks that are done.
    pub tasks_done: u32,
    /// Tasks in all.
    pub tasks: u32,
    /// Every attempt so far, oldest first, at most 64.
    pub trials: Vec<Trial>,
}

/// A call for the owner of a slice.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Accepts a job, or an order and waits for its end.
    Submit(Spec),
    /// Asks for the state of a job.
    Status(id::Job),
    /// Asks for the output of a job.
    Result(id::Job),
    /// Cancels a job.
    Cancel(id::Job),
    /// Asks how an order ended.
    Order {
        /// The service that the order was sent to.
        service: id::Service,
        /// The customer.
        customer: id::Customer,
        /// The idempotency key.
        key: id::Key,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is accepted and durable.
    Accepted(id::Job),
    /// The state of a job.
    Status(Status),
    /// The outputs of all tasks, by index.
    Outputs(Vec<Output>),
    /// The recorded outcome of an order that ran.
    Output(Output),
    /// The job is not known here, or its result is no longer kept.
    NotFound,
    /// The job has not ended.
    Pending(Status),
    /// It ended without an output, or was refused.
    Outcome(outcome::Outcome),
}
