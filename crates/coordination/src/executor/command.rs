//! The commands of a task's owner.

use {
    super::{
        endpoint::Holder,
        record::{Live, Phase, Questions, Record},
        tombstone::Cause,
        Action, Executor,
    },
    crate::{
        attempt::{Attempt, Command, Refusal, Report, Work},
        worker,
    },
    filbertbend_state::{id, room::Room, time::Instant, unit::Millis},
};

/// How firmly a task is asked to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Firmness {
    /// Only if it has not started.
    Withdraw,
    /// With a checkpoint.
    Evict,
    /// At once.
    Cancel,
}

impl Executor {
    /// Acts on a command of the current owner.
    pub(super) fn command(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        command: Command,
        actions: &mut Vec<Action>,
    ) {
        match command {
            Command::Start { size, work } => self.start(now, slice, attempt, size, work, actions),
            Command::Grant { nonce, lease } => self.granted(now, attempt, nonce, lease, actions),
            Command::Deny { nonce } => self.denied(now, attempt, nonce, actions),
            Command::Evict => self.take_back(now, slice, attempt, Firmness::Evict, actions),
            Command::Cancel => self.take_back(now, slice, attempt, Firmness::Cancel, actions),
            Command::Withdraw => self.take_back(now, slice, attempt, Firmness::Withdraw, actions),
            Command::Ack => self.acknowledged(now, attempt),
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
            if let Some(report) = cause.to_start() {
                self.report(slice, attempt, report, actions);
            }
            return;
        }
        if !self.tombstones.has_room() || self.is_running_task(attempt.task) {
            // Unanswered, so that the owner asks again.
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
                        questions: Questions::default(),
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

    /// Tells whether another attempt at the task may still run here.
    fn is_running_task(&self, task: id::Task) -> bool {
        let first = Attempt {
            task,
            number: id::Attempt(0),
        };
        self.records
            .range(first..)
            .take_while(|(attempt, _)| attempt.task == task)
            .any(|(_, record)| !matches!(record.phase, Phase::Ended { .. }))
    }

    /// Returns why new work cannot be taken, if it cannot.
    fn refusal(&self, size: &Room, work: &Work) -> Option<Refusal> {
        let ended = self
            .records
            .values()
            .filter(|record| matches!(record.phase, Phase::Ended { .. }))
            .count();
        if self.is_leaving() {
            return Some(Refusal::Leaving);
        }
        if ended >= self.settings.unacknowledged {
            return Some(Refusal::NoRoom);
        }
        match work {
            Work::Order { .. } => None,
            Work::Batch { .. } if !self.reachable => Some(Refusal::Worker),
            Work::Batch { .. } if !self.free().fits(size) => Some(Refusal::NoRoom),
            Work::Batch { .. } => None,
        }
    }

    /// Asks the owner for the first grant, noting the time before it is sent.
    pub(super) fn claim(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let nonce = self.nonce();
        let repeat = self.settings.repeat;
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let slice = record.slice;
        let Phase::Reserved {
            questions,
            next_claim,
            ..
        } = &mut record.phase
        else {
            return;
        };
        questions.add(nonce, now);
        *next_claim = now + repeat;
        self.report(slice, attempt, Report::Claim { nonce }, actions);
    }

    fn granted(
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
            Phase::Reserved { questions, .. } => {
                let Some(asked) = questions.asked_at(nonce) else {
                    return;
                };
                // A grant that took longer than its lease is asked for again.
                if now < asked + lease {
                    self.launch(now, attempt, asked, lease, actions);
                }
            }
            // The worker has stopped the task by now, whatever it is granted.
            Phase::Running(live) if now >= live.lease_end => {}
            Phase::Running(live) | Phase::Sent(live) => {
                let Some(asked) = live.questions.asked_at(nonce) else {
                    return;
                };
                let lease_end = asked + lease;
                if lease_end <= live.lease_end {
                    return;
                }
                live.lease_end = lease_end;
                live.over_at = live.over_at.max(lease_end);
                live.next_renewal = asked + Millis(lease.0 / 3);
                live.saved = false;
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

    /// Starts a granted attempt.
    fn launch(
        &mut self,
        now: Instant,
        attempt: Attempt,
        asked: Instant,
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
        let lease_end = asked + lease;
        let next_renewal = asked + Millis(lease.0 / 3);
        let live = Live::new(work.service().clone(), now, lease_end, next_renewal);
        if matches!(work, Work::Order { .. }) {
            self.send_order(attempt, work, live, actions);
        } else if self.reachable {
            record.phase = Phase::Running(live);
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

    fn denied(
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
            Phase::Reserved { questions, .. } if questions.asked_at(nonce).is_some() => {
                self.bury(now, attempt, Cause::Withdrawn);
                self.tombstones.acknowledge(attempt);
                self.release(now, Holder::Order(attempt), actions);
            }
            Phase::Running(live) if live.questions.asked_at(nonce).is_some() => {
                self.stop(now, attempt, actions);
            }
            _ => {}
        }
    }

    /// Acts on `Withdraw`, `Evict` or `Cancel`.
    fn take_back(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        firmness: Firmness,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get(&attempt) else {
            self.take_back_unknown(now, slice, attempt, actions);
            return;
        };
        match (&record.phase, firmness) {
            (Phase::Waiting { .. } | Phase::Reserved { .. }, _) => {
                self.bury(now, attempt, Cause::Withdrawn);
                self.report(slice, attempt, Report::Withdrawn, actions);
                self.release(now, Holder::Order(attempt), actions);
            }
            (Phase::Running(_), Firmness::Evict) => self.evict(now, attempt, actions),
            (Phase::Running(_), Firmness::Cancel) => self.stop(now, attempt, actions),
            (Phase::Running(_), Firmness::Withdraw) | (Phase::Sent(_), _) => {
                self.report(slice, attempt, Report::Started, actions);
            }
            (Phase::Ended { .. }, _) => self.send_end(now, attempt, actions),
        }
    }

    /// Proves that an unknown attempt will not start, once that is certain.
    fn take_back_unknown(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        actions: &mut Vec<Action>,
    ) {
        if let Some(cause) = self.tombstones.get(&attempt) {
            self.report(slice, attempt, cause.to_withdraw(), actions);
        } else if self.is_settled(now) && self.tombstones.has_room() {
            self.tombstones.insert(now, attempt, Cause::Withdrawn);
            self.report(slice, attempt, Report::Withdrawn, actions);
        }
    }
}
