//! Jobs and orders as callers submit them, and their state as callers see it.

use {
    crate::attempt::Output,
    filbertbend_state::{id, outcome, room::Room, service::Class, time::Wall, unit::Millis},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The position of an order in the sequence of its customer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The customer who placed the order.
    pub customer: id::Customer,
    /// The number of the order in the customer's sequence, starting at 1.
    pub sequence: u64,
    /// The idempotency key that the caller supplied.
    pub key: id::Key,
}

/// A job or order as submitted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Identifies the job.
    pub id: id::Job,
    /// The service that runs the job.
    pub service: id::Service,
    /// The team whose quota the job counts against.
    pub team: id::Team,
    /// The scheduling class, which determines the job's urgency.
    pub class: Class,
    /// The room that each task needs.
    pub size: Room,
    /// The number of tasks, at least 1.
    pub tasks: u32,
    /// The expected run time of one task.
    pub run_time: Millis,
    /// The deadline of the job in wall-clock time, if it has one.
    pub expires_at: Option<Wall>,
    /// The data centres where the job may run; empty allows all of them.
    pub data_centres: Vec<id::DataCentre>,
    /// The input of the job.
    pub body: Vec<u8>,
    /// The order's data, or `None` for a batch job.
    pub order: Option<Order>,
}

/// The progress of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Waits for room, for its turn in the queue or for a lease to expire.
    Waiting,
    /// At least one task is running.
    Running,
    /// All tasks have completed.
    Done,
    /// A task failed and will not be retried.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The deadline passed before the job started.
    Expired,
    /// The job is an order that may have run.
    Unknown,
    /// Refused after it had been accepted, and not run. The reason is in the
    /// status.
    Refused,
}

impl Phase {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

/// One attempt at a task, as listed by `explain`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// The index of the task in its job.
    pub index: u32,
    /// The number of the attempt.
    pub number: id::Attempt,
    /// The worker that the attempt was placed on.
    pub worker: id::Worker,
    /// A description of the state or the end of the attempt.
    pub state: Arc<str>,
}

/// The state of a job, for callers and operators.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Identifies the job.
    pub job: id::Job,
    /// The progress of the job.
    pub phase: Phase,
    /// The service that runs the job.
    pub service: id::Service,
    /// Why the job waits or was refused.
    pub reason: Option<outcome::Reason>,
    /// The number of completed tasks.
    pub tasks_done: u32,
    /// The total number of tasks.
    pub tasks: u32,
    /// The newest 64 attempts, oldest first.
    pub trials: Vec<Trial>,
}

/// A call to the owner of a slice.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Submits a job or an order. A job is answered when it is accepted, an
    /// order when it has ended.
    Submit(Spec),
    /// Requests the state of a job.
    Status(id::Job),
    /// Requests the outputs of a job.
    Result(id::Job),
    /// Cancels a job.
    Cancel(id::Job),
    /// Requests the outcome of an order.
    Order {
        /// The service that the order was sent to.
        service: id::Service,
        /// The customer who placed the order.
        customer: id::Customer,
        /// The idempotency key of the order.
        key: id::Key,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job was accepted and is durable.
    Accepted(id::Job),
    /// The state of a job.
    Status(Status),
    /// The outputs of all tasks, by task index.
    Outputs(Vec<Output>),
    /// The recorded output of an order that ran.
    Output(Output),
    /// The job is unknown to the owner, or its result has been deleted.
    NotFound,
    /// The job has not ended; its current state is attached.
    Pending(Status),
    /// The job ended without an output or was refused.
    Outcome(outcome::Outcome),
}
