//! Appends records and handles the outcome of each append.

use {
    super::{
        result::chunk_keys,
        state::{Open, Timer},
        Action, Context, Counter, Event, Owner, Record, Reply, Ticket, RETENTION,
    },
    crate::{
        attempt::{Attempt, Command},
        job::{Answer, Phase},
        owner::Termination,
    },
    filbertbend_state::{
        id,
        outcome::{Outcome, Reason},
        unit::Millis,
    },
};

/// When a caller may retry a call that was refused because the store is
/// unavailable.
pub(super) const STORE_RETRY_AFTER: Millis = Millis(1000);

pub(super) fn refused(reason: Reason, retry_after_ms: Millis) -> Answer {
    Answer::Outcome(Outcome::Refused {
        reason,
        retry_after_ms,
    })
}

impl Owner {
    pub(super) fn next_ticket(&mut self) -> Ticket {
        self.ticket.0 += 1;
        self.ticket
    }

    pub(super) fn append(&mut self, cx: &mut Context<'_>, records: Vec<Record>) {
        let ticket = self.next_ticket();
        self.writes.insert(ticket, records.clone());
        cx.actions.push(Action::Append { ticket, records });
    }

    pub(super) fn durable(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let Some(records) = self.writes.remove(&ticket) else {
            return;
        };
        for record in records {
            let forgotten = match &record {
                Record::Forgotten { job } => self.forget(*job),
                _ => Vec::new(),
            };
            self.image.apply(&record);
            self.apply_effects(cx, record);
            let deletes = forgotten.into_iter().map(|key| Action::DeleteChunk { key });
            cx.actions.extend(deletes);
        }
    }

    fn apply_effects(&mut self, cx: &mut Context<'_>, record: Record) {
        match record {
            Record::Submitted { spec, .. } => self.submitted(cx, spec.id),
            Record::Placed { attempt, .. } => self.placed(cx, attempt),
            Record::Checkpointed { attempt, .. } => {
                cx.planner.record_checkpoint(cx.now, attempt.task);
            }
            Record::Ended {
                attempt,
                termination,
                ..
            } => self.attempt_ended(cx, attempt, &termination),
            Record::Completed { attempt, .. } => self.attempt_completed(cx, attempt),
            Record::Advanced { customer, .. } => {
                self.ready.insert(customer);
            }
            Record::Closed { job, phase, .. } => self.closed(cx, job, phase),
            Record::Forgotten { .. } => {}
        }
    }

    fn submitted(&mut self, cx: &mut Context<'_>, job: id::Job) {
        let Some(submitting) = self.submitting.remove(&job) else {
            return;
        };
        cx.count(Counter::Accepted);
        let spec = submitting.spec;
        let mut open = self.open_job(cx.now, job, &spec);
        if let Some(order) = &spec.order {
            open.waiters = submitting.waiters;
            for waiter in &open.waiters {
                if let Some(deadline) = waiter.deadline {
                    self.timers.insert((deadline, Timer::Deadline(job)));
                }
            }
            self.open.insert(job, open);
            self.ready.insert(order.customer.clone());
            return;
        }
        self.open.insert(job, open);
        for waiter in submitting.waiters {
            cx.answer(waiter.reply, Answer::Accepted(job));
        }
        for index in 0..spec.tasks {
            self.enqueue(cx, id::Task { job, index });
        }
    }

    /// Creates the in-memory state of a job that has not ended, and sets the timer
    /// of its deadline.
    pub(super) fn open_job(
        &mut self,
        now: filbertbend_state::time::Instant,
        job: id::Job,
        spec: &crate::job::Spec,
    ) -> Open {
        let deadline = spec.expires_at.map(|at| self.instant(now, at));
        if let Some(deadline) = deadline {
            self.timers.insert((deadline, Timer::Deadline(job)));
        }
        Open {
            since: now,
            deadline,
            waiters: Vec::new(),
            cancels: Vec::new(),
            ending: None,
            close_pending: false,
        }
    }

    fn attempt_ended(&mut self, cx: &mut Context<'_>, attempt: Attempt, termination: &Termination) {
        let Some(live) = self.remove_live(attempt.task) else {
            return;
        };
        cx.planner.release(attempt.task);
        match termination {
            Termination::Stopped
            | Termination::Refused(_)
            | Termination::Withdrawn
            | Termination::Failed(_)
            | Termination::Unknown => {
                let worker = live.worker.clone();
                self.send(cx, worker, attempt, Command::Ack);
            }
            // The agent may still hold resources or a queue slot for the attempt.
            Termination::Abandoned => {
                let worker = live.worker.clone();
                self.send(cx, worker, attempt, Command::Withdraw);
            }
            Termination::LeaseExpired => {}
        }
        cx.count(match termination {
            Termination::Failed(_) => Counter::Failed,
            Termination::Refused(_) => Counter::Refused,
            Termination::LeaseExpired => Counter::LeaseExpired,
            Termination::Unknown => Counter::Unknown,
            Termination::Stopped | Termination::Abandoned | Termination::Withdrawn => {
                Counter::Abandoned
            }
        });
        let failed_on = matches!(termination, Termination::Failed(_)).then_some(live.worker);
        self.continue_task(cx, attempt.task, failed_on);
    }

    fn attempt_completed(&mut self, cx: &mut Context<'_>, attempt: Attempt) {
        let Some(live) = self.remove_live(attempt.task) else {
            return;
        };
        cx.planner.release(attempt.task);
        cx.count(Counter::Completed);
        self.send(cx, live.worker.clone(), attempt, Command::Ack);
        if let Some(job) = self.image.job(attempt.task.job) {
            if job.spec.order.is_none() {
                let service = job.spec.service.clone();
                cx.planner
                    .record_success(cx.now, &service, attempt.task, &live.worker);
            }
        }
        self.try_close(cx, attempt.task.job);
    }

