//! Places tasks, and starts, evicts and ends their attempts.

use {
    super::{
        order::consumes_sequence,
        state::{Evicting, Live, Timer},
        Action, Context, Counter, Owner, Record, Termination, COMMAND_RESEND_INTERVAL,
        EVICT_TIMEOUT, FAILURES_LIMIT, ORDER_START_TIMEOUT, START_RESEND_INTERVAL, START_TIMEOUT,
    },
    crate::{
        attempt::{Attempt, Command, Work},
        job::Phase,
        placement::{Decision, Request},
        probation::FailureAction,
    },
    filbertbend_state::{id, outcome::Reason, room::Room, unit::Millis},
};

/// Delay before a task is requeued after its first failure. It doubles with each
/// further failure.
const FAILURE_DELAY: Millis = Millis(500);

/// Maximum delay before a failed task is requeued.
const FAILURE_DELAY_LIMIT: Millis = Millis::from_secs(60);

impl Owner {
    pub(super) fn send(
        &mut self,
        cx: &mut Context<'_>,
        worker: id::Worker,
        attempt: Attempt,
        command: Command,
    ) {
        cx.actions.push(Action::Send {
            worker,
            attempt,
            command,
        });
    }

    /// Returns whether `task` may be placed: its job is not ending, and it has
    /// neither an output nor an attempt that is current or being recorded.
    fn is_waiting(&self, task: id::Task) -> bool {
        let open = self.open.get(&task.job);
        let continues = open.is_some_and(|open| !open.close_pending && open.ending.is_none());
        let done = self
            .image
            .task(task)
            .is_none_or(|found| found.output.is_some() || found.current.is_some());
        continues && !done && !self.live.contains_key(&task)
    }

    /// Adds a batch task to the planner's queue.
    pub(super) fn enqueue(&mut self, cx: &mut Context<'_>, task: id::Task) {
        if !self.is_waiting(task) {
            return;
        }
        let (Some(open), Some(job)) = (self.open.get(&task.job), self.image.job(task.job)) else {
            return;
        };
        let spec = &job.spec;
        if spec.order.is_some() {
            return;
        }
        let request = Request {
            slice: self.slice,
            task,
            service: spec.service.clone(),
            team: spec.team.clone(),
            class: spec.class,
            size: spec.size,
            run_time: spec.run_time,
            data_centres: spec.data_centres.clone(),
            avoid: job.tasks[task.index as usize].failed_on.clone(),
            since: open.since,
        };
        cx.planner.enqueue(cx.now, request);
    }

    /// Queues all tasks of a job that are neither placed nor done.
    pub(super) fn enqueue_waiting(&mut self, cx: &mut Context<'_>, job: id::Job) {
        let Some(found) = self.image.job(job) else {
            return;
        };
        if let Some(order) = &found.spec.order {
            self.ready.insert(order.customer.clone());
            return;
        }
        for index in 0..found.spec.tasks {
            self.enqueue(cx, id::Task { job, index });
        }
    }

    pub(super) fn decision(&mut self, cx: &mut Context<'_>, decision: Decision) {
        match decision {
            Decision::Place {
                task,
                worker,
                incarnation,
                size,
                ..
            } => {
                if self.is_waiting(task) {
                    self.place(cx, task, worker, incarnation, size);
                } else if !self.live.contains_key(&task) {
                    cx.planner.release(task);
                }
            }
            Decision::Evict { task, .. } => self.evict(cx, task),
        }
    }

    /// Records a new attempt. Its start is sent once the record is durable.
    pub(super) fn place(
        &mut self,
        cx: &mut Context<'_>,
        task: id::Task,
        worker: id::Worker,
        incarnation: id::Incarnation,
        size: Room,
    ) {
        let Some(found) = self.image.task(task) else {
            return;
        };
        let attempt = Attempt {
            task,
            number: found.attempt.next(),
        };
        self.insert_live(Live {
            attempt,
            worker: worker.clone(),
            incarnation,
            placement_pending: true,
            may_run: false,
            lease_end: cx.now,
            end_pending: false,
            start_resend_at: cx.now,
            start_give_up_at: cx.now,
            evicting: None,
            cancel_resend_at: None,
            withdraw_resend_at: None,
            checkpoint: None,
            storing: None,
            timer: None,
        });
        let record = Record::Placed {
            attempt,
            worker,
            incarnation,
            size,
        };
        self.append(cx, vec![record]);
    }

