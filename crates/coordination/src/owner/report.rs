//! Handles the reports and inventories of agents.

use {
    super::{
        lease_end,
        state::{Agent, Live, Timer},
        Action, Context, Counter, Owner, Record, Termination, COMMAND_RESEND_INTERVAL, LEASE,
        RETENTION,
    },
    crate::attempt::{self, Attempt, Command, End, Report},
    filbertbend_state::{
        id,
        time::{Instant, Wall},
        unit::Millis,
    },
};

impl Live {
    /// Returns whether the agent has not restarted since the attempt was placed.
    /// Only then does its report cover everything that it did with the attempt.
    fn same_incarnation(&self, agent: Option<&Agent>) -> bool {
        agent.is_some_and(|agent| agent.incarnation == self.incarnation)
    }

    /// Shortens the lease of an attempt that its restarted agent does not hold.
    /// A start sent to the worker before the restart may still be in transit, but
    /// its lease was granted before `now`.
    fn bound_lease(&mut self, now: Instant) {
        self.lease_end = self.lease_end.min(lease_end(now, LEASE));
    }
}

impl Owner {
    pub(super) fn report(
        &mut self,
        cx: &mut Context<'_>,
        worker: &id::Worker,
        attempt: Attempt,
        report: Report,
    ) {
        let agent = self.agents.get(worker).copied();
        let current = self
            .live
            .get(&attempt.task)
            .is_some_and(|live| live.attempt == attempt && live.worker == *worker);
        if !current {
            self.stale_report(cx, worker, attempt, &report);
            return;
        }
        let Some(live) = self.live.get_mut(&attempt.task) else {
            return;
        };
        if live.placement_pending || live.end_pending {
            return;
        }
        let proof = !live.may_run || live.same_incarnation(agent.as_ref());
        match report {
            Report::Claim { nonce } => self.claim(cx, attempt, nonce),
            Report::Renew { nonce } => self.renew(cx, attempt, nonce),
            Report::Checkpointed { number } => self.checkpointed(cx, attempt, number),
            Report::Started => live.withdraw_resend_at = None,
            Report::Refused { reason } if proof => {
                cx.planner.release(attempt.task);
                cx.planner.record_refusal(worker, reason);
                self.end_attempt(cx, attempt, Termination::Refused(reason), None);
            }
            Report::Withdrawn if proof => {
                cx.planner.release(attempt.task);
                self.end_attempt(cx, attempt, Termination::Withdrawn, None);
            }
            Report::Refused { .. } | Report::Withdrawn => {
                live.withdraw_resend_at = None;
                live.bound_lease(cx.now);
                self.arm_task(cx.now, attempt.task);
            }
            Report::Stopped { checkpoint } => {
                cx.planner.release(attempt.task);
                self.stopped(cx, attempt, checkpoint);
            }
            Report::Ended(end) => {
                cx.planner.release(attempt.task);
                self.ended(cx, attempt, end);
            }
        }
    }

    /// Answers a claim. The first grant requires the entry's own store lease.
    /// Without it the claim is not answered, and the agent repeats it.
    fn claim(&mut self, cx: &mut Context<'_>, attempt: Attempt, nonce: id::Nonce) {
        let ends = self.is_ending(attempt.task.job);
        let Some(live) = self.live.get_mut(&attempt.task) else {
            return;
        };
        let restarted = self
            .agents
            .get(&live.worker)
            .is_some_and(|agent| agent.incarnation != live.incarnation);
        let (worker, may_run) = (live.worker.clone(), live.may_run);
        if ends || restarted {
            cx.count(Counter::Denied);
            self.send(cx, worker, attempt, Command::Deny { nonce });
            if !may_run {
                self.abandon(cx, attempt);
            }
            return;
        }
        if cx.now >= self.authority.first_grants_until {
            return;
        }
        if !may_run {
            cx.count(Counter::Started);
        }
        self.grant(cx, attempt, nonce);
    }

