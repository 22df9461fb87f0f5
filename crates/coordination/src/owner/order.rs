//! Orders: idempotency keys, the customer's sequence and the final outcome.

use {
    super::{
        state::{IdempotencyKey, Timer, Waiter},
        write::{refused, STORE_RETRY_AFTER},
        Context, Job, Owner, Record, Reply, Termination, ORDERS_LIMIT,
    },
    crate::{
        attempt::Attempt,
        job::{Answer, Order, Phase, Spec},
        placement,
    },
    filbertbend_state::{
        id,
        outcome::{Outcome, Ran, Reason},
        unit::Millis,
    },
};

/// Returns the key under which repeated submissions of an order are recognised.
pub(super) fn idempotency_key(spec: &Spec, order: &Order) -> IdempotencyKey {
    (
        spec.service.clone(),
        order.customer.clone(),
        order.key.clone(),
    )
}

/// Returns whether an order that ended in `phase` may be submitted again with the
/// same key: it did not run, and its caller did not cancel it.
fn may_retry(phase: Phase) -> bool {
    matches!(phase, Phase::Refused | Phase::Expired)
}

/// Returns whether an order that ended in `phase` consumes its sequence number.
pub(super) fn consumes_sequence(phase: Phase) -> bool {
    matches!(phase, Phase::Done | Phase::Unknown)
}

/// How long calls wait past their deadline for the record that decides them.
const CLOSE_GRACE: Millis = Millis(500);

impl Owner {
    /// Answers an order whose key was used before. Returns false if the order is
    /// new or may be retried.
    pub(super) fn answer_repeated_order(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        key: &IdempotencyKey,
        digest: u64,
    ) -> bool {
        let Some(&job) = self.keys.get(key) else {
            return false;
        };
        let known = match (self.submitting.get(&job), self.image.job(job)) {
            (Some(submitting), _) => submitting.digest,
            (None, Some(found)) => found.digest,
            (None, None) => return false,
        };
        if known != digest {
            cx.answer(waiter.reply, refused(Reason::KeyReused, Millis::ZERO));
            return true;
        }
        if let Some(submitting) = self.submitting.get_mut(&job) {
            submitting.waiters.push(waiter);
            return true;
        }
        if let Some(open) = self.open.get_mut(&job) {
            open.waiters.push(waiter);
            if let Some(deadline) = waiter.deadline {
                self.timers.insert((deadline, Timer::Deadline(job)));
            }
            return true;
        }
        let end = self.image.job(job).and_then(|job| job.end.as_ref());
        if end.is_none_or(|end| may_retry(end.phase)) {
            return false;
        }
        self.answer_end(cx, waiter.reply, job);
        true
    }

    /// Returns the refusal of a new order that must not be written, if any.
    pub(super) fn order_refusal(&self, spec: &Spec, order: &Order) -> Option<Answer> {
        let invalid = Answer::Outcome(Outcome::Invalid);
        if spec.tasks != 1 || order.sequence < self.image.next_sequence(&order.customer) {
            return Some(invalid);
        }
        let known = self.submitting.contains_key(&spec.id) || self.image.job(spec.id).is_some();
        let waiting = self.customers.get(&order.customer);
        if known || waiting.is_some_and(|waiting| waiting.contains_key(&order.sequence)) {
            return Some(invalid);
        }
        waiting
            .is_some_and(|waiting| waiting.len() >= ORDERS_LIMIT)
            .then(|| refused(Reason::QueueFull, STORE_RETRY_AFTER))
    }

    pub(super) fn order_outcome(
        &mut self,
        cx: &mut Context<'_>,
        reply: Reply,
        key: &IdempotencyKey,
    ) {
        let Some(&job) = self.keys.get(key) else {
            cx.answer(reply, Answer::NotFound);
            return;
        };
        let ended = self.image.job(job).is_some_and(|job| job.end.is_some());
        if ended {
            self.answer_end(cx, reply, job);
            return;
        }
        let answer = self
            .status(cx, job)
            .map_or(Answer::NotFound, Answer::Pending);
        cx.answer(reply, answer);
    }

    /// Returns whether `job` is an order that may have started.
    pub(super) fn order_may_run(&self, job: id::Job) -> bool {
        let is_order = self
            .image
            .job(job)
            .is_some_and(|job| job.spec.order.is_some());
        let task = id::Task { job, index: 0 };
        is_order && self.live.get(&task).is_some_and(|live| live.may_run)
    }

    /// Removes an order from its customer's waiting orders.
    pub(super) fn order_closed(&mut self, order: &Order, job: id::Job) {
        if let Some(waiting) = self.customers.get_mut(&order.customer) {
            if waiting.get(&order.sequence) == Some(&job) {
                waiting.remove(&order.sequence);
            }
            if waiting.is_empty() {
                self.customers.remove(&order.customer);
            }
        }
        self.ready.insert(order.customer.clone());
    }

