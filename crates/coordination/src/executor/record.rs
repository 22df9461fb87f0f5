//! What the executor knows of one attempt.

use {
    crate::attempt::{self, Report, Work},
    filbertbend_state::{id, room::Room, time::Instant, unit::Millis},
    std::collections::VecDeque,
};

/// Requests for a lease that are remembered at once. Answers slower than this
/// many repetitions are too old to be of use within a lease.
const NONCES_LIMIT: usize = 16;

/// Outstanding claims or renewals, each with the time noted before it was sent.
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

    /// Returns when the question with this nonce was asked.
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

/// Why a running task is being stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stopping {
    /// A checkpoint was asked for; the stop follows it or the time limit.
    Checkpointing { until: Instant },
    /// A stop was sent and is repeated until the worker confirms it.
    Sent { next: Instant },
}

/// A task that the worker was told to start, or an order at the endpoint.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) service: id::Service,
    /// The absolute end of the lease, as passed to the worker.
    pub(super) lease_end: Instant,
    /// When the task is certainly over if nothing more is heard of it.
    pub(super) latest_end: Instant,
    /// Whether the worker has said that it runs.
    pub(super) confirmed: bool,
    /// Whether the worker's list lacked it although it had started.
    pub(super) missing: bool,
    pub(super) nonces: Nonces,
    /// When the next renewal is due.
    pub(super) next_renewal: Instant,
    /// Whether a checkpoint was asked for because the lease runs out.
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

/// Where an attempt stands.
#[derive(Debug)]
pub(super) enum Phase {
    /// An order that waits for a slot.
    Waiting { work: Work },
    /// Room is taken and the owner is asked for a grant.
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
    /// It has ended; the report is repeated until it is acknowledged.
    Ended {
        report: Report,
        next_send: Instant,
        resend_delay: Millis,
    },
}

/// One attempt.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) slice: id::Slice,
    /// The worker's room that it takes; none for an order.
    pub(super) size: Room,
    pub(super) phase: Phase,
    /// The newest complete checkpoint of this attempt.
    pub(super) checkpoint: Option<(id::Checkpoint, Instant)>,
}

impl Record {
    /// Returns how the attempt is listed in an inventory.
    pub(super) fn inventory_phase(&self) -> attempt::Phase {
        match self.phase {
            Phase::Waiting { .. } | Phase::Reserved { .. } => attempt::Phase::Reserved,
            Phase::Running(_) | Phase::Sent(_) => attempt::Phase::Running,
            Phase::Ended { .. } => attempt::Phase::Ended,
        }
    }

    /// Returns the worker's room that the attempt holds at present.
    pub(super) fn held_room(&self) -> Room {
        match self.phase {
            Phase::Reserved { .. } | Phase::Running(_) => self.size,
            Phase::Waiting { .. } | Phase::Sent(_) | Phase::Ended { .. } => Room::NONE,
        }
    }

    /// Returns the report of a stop.
    pub(super) fn stop_report(&self) -> Report {
        Report::Stopped {
            checkpoint: self.checkpoint.map(|(number, _)| number),
        }
    }
}
