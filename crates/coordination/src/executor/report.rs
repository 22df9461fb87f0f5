//! What the owners of slices are told.

use {
    super::{
        record::{Phase, Record},
        tombstone::Cause,
        Action, Executor,
    },
    crate::attempt::{Attempt, Refusal, Report},
    filbertbend_state::{hash, id, room::Room, time::Instant, unit::Millis},
};

/// The longest pause between two sends of an unacknowledged end.
const LONGEST_PAUSE_MS: u64 = 8000;

impl Executor {
    /// Sends a report to the slice's owner, if one has spoken since the start.
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

    /// Ends an attempt and reports it until it is acknowledged.
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
            pause: self.settings.repeat,
        };
        self.send_end(now, attempt, actions);
    }

    /// Keeps the end of an attempt that only a former process life knew.
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
                pause: self.settings.repeat,
            },
            checkpoint: None,
        };
        self.records.insert(attempt, record);
        self.send_end(now, attempt, actions);
    }

    /// Sends an end and plans its next send.
    pub(super) fn send_end(&mut self, now: Instant, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let slice = record.slice;
        let Phase::Ended {
            report,
            next_send,
            pause,
        } = &mut record.phase
        else {
            return;
        };
        let report = report.clone();
        *next_send = now + *pause;
        *pause = Millis((pause.0 * 2).min(LONGEST_PAUSE_MS));
        self.report(slice, attempt, report, actions);
    }

    /// Refuses an attempt that has not started, for good.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        reason: Refusal,
        actions: &mut Vec<Action>,
    ) {
        self.bury(now, attempt, Cause::Refused(reason));
        self.report(slice, attempt, Report::Refused { reason }, actions);
    }

    /// Forgets an attempt and records that it will not be started here.
    pub(super) fn bury(&mut self, now: Instant, attempt: Attempt, cause: Cause) {
        self.records.remove(&attempt);
        self.tombstones.insert(now, attempt, cause);
    }

    /// Acts on the owner's confirmation that an end is durable.
    pub(super) fn acknowledged(&mut self, now: Instant, attempt: Attempt) {
        let ended = self
            .records
            .get(&attempt)
            .is_some_and(|record| matches!(record.phase, Phase::Ended { .. }));
        if ended {
            self.bury(now, attempt, Cause::Over);
        }
        self.tombstones.acknowledge(attempt);
    }

    /// Sends to a new owner what it must know before the inventory is complete.
    pub(super) fn report_slice(
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
                Some(Phase::Running(live) | Phase::Sent(live)) => live.next_renewal = now,
                Some(Phase::Ended { pause, .. }) => {
                    *pause = self.settings.repeat;
                    self.send_end(now, attempt, actions);
                }
                Some(Phase::Waiting { .. }) | None => {}
            }
        }
    }

    /// Answers the adoptions once the inventory is certainly complete: after
    /// the worker's list was read and no start of a former process life can
    /// still be carried out.
    pub(super) fn answer_adoptions(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.is_starting() || !self.is_settled(now) {
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
                    .map(|(attempt, record)| (*attempt, record.listed()))
                    .collect(),
            });
        }
    }

    /// Returns the slice of a task found on the worker.
    pub(super) fn slice_of(&self, attempt: &Attempt) -> id::Slice {
        hash::slice(attempt.task.job.0.to_bytes(), self.settings.slices)
    }
}
