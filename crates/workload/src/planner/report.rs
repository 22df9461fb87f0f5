//! Processing of agents' reports.

use {
    super::{
        policy, refusal, registry::Execution, worker::Reservation, Action, Decision, Instant,
        Planner, Reason,
    },
    crate::{
        id::{Link, Node, Run, Task},
        interference::Reading,
        message::{Inventory, Outcome, Report, Role, StartStatus},
        record::State,
        worker::{End, Exit, Profile, Running},
    },
    filbertbend_state::{room::Room, unit::Cores, unit::Millis},
    std::{collections::BTreeSet, sync::Arc},
};

/// How long before a worker leaves its tasks are stopped, so that they save a
/// checkpoint: a stop takes up to 200 ms on the platform, and its end must be
/// reported before the worker is gone.
const EVACUATION_TIME: Millis = Millis(1200);

/// How long a start that was ruled out in one incarnation of a worker may still be
/// carried out by the next one. The platform's description says seconds.
const LATE_START_LIMIT: Millis = Millis(15_000);

impl Planner {
    pub(super) fn report(
        &mut self,
        until: Instant,
        link: Link,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(node) = self.fleet.node(link) else {
            return;
        };
        match self.fleet.get_mut(&node) {
            Some(worker) if worker.fence == report.fence => {
                worker.last_report = self.now;
                if let Some(known) = report.lease {
                    worker.set_known_lease(&known, self.now, &self.settings);
                    if let Some(until) = worker.awaited_until() {
                        actions.push(Action::Decided(Decision::LeaseKnown {
                            wait: until.since(self.now),
                            node: node.clone(),
                            known,
                        }));
                    }
                }
            }
            // The report belongs to an earlier session. Its inventory may still
            // change through orders of that session, which the worker accepts
            // until it has seen the newest fence.
            _ => return,
        }
        self.changed |= report.profile.is_some()
            || report.inventory.is_some()
            || !report.outcomes.is_empty()
            || !report.ends.is_empty();
        if let Some(profile) = report.profile {
            self.profile(&node, profile, actions);
        }
        for outcome in report.outcomes {
            self.outcome(&node, &outcome, actions);
        }
        for end in report.ends {
            self.end(&node, end, actions);
        }
        if let Some(inventory) = report.inventory {
            self.inventory(&node, &inventory, actions);
        }
        for (task, run, checkpoint) in report.checkpoints {
            self.record_checkpoint(task, run, checkpoint);
        }
        for weight in &report.weights {
            self.model.merge(self.now, weight);
        }
        if let Some(reading) = report.reading {
            self.observe_reading(&reading);
            if let Some(worker) = self.fleet.get_mut(&node) {
                worker.invalidate_headroom();
            }
        }
        for task in report.starved {
            self.move_starved(&node, task, actions);
        }
        if let (Some(number), Some(worker)) = (report.probe, self.fleet.get_mut(&node)) {
            worker.probe_answered(number);
        }
        if let Some(request) = report.renew {
            self.renew(until, &node, request);
        }
    }

    /// Updates the interference model with the readings of one worker.
    fn observe_reading(&mut self, reading: &Reading) {
        for (task, latency) in &reading.latencies {
            let service = self
                .registry
                .get(task.job)
                .and_then(|entry| Role::of(entry.step(task.step)?).service(*task));
            if let Some(service) = service {
                self.model
                    .observe(self.now, &service, *latency, &reading.usage);
            }
        }
    }

    fn renew(&mut self, until: Instant, node: &Node, request: u64) {
        let lease = self.settings.lease.min(until.since(self.now));
        let bound = self.now + self.settings.lease_bound();
        if let Some(worker) = self.fleet.get_mut(node) {
            if lease > Millis::ZERO {
                worker.lease(request, lease, bound);
            }
        }
    }

    fn profile(&mut self, node: &Node, profile: Profile, actions: &mut Vec<Action>) {
        let Some(worker) = self.fleet.get_mut(node) else {
            return;
        };
        worker.leaves_at = match (profile.draining, profile.remaining_ms) {
            (true, remaining) => Some(self.now + Millis(remaining.unwrap_or(0))),
            (false, _) => None,
        };
        worker.set_profile(profile);
        self.withdraw_excess(node, actions);
        self.withdraw_evacuated(node, actions);
        self.evacuate(node, actions);
    }

