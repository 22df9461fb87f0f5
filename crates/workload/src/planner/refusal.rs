//! Workers that refuse starts. What a leader knows about such a worker is wrong, so
//! that a start which it repeats at once is mostly refused again, and a gang's other
//! members are stopped each time.

use {
    super::worker::Worker,
    crate::{
        id::{Run, Task},
        message::StartStatus,
    },
    filbertbend_state::{room::Room, time::Instant, unit::Millis},
};

/// The pause after a refusal, which is doubled with each further one.
const FIRST_PAUSE: Millis = Millis(100);
/// The longest pause. A job that has nothing running is to be placed more than once
/// within the platform's 3 s.
const LONGEST_PAUSE: Millis = Millis(1000);
/// How long after a pause without another refusal the next one counts as the first.
const RESET_DELAY: Millis = Millis(2000);

/// A refusal, after which the worker gets no such starts for a while.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    /// The least that the worker does not start.
    need: Room,
    pause: Millis,
    until: Instant,
}

impl Refusal {
    fn new(now: Instant, need: Room, pause: Millis) -> Self {
        Self {
            need,
            pause,
            until: now + pause,
        }
    }

    /// Returns the refusal that follows this one.
    fn next(self, now: Instant, need: Room) -> Self {
        if now < self.until {
            // The starts were sent before the first of them was refused.
            return Self {
                need: self.need.least(need),
                ..self
            };
        }
        let pause = if now < self.until + RESET_DELAY {
            LONGEST_PAUSE.min(Millis(self.pause.0 * 2))
        } else {
            FIRST_PAUSE
        };
        Self::new(now, need, pause)
    }
}

impl Worker {
    /// Records that a start was refused. Returns for how long the worker gets no
    /// such starts.
    pub(super) fn record_refusal(
        &mut self,
        now: Instant,
        key: (Task, Run),
        status: StartStatus,
    ) -> Option<Millis> {
        let reservation = self.reservations.get(&key)?;
        // Only a lack of room tells less demanding starts apart.
        let need = match status {
            StartStatus::NoRoom => reservation.room,
            _ => Room::NONE,
        };
        let refusal = match self.refusal {
            Some(former) => former.next(now, need),
            None => Refusal::new(now, need, FIRST_PAUSE),
        };
        self.refusal = Some(refusal);
        Some(refusal.until.since(now))
    }

    /// Returns whether the worker has refused a start that required no more than
    /// `need`, and is not asked again yet.
    pub(super) fn refuses(&self, now: Instant, need: &Room) -> bool {
        self.refusal
            .is_some_and(|refusal| now < refusal.until && need.fits(&refusal.need))
    }
}

/// Returns whether an outcome says something about the worker. Others concern the
/// task, follow from a stop or a call without an answer, or have a pause of their
/// own.
pub(super) fn is_refusal(status: StartStatus, stopping: bool) -> bool {
    match status {
        StartStatus::NoRoom | StartStatus::Unhealthy | StartStatus::Unready => true,
        StartStatus::Superseded => !stopping,
        StartStatus::Started
        | StartStatus::Unreachable
        | StartStatus::Withdrawn
        | StartStatus::Invalid => false,
    }
}
