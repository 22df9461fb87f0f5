//! Claims and deletes the owner keys of slices and handles their answers.

use {
    super::{
        call::Purpose,
        roster::Registration,
        slice::{self, Key, Role},
        Action, Registry, CHECK_INTERVAL, HANDOVER_TIMEOUT, RECHECK_SPAN,
    },
    crate::store::{Answer, Call, Expect, Version},
    filbertbend_state::{id, time::Instant, unit::Millis},
};

impl Registry {
    /// Handles the answer to a read of an owner key.
    pub(super) fn checked(
        &mut self,
        now: Instant,
        sent: Instant,
        slice: id::Slice,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(session) = self.session else { return };
        let own = self.registration(&session, Vec::new());
        match answer {
            Answer::Value(None) => self.claim(now, slice, actions),
            Answer::Value(Some(pair)) if pair.value == own => {
                self.key_held(now, sent, slice, pair.version, actions);
            }
            Answer::Value(Some(pair)) => {
                if Registration::decode(&pair.value).is_none() {
                    actions.push(Action::Malformed { key: pair.key });
                }
                self.yield_to_holder(now, slice, actions);
            }
            _ => self.check_later(now, slice, Millis::ZERO),
        }
    }

    fn claim(&mut self, now: Instant, slice: id::Slice, actions: &mut Vec<Action>) {
        self.check_later(now, slice, CHECK_INTERVAL);
        let awaited = self.handover.is_some_and(|h| h.slice == slice);
        let Some(session) = self.session else { return };
        if awaited || !self.wants(now, slice) {
            return;
        }
        let call = Call::Put {
            key: slice::owner_key(slice),
            value: self.registration(&session, Vec::new()),
            expect: Expect::Absent,
            lease: Some(session.lease),
        };
        self.calls.send(now, Purpose::Claim(slice), call, actions);
        if let Some(state) = self.state_mut(slice) {
            state.key = Key::Busy;
        }
    }

    pub(super) fn claimed(
        &mut self,
        now: Instant,
        sent: Instant,
        slice: id::Slice,
        answer: &Answer,
        actions: &mut Vec<Action>,
    ) {
        match answer {
            Answer::Written(version) => self.key_held(now, sent, slice, *version, actions),
            Answer::LeaseGone => self.lapse(),
            // After a conflict or a lost answer, a read of the key shows its owner.
            _ => {
                self.check_later(now, slice, Millis::ZERO);
                if let Some(state) = self.state_mut(slice) {
                    state.recheck_until = now + RECHECK_SPAN;
                }
            }
        }
    }

    fn check_later(&mut self, now: Instant, slice: id::Slice, span: Millis) {
        if let Some(state) = self.state_mut(slice) {
            state.key = Key::Free {
                check_at: now + span,
            };
        }
    }

    /// Handles the finding that the owner key is bound to the current lease.
    fn key_held(
        &mut self,
        now: Instant,
        sent: Instant,
        slice: id::Slice,
        version: Version,
        actions: &mut Vec<Action>,
    ) {
        let wanted = self.wants(now, slice);
        let Some(state) = self.state_mut(slice) else {
            return;
        };
        state.key = Key::Held(version);
        match state.role {
            Role::None if !wanted => state.key = Key::Deleting(version),
            Role::None => {
                state.role = Role::Owner;
                state.uncontested = true;
                state.confirmed_at = sent;
                actions.push(Action::Owned(slice));
            }
            Role::Owner | Role::Releasing => actions.push(Action::Reclaimed(slice)),
        }
    }

    /// Stops using a slice whose owner key another entry holds.
    fn yield_to_holder(&mut self, now: Instant, slice: id::Slice, actions: &mut Vec<Action>) {
        self.check_later(now, slice, CHECK_INTERVAL);
        self.end_handover(slice);
        if let Some(state) = self.state_mut(slice) {
            if state.role != Role::None {
                state.clear_role();
                actions.push(Action::Lost(slice));
            }
        }
    }

    pub(super) fn deleted(&mut self, now: Instant, slice: id::Slice, answer: &Answer) {
        let settled = matches!(answer, Answer::Written(_) | Answer::Conflict(_));
        if !settled {
            return;
        }
        self.check_later(now, slice, CHECK_INTERVAL);
        if let Some(handover) = &mut self.handover {
            if handover.slice == slice {
                handover.until = Some(now + HANDOVER_TIMEOUT);
            }
        }
    }
}
