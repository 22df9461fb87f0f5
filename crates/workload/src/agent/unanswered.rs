//! Calls with a deadline that have no answer. They may be carried out late, by
//! whichever incarnation of the worker is running then.

use {
    super::{Answer, Call},
    crate::id::{Fence, Run, Task},
    filbertbend_state::{time::Instant, unit::Millis},
};

/// How long a call without an answer may still be carried out. The platform's
/// description says seconds.
const LATE_LIMIT: Millis = Millis(15_000);

/// What tells the calls of a session apart: at most one extension is in progress,
/// and at most one start of a run.
type Key = (Fence, Option<(Task, Run)>);

#[derive(Debug)]
struct Unanswered {
    key: Key,
    sent: Instant,
    /// Whether there will be no answer any more.
    is_lost: bool,
}

/// The calls with a deadline that are in progress or were lost, in all sessions.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    calls: Vec<Unanswered>,
}

fn key(call: &Call) -> Option<Key> {
    match call {
        Call::Extend { fence, .. } => Some((*fence, None)),
        Call::Start { fence, start, .. } => Some((*fence, Some((start.task, start.run)))),
        Call::Poll { .. } | Call::Identify { .. } | Call::Stop { .. } | Call::Throttle { .. } => {
            None
        }
    }
}

impl Ledger {
    pub(super) fn sent(&mut self, now: Instant, call: &Call) {
        self.calls.retain(|known| now < known.sent + LATE_LIMIT);
        if let Some(key) = key(call) {
            self.calls.push(Unanswered {
                key,
                sent: now,
                is_lost: false,
            });
        }
    }

    pub(super) fn answered(&mut self, call: &Call, answer: &Answer) {
        let found = self
            .calls
            .iter()
            .position(|known| !known.is_lost && Some(known.key) == key(call));
        match found {
            Some(position) if *answer == Answer::Lost => self.calls[position].is_lost = true,
            Some(position) => {
                self.calls.swap_remove(position);
            }
            None => {}
        }
    }

    /// Returns whether a call may yet be carried out late.
    pub(super) fn may_be_late(&self, now: Instant) -> bool {
        self.calls.iter().any(|known| now < known.sent + LATE_LIMIT)
    }
}
