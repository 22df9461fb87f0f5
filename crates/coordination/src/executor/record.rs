//! What the executor knows of one attempt.

use {
    crate::attempt::{self, Report, Work},
    filbertbend_state::{id, room::Room, time::Instant, unit::Millis},
    std::collections::VecDeque,
};

/// Requests for a lease that are remembered at once. Answers slower than this
/// many repetitions are too old to be of use within a lease.
const QUESTION_LIMIT: usize = 16;

/// Outstanding claims or renewals, each with the time noted before it was sent.
#[derive(Debug, Default)]
pub(super) struct Questions {
    sent: VecDeque<(id::Nonce, Instant)>,
}

impl Questions {
    pub(super) fn add(&mut self, nonce: id::Nonce, now: Instant) {
        if self.sent.len() == QUESTION_LIMIT {
            self.sent.pop_front();
        }
        self.sent.push_back((nonce, now));
    }

    /// Returns when the question with this nonce was asked.
    pub(super) fn asked_at(&self, nonce: id::Nonce) -> Option<Instant> {
        self.sent
            .iter()
            .find(|(sent, _)| *sent == nonce)
            .map(|(_, at)| *at)
    }

    pub(super) fn clear(&mut self) {
        self.sent.clear();
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
pub(super) struct Live {
    pub(super) service: id::Service,
    /// The absolute end of the lease, as passed to the worker.
    pub(super) lease_end: Instant,
    /// When the task is certainly over if nothing more is heard of it.
    pub(super) over_at: Instant,
    /// Whether the worker has said that it runs.
    pub(super) confirmed: bool,
    /// Whether the worker's list lacked it although it had started.
    pub(super) missing: bool,
    pub(super) questions: Questions,
    /// When the next renewal is due.
    pub(super) next_renewal: Instant,
    /// Whether a checkpoint was asked for because the lease runs out.
    pub(super) saved: bool,
    pub(super) stopping: Option<Stopping>,
    pub(super) since: Instant,
}

impl Live {
    pub(super) fn new(
        service: id::Service,
        now: Instant,
        lease_end: Instant,
        next_renewal: Instant,
    ) -> Self {
        Self {
            service,
            lease_end,
            over_at: lease_end,
            confirmed: false,
            missing: false,
            questions: Questions::default(),
            next_renewal,
            saved: false,
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
        questions: Questions,
        since: Instant,
        next_claim: Instant,
    },
    /// A task that may run on the worker.
    Running(Live),
    /// An order that may be at the endpoint.
    Sent(Live),
    /// It has ended; the report is repeated until it is acknowledged.
    Ended {
        report: Report,
        next_send: Instant,
        pause: Millis,
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
    pub(super) fn listed(&self) -> attempt::Phase {
        match self.phase {
            Phase::Waiting { .. } | Phase::Reserved { .. } => attempt::Phase::Reserved,
            Phase::Running(_) | Phase::Sent(_) => attempt::Phase::Running,
            Phase::Ended { .. } => attempt::Phase::Ended,
        }
    }

    /// Returns the worker's room that the attempt holds at present.
    pub(super) fn held(&self) -> Room {
        match self.phase {
            Phase::Reserved { .. } | Phase::Running(_) => self.size,
            Phase::Waiting { .. } | Phase::Sent(_) | Phase::Ended { .. } => Room::NONE,
        }
    }

    /// Returns the report of a stop.
    pub(super) fn stopped(&self) -> Report {
        Report::Stopped {
            checkpoint: self.checkpoint.map(|(number, _)| number),
        }
    }
}