    /// Stops the tasks of a draining worker: long-running ones at once, since
    /// they would be cut off anyway, and those with checkpoints shortly before
    /// it leaves.
    pub(super) fn evacuate(&mut self, node: &Node, actions: &mut Vec<Action>) {
        let Some(worker) = self.fleet.get(node) else {
            return;
        };
        let Some(leaves_at) = worker.leaves_at else {
            return;
        };
        let imminent = self.now + EVACUATION_TIME >= leaves_at;
        let runs: Vec<(Task, Run)> = worker.reservations.keys().copied().collect();
        for (task, run) in runs {
            let Some(step) = self
                .registry
                .get(task.job)
                .and_then(|entry| entry.step(task.step))
            else {
                continue;
            };
            let due = step.mode.long_running || (imminent && step.checkpoints);
            let stopping = self
                .registry
                .execution_mut(task, run)
                .is_none_or(|execution| execution.stopping);
            if due && !stopping {
                self.stop(task, run, node, Reason::Draining, actions);
            }
        }
    }

    fn outcome(&mut self, node: &Node, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Outcome { task, run, status } = *outcome;
        if status == StartStatus::Started {
            let acceptance = self.acceptance(node, task);
            if let Some(execution) = self.registry.execution_mut(task, run) {
                if !execution.started {
                    execution.accepted = acceptance;
                }
                execution.started = true;
            }
            self.begin(task.job);
            return;
        }
        let execution = self.registry.execution_mut(task, run);
        let stopping = execution.is_none_or(|execution| execution.stopping);
        let worker = self.fleet.get_mut(node);
        let pause = worker
            .filter(|_| refusal::is_refusal(status, stopping))
            .and_then(|worker| worker.record_refusal(self.now, (task, run), status));
        if !self.fleet.release(node, task, run) {
            return;
        }
        self.remove_execution(task, run, actions);
        if let Some(entry) = self.registry.task_mut(task) {
            if status == StartStatus::Withdrawn && entry.late_start(self.now).is_none() {
                entry.late_start = Some((node.clone(), self.now + LATE_START_LIMIT));
            } else {
                entry.avoid(node);
            }
        }
        if let Some(worker) = self
            .fleet
            .get_mut(node)
            .filter(|_| status == StartStatus::Unreachable)
        {
            worker.unreachable(self.now);
        }
        if status == StartStatus::Unhealthy {
            self.count_worker_failure(node);
        }
        if status == StartStatus::Invalid {
            self.fail(node, task, run, actions);
        }
        actions.push(Action::Decided(Decision::Refused {
            task,
            run,
            node: node.clone(),
            status,
            stopping,
            pause: pause.unwrap_or_default(),
        }));
        self.stop_gang(task, run, actions);
    }

    fn count_worker_failure(&mut self, node: &Node) {
        let now = self.now;
        if let Some(worker) = self.fleet.get_mut(node) {
            worker.health.failures += 1;
            worker.health.last_failure = now;
        }
    }

    /// Processes an end. It may be repeated in a later session, and may belong
    /// to an incarnation that a former leader gave orders to.
    fn end(&mut self, node: &Node, end: End, actions: &mut Vec<Action>) {
        let is_new = self
            .fleet
            .get_mut(node)
            .is_some_and(|worker| worker.record_end(end.sequence));
        if !is_new {
            return;
        }
        let End {
            sequence,
            task,
            run,
            exit,
            checkpoint,
        } = end;
        self.fleet.release(node, task, run);
        if self.apply_end(node, task, run, exit, checkpoint, actions) {
            self.remove_execution(task, run, actions);
        }
        let version = self.registry.get(task.job).map_or(0, |entry| entry.version);
        if let Some(worker) = self.fleet.get_mut(node) {
            worker.defer_acknowledgement(sequence, task.job, version);
        }
    }

    /// Applies an end to its task; returns whether the job was still in
    /// progress.
    fn apply_end(
        &mut self,
        node: &Node,
        task: Task,
        run: Run,
        exit: Exit,
        checkpoint: Option<Arc<str>>,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.begin(task.job);
        let Some(entry) = self.registry.get_mut(task.job) else {
            return false;
        };
        if entry.state.is_final() {
            self.remove_execution(task, run, actions);
            return false;
        }
        let Some(step) = entry.step(task.step) else {
            return false;
        };
        let (long_running, gang) = (step.mode.long_running, step.mode.gang);
        let timing = match exit {
            Exit::Done if !long_running => self.time(node, task, run),
            _ => None,
        };
        self.clear_after_trial(task, run);
        match exit {
            Exit::Done if !long_running => self.done(node, task, run, gang, actions),
            Exit::Failed if !long_running => {
                self.count_worker_failure(node);
                self.fail(node, task, run, actions);
            }
            Exit::Failed => self.count_worker_failure(node),
            _ => {}
        }
        if exit != Exit::Done {
            if let Some(checkpoint) = checkpoint {
                self.keep_checkpoint(task, gang, checkpoint);
            }
        }
        let failures = self
            .registry
            .task_mut(task)
            .map_or(0, |entry| entry.failures);
        actions.push(Action::Decided(Decision::Ended {
            task,
            run,
            node: node.clone(),
            exit,
            failures,
            timing,
        }));
        true
    }