    /// Starts an attempt whose placement is durable.
    pub(super) fn placed(&mut self, cx: &mut Context<'_>, attempt: Attempt) {
        let ends = self
            .open
            .get(&attempt.task.job)
            .is_none_or(|open| open.ending.is_some() || open.close_pending);
        let order = self
            .image
            .job(attempt.task.job)
            .is_some_and(|job| job.spec.order.is_some());
        let Some(live) = self.live.get_mut(&attempt.task) else {
            return;
        };
        live.placement_pending = false;
        if ends {
            self.abandon(cx, attempt);
            return;
        }
        let timeout = if order {
            ORDER_START_TIMEOUT
        } else {
            START_TIMEOUT
        };
        live.start_resend_at = cx.now;
        live.start_give_up_at = cx.now + timeout;
        self.resend_start(cx, attempt.task);
        self.arm_task(cx.now, attempt.task);
    }

    /// Sends or resends the start of an attempt.
    pub(super) fn resend_start(&mut self, cx: &mut Context<'_>, task: id::Task) {
        let Some(work) = self.work(task) else {
            return;
        };
        let Some(live) = self.live.get_mut(&task) else {
            return;
        };
        let Some(current) = self.image.current(live.attempt) else {
            return;
        };
        live.start_resend_at = cx.now + START_RESEND_INTERVAL;
        let command = Command::Start {
            size: current.size,
            work,
        };
        let (worker, attempt) = (live.worker.clone(), live.attempt);
        self.send(cx, worker, attempt, command);
    }

    fn work(&self, task: id::Task) -> Option<Work> {
        let job = self.image.job(task.job)?;
        let service = job.spec.service.clone();
        let body = job.body.to_vec();
        Some(match &job.spec.order {
            Some(order) => Work::Order {
                service,
                customer: order.customer.clone(),
                key: order.key.clone(),
                body,
            },
            None => Work::Batch {
                service,
                body,
                resume: job.tasks.get(task.index as usize)?.checkpoint,
            },
        })
    }

    /// Ends an attempt that was never granted. It can no longer start, because
    /// only this owner can grant it and will deny a later claim.
    pub(super) fn abandon(&mut self, cx: &mut Context<'_>, attempt: Attempt) {
        self.end_attempt(cx, attempt, Termination::Abandoned, None);
    }

    /// Records the end of an attempt.
    pub(super) fn end_attempt(
        &mut self,
        cx: &mut Context<'_>,
        attempt: Attempt,
        termination: Termination,
        checkpoint: Option<id::Checkpoint>,
    ) {
        let record = Record::Ended {
            attempt,
            termination,
            checkpoint,
        };
        self.append_end(cx, attempt, vec![record]);
    }

    /// Appends records that end an attempt, unless its end is already pending.
    pub(super) fn append_end(
        &mut self,
        cx: &mut Context<'_>,
        attempt: Attempt,
        records: Vec<Record>,
    ) {
        let Some(live) = self.live.get_mut(&attempt.task) else {
            return;
        };
        if live.end_pending || live.attempt != attempt {
            return;
        }
        live.end_pending = true;
        self.append(cx, records);
    }

    /// Requeues or ends a task whose attempt ended without an output.
    pub(super) fn continue_task(
        &mut self,
        cx: &mut Context<'_>,
        task: id::Task,
        failed_on: Option<id::Worker>,
    ) {
        let Some(open) = self.open.get(&task.job) else {
            return;
        };
        if open.close_pending {
            return;
        }
        if open.ending.is_some() {
            self.try_close(cx, task.job);
            return;
        }
        if let Some(worker) = failed_on {
            self.task_failed(cx, task, &worker);
            return;
        }
        let order = self
            .image
            .job(task.job)
            .and_then(|job| job.spec.order.as_ref());
        match order {
            Some(order) => {
                self.ready.insert(order.customer.clone());
            }
            None => self.enqueue(cx, task),
        }
    }

    fn task_failed(&mut self, cx: &mut Context<'_>, task: id::Task, worker: &id::Worker) {
        let Some(job) = self.image.job(task.job) else {
            return;
        };
        let service = job.spec.service.clone();
        let Some(found) = job.tasks.get(task.index as usize) else {
            return;
        };
        let failures = found.failures;
        let verdict = cx
            .planner
            .record_failure(cx.now, &service, task, worker, &found.failed_on);
        if verdict == FailureAction::Park || failures >= FAILURES_LIMIT {
            self.end_job(cx, task.job, Phase::Failed, Some(Reason::Parked));
            return;
        }
        let doubled = FAILURE_DELAY.0 << failures.saturating_sub(1).min(16);
        let delay = Millis(doubled).min(FAILURE_DELAY_LIMIT);
        self.timers.insert((cx.now + delay, Timer::Requeue(task)));
    }

