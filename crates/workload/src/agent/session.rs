//! The session of an agent with the leader.

use {
    crate::id::{Fence, Sequence},
    filbertbend_state::time::Instant,
};

#[derive(Debug)]
pub(super) struct Session {
    pub(super) fence: Fence,
    pub(super) inventoried: bool,
    /// The last end that was reported to the leader.
    pub(super) reported: Sequence,
    pub(super) acknowledged: Sequence,
    /// The first end in the last snapshot.
    pub(super) first_listed: Option<Sequence>,
    pub(super) polling: bool,
    pub(super) poll_at: Instant,
    /// The number of starts that have not been answered.
    starting: usize,
    /// When a start was last sent or answered, until a later snapshot shows that
    /// the worker has not restarted before.
    last_start: Option<Instant>,
}

impl Session {
    pub(super) fn new(fence: Fence, poll_at: Instant) -> Self {
        Self {
            fence,
            inventoried: false,
            reported: Sequence(0),
            acknowledged: Sequence(0),
            first_listed: None,
            polling: false,
            poll_at,
            starting: 0,
            last_start: None,
        }
    }

    pub(super) fn start_sent(&mut self, now: Instant) {
        self.starting += 1;
        self.last_start = Some(now);
    }

    pub(super) fn start_answered(&mut self, now: Instant) {
        self.starting = self.starting.saturating_sub(1);
        self.last_start = Some(now);
    }

    /// Records that the starts so far have reached the incarnation whose snapshot
    /// was requested at `sent`, unless one has not been answered.
    pub(super) fn confirm_starts(&mut self, sent: Instant) {
        if self.starting == 0 && self.last_start.is_some_and(|last| sent > last) {
            self.last_start = None;
        }
    }

    /// Returns when a start was last sent or answered, if one is in progress.
    pub(super) fn start_in_progress(&self) -> Option<Instant> {
        self.last_start.filter(|_| self.starting > 0)
    }

    /// Returns when the last start was sent or answered, unless a later snapshot
    /// has shown that the worker has not restarted before.
    pub(super) fn unconfirmed_start(&self) -> Option<Instant> {
        self.last_start
    }

    /// Returns the last end that the worker may discard. If it has restarted
    /// since its last snapshot, this number belongs to its former incarnation. It
    /// is therefore withheld while a start may have begun to give ends the same
    /// numbers again, and once the worker no longer lists the ends, since a poll
    /// may be carried out later than it is sent.
    pub(super) fn acknowledgement(&self) -> Sequence {
        let listed = self
            .first_listed
            .is_some_and(|first| first <= self.acknowledged);
        if listed && self.last_start.is_none() {
            self.acknowledged
        } else {
            Sequence(0)
        }
    }
}