    fn renew(&mut self, cx: &mut Context<'_>, attempt: Attempt, nonce: id::Nonce) {
        let ends = self.is_ending(attempt.task.job);
        let Some(live) = self.live.get_mut(&attempt.task) else {
            return;
        };
        let worker = live.worker.clone();
        if !live.may_run {
            cx.count(Counter::Denied);
            self.send(cx, worker, attempt, Command::Deny { nonce });
            return;
        }
        if ends {
            self.send(cx, worker, attempt, Command::Cancel);
            return;
        }
        if cx.now >= live.lease_end {
            return;
        }
        live.withdraw_resend_at = None;
        self.grant(cx, attempt, nonce);
    }

    fn is_ending(&self, job: id::Job) -> bool {
        self.open
            .get(&job)
            .is_none_or(|open| open.ending.is_some() || open.close_pending)
    }

    /// Grants a lease that does not extend past the ownership horizon.
    fn grant(&mut self, cx: &mut Context<'_>, attempt: Attempt, nonce: id::Nonce) {
        let horizon = self.authority.renewals_until.since(cx.now);
        let lease = LEASE.min(horizon);
        let Some(live) = self.live.get_mut(&attempt.task) else {
            return;
        };
        if lease == Millis::ZERO {
            return;
        }
        live.may_run = true;
        live.lease_end = live.lease_end.max(lease_end(cx.now, lease));
        let worker = live.worker.clone();
        cx.planner.record_claim(cx.now, attempt.task);
        self.send(cx, worker, attempt, Command::Grant { nonce, lease });
        self.arm_task(cx.now, attempt.task);
    }

    /// Records a checkpoint of the current attempt if it is newer than the last.
    fn checkpointed(&mut self, cx: &mut Context<'_>, attempt: Attempt, number: id::Checkpoint) {
        let newest = self
            .image
            .task(attempt.task)
            .and_then(|task| task.checkpoint);
        let Some(live) = self.live.get_mut(&attempt.task) else {
            return;
        };
        if newest.max(live.checkpoint) >= Some(number) {
            return;
        }
        live.checkpoint = Some(number);
        self.append(cx, vec![Record::Checkpointed { attempt, number }]);
    }

    fn stopped(
        &mut self,
        cx: &mut Context<'_>,
        attempt: Attempt,
        checkpoint: Option<id::Checkpoint>,
    ) {
        if self.order_may_run(attempt.task.job) {
            self.order_unknown(cx, attempt, Termination::Unknown);
        } else {
            self.end_attempt(cx, attempt, Termination::Stopped, checkpoint);
        }
    }

    fn ended(&mut self, cx: &mut Context<'_>, attempt: Attempt, end: End) {
        let order = self
            .image
            .job(attempt.task.job)
            .is_some_and(|job| job.spec.order.is_some());
        match end {
            End::Completed(output) => self.complete(cx, attempt, output),
            End::Failed(_) | End::Unknown if order => {
                self.order_unknown(cx, attempt, Termination::Unknown);
            }
            End::Failed(reason) => self.end_attempt(cx, attempt, Termination::Failed(reason), None),
            End::Unknown => {
                let termination = Termination::Failed("its answer was lost".into());
                self.end_attempt(cx, attempt, termination, None);
            }
        }
    }

    /// Answers a report on an attempt that is not current. Reports on unknown
    /// attempts are not answered, because a newer owner may have placed them.
    fn stale_report(
        &mut self,
        cx: &mut Context<'_>,
        worker: &id::Worker,
        attempt: Attempt,
        report: &Report,
    ) {
        if !self.is_known(attempt) {
            return;
        }
        let command = match report {
            Report::Claim { nonce } | Report::Renew { nonce } => {
                cx.count(Counter::Denied);
                Command::Deny { nonce: *nonce }
            }
            Report::Refused { .. }
            | Report::Withdrawn
            | Report::Stopped { .. }
            | Report::Ended(_) => Command::Ack,
            Report::Started => Command::Cancel,
            Report::Checkpointed { .. } => return,
        };
        self.send(cx, worker.clone(), attempt, command);
    }

