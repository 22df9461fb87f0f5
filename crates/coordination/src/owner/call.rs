//! Handles calls: submit, status, cancel and the lookup of orders.

use {
    super::{
        order::idempotency_key,
        state::{Submitting, Timer, Waiter},
        write::{refused, STORE_RETRY_AFTER},
        Context, Job, Owner, Record, Reply, TASKS_LIMIT,
    },
    crate::job::{Answer, Call, Phase, Spec, Status},
    filbertbend_state::{
        hash, id,
        outcome::{Outcome, Ran, Reason},
        time::{Instant, Wall},
        unit::Millis,
    },
    std::sync::Arc,
};

impl Owner {
    pub(super) fn call(&mut self, cx: &mut Context<'_>, reply: Reply, call: Call) {
        match call {
            Call::Submit(spec) => self.submit(cx, reply, spec),
            Call::Status(job) => {
                let answer = self
                    .status(cx, job)
                    .map_or(Answer::NotFound, Answer::Status);
                cx.answer(reply, answer);
            }
            Call::Result(job) => self.result(cx, reply, job),
            Call::Cancel(job) => self.cancel(cx, reply, job),
            Call::Order {
                service,
                customer,
                key,
            } => self.order_outcome(cx, reply, &(service, customer, key)),
        }
    }

    /// Converts a wall-clock deadline to this instance's monotonic clock.
    pub(super) fn instant(&self, now: Instant, at: Wall) -> Instant {
        now + Millis(at.0.saturating_sub(self.wall.0))
    }

    fn submit(&mut self, cx: &mut Context<'_>, reply: Reply, mut spec: Spec) {
        let body: Arc<[u8]> = std::mem::take(&mut spec.body).into();
        let digest = hash::of(&body);
        let waiter = Waiter {
            reply,
            deadline: spec.expires_at.map(|at| self.instant(cx.now, at)),
        };
        if self.answer_repeated(cx, waiter, &spec, digest) {
            return;
        }
        if let Some(answer) = self.refusal(cx, &spec) {
            cx.answer(reply, answer);
            return;
        }
        if let Some(order) = &spec.order {
            self.keys.insert(idempotency_key(&spec, order), spec.id);
            self.customers
                .entry(order.customer.clone())
                .or_default()
                .insert(order.sequence, spec.id);
        }
        if let Some(deadline) = waiter.deadline {
            self.timers.insert((deadline, Timer::Deadline(spec.id)));
        }
        let spec = Arc::new(spec);
        self.submitting.insert(
            spec.id,
            Submitting {
                spec: Arc::clone(&spec),
                digest,
                waiters: vec![waiter],
            },
        );
        let at = self.wall;
        let record = Record::Submitted {
            spec,
            body,
            digest,
            at,
        };
        self.append(cx, vec![record]);
    }

    /// Answers a submission that repeats an earlier one, or queues its caller
    /// until the earlier one is decided. Returns false for a new submission.
    fn answer_repeated(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        spec: &Spec,
        digest: u64,
    ) -> bool {
        if let Some(order) = &spec.order {
            return self.answer_repeated_order(cx, waiter, &idempotency_key(spec, order), digest);
        }
        if let Some(submitting) = self.submitting.get_mut(&spec.id) {
            if submitting.digest == digest {
                submitting.waiters.push(waiter);
            } else {
                cx.answer(waiter.reply, Answer::Outcome(Outcome::Invalid));
            }
            return true;
        }
        let Some(job) = self.image.job(spec.id) else {
            return false;
        };
        let answer = if job.digest == digest {
            Answer::Accepted(spec.id)
        } else {
            Answer::Outcome(Outcome::Invalid)
        };
        cx.answer(waiter.reply, answer);
        true
    }

    /// Returns the refusal of a new submission that must not be written, if any.
    fn refusal(&self, cx: &mut Context<'_>, spec: &Spec) -> Option<Answer> {
        let invalid = Answer::Outcome(Outcome::Invalid);
        if spec.tasks == 0 || spec.tasks > TASKS_LIMIT {
            return Some(invalid);
        }
        if spec.expires_at.is_some_and(|at| at <= self.wall) {
            return Some(Answer::Outcome(Outcome::Expired { ran: Ran::No }));
        }
        if !self.store_available {
            return Some(refused(Reason::StoreUnavailable, STORE_RETRY_AFTER));
        }
        match &spec.order {
            Some(order) => self.order_refusal(spec, order),
            None => cx
                .planner
                .is_too_large(cx.now, &spec.size, &spec.data_centres)
                .then(|| refused(Reason::TooLarge, Millis::ZERO)),
        }
    }