    fn closed(&mut self, cx: &mut Context<'_>, job: id::Job, phase: Phase) {
        let Some(open) = self.open.remove(&job) else {
            return;
        };
        match phase {
            Phase::Cancelled => cx.count(Counter::Cancelled),
            Phase::Failed => cx.count(Counter::Parked),
            _ => {}
        }
        self.timers.insert((cx.now + RETENTION, Timer::Forget(job)));
        if let Some(deadline) = open.deadline {
            self.timers.remove(&(deadline, Timer::Deadline(job)));
        }
        let order = self.image.job(job).and_then(|job| job.spec.order.clone());
        if let Some(order) = order {
            self.order_closed(&order, job);
        } else {
            let tasks = self.image.job(job).map_or(0, |job| job.spec.tasks);
            for index in 0..tasks {
                cx.planner.dequeue(id::Task { job, index });
            }
        }
        for reply in open.waiters.iter().map(|waiter| waiter.reply) {
            self.answer_end(cx, reply, job);
        }
        for reply in open.cancels {
            self.answer_cancel(cx, reply, job);
        }
    }

    /// Clears the pending flags of records that were not written.
    pub(super) fn not_written(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        for record in self.writes.remove(&ticket).unwrap_or_default() {
            match record {
                Record::Submitted { spec, .. } => {
                    let answer = refused(Reason::StoreUnavailable, STORE_RETRY_AFTER);
                    self.refuse_submission(cx, spec.id, &answer);
                }
                Record::Placed { attempt, .. } => {
                    self.remove_live(attempt.task);
                    cx.planner.release(attempt.task);
                    self.continue_task(cx, attempt.task, None);
                }
                Record::Checkpointed { attempt, .. } => {
                    if let Some(live) = self.live.get_mut(&attempt.task) {
                        live.checkpoint = None;
                    }
                }
                Record::Ended { attempt, .. } | Record::Completed { attempt, .. } => {
                    if let Some(live) = self.live.get_mut(&attempt.task) {
                        live.end_pending = false;
                    }
                    self.arm_task(cx.now, attempt.task);
                }
                Record::Closed { job, .. } => self.close_not_written(cx, job),
                Record::Forgotten { job } => {
                    self.timers
                        .insert((cx.now + STORE_RETRY_AFTER, Timer::Forget(job)));
                }
                Record::Advanced { .. } => {}
            }
        }
    }

    /// Resumes a job whose end could not be written.
    fn close_not_written(&mut self, cx: &mut Context<'_>, job: id::Job) {
        let Some(open) = self.open.get_mut(&job) else {
            return;
        };
        open.close_pending = false;
        open.ending = None;
        for reply in std::mem::take(&mut open.cancels) {
            let answer = refused(Reason::StoreUnavailable, STORE_RETRY_AFTER);
            cx.answer(reply, answer);
        }
        self.timers
            .insert((cx.now + STORE_RETRY_AFTER, Timer::Deadline(job)));
        self.enqueue_waiting(cx, job);
    }

    /// Stops the owner and answers every pending call, because another entry owns
    /// the slice.
    pub(super) fn ownership_lost(&mut self, cx: &mut Context<'_>, not_written: &[Ticket]) {
        self.lost = true;
        let no_owner = refused(Reason::NoOwner, STORE_RETRY_AFTER);
        for ticket in not_written {
            for record in self.writes.remove(ticket).unwrap_or_default() {
                if let Record::Submitted { spec, .. } = record {
                    self.refuse_submission(cx, spec.id, &no_owner);
                }
            }
        }
        let unknown = Answer::Outcome(Outcome::Unknown);
        let submitting = std::mem::take(&mut self.submitting);
        let open = std::mem::take(&mut self.open);
        let waiters = submitting
            .into_values()
            .flat_map(|submitting| submitting.waiters)
            .map(|waiter| waiter.reply);
        let ends = open.into_values().flat_map(|open| {
            let waiters = open.waiters.into_iter().map(|waiter| waiter.reply);
            waiters.chain(open.cancels)
        });
        let replies: Vec<Reply> = waiters.chain(ends).collect();
        for reply in replies {
            cx.answer(reply, unknown.clone());
        }
        for read in std::mem::take(&mut self.reads).into_values() {
            cx.answer(read.reply, no_owner.clone());
        }
        cx.planner.forget_slice(self.slice);
    }

    /// Refuses calls, and ignores other events, once another entry owns the slice.
    pub(super) fn refuse_lost(&mut self, event: Event, actions: &mut Vec<Action>) {
        if let Event::Call { reply, .. } = event {
            let answer = refused(Reason::NoOwner, STORE_RETRY_AFTER);
            actions.push(Action::Answer { reply, answer });
        }
    }

    /// Removes the idempotency key of a job that is about to be forgotten and
    /// returns the keys of its chunks.
    fn forget(&mut self, job: id::Job) -> Vec<std::sync::Arc<str>> {
        let Some(found) = self.image.job(job) else {
            return Vec::new();
        };
        if let Some(order) = &found.spec.order {
            let key = (
                found.spec.service.clone(),
                order.customer.clone(),
                order.key.clone(),
            );
            if self.keys.get(&key) == Some(&job) {
                self.keys.remove(&key);
            }
        }
        chunk_keys(self.slice, job, found)
    }
}
