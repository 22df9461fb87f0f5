//! Handles the commands of the owner of a task.

use {
    super::{
        endpoint::Request,
        record::{Nonces, Phase, Record, Run},
        tombstone::Cause,
        Action, Executor,
    },
    crate::{
        attempt::{Attempt, Command, Refusal, Report, Work},
        worker,
    },
    filbertbend_state::{id, room::Room, time::Instant, unit::Millis},
};

/// How an attempt is to be revoked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// Only if the attempt has not started.
    Withdraw,
    /// After a checkpoint.
    Evict,
    /// Immediately, without a checkpoint.
    Cancel,
}

impl Executor {
    /// Handles a command from the current owner.
    pub(super) fn on_command(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        command: Command,
        actions: &mut Vec<Action>,
    ) {
        match command {
            Command::Start { size, work } => self.start(now, slice, attempt, size, work, actions),
            Command::Grant { nonce, lease } => self.on_grant(now, attempt, nonce, lease, actions),
            Command::Deny { nonce } => self.on_deny(now, attempt, nonce, actions),
            Command::Evict => self.revoke(now, slice, attempt, Mode::Evict, actions),
            Command::Cancel => self.revoke(now, slice, attempt, Mode::Cancel, actions),
            Command::Withdraw => self.revoke(now, slice, attempt, Mode::Withdraw, actions),
            Command::Ack => self.on_ack(now, attempt),
        }
    }

    fn start(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        size: Room,
        work: Work,
        actions: &mut Vec<Action>,
    ) {
        if self.records.contains_key(&attempt) {
            self.send_end(now, attempt, actions);
            return;
        }
        if let Some(cause) = self.tombstones.get(&attempt) {
            if let Some(report) = cause.start_reply() {
                self.report(slice, attempt, report, actions);
            }
            return;
        }
        if !self.tombstones.has_room() || self.has_active_attempt(attempt.task) {
            // Sends no answer, so that the owner repeats the start.
            return;
        }
        match self.refusal(&size, &work) {
            Some(reason) => self.refuse(now, slice, attempt, reason, actions),
            None if matches!(work, Work::Order { .. }) => {
                self.reserve_order(now, slice, attempt, work, actions);
            }
            None => {
                let record = Record {
                    slice,
                    size,
                    phase: Phase::Reserved {
                        work,
                        nonces: Nonces::default(),
                        since: now,
                        next_claim: now,
                    },
                    checkpoint: None,
                };
                self.records.insert(attempt, record);
                self.claim(now, attempt, actions);
            }
        }
    }

    /// Returns whether another attempt of the task may still run on this
    /// worker.
    fn has_active_attempt(&self, task: id::Task) -> bool {
        let first = Attempt {
            task,
            number: id::Attempt(0),
        };
        self.records
            .range(first..)
            .take_while(|(attempt, _)| attempt.task == task)
            .any(|(_, record)| !matches!(record.phase, Phase::Ended { .. }))
    }

    /// Returns why new work must be refused, or `None` if it can be accepted.
    fn refusal(&self, size: &Room, work: &Work) -> Option<Refusal> {
        let ended = self
            .records
            .values()
            .filter(|record| matches!(record.phase, Phase::Ended { .. }))
            .count();
        if self.is_leaving() {
            return Some(Refusal::Leaving);
        }
        if ended >= self.settings.max_unacknowledged {
            return Some(Refusal::NoRoom);
        }
        match work {
            Work::Order { .. } => None,
            Work::Batch { .. } if !self.reachable => Some(Refusal::Worker),
            Work::Batch { .. } if !self.free().fits(size) => Some(Refusal::NoRoom),
            Work::Batch { .. } => None,
        }
    }

    /// Requests the first grant. The lease counts from the time recorded here,
    /// before the request is sent.
    pub(super) fn claim(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let nonce = self.nonce();
        let retry_interval = self.settings.retry_interval;
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let slice = record.slice;
        let Phase::Reserved {
            nonces, next_claim, ..
        } = &mut record.phase
        else {
            return;
        };
        nonces.add(nonce, now);
        *next_claim = now + retry_interval;
        self.report(slice, attempt, Report::Claim { nonce }, actions);
    }