    /// Answers submissions as unknown whose deadline passes before their record
    /// is known to be durable. The record may still become durable.
    pub(super) fn answer_late_submissions(&mut self, cx: &mut Context<'_>, job: id::Job) {
        let Some(submitting) = self.submitting.get_mut(&job) else {
            return;
        };
        let now = cx.now;
        submitting.waiters.retain(|waiter| {
            let late = waiter.deadline.is_some_and(|deadline| deadline <= now);
            if late {
                cx.answer(waiter.reply, Answer::Outcome(Outcome::Unknown));
            }
            !late
        });
    }

    /// Refuses a submission whose record was not written.
    pub(super) fn refuse_submission(
        &mut self,
        cx: &mut Context<'_>,
        job: id::Job,
        answer: &Answer,
    ) {
        let Some(submitting) = self.submitting.remove(&job) else {
            return;
        };
        if let Some(order) = &submitting.spec.order {
            self.keys.remove(&idempotency_key(&submitting.spec, order));
            self.order_closed(order, job);
        }
        for waiter in submitting.waiters {
            cx.answer(waiter.reply, answer.clone());
        }
    }

    fn cancel(&mut self, cx: &mut Context<'_>, reply: Reply, job: id::Job) {
        if self.submitting.contains_key(&job) {
            let answer = self
                .status(cx, job)
                .map_or(Answer::NotFound, Answer::Pending);
            cx.answer(reply, answer);
            return;
        }
        if !self.open.contains_key(&job) {
            self.answer_cancel(cx, reply, job);
            return;
        }
        if self.order_may_run(job) {
            let answer = self
                .status(cx, job)
                .map_or(Answer::NotFound, Answer::Pending);
            cx.answer(reply, answer);
            return;
        }
        if let Some(open) = self.open.get_mut(&job) {
            open.cancels.push(reply);
        }
        self.end_job(cx, job, Phase::Cancelled, None);
    }

    /// Answers a cancellation of a job that has ended or does not exist.
    pub(super) fn answer_cancel(&mut self, cx: &mut Context<'_>, reply: Reply, job: id::Job) {
        let end = self.image.job(job).and_then(|job| job.end.as_ref());
        let answer = match end.map(|end| end.phase) {
            None => Answer::NotFound,
            Some(Phase::Cancelled) => Answer::Outcome(Outcome::Cancelled),
            Some(_) => self
                .status(cx, job)
                .map_or(Answer::NotFound, Answer::Status),
        };
        cx.answer(reply, answer);
    }

    /// Returns the status of a job as reported to callers.
    pub(super) fn status(&self, cx: &mut Context<'_>, id: id::Job) -> Option<Status> {
        let Some(job) = self.image.job(id) else {
            let spec = &self.submitting.get(&id)?.spec;
            return Some(Status {
                job: id,
                phase: Phase::Waiting,
                service: spec.service.clone(),
                reason: None,
                tasks_done: 0,
                tasks: spec.tasks,
                trials: Vec::new(),
            });
        };
        let done = job.tasks.iter().filter(|task| task.output.is_some());
        Some(Status {
            job: id,
            phase: self.phase(id, job),
            service: job.spec.service.clone(),
            reason: self.reason(cx, id, job),
            tasks_done: done.count() as u32,
            tasks: job.spec.tasks,
            trials: job.trials.clone(),
        })
    }

    fn phase(&self, id: id::Job, job: &Job) -> Phase {
        if let Some(end) = &job.end {
            return end.phase;
        }
        let first = id::Task { job: id, index: 0 };
        let last = id::Task {
            job: id,
            index: u32::MAX,
        };
        let runs = self.live.range(first..=last).any(|(_, live)| live.may_run);
        if runs {
            Phase::Running
        } else {
            Phase::Waiting
        }
    }

    /// Returns the reason why a job waits, was refused or was parked.
    fn reason(&self, cx: &mut Context<'_>, id: id::Job, job: &Job) -> Option<Reason> {
        if let Some(end) = &job.end {
            return end.reason;
        }
        if let Some(order) = &job.spec.order {
            return self.order_reason(cx, id, job, order);
        }
        let mut tasks = (0..job.spec.tasks).map(|index| id::Task { job: id, index });
        tasks.find_map(|task| cx.planner.waiting_reason(task))
    }
}