    fn done(&mut self, node: &Node, task: Task, run: Run, gang: bool, actions: &mut Vec<Action>) {
        if let Some(worker) = self.fleet.get_mut(node) {
            worker.health.failures = 0;
        }
        let Some(entry) = self.registry.get_mut(task.job) else {
            return;
        };
        let mut duplicates = Vec::new();
        for member in entry.members(task, gang) {
            if let Some(found) = entry.task_mut(member) {
                found.done = true;
                found.checkpoint = None;
                let others = found
                    .executions
                    .iter()
                    .filter(|execution| execution.run != run);
                duplicates.extend(
                    others.map(|execution| (member, execution.run, execution.node.clone())),
                );
            }
        }
        entry.update_remaining(task);
        entry.version += 1;
        self.persist.mark_dirty(self.now, task.job, false);
        for (member, run, node) in duplicates {
            self.stop(member, run, &node, Reason::Duplicate, actions);
        }
    }

    /// Counts a failure of a task, once for each run, and fails the job if no
    /// attempts are left. The members of a gang share their runs, so one that fails
    /// in a run counts for all.
    fn fail(&mut self, node: &Node, task: Task, run: Run, actions: &mut Vec<Action>) {
        let Some(entry) = self.registry.get_mut(task.job) else {
            return;
        };
        let attempts = policy(&self.catalog, &entry.job).attempts;
        let gang = entry.step(task.step).is_some_and(|step| step.mode.gang);
        let counted = entry.members(task, gang).into_iter().any(|member| {
            let found = entry.task(member);
            found.is_some_and(|found| run <= found.failed_run)
        });
        let Some(found) = entry.task_mut(task).filter(|_| !counted) else {
            return;
        };
        found.failures += 1;
        found.failed_run = run;
        found.avoid(node);
        let failures: u32 = entry
            .members(task, gang)
            .into_iter()
            .filter_map(|member| entry.task_mut(member).map(|found| found.failures))
            .sum();
        entry.version += 1;
        self.persist.mark_dirty(self.now, task.job, false);
        if failures >= attempts.max(1) {
            self.end_job(task.job, State::Failed, actions);
        }
    }

    fn record_checkpoint(&mut self, task: Task, run: Run, checkpoint: Arc<str>) {
        let known = self.registry.execution_mut(task, run).is_some();
        let gang = self
            .registry
            .get(task.job)
            .and_then(|entry| entry.step(task.step))
            .is_some_and(|step| step.mode.gang);
        if !known {
            return;
        }
        if let Some(entry) = self.registry.get_mut(task.job) {
            for member in entry.members(task, gang) {
                if let Some(found) = entry.task_mut(member) {
                    found.checkpoint = Some(checkpoint.clone());
                }
            }
        }
    }

    /// Persists the checkpoint of a run that has ended.
    fn keep_checkpoint(&mut self, task: Task, gang: bool, checkpoint: Arc<str>) {
        let Some(entry) = self.registry.get_mut(task.job) else {
            return;
        };
        for member in entry.members(task, gang) {
            if let Some(found) = entry.task_mut(member).filter(|found| !found.done) {
                found.checkpoint = Some(checkpoint.clone());
            }
        }
        entry.version += 1;
        self.persist.mark_dirty(self.now, task.job, false);
    }

    /// Reconciles the reservations on a worker with its inventory. Orders of
    /// earlier sessions no longer have an effect, so a run that is not listed
    /// does not exist.
    fn inventory(&mut self, node: &Node, inventory: &Inventory, actions: &mut Vec<Action>) {
        let Some(worker) = self.fleet.get_mut(node) else {
            return;
        };
        worker.confirm_inventory(inventory, self.now, &self.settings);
        let withheld = worker.withheld_until.since(self.now);
        let fence = worker.fence;
        let known: BTreeSet<(Task, Run)> = worker.reservations.keys().copied().collect();
        let rows = inventory.running.iter();
        let listed: BTreeSet<(Task, Run)> = rows.map(|row| (row.task, row.run)).collect();
        for (task, run) in known.difference(&listed) {
            self.fleet.release(node, *task, *run);
            self.remove_execution(*task, *run, actions);
            actions.push(Action::Decided(Decision::Lost {
                task: *task,
                run: *run,
                node: node.clone(),
                reason: Reason::Missing,
                silent: Millis::ZERO,
            }));
        }
        // A run in the place of one that is gone is waited for like any other.
        let mut adopted = 0;
        for row in &inventory.running {
            if known.contains(&(row.task, row.run)) {
                self.confirm(node, row, actions);
            } else {
                adopted += usize::from(self.adopt(node, row, actions));
            }
            let role = self
                .registry
                .get(row.task.job)
                .and_then(|entry| entry.step(row.task.step))
                .map(Role::of);
            if let (Some(role), Some(worker)) = (role, self.fleet.get_mut(node)) {
                worker.send_role(row.task, row.run, role);
            }
        }
        if let Some(crash) = &inventory.crash {
            actions.push(Action::Decided(Decision::Crashed {
                node: node.clone(),
                incarnation: crash.incarnation.clone(),
                runs: crash.losses.len(),
            }));
            self.blame(node, crash, actions);
        }
        actions.push(Action::Decided(Decision::Joined {
            node: node.clone(),
            incarnation: inventory.incarnation.clone(),
            fence,
            adopted,
            withheld,
        }));
    }

