//! What an owner keeps in memory beside the durable image.

use {
    super::Reply,
    crate::{
        attempt::{Attempt, Output},
        job::{Phase, Spec},
    },
    filbertbend_state::{id, outcome::Reason, time::Instant},
    std::{collections::BTreeSet, sync::Arc},
};

/// What identifies an order for its caller.
pub(super) type IdempotencyKey = (id::Service, id::Customer, id::Key);

/// A call that waits for the end of an order.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) reply: Reply,
    pub(super) deadline: Option<Instant>,
}

/// A submission whose record is not yet durable.
#[derive(Debug)]
pub(super) struct Submitting {
    pub(super) spec: Arc<Spec>,
    pub(super) digest: u64,
    pub(super) waiters: Vec<Waiter>,
}

/// A job or order that has not ended.
#[derive(Debug)]
pub(super) struct Open {
    /// When it was accepted or recovered.
    pub(super) since: Instant,
    pub(super) deadline: Option<Instant>,
    /// Calls that wait for the end of an order.
    pub(super) waiters: Vec<Waiter>,
    /// Calls that wait for a cancellation.
    pub(super) cancels: Vec<Reply>,
    /// Set when the job is to end as soon as none of its attempts can run.
    pub(super) ending: Option<(Phase, Option<Reason>)>,
    /// Whether the record of its end is being written.
    pub(super) close_pending: bool,
}

/// An eviction in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evicting {
    pub(super) resend_at: Instant,
    pub(super) give_up_at: Instant,
}

/// A large output whose chunks are being written.
#[derive(Debug)]
pub(super) struct Storing {
    pub(super) output: Arc<Output>,
    pub(super) missing: usize,
    pub(super) failed: bool,
}

/// The placed attempt of a task.
#[derive(Debug)]
pub(super) struct Live {
    pub(super) attempt: Attempt,
    pub(super) worker: id::Worker,
    pub(super) incarnation: id::Incarnation,
    /// Whether the record of its placement is being written.
    pub(super) placement_pending: bool,
    /// Whether this or a former owner may have granted it. If not, it cannot
    /// start, because only this owner can grant it.
    pub(super) may_run: bool,
    /// When it is certainly over if it is not renewed; used if `may_run`.
    pub(super) lease_end: Instant,
    /// Whether a record that ends the attempt is being written.
    pub(super) end_pending: bool,
    pub(super) start_resend_at: Instant,
    pub(super) start_give_up_at: Instant,
    pub(super) evicting: Option<Evicting>,
    pub(super) cancel_resend_at: Option<Instant>,
    pub(super) withdraw_resend_at: Option<Instant>,
    /// The newest checkpoint whose record is being written.
    pub(super) checkpoint: Option<id::Checkpoint>,
    pub(super) storing: Option<Storing>,
    /// The point at which the task's timer is set.
    pub(super) timer: Option<Instant>,
}

/// An agent that the owner can reach.
#[derive(Clone, Copy, Debug)]
pub(super) struct Agent {
    pub(super) incarnation: id::Incarnation,
    /// Whether it has answered `Adopt` in this life.
    pub(super) adopted: bool,
}

/// A call for outputs of which some are read from the store.
#[derive(Debug)]
pub(super) struct Read {
    pub(super) reply: Reply,
    pub(super) job: id::Job,
    /// For each chunk, in the order of tasks and chunks.
    pub(super) chunks: Vec<Option<Vec<u8>>>,
    pub(super) missing: BTreeSet<usize>,
}

/// What is due at a point in time. A timer that finds nothing due is ignored.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// Resending, leases and timeouts of a task's attempt.
    Task(id::Task),
    /// A task waits again after a delay that follows a failure.
    Requeue(id::Task),
    /// The deadline of a job or of calls that wait for it.
    Deadline(id::Job),
    /// A job is no longer remembered.
    Forget(id::Job),
    /// An agent has not answered `Adopt`.
    Adopt(id::Worker),
}