    fn on_grant(
        &mut self,
        now: Instant,
        attempt: Attempt,
        nonce: id::Nonce,
        lease: Millis,
        actions: &mut Vec<Action>,
    ) {
        let lease = lease.min(self.settings.lease);
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        match &mut record.phase {
            Phase::Reserved { nonces, .. } => {
                let Some(sent_at) = nonces.sent_at(nonce) else {
                    return;
                };
                // A grant that arrives after its lease has expired is requested
                // again.
                if now < sent_at + lease {
                    self.launch(now, attempt, sent_at, lease, actions);
                }
            }
            // The worker has already stopped the task, so the lease can no
            // longer be extended.
            Phase::Running(run) if now >= run.lease_end => {}
            Phase::Running(run) | Phase::Sent(run) => {
                let Some(sent_at) = run.nonces.sent_at(nonce) else {
                    return;
                };
                let lease_end = sent_at + lease;
                if lease_end <= run.lease_end {
                    return;
                }
                run.lease_end = lease_end;
                run.latest_end = run.latest_end.max(lease_end);
                run.next_renewal = sent_at + Millis(lease.0 / 3);
                run.checkpoint_handled = false;
                if matches!(record.phase, Phase::Running(_)) {
                    actions.push(Action::Worker(worker::Command::Extend {
                        attempt,
                        lease_end,
                    }));
                }
            }
            Phase::Waiting { .. } | Phase::Ended { .. } => {}
        }
    }

    /// Starts an attempt that was granted.
    fn launch(
        &mut self,
        now: Instant,
        attempt: Attempt,
        sent_at: Instant,
        lease: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let (slice, size) = (record.slice, record.size);
        let Phase::Reserved { work, .. } = &record.phase else {
            return;
        };
        let work = work.clone();
        let lease_end = sent_at + lease;
        let next_renewal = sent_at + Millis(lease.0 / 3);
        let run = Run::new(work.service().clone(), now, lease_end, next_renewal);
        if matches!(work, Work::Order { .. }) {
            self.send_order(attempt, work, run, actions);
        } else if self.reachable {
            record.phase = Phase::Running(run);
            let start_end = lease_end.min(now + self.settings.start_window);
            actions.push(Action::Worker(worker::Command::Start {
                attempt,
                work,
                size,
                lease_end: start_end,
            }));
            actions.push(Action::Worker(worker::Command::Extend {
                attempt,
                lease_end,
            }));
        } else {
            self.refuse(now, slice, attempt, Refusal::Worker, actions);
        }
    }

    fn on_deny(
        &mut self,
        now: Instant,
        attempt: Attempt,
        nonce: id::Nonce,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        match &mut record.phase {
            Phase::Reserved { nonces, .. } if nonces.sent_at(nonce).is_some() => {
                self.retire(now, attempt, Cause::Withdrawn);
                self.tombstones.acknowledge(attempt);
                self.release_slot(now, Request::Order(attempt), actions);
            }
            Phase::Running(run) if run.nonces.sent_at(nonce).is_some() => {
                self.stop(now, attempt, actions);
            }
            _ => {}
        }
    }

    /// Handles `Withdraw`, `Evict` or `Cancel`.
    fn revoke(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        mode: Mode,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get(&attempt) else {
            self.revoke_unknown(now, slice, attempt, actions);
            return;
        };
        match (&record.phase, mode) {
            (Phase::Waiting { .. } | Phase::Reserved { .. }, _) => {
                self.retire(now, attempt, Cause::Withdrawn);
                self.report(slice, attempt, Report::Withdrawn, actions);
                self.release_slot(now, Request::Order(attempt), actions);
            }
            (Phase::Running(_), Mode::Evict) => self.evict(now, attempt, actions),
            (Phase::Running(_), Mode::Cancel) => self.stop(now, attempt, actions),
            (Phase::Running(_), Mode::Withdraw) | (Phase::Sent(_), _) => {
                self.report(slice, attempt, Report::Started, actions);
            }
            (Phase::Ended { .. }, _) => self.send_end(now, attempt, actions),
        }
    }

    /// Confirms that an unknown attempt will never start, unless a start sent
    /// before a restart may still take effect.
    fn revoke_unknown(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        actions: &mut Vec<Action>,
    ) {
        if let Some(cause) = self.tombstones.get(&attempt) {
            self.report(slice, attempt, cause.withdraw_reply(), actions);
        } else if self.former_starts_expired(now) && self.tombstones.has_room() {
            self.tombstones.insert(now, attempt, Cause::Withdrawn);
            self.report(slice, attempt, Report::Withdrawn, actions);
        }
    }
}
