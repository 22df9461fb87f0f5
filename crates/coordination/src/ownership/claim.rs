//! The owner keys of the slices: claimed, settled and given up.

use {
    super::{
        call::Purpose,
        roster::Registration,
        slice::{self, Key, Use},
        Action, Registry, CHECK_INTERVAL, HANDOVER_SPAN, SUSPECT_SPAN,
    },
    crate::store::{Answer, Call, Expect, Version},
    filbertbend_state::{id, time::Instant, unit::Millis},
};

impl Registry {
    /// Takes what a read of an owner key found.
    pub(super) fn checked(
        &mut self,
        now: Instant,
        sent: Instant,
        slice: id::Slice,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(tenure) = self.tenure else { return };
        let own = self.registration(&tenure, Vec::new());
        match answer {
            Answer::Value(None) => self.claim(now, slice, actions),
            Answer::Value(Some(pair)) if pair.value == own => {
                self.hold(now, sent, slice, pair.version, actions);
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
        let Some(tenure) = self.tenure else { return };
        if awaited || !self.wants(now, slice) {
            return;
        }
        let call = Call::Put {
            key: slice::owner_key(slice),
            value: self.registration(&tenure, Vec::new()),
            expect: Expect::Absent,
            lease: Some(tenure.lease),
        };
        self.calls.send(now, Purpose::Claim(slice), call, actions);
        if let Some(holding) = self.holding_mut(slice) {
            holding.key = Key::Busy;
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
            Answer::Written(version) => self.hold(now, sent, slice, *version, actions),
            Answer::LeaseGone => self.lapse(),
            // A conflict or a lost answer is settled by reading the key.
            _ => {
                self.check_later(now, slice, Millis::ZERO);
                if let Some(holding) = self.holding_mut(slice) {
                    holding.suspect_until = now + SUSPECT_SPAN;
                }
            }
        }
    }

    fn check_later(&mut self, now: Instant, slice: id::Slice, span: Millis) {
        if let Some(holding) = self.holding_mut(slice) {
            holding.key = Key::Free {
                check_at: now + span,
            };
        }
    }

    /// The owner key is bound to the current lease.
    fn hold(
        &mut self,
        now: Instant,
        sent: Instant,
        slice: id::Slice,
        version: Version,
        actions: &mut Vec<Action>,
    ) {
        let wanted = self.wants(now, slice);
        let Some(holding) = self.holding_mut(slice) else {
            return;
        };
        holding.key = Key::Held(version);
        match holding.used {
            Use::None if !wanted => holding.key = Key::Doomed(version),
            Use::None => {
                holding.used = Use::Owner;
                holding.proven = true;
                holding.confirmed_at = sent;
                actions.push(Action::Owned(slice));
            }
            Use::Owner | Use::Releasing => actions.push(Action::Reclaimed(slice)),
        }
    }

    /// Another entry holds the owner key.
    fn yield_to_holder(&mut self, now: Instant, slice: id::Slice, actions: &mut Vec<Action>) {
        self.check_later(now, slice, CHECK_INTERVAL);
        self.end_handover(slice);
        if let Some(holding) = self.holding_mut(slice) {
            if holding.used != Use::None {
                holding.drop_use();
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
                handover.until = Some(now + HANDOVER_SPAN);
            }
        }
    }
}
