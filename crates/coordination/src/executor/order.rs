//! Orders, which run on the endpoint at most once.

use {
    super::{
        endpoint::{Admission, Request},
        record::{Nonces, Phase, Record, Run},
        Action, Delivery, Executor,
    },
    crate::attempt::{Attempt, End, Refusal, Report, Work},
    filbertbend_state::{id, room::Room, time::Instant},
};

impl Executor {
    /// Takes a slot for an order or, if none is free, a place in the queue.
    pub(super) fn reserve_order(
        &mut self,
        now: Instant,
        slice: id::Slice,
        attempt: Attempt,
        work: Work,
        actions: &mut Vec<Action>,
    ) {
        let until = now + self.settings.queue_timeout;
        let admission = self.endpoint.admit(now, Request::Order(attempt), until);
        if admission == Admission::Full {
            self.refuse(now, slice, attempt, Refusal::NoRoom, actions);
            return;
        }
        let record = Record {
            slice,
            size: Room::NONE,
            phase: Phase::Waiting { work },
            checkpoint: None,
        };
        self.records.insert(attempt, record);
        if admission == Admission::Admitted {
            self.order_admitted(now, attempt, actions);
        }
    }

    /// Claims an order that was given a slot.
    pub(super) fn order_admitted(
        &mut self,
        now: Instant,
        attempt: Attempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if let Phase::Waiting { work } = &record.phase {
            record.phase = Phase::Reserved {
                work: work.clone(),
                nonces: Nonces::default(),
                since: now,
                next_claim: now,
            };
            self.claim(now, attempt, actions);
        }
    }

    /// Refuses an order that was not given a slot in time.
    pub(super) fn order_timed_out(
        &mut self,
        now: Instant,
        attempt: Attempt,
        actions: &mut Vec<Action>,
    ) {
        if let Some(slice) = self.records.get(&attempt).map(|record| record.slice) {
            self.refuse(now, slice, attempt, Refusal::NoRoom, actions);
        }
    }

    /// Sends an order that was granted to the endpoint.
    pub(super) fn send_order(
        &mut self,
        attempt: Attempt,
        work: Work,
        run: Run,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        let send_by = run.lease_end;
        record.phase = Phase::Sent(run);
        actions.push(Action::SendOrder {
            attempt,
            work,
            send_by,
        });
    }

    /// Handles the result of an order that was sent to the endpoint.
    pub(super) fn on_delivery(
        &mut self,
        now: Instant,
        attempt: Attempt,
        delivery: Delivery,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get(&attempt) else {
            return;
        };
        if !matches!(record.phase, Phase::Sent(_)) {
            return;
        }
        let slice = record.slice;
        match delivery {
            Delivery::Answered(output) => {
                let report = Report::Ended(End::Completed(output));
                self.end(now, attempt, report, actions);
            }
            Delivery::Lost => self.end(now, attempt, Report::Ended(End::Unknown), actions),
            Delivery::NotSent => self.refuse(now, slice, attempt, Refusal::Worker, actions),
        }
        self.release_slot(now, Request::Order(attempt), actions);
    }
}
