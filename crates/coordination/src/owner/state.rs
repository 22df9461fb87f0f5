//! The state of an owner that is kept in memory only.

use {
    super::Reply,
    crate::{
        attempt::{Attempt, Output},
        job::{Phase, Spec},
    },
    filbertbend_state::{id, outcome::Reason, time::Instant},
    std::{collections::BTreeSet, sync::Arc},
};

/// The idempotency key of an order, scoped by its service and customer.
pub(super) type IdempotencyKey = (id::Service, id::Customer, id::Key);

/// A call that waits for a submission to be durable or an order to end.
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
    /// The time of acceptance or recovery.
    pub(super) since: Instant,
    pub(super) deadline: Option<Instant>,
    /// Calls that wait for the order to end; empty for a batch job.
    pub(super) waiters: Vec<Waiter>,
    /// Calls that wait for a cancellation to be durable.
    pub(super) cancels: Vec<Reply>,
    /// The phase and reason with which the job ends once none of its attempts can
    /// run, if its end was requested.
    pub(super) ending: Option<(Phase, Option<Reason>)>,
    /// Whether the record of the job's end is being written.
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

/// The attempt of a task from its placement until its end is durable.
#[derive(Debug)]
pub(super) struct Live {
    pub(super) attempt: Attempt,
    pub(super) worker: id::Worker,
    pub(super) incarnation: id::Incarnation,
    /// Whether the record of the placement is being written.
    pub(super) placement_pending: bool,
    /// Whether this or a former owner may have granted the attempt. If not, it
    /// cannot start, because only this owner can grant it.
    pub(super) may_run: bool,
    /// When the lease has expired for any allowed clock drift, unless it is
    /// renewed. Meaningful only if `may_run` is set.
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
    /// The time for which the task's timer is set.
    pub(super) timer: Option<Instant>,
}

/// An agent that the owner can reach.
#[derive(Clone, Copy, Debug)]
pub(super) struct Agent {
    pub(super) incarnation: id::Incarnation,
    /// Whether this incarnation has answered `Adopt`.
    pub(super) adopted: bool,
}

/// A call for outputs whose chunks are being read from the store.
#[derive(Debug)]
pub(super) struct Read {
    pub(super) reply: Reply,
    pub(super) job: id::Job,
    /// The chunks read so far, ordered by task and position.
    pub(super) chunks: Vec<Option<Vec<u8>>>,
    pub(super) missing: BTreeSet<usize>,
}

/// A scheduled check. A timer that finds nothing due has no effect.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// Resends commands and checks the lease and timeouts of a task's attempt.
    Task(id::Task),
    /// Requeues a task after the delay that follows a failure.
    Requeue(id::Task),
    /// Checks the deadlines of a job and of the calls that wait for it.
    Deadline(id::Job),
    /// Forgets a job after the retention period.
    Forget(id::Job),
    /// Repeats `Adopt` to an agent that has not answered it.
    Adopt(id::Worker),
}