    /// Confirms a known run, and repeats its stop if one is due: a stop of an
    /// earlier session may not have reached the agent.
    fn confirm(&mut self, node: &Node, row: &Running, actions: &mut Vec<Action>) {
        self.begin(row.task.job);
        let is_final = self
            .registry
            .get(row.task.job)
            .is_none_or(|entry| entry.state.is_final());
        let stopping = match self.registry.execution_mut(row.task, row.run) {
            Some(execution) => {
                execution.started = true;
                execution.stopping
            }
            None => true,
        };
        if is_final || stopping {
            self.stop(row.task, row.run, node, Reason::NotWanted, actions);
        }
    }

    /// Adopts a run that a former leader started, or stops it if it is not
    /// wanted. Either way its resources stay reserved until it ends. Returns
    /// whether the run was adopted.
    fn adopt(&mut self, node: &Node, row: &Running, actions: &mut Vec<Action>) -> bool {
        let reservation = self.reservation(row.task).unwrap_or_else(|| {
            let whole = self
                .fleet
                .get(node)
                .and_then(|worker| worker.profile.as_ref());
            Reservation {
                room: whole.map_or(Room::NONE, |profile| profile.room),
                best_effort_cores: Cores::ZERO,
                service: None,
                image: Arc::default(),
                priority: u8::MAX,
                is_unknown: true,
                suspect_until: None,
            }
        });
        self.fleet.adopt(node, row.task, row.run, reservation);
        let wanted = self.registry.get(row.task.job).is_some_and(|entry| {
            !entry.state.is_final()
                && entry
                    .task(row.task)
                    .is_some_and(|task| !task.done && task.executions.is_empty())
        });
        if !wanted {
            self.stop(row.task, row.run, node, Reason::NotWanted, actions);
            return false;
        }
        let now = self.now;
        if let Some(task) = self.registry.task_mut(row.task) {
            task.run = task.run.max(row.run);
            if row.checkpoint.is_some() {
                task.checkpoint.clone_from(&row.checkpoint);
            }
            task.executions.push(Execution {
                node: node.clone(),
                run: row.run,
                since: now,
                accepted: None,
                resumed: task.checkpoint.is_some(),
                started: true,
                stopping: false,
            });
        }
        self.begin(row.task.job);
        self.refresh(row.task.job, actions);
        true
    }

    /// Returns the reservation of a task, if its job is known.
    pub(super) fn reservation(&self, task: Task) -> Option<Reservation> {
        let entry = self.registry.get(task.job)?;
        let step = entry.step(task.step)?;
        let best_effort_cores = if step.mode.best_effort {
            step.room.cores
        } else {
            Cores::ZERO
        };
        Some(Reservation {
            room: step.reserved(),
            best_effort_cores,
            service: Role::of(step).service(task),
            image: step.image.clone().unwrap_or_default(),
            priority: policy(&self.catalog, &entry.job).priority,
            is_unknown: false,
            suspect_until: entry.task(task)?.suspect_until(self.now),
        })
    }

    /// Moves a best-effort task that its agent has fully throttled, if another
    /// worker can take it.
    fn move_starved(&mut self, node: &Node, task: Task, actions: &mut Vec<Action>) {
        let Some(entry) = self.registry.task_mut(task) else {
            return;
        };
        let Some(execution) = entry
            .executions
            .iter()
            .find(|execution| execution.node == *node)
        else {
            return;
        };
        let (run, stopping) = (execution.run, execution.stopping);
        if stopping {
            return;
        }
        entry.avoid(node);
        self.fleet.update_headroom(&self.model);
        if self.select_worker(task).is_some_and(|found| found != *node) {
            self.stop(task, run, node, Reason::Interference, actions);
        }
    }
}