    /// Returns the records that end a job or order. An order that ran or may have
    /// run consumes its sequence number, so the customer's next order can
    /// proceed. The number of an order that did not run can be used again.
    pub(super) fn order_end_records(
        &self,
        job: id::Job,
        phase: Phase,
        reason: Option<Reason>,
    ) -> Vec<Record> {
        let order = self
            .image
            .job(job)
            .and_then(|found| found.spec.order.as_ref());
        let mut records = Vec::new();
        if let Some(order) = order.filter(|_| consumes_sequence(phase)) {
            records.push(Record::Advanced {
                customer: order.customer.clone(),
                next: order.sequence + 1,
            });
        }
        records.push(Record::Closed {
            job,
            phase,
            reason,
            at: self.wall,
        });
        records
    }

    /// Ends an order as unknown whose attempt may have run with a lost outcome.
    pub(super) fn order_unknown(
        &mut self,
        cx: &mut Context<'_>,
        attempt: Attempt,
        termination: Termination,
    ) {
        let mut records = vec![Record::Ended {
            attempt,
            termination,
            checkpoint: None,
        }];
        records.extend(self.order_end_records(attempt.task.job, Phase::Unknown, None));
        self.mark_close_pending(attempt.task.job);
        self.append_end(cx, attempt, records);
    }

    /// Refuses or expires an order at its deadline, unless it may have started.
    pub(super) fn order_deadline(&mut self, cx: &mut Context<'_>, job: id::Job, order: &Order) {
        if self.order_may_run(job) {
            return;
        }
        let gap = order.sequence > self.image.next_sequence(&order.customer);
        if gap {
            self.end_job(cx, job, Phase::Refused, Some(Reason::SequenceGap));
        } else {
            self.end_job(cx, job, Phase::Expired, None);
        }
    }

    /// Answers the calls whose own deadline has passed while the order may still
    /// run. Calls for an order that is being closed, or is about to be closed at
    /// its own deadline, wait for [`CLOSE_GRACE`] longer, because the record that
    /// decides their answer follows.
    pub(super) fn answer_late_waiters(&mut self, cx: &mut Context<'_>, job: id::Job) {
        let now = cx.now;
        let may_run = self.order_may_run(job);
        let Some(open) = self.open.get_mut(&job) else {
            return;
        };
        let due_soon = open
            .deadline
            .is_some_and(|deadline| deadline <= now + CLOSE_GRACE);
        let closing = open.close_pending || open.ending.is_some() || (due_soon && !may_run);
        let grace = if closing { CLOSE_GRACE } else { Millis::ZERO };
        open.waiters.retain(|waiter| {
            let late = waiter
                .deadline
                .is_some_and(|deadline| deadline + grace <= now);
            if late {
                let outcome = Outcome::Expired { ran: Ran::Unknown };
                cx.answer(waiter.reply, Answer::Outcome(outcome));
            }
            !late
        });
        if closing && !open.waiters.is_empty() {
            self.timers.insert((now + grace, Timer::Deadline(job)));
        }
    }

    /// Places the next order of every customer in `ready`.
    pub(super) fn dispatch_orders(&mut self, cx: &mut Context<'_>) {
        if self.lost {
            return;
        }
        for customer in std::mem::take(&mut self.ready) {
            let next = self.image.next_sequence(&customer);
            let waiting = self.customers.get(&customer);
            let Some(&job) = waiting.and_then(|waiting| waiting.get(&next)) else {
                continue;
            };
            if !self.place_order(cx, job) {
                self.ready.insert(customer);
            }
        }
    }

    /// Places an order that is next in its sequence. Returns false if it must be
    /// retried because no endpoint is available.
    fn place_order(&mut self, cx: &mut Context<'_>, job: id::Job) -> bool {
        let task = id::Task { job, index: 0 };
        let Some(open) = self.open.get(&job) else {
            return true;
        };
        if open.close_pending || open.ending.is_some() || self.live.contains_key(&task) {
            return true;
        }
        let Some(found) = self.image.job(job) else {
            return true;
        };
        let spec = std::sync::Arc::clone(&found.spec);
        let route = placement::Constraints {
            service: &spec.service,
            data_centres: &spec.data_centres,
        };
        let Some((worker, incarnation)) = cx.planner.select_endpoint(&route) else {
            return false;
        };
        cx.planner.reserve_slot(&worker);
        self.place(cx, task, worker, incarnation, spec.size);
        true
    }

    pub(super) fn order_reason(
        &self,
        cx: &mut Context<'_>,
        id: id::Job,
        job: &Job,
        order: &Order,
    ) -> Option<Reason> {
        if order.sequence > self.image.next_sequence(&order.customer) {
            return Some(Reason::SequenceGap);
        }
        if self.live.contains_key(&id::Task { job: id, index: 0 }) {
            return None;
        }
        let route = placement::Constraints {
            service: &job.spec.service,
            data_centres: &job.spec.data_centres,
        };
        cx.planner
            .select_endpoint(&route)
            .is_none()
            .then_some(Reason::NoEndpoint)
    }
}
