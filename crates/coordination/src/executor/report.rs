//! Reports to the owners of slices.

use {
    super::{
        record::{Phase, Record},
        tombstone::Cause,
        Action, Executor,
    },
    crate::attempt::{Attempt, Refusal, Report},
    filbertbend_state::{hash, id, room::Room, time::Instant, unit::Millis},
};

/// The longest delay before an unacknowledged end is sent again.
const MAX_RESEND_DELAY_MS: u64 = 8000;

impl Executor {
    /// Sends a report to the owner of the slice, if it has sent a message to
    /// this incarnation.
    pub(super) fn report(
        &self,
        slice: id::Slice,
        attempt: Attempt,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        if let Some(owner) = self.owners.get(slice) {
            actions.push(Action::Report {
                to: owner.entry.clone(),
                slice,
                attempt,
                report,
            });
        }
    }

    /// Ends an attempt and reports the end until it is acknowledged.
    pub(super) fn end(
        &mut self,
        now: Instant,
        attempt: Attempt,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        record.phase = Phase::Ended {
            report,
            next_send: now,
            resend_delay: self.settings.retry_interval,
        };
        self.send_end(now, attempt, actions);
    }

    /// Records and reports the end of an attempt that only a previous
    /// incarnation knew.
    pub(super) fn end_unknown(
        &mut self,
        now: Instant,
        attempt: Attempt,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        if self.tombstones.get(&attempt).is_some() {
            return;
        }
        let record = Record {
            slice: self.slice_of(&attempt),
            size: Room::NONE,
            phase: Phase::Ended {
                report,
                next_send: now,
                resend_delay: self.settings.retry_interval,
            },
            checkpoint: None,
        };
        self.records.insert(attempt, record);
        self.send_end(now, attempt, actions);
    }

    /// Sends the end of an attempt and schedules the next repetition.
    pub(super) fn send_end(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let slice = record.slice;
        let Phase::Ended {
            report,
            next_send,
            resend_delay,
        } = &mut record.phase
        else {
            return;
        };
        let report = report.clone();
        *next_send = now + *resend_delay;
        *resend_delay = Millis((resend_delay.0 * 2).min(MAX_RESEND_DELAY_MS));
        self.report(slice, attempt, report, actions);
    }

    /// Refuses an attempt that has not started. A repeated start is refused
    /// too.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        reason: Refusal,
        actions: &mut Vec<Action>,
    ) {
        self.retire(now, attempt, Cause::Refused(reason));
        self.report(slice, attempt, Report::Refused { reason }, actions);
    }

    /// Replaces the record of an attempt by a tombstone, so that it is never
    /// started here.
    pub(super) fn retire(&mut self, now: Instant, attempt: Attempt, cause: Cause) {
        self.records.remove(&attempt);
        self.tombstones.insert(now, attempt, cause);
    }

    /// Handles the owner's acknowledgement that it has made an end durable.
    pub(super) fn on_ack(&mut self, now: Instant, attempt: Attempt) {
        let ended = self
            .records
            .get(&attempt)
            .is_some_and(|record| matches!(record.phase, Phase::Ended { .. }));
        if ended {
            self.retire(now, attempt, Cause::Ended);
        }
        self.tombstones.acknowledge(attempt);
    }

    /// Reports all attempts of a slice to a new owner again: ends at once,
    /// claims and renewals with the next timers. The owner needs them before
    /// the inventory is complete.
    pub(super) fn resync_slice(
        &mut self,
        now: Instant,
        slice: id::Slice,
        actions: &mut Vec<Action>,
    ) {
        let attempts: Vec<Attempt> = self
            .records
            .iter()
            .filter(|(_, record)| record.slice == slice)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in attempts {
            match self.records.get_mut(&attempt).map(|found| &mut found.phase) {
                Some(Phase::Reserved { next_claim, .. }) => *next_claim = now,
                Some(Phase::Running(run) | Phase::Sent(run)) => run.next_renewal = now,
                Some(Phase::Ended { resend_delay, .. }) => {
                    *resend_delay = self.settings.retry_interval;
                    self.send_end(now, attempt, actions);
                }
                Some(Phase::Waiting { .. }) | None => {}
            }
        }
    }

    /// Answers adoption requests once the inventory is complete: the worker's
    /// list was read, and starts of a previous incarnation can no longer take
    /// effect.
    pub(super) fn answer_adoptions(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.is_starting() || !self.former_starts_expired(now) {
            return;
        }
        for (slice, epoch) in std::mem::take(&mut self.adoptions) {
            let Some(owner) = self.owners.get(slice) else {
                continue;
            };
            actions.push(Action::Inventory {
                to: owner.entry.clone(),
                slice,
                epoch,
                attempts: self
                    .records
                    .iter()
                    .filter(|(_, record)| record.slice == slice)
                    .map(|(attempt, record)| (*attempt, record.inventory_phase()))
                    .collect(),
            });
        }
    }

    /// Returns the slice of a task that was found on the worker.
    pub(super) fn slice_of(&self, attempt: &Attempt) -> id::Slice {
        hash::job_slice(attempt.task.job, self.settings.slices)
    }
}
