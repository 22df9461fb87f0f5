//! Batch tasks on the worker and the worker's events.

use {
    super::{
        endpoint::Request,
        lifecycle,
        record::{Phase, Record, Run, Stopping},
        Action, Executor,
    },
    crate::{
        attempt::{Attempt, End, Refusal, Report},
        worker,
    },
    filbertbend_state::{id, time::Instant},
};

impl Executor {
    /// Requests a checkpoint of a running task, then stops it.
    pub(super) fn evict(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let until = now + self.settings.checkpoint_timeout;
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let Phase::Running(run) = &mut record.phase else {
            return;
        };
        if run.stopping.is_some() {
            return;
        }
        if !run.confirmed {
            self.stop(now, attempt, actions);
            return;
        }
        run.stopping = Some(Stopping::Checkpointing { until });
        actions.push(Action::Worker(worker::Command::Checkpoint { attempt }));
    }

    /// Stops a running task. The stop is repeated until the worker confirms it.
    pub(super) fn stop(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let next = now + self.settings.retry_interval;
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if let Phase::Running(run) = &mut record.phase {
            run.stopping = Some(Stopping::Sent { next });
            run.nonces.clear();
            actions.push(Action::Worker(worker::Command::Stop { attempt }));
        }
    }

    /// Ends an attempt when the agent leaves: an attempt that has not started
    /// is refused, a running task is evicted, and an order at the endpoint runs
    /// to completion.
    pub(super) fn drain(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get(&attempt) else {
            return;
        };
        let slice = record.slice;
        match record.phase {
            Phase::Waiting { .. } | Phase::Reserved { .. } => {
                self.refuse(now, slice, attempt, Refusal::Leaving, actions);
                self.release_slot(now, Request::Order(attempt), actions);
            }
            Phase::Running(_) => self.evict(now, attempt, actions),
            Phase::Sent(_) | Phase::Ended { .. } => {}
        }
    }

    /// Handles an event of the worker.
    pub(super) fn on_worker_event(
        &mut self,
        now: Instant,
        event: worker::Event,
        actions: &mut Vec<Action>,
    ) {
        match event {
            worker::Event::Started(attempt) => self.on_started(now, attempt, actions),
            worker::Event::Refused(attempt) => self.on_refused(now, attempt, actions),
            worker::Event::Checkpointed(attempt, number) => {
                self.on_checkpointed(now, attempt, number, actions);
            }
            worker::Event::Completed(attempt, output) => {
                self.on_ended(now, attempt, End::Completed(output), actions);
            }
            worker::Event::Failed(attempt, reason) => {
                self.on_ended(now, attempt, End::Failed(reason), actions);
            }
            worker::Event::Stopped(attempt) => self.on_stopped(now, attempt, actions),
            worker::Event::Usage(_) => {}
        }
    }

    fn on_started(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        match self.records.get_mut(&attempt).map(|found| &mut found.phase) {
            Some(Phase::Running(run)) => {
                if run.confirmed {
                    return;
                }
                run.since = now;
                run.confirmed = true;
                // Sends the extension again, because the first one may have
                // reached the worker before the start.
                let lease_end = run.lease_end;
                actions.push(Action::Worker(worker::Command::Extend {
                    attempt,
                    lease_end,
                }));
            }
            Some(Phase::Ended { .. }) => {}
            // The start command of a previous incarnation arrived late.
            _ => actions.push(Action::ReadTasks),
        }
    }

    fn on_refused(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get(&attempt) else {
            return;
        };
        let slice = record.slice;
        if matches!(&record.phase, Phase::Running(run) if !run.confirmed) {
            self.refuse(now, slice, attempt, Refusal::Worker, actions);
        }
    }