    /// Ends a job as soon as none of its attempts can run. Attempts that were not
    /// granted are abandoned at once, others are cancelled.
    pub(super) fn end_job(
        &mut self,
        cx: &mut Context<'_>,
        job: id::Job,
        phase: Phase,
        reason: Option<Reason>,
    ) {
        let Some(open) = self.open.get_mut(&job) else {
            return;
        };
        if open.close_pending {
            return;
        }
        open.ending.get_or_insert((phase, reason));
        let tasks = self.image.job(job).map_or(0, |found| found.spec.tasks);
        for index in 0..tasks {
            cx.planner.dequeue(id::Task { job, index });
        }
        for task in self.live_tasks(job) {
            self.end_live(cx, task);
        }
        self.try_close(cx, job);
    }

    /// Returns the tasks of a job that have an attempt which has not ended.
    pub(super) fn live_tasks(&self, job: id::Job) -> Vec<id::Task> {
        let first = id::Task { job, index: 0 };
        let last = id::Task {
            job,
            index: u32::MAX,
        };
        self.live
            .range(first..=last)
            .map(|(task, _)| *task)
            .collect()
    }

    /// Abandons or cancels an attempt whose job is ending.
    fn end_live(&mut self, cx: &mut Context<'_>, task: id::Task) {
        let Some(live) = self.live.get_mut(&task) else {
            return;
        };
        if live.placement_pending || live.end_pending {
            return;
        }
        let (worker, attempt) = (live.worker.clone(), live.attempt);
        if !live.may_run {
            self.abandon(cx, attempt);
            return;
        }
        live.cancel_resend_at = Some(cx.now + COMMAND_RESEND_INTERVAL);
        self.send(cx, worker, attempt, Command::Cancel);
        self.arm_task(cx.now, task);
    }

    /// Records the end of a job if it is complete or no attempt of it remains.
    pub(super) fn try_close(&mut self, cx: &mut Context<'_>, job: id::Job) {
        let Some(open) = self.open.get(&job) else {
            return;
        };
        let Some(found) = self.image.job(job) else {
            return;
        };
        if open.close_pending || !self.live_tasks(job).is_empty() {
            return;
        }
        let (phase, reason) = match open.ending {
            _ if found.is_complete() => (Phase::Done, None),
            Some(ending) => ending,
            None => return,
        };
        let records = self.order_end_records(job, phase, reason);
        self.mark_close_pending(job);
        self.append(cx, records);
    }

    pub(super) fn mark_close_pending(&mut self, job: id::Job) {
        if let Some(open) = self.open.get_mut(&job) {
            open.close_pending = true;
        }
    }

    /// Requests the eviction of a running task from its agent.
    fn evict(&mut self, cx: &mut Context<'_>, task: id::Task) {
        let Some(live) = self.live.get_mut(&task) else {
            cx.planner.record_eviction_failure(task);
            return;
        };
        if live.placement_pending || live.end_pending || live.storing.is_some() {
            return;
        }
        let (worker, attempt) = (live.worker.clone(), live.attempt);
        if !live.may_run {
            self.abandon(cx, attempt);
            return;
        }
        live.evicting = Some(Evicting {
            resend_at: cx.now + COMMAND_RESEND_INTERVAL,
            give_up_at: cx.now + EVICT_TIMEOUT,
        });
        cx.count(Counter::Evicted);
        self.send(cx, worker, attempt, Command::Evict);
        self.arm_task(cx.now, task);
    }

    pub(super) fn insert_live(&mut self, live: Live) {
        let task = live.attempt.task;
        self.by_worker
            .entry(live.worker.clone())
            .or_default()
            .insert(task);
        self.live.insert(task, live);
    }

    pub(super) fn remove_live(&mut self, task: id::Task) -> Option<Live> {
        let live = self.live.remove(&task)?;
        if let Some(at) = live.timer {
            self.timers.remove(&(at, Timer::Task(task)));
        }
        if let Some(tasks) = self.by_worker.get_mut(&live.worker) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.by_worker.remove(&live.worker);
            }
        }
        Some(live)
    }

    /// Writes the records that a former owner had not written: the end of jobs
    /// whose tasks are complete, and the advance of customers' sequences.
    pub(super) fn complete_interrupted(&mut self, cx: &mut Context<'_>) {
        let open: Vec<id::Job> = self.open.keys().copied().collect();
        for job in open {
            self.try_close(cx, job);
        }
        let mut advances = Vec::new();
        for (_, job) in self.image.jobs() {
            let (Some(order), Some(end)) = (&job.spec.order, &job.end) else {
                continue;
            };
            let next = self.image.next_sequence(&order.customer);
            if consumes_sequence(end.phase) && order.sequence >= next {
                advances.push(Record::Advanced {
                    customer: order.customer.clone(),
                    next: order.sequence + 1,
                });
            }
        }
        if !advances.is_empty() {
            self.append(cx, advances);
        }
    }
}
