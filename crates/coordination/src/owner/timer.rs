//! Runs timers: resends, lease expiry, deadlines and retention.

use {
    super::{
        state::Timer, Context, Owner, Record, Termination, COMMAND_RESEND_INTERVAL, RETENTION,
    },
    crate::attempt::{Command, Refusal},
    filbertbend_state::{id, time::Instant},
};

impl Owner {
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        while let Some((at, _)) = self.timers.first() {
            if *at > cx.now {
                break;
            }
            let Some((_, timer)) = self.timers.pop_first() else {
                break;
            };
            match timer {
                Timer::Task(task) => {
                    if let Some(live) = self.live.get_mut(&task) {
                        live.timer = None;
                    }
                    self.check_task(cx, task);
                }
                Timer::Requeue(task) => self.enqueue(cx, task),
                Timer::Deadline(job) => self.check_deadline(cx, job),
                Timer::Forget(job) => self.check_retention(cx, job),
                Timer::Adopt(worker) => self.adopt(cx, worker),
            }
        }
    }

    /// Sets the timer of a task to the next time at which something is due.
    pub(super) fn arm_task(&mut self, now: Instant, task: id::Task) {
        let Some(live) = self.live.get_mut(&task) else {
            return;
        };
        if let Some(at) = live.timer.take() {
            self.timers.remove(&(at, Timer::Task(task)));
        }
        if live.placement_pending || live.end_pending || live.storing.is_some() {
            return;
        }
        let next = if live.may_run {
            let evicting = live.evicting.map(|evicting| evicting.resend_at);
            [evicting, live.cancel_resend_at, live.withdraw_resend_at]
                .into_iter()
                .flatten()
                .fold(live.lease_end, Instant::min)
        } else {
            live.start_resend_at.min(live.start_give_up_at)
        };
        let at = next.max(now);
        live.timer = Some(at);
        self.timers.insert((at, Timer::Task(task)));
    }

    fn check_task(&mut self, cx: &mut Context<'_>, task: id::Task) {
        let Some(live) = self.live.get(&task) else {
            return;
        };
        if live.placement_pending || live.end_pending || live.storing.is_some() {
            return;
        }
        if live.may_run {
            self.check_running(cx, task);
        } else if cx.now >= live.start_give_up_at {
            let attempt = live.attempt;
            let worker = live.worker.clone();
            cx.planner.release(task);
            cx.planner.record_refusal(&worker, Refusal::NoRoom);
            self.abandon(cx, attempt);
        } else if cx.now >= live.start_resend_at {
            self.resend_start(cx, task);
        }
        self.arm_task(cx.now, task);
    }

    /// Ends an attempt whose lease has expired, or resends the commands that are
    /// due.
    fn check_running(&mut self, cx: &mut Context<'_>, task: id::Task) {
        let Some(live) = self.live.get_mut(&task) else {
            return;
        };
        let (worker, attempt) = (live.worker.clone(), live.attempt);
        if cx.now >= live.lease_end {
            if self.order_may_run(task.job) {
                self.order_unknown(cx, attempt, Termination::LeaseExpired);
            } else {
                self.end_attempt(cx, attempt, Termination::LeaseExpired, None);
            }
            return;
        }
        let again = cx.now + COMMAND_RESEND_INTERVAL;
        let mut commands = Vec::new();
        if let Some(evicting) = &mut live.evicting {
            if cx.now >= evicting.give_up_at {
                live.evicting = None;
                cx.planner.record_eviction_failure(task);
            } else if cx.now >= evicting.resend_at {
                evicting.resend_at = again;
                commands.push(Command::Evict);
            }
        }
        let repeated = [
            (&mut live.cancel_resend_at, Command::Cancel),
            (&mut live.withdraw_resend_at, Command::Withdraw),
        ];
        for (resend_at, command) in repeated {
            if resend_at.is_some_and(|at| cx.now >= at) {
                *resend_at = Some(again);
                commands.push(command);
            }
        }
        for command in commands {
            self.send(cx, worker.clone(), attempt, command);
        }
    }

    fn check_deadline(&mut self, cx: &mut Context<'_>, job: id::Job) {
        self.answer_late_submissions(cx, job);
        let Some(open) = self.open.get(&job) else {
            return;
        };
        let due = open.deadline.is_some_and(|deadline| deadline <= cx.now);
        let order = self.image.job(job).and_then(|job| job.spec.order.clone());
        match order {
            Some(order) => {
                if due {
                    self.order_deadline(cx, job, &order);
                }
                self.answer_late_waiters(cx, job);
            }
            None if due => self.job_deadline(cx, job),
            None => {}
        }
        self.try_close(cx, job);
    }

    /// Expires a batch job that has not started by its deadline. A job that has
    /// started continues.
    fn job_deadline(&mut self, cx: &mut Context<'_>, job: id::Job) {
        let runs = self
            .live_tasks(job)
            .iter()
            .any(|task| self.live.get(task).is_some_and(|live| live.may_run));
        let started = self.image.job(job).is_some_and(|job| {
            let mut tasks = job.tasks.iter();
            tasks.any(|task| task.output.is_some() || task.checkpoint.is_some())
        });
        if !runs && !started {
            self.end_job(cx, job, crate::job::Phase::Expired, None);
        }
    }

    fn check_retention(&mut self, cx: &mut Context<'_>, job: id::Job) {
        let Some(end) = self.image.job(job).and_then(|job| job.end.as_ref()) else {
            return;
        };
        if end.at + RETENTION <= self.wall {
            self.append(cx, vec![Record::Forgotten { job }]);
        } else {
            let at = self.instant(cx.now, end.at + RETENTION);
            self.timers.insert((at, Timer::Forget(job)));
        }
    }
}