    fn on_checkpointed(
        &mut self,
        now: Instant,
        attempt: Attempt,
        number: id::Checkpoint,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let slice = record.slice;
        if record.checkpoint.is_none_or(|(known, _)| known < number) {
            record.checkpoint = Some((number, now));
        }
        let newest = record.stop_report();
        let mut stop = false;
        match &mut record.phase {
            Phase::Running(run) => {
                stop = matches!(run.stopping, Some(Stopping::Checkpointing { .. }));
            }
            // A checkpoint that completed after its timeout is still valid.
            Phase::Ended { report, .. } if matches!(report, Report::Stopped { .. }) => {
                *report = newest;
            }
            _ => {}
        }
        self.report(slice, attempt, Report::Checkpointed { number }, actions);
        if stop {
            self.stop(now, attempt, actions);
        }
    }

    fn on_ended(&mut self, now: Instant, attempt: Attempt, end: End, actions: &mut Vec<Action>) {
        match self.records.get(&attempt).map(|record| &record.phase) {
            Some(Phase::Running(_)) => self.end(now, attempt, Report::Ended(end), actions),
            None => self.end_unknown(now, attempt, Report::Ended(end), actions),
            Some(_) => {}
        }
    }

    fn on_stopped(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get(&attempt) else {
            return;
        };
        if matches!(record.phase, Phase::Running(_)) {
            let report = record.stop_report();
            self.end(now, attempt, report, actions);
        }
    }

    /// Compares the worker's list of running tasks with the recorded attempts.
    pub(super) fn reconcile(
        &mut self,
        now: Instant,
        list: Vec<worker::Running>,
        actions: &mut Vec<Action>,
    ) {
        self.reachable = true;
        self.lifecycle.handle(&lifecycle::Event::TasksRead);
        self.mark_missing(&list, actions);
        for running in list {
            self.reconcile_task(now, running, actions);
        }
    }

    /// Stops the renewal of tasks that are not in the worker's list. The list
    /// may have been read while a task was starting, so it is read again first.
    fn mark_missing(&mut self, list: &[worker::Running], actions: &mut Vec<Action>) {
        for (attempt, record) in &mut self.records {
            let Phase::Running(run) = &mut record.phase else {
                continue;
            };
            let listed = list.iter().any(|running| running.attempt == *attempt);
            if run.confirmed && !run.missing && !listed {
                actions.push(Action::ReadTasks);
            }
            run.missing = run.confirmed && !listed;
        }
    }

    fn reconcile_task(
        &mut self,
        now: Instant,
        running: worker::Running,
        actions: &mut Vec<Action>,
    ) {
        let attempt = running.attempt;
        match self.records.get_mut(&attempt).map(|found| &mut found.phase) {
            Some(Phase::Running(run)) => {
                run.confirmed = true;
                run.latest_end = run.latest_end.max(running.lease_end);
                if running.lease_end < run.lease_end {
                    let lease_end = run.lease_end;
                    actions.push(Action::Worker(worker::Command::Extend {
                        attempt,
                        lease_end,
                    }));
                }
            }
            Some(Phase::Reserved { .. }) => self.adopt(now, running, actions),
            None if self.tombstones.get(&attempt).is_none() => self.adopt(now, running, actions),
            // The end of the attempt was already reported, so it must not run.
            _ => actions.push(Action::Worker(worker::Command::Stop { attempt })),
        }
    }

    /// Takes over a task that a previous incarnation started.
    fn adopt(&mut self, now: Instant, running: worker::Running, actions: &mut Vec<Action>) {
        let attempt = running.attempt;
        let started_at = self.started_at.unwrap_or(now);
        let mut run = Run::new(running.service, now, running.lease_end, now);
        run.confirmed = true;
        // An extension sent by the previous incarnation may still reach the
        // worker.
        run.latest_end = running.lease_end.max(started_at + self.settings.lease);
        let slice = self
            .records
            .get(&attempt)
            .map_or_else(|| self.slice_of(&attempt), |record| record.slice);
        let record = Record {
            slice,
            size: running.size,
            phase: Phase::Running(run),
            checkpoint: None,
        };
        self.records.insert(attempt, record);
        if self.is_leaving() {
            self.evict(now, attempt, actions);
        }
    }
}
