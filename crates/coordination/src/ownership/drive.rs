//! Issues the hand-overs and store calls that are due.

use {
    super::{
        call::Purpose,
        roster,
        slice::{self, Key, Role},
        Action, Handover, Mode, Registry, LEASE_TTL, MEMBER_PAGE_SIZE, RENEW_INTERVAL, STABLE_SPAN,
        WATCH_WAIT,
    },
    crate::store::{Call, Expect},
    filbertbend_state::{id, time::Instant},
};

impl Registry {
    /// Issues all hand-overs and store calls that are due at `now`.
    pub(super) fn drive(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !matches!(self.mode, Mode::Joined | Mode::Leaving) {
            return;
        }
        self.hand_over(now, actions);
        if self.calls.ready(now) {
            self.maintain_lease(now, actions);
            self.maintain_registration(now, actions);
            self.watch(now, actions);
            self.maintain_owner_keys(now, actions);
        }
        self.finish(now, actions);
    }

    /// Requests the release of slices that should move to another entry: all of
    /// them when leaving, otherwise one at a time.
    fn hand_over(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.mode == Mode::Leaving {
            for slice in self.slices_where(|role, _| role == Role::Owner) {
                self.request_release(slice, actions);
            }
            return;
        }
        let over = |handover: &Handover| handover.until.is_some_and(|until| until <= now);
        self.handover.take_if(|handover| over(handover));
        let settled = self.roster.stable_for(now, STABLE_SPAN) && self.roster.contains(&self.entry);
        if self.handover.is_some() || !settled {
            return;
        }
        let held =
            self.slices_where(|role, key| role == Role::Owner && matches!(key, Key::Held(_)));
        let moved = held
            .into_iter()
            .find(|slice| self.roster.preferred(*slice) != Some(&self.entry));
        if let Some(slice) = moved {
            self.handover = Some(Handover { slice, until: None });
            self.request_release(slice, actions);
        }
    }

    fn request_release(&mut self, slice: id::Slice, actions: &mut Vec<Action>) {
        if let Some(state) = self.state_mut(slice) {
            state.role = Role::Releasing;
            actions.push(Action::Release(slice));
        }
    }

    fn slices_where(&self, pick: impl Fn(Role, Key) -> bool) -> Vec<id::Slice> {
        (0..)
            .map(id::Slice)
            .zip(&self.slices)
            .filter(|(_, state)| pick(state.role, state.key))
            .map(|(slice, _)| slice)
            .collect()
    }

    fn maintain_lease(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match &mut self.session {
            Some(session) if now >= session.renewal_sent_at + RENEW_INTERVAL => {
                // An unanswered renewal does not delay the next one, because its
                // connection may be dead without having been closed.
                session.renewal_sent_at = now;
                let lease = session.lease;
                let call = Call::Renew { lease };
                self.calls.send(now, Purpose::Renew, call, actions);
            }
            None if self.mode == Mode::Joined && !self.calls.waits_for(Purpose::Grant) => {
                let ttl_ms = LEASE_TTL.0;
                let call = Call::Grant { ttl_ms };
                self.calls.send(now, Purpose::Grant, call, actions);
            }
            _ => {}
        }
    }

    fn maintain_registration(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(session) = self.session else { return };
        let key = self.member_key();
        if self.mode == Mode::Leaving {
            let registered = session.registered_at.is_some();
            if registered && !self.calls.waits_for(Purpose::Unregister) {
                let call = Call::Delete { key, version: None };
                self.calls.send(now, Purpose::Unregister, call, actions);
            }
            return;
        }
        let due = session.registered_at.is_none() && now >= session.register_at;
        if !due || self.calls.waits_for(Purpose::Register) {
            return;
        }
        let call = if session.key_absent {
            Call::Put {
                key,
                value: self.registration(&session, self.value.clone()),
                expect: Expect::Absent,
                lease: Some(session.lease),
            }
        } else {
            Call::Get { key }
        };
        self.calls.send(now, Purpose::Register, call, actions);
    }

    /// Keeps one watch open and lists the members after each change.
    fn watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(listing) = &self.listing {
            if !self.calls.waits_for(Purpose::List) {
                let call = Call::List {
                    prefix: roster::PREFIX.into(),
                    after: listing.after.clone(),
                    limit: MEMBER_PAGE_SIZE,
                };
                self.calls.send(now, Purpose::List, call, actions);
            }
        } else if !self.calls.waits_for(Purpose::Watch) {
            let call = Call::Watch {
                prefix: roster::PREFIX.into(),
                since: self.seen_version,
                wait_ms: WATCH_WAIT.0,
            };
            self.calls.send(now, Purpose::Watch, call, actions);
        }
    }

    /// Reads the owner keys that this entry should hold and deletes those of
    /// slices that it has released.
    fn maintain_owner_keys(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.session.is_none() {
            return;
        }
        for slice in self.slices_where(|_, key| matches!(key, Key::Free { .. })) {
            if self.check_due(now, slice) {
                let key = slice::owner_key(slice);
                let call = Call::Get { key };
                self.calls.send(now, Purpose::Check(slice), call, actions);
                if let Some(state) = self.state_mut(slice) {
                    state.key = Key::Busy;
                }
            }
        }
        for slice in self.slices_where(|_, key| matches!(key, Key::Deleting(_))) {
            let purpose = Purpose::Delete(slice);
            let version = match self.state(slice).map(|state| state.key) {
                Some(Key::Deleting(version)) => Some(version),
                _ => continue,
            };
            if !self.calls.waits_for(purpose) {
                let key = slice::owner_key(slice);
                let call = Call::Delete { key, version };
                self.calls.send(now, purpose, call, actions);
            }
        }
    }

    fn check_due(&self, now: Instant, slice: id::Slice) -> bool {
        let Some(state) = self.state(slice) else {
            return false;
        };
        let due = matches!(state.key, Key::Free { check_at } if check_at <= now);
        let awaited = self.handover.is_some_and(|h| h.slice == slice);
        due && (awaited || now < state.recheck_until || self.wants(now, slice))
    }

    /// Ends the registration once all slices are handed over.
    fn finish(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let busy = |role, key| role != Role::None || matches!(key, Key::Busy | Key::Deleting(_));
        if self.mode != Mode::Leaving || !self.slices_where(busy).is_empty() {
            return;
        }
        match self.session {
            None => {
                self.mode = Mode::Left;
                actions.push(Action::Left);
            }
            Some(session) => {
                let registered = session.registered_at.is_some();
                let sent = self.calls.waits_for(Purpose::Revoke);
                if !registered && !sent && self.calls.ready(now) {
                    let lease = session.lease;
                    let call = Call::Revoke { lease };
                    self.calls.send(now, Purpose::Revoke, call, actions);
                }
            }
        }
    }
}
