//! The state of one attempt on the agent.

use {
    crate::attempt::{self, Report, Work},
    filbertbend_state::{id, room::Room, time::Instant, unit::Millis},
    std::collections::VecDeque,
};

/// Maximum number of outstanding lease requests per attempt. An answer that is
/// slower than this many repetitions is too old to be useful within a lease.
const NONCES_LIMIT: usize = 16;

/// The nonces of outstanding claims and renewals, each with the time recorded
/// before it was sent.
#[derive(Debug, Default)]
pub(super) struct Nonces {
    pending: VecDeque<(id::Nonce, Instant)>,
}

impl Nonces {
    pub(super) fn add(&mut self, nonce: id::Nonce, now: Instant) {
        if self.pending.len() == NONCES_LIMIT {
            self.pending.pop_front();
        }
        self.pending.push_back((nonce, now));
    }

    /// Returns when the request with this nonce was sent, if it is outstanding.
    pub(super) fn sent_at(&self, nonce: id::Nonce) -> Option<Instant> {
        self.pending
            .iter()
            .find(|(other, _)| *other == nonce)
            .map(|(_, at)| *at)
    }

    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}

/// How far the stop of a running task has progressed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stopping {
    /// A checkpoint was requested. The stop follows the checkpoint or the
    /// timeout.
    Checkpointing { until: Instant },
    /// A stop was sent. It is repeated until the worker confirms it.
    Sent { next: Instant },
}

/// A task that the worker was told to start, or an order at the endpoint.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) service: id::Service,
    /// The end of the lease, as sent to the worker.
    pub(super) lease_end: Instant,
    /// The latest time at which the worker may still run the task, if it
    /// reports nothing more.
    pub(super) latest_end: Instant,
    /// Whether the worker has confirmed that the task runs.
    pub(super) confirmed: bool,
    /// Whether the task had started but was not in the worker's list.
    pub(super) missing: bool,
    pub(super) nonces: Nonces,
    /// When to send the next renewal.
    pub(super) next_renewal: Instant,
    /// Whether the time for the checkpoint before the end of an unrenewed lease
    /// has passed. A task that the worker has not confirmed by then gets no
    /// checkpoint.
    pub(super) checkpoint_handled: bool,
    pub(super) stopping: Option<Stopping>,
    pub(super) since: Instant,
}

impl Run {
    pub(super) fn new(
        service: id::Service,
        now: Instant,
        lease_end: Instant,
        next_renewal: Instant,
    ) -> Self {
        Self {
            service,
            lease_end,
            latest_end: lease_end,
            confirmed: false,
            missing: false,
            nonces: Nonces::default(),
            next_renewal,
            checkpoint_handled: false,
            stopping: None,
            since: now,
        }
    }
}

/// The phase of an attempt on the agent.
#[derive(Debug)]
pub(super) enum Phase {
    /// An order that is queued for a slot.
    Waiting { work: Work },
    /// Room or a slot is reserved, and a grant is requested from the owner.
    Reserved {
        work: Work,
        nonces: Nonces,
        since: Instant,
        next_claim: Instant,
    },
    /// A task that may run on the worker.
    Running(Run),
    /// An order that may be at the endpoint.
    Sent(Run),
    /// The attempt has ended; the report is repeated until it is acknowledged.
    Ended {
        report: Report,
        next_send: Instant,
        resend_delay: Millis,
    },
}

/// One attempt that has not been acknowledged or refused.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) slice: id::Slice,
    /// The worker's room that the attempt needs; none for an order.
    pub(super) size: Room,
    pub(super) phase: Phase,
    /// The newest complete checkpoint of this attempt and when it completed.
    pub(super) checkpoint: Option<(id::Checkpoint, Instant)>,
}

impl Record {
    /// Returns the phase that an inventory lists for the attempt.
    pub(super) fn inventory_phase(&self) -> attempt::Phase {
        match self.phase {
            Phase::Waiting { .. } | Phase::Reserved { .. } => attempt::Phase::Reserved,
            Phase::Running(_) | Phase::Sent(_) => attempt::Phase::Running,
            Phase::Ended { .. } => attempt::Phase::Ended,
        }
    }

    /// Returns the worker's room that the attempt reserves in its current
    /// phase.
    pub(super) fn held_room(&self) -> Room {
        match self.phase {
            Phase::Reserved { .. } | Phase::Running(_) => self.size,
            Phase::Waiting { .. } | Phase::Sent(_) | Phase::Ended { .. } => Room::NONE,
        }
    }

    /// Returns the report that the attempt was stopped.
    pub(super) fn stop_report(&self) -> Report {
        Report::Stopped {
            checkpoint: self.checkpoint.map(|(number, _)| number),
        }
    }
}