    /// Returns whether this or a former owner placed `attempt`. A job that is
    /// missing but older than the retention period counts as forgotten.
    fn is_known(&self, attempt: Attempt) -> bool {
        match self.image.task(attempt.task) {
            Some(task) => attempt.number <= task.attempt,
            None => {
                let created = Wall(attempt.task.job.0.timestamp_ms());
                self.image.job(attempt.task.job).is_none() && created + RETENTION < self.wall
            }
        }
    }

    /// Registers an agent and asks it for its attempts of this slice. From then on
    /// the agent rejects the commands of former owners.
    pub(super) fn agent_appeared(
        &mut self,
        cx: &mut Context<'_>,
        worker: id::Worker,
        incarnation: id::Incarnation,
    ) {
        let known = self.agents.get(&worker);
        if known.is_some_and(|agent| agent.incarnation == incarnation && agent.adopted) {
            return;
        }
        let agent = Agent {
            incarnation,
            adopted: false,
        };
        self.agents.insert(worker.clone(), agent);
        self.adopt(cx, worker);
    }

    /// Asks an agent for its attempts, and repeats that until it answers.
    pub(super) fn adopt(&mut self, cx: &mut Context<'_>, worker: id::Worker) {
        if self.agents.get(&worker).is_none_or(|agent| agent.adopted) {
            return;
        }
        let again = cx.now + COMMAND_RESEND_INTERVAL;
        self.timers.insert((again, Timer::Adopt(worker.clone())));
        cx.actions.push(Action::Adopt { worker });
    }

    /// Abandons the attempts on a failed agent that were not granted. Granted
    /// attempts end when their lease expires.
    pub(super) fn agent_down(&mut self, cx: &mut Context<'_>, worker: &id::Worker) {
        self.agents.remove(worker);
        let placed = self.by_worker.get(worker).cloned().unwrap_or_default();
        for task in placed {
            let Some(live) = self.live.get(&task) else {
                continue;
            };
            if !live.may_run && !live.placement_pending {
                let attempt = live.attempt;
                self.abandon(cx, attempt);
            }
        }
    }

    /// Compares the attempts that an agent holds with those placed on it.
    pub(super) fn inventory(
        &mut self,
        cx: &mut Context<'_>,
        worker: &id::Worker,
        attempts: &[(Attempt, attempt::Phase)],
    ) {
        if let Some(agent) = self.agents.get_mut(worker) {
            agent.adopted = true;
        }
        for (attempt, phase) in attempts {
            self.inventory_item(cx, worker, *attempt, *phase);
        }
        let placed = self.by_worker.get(worker).cloned().unwrap_or_default();
        for task in placed {
            let listed = attempts.iter().any(|(attempt, _)| attempt.task == task);
            let Some(live) = self.live.get(&task) else {
                continue;
            };
            if !listed && live.may_run && !live.placement_pending && !live.end_pending {
                self.withdraw(cx, task);
            }
        }
    }

    fn inventory_item(
        &mut self,
        cx: &mut Context<'_>,
        worker: &id::Worker,
        attempt: Attempt,
        phase: attempt::Phase,
    ) {
        let live = self.live.get_mut(&attempt.task);
        let live = live.filter(|live| live.attempt == attempt && live.worker == *worker);
        match (live, phase) {
            (Some(live), _) => {
                live.withdraw_resend_at = None;
                cx.count(Counter::Adopted);
            }
            (None, attempt::Phase::Running | attempt::Phase::Reserved) => {
                if self.is_known(attempt) {
                    self.send(cx, worker.clone(), attempt, Command::Cancel);
                }
            }
            (None, attempt::Phase::Ended) => {
                if self.is_known(attempt) {
                    self.send(cx, worker.clone(), attempt, Command::Ack);
                }
            }
        }
    }

    /// Asks the agent to confirm that an attempt which it did not list never
    /// starts.
    pub(super) fn withdraw(&mut self, cx: &mut Context<'_>, task: id::Task) {
        let Some(live) = self.live.get_mut(&task) else {
            return;
        };
        live.withdraw_resend_at = Some(cx.now + COMMAND_RESEND_INTERVAL);
        let (worker, attempt) = (live.worker.clone(), live.attempt);
        self.send(cx, worker, attempt, Command::Withdraw);
        self.arm_task(cx.now, task);
    }
}
