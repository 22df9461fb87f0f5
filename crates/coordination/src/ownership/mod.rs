//! Registers an entry and divides the slices among the live entries.
//!
//! An entry holds one store lease. `member/<entry>` and every
//! `slice/<n>/owner` that it claims are bound to it, so a process that dies
//! leaves nothing behind. A slice belongs to the live entry with the highest
//! rendezvous weight; a change of members moves only the slices concerned.
//!
//! An ownership survives the lapse of the lease: after a store outage or a
//! freeze the entry claims its slices again, and the journal's fence tells
//! whether another entry has owned one in between. See `docs/design.md`,
//! section 7.

mod call;
mod claim;
mod drive;
mod roster;
mod slice;

pub use roster::Member;

use {
    crate::store::{Answer, Call, Lease, Ticket, Version},
    call::{Calls, Purpose},
    filbertbend_state::{id, time::Instant, unit::Millis},
    rand_chacha::ChaCha8Rng,
    roster::{Registration, Roster},
    slice::{Key, Role, State},
    std::{collections::BTreeMap, sync::Arc},
};

/// Time to live of an entry's store lease, counted from before a renewal was
/// sent.
pub const LEASE_TTL: Millis = Millis(4000);
/// How long after its last confirmation an ownership may still extend leases.
pub const OWNERSHIP_HORIZON: Millis = Millis::from_secs(600);
/// How long the same entries must be live before slices change hands.
pub const STABLE_SPAN: Millis = Millis(3000);

/// How often [`Event::Tick`] is due.
pub const TICK_INTERVAL: Millis = Millis(100);

const RENEW_INTERVAL: Millis = Millis(1000);
/// How often the key of a slice that should be ours is read.
const CHECK_INTERVAL: Millis = Millis(500);
/// After its registration an entry claims only what it owned before, so that
/// after an outage the others have time to register again.
const JOIN_DELAY: Millis = Millis(1000);
/// Longest wait for the new owner between two hand-overs.
const HANDOVER_TIMEOUT: Millis = Millis(2000);
/// How long a write whose answer was lost may take to show.
const RECHECK_SPAN: Millis = Millis(10_000);
const WATCH_WAIT: Millis = Millis(5000);
const MEMBER_PAGE_SIZE: u32 = 64;
/// Members read at most; more are not listed, which bounds the memory.
const MEMBER_LIMIT: usize = 1024;

/// What the registry is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Register and take part.
    Start,
    /// The store answered a call of the registry.
    Answer {
        /// The call.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// The slice's journal ended because of a newer epoch.
    Fenced(id::Slice),
    /// The slice's journal has confirmed its epoch.
    Confirmed {
        /// The slice.
        slice: id::Slice,
        /// The time before the store was asked.
        at: Instant,
    },
    /// The process has stopped using the slice, as [`Action::Release`] asked.
    Released(id::Slice),
    /// Hand over everything and end the registration.
    Leave,
    /// Another [`TICK_INTERVAL`] has passed.
    Tick,
}

/// What the registry asks for or reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a call to the store.
    Call {
        /// Returned with the answer.
        ticket: Ticket,
        /// The call.
        call: Call,
    },
    /// The entry has claimed the slice: begin to recover it.
    Owned(id::Slice),
    /// The slice was claimed again after the lease had lapsed: have the
    /// journal confirm its epoch and answer [`Event::Confirmed`].
    Reclaimed(id::Slice),
    /// Another entry has claimed the slice: stop using it at once.
    Lost(id::Slice),
    /// Write a `Release` entry, stop using the slice, then tell
    /// [`Event::Released`].
    Release(id::Slice),
    /// The live entries have changed.
    Roster(Vec<Member>),
    /// The value at a key cannot be read and is passed over.
    Malformed {
        /// The key.
        key: Arc<str>,
    },
    /// `member/<entry>` is held by another process with the same name; this
    /// one registers when that key has gone.
    NameTaken,
    /// The store does not answer.
    Stalled {
        /// When the first failed call was sent.
        since: Instant,
    },
    /// The store answers again.
    Resumed,
    /// Everything is handed over and the registration has ended.
    Left,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Idle,
    Joined,
    /// Hands over its slices.
    Leaving,
    Left,
}

/// The store lease and what is bound to it.
#[derive(Clone, Copy, Debug)]
struct Session {
    lease: Lease,
    nonce: id::Nonce,
    /// Until when the lease certainly lasts, counted from before it was asked.
    until: Instant,
    /// When the last renewal was sent; zero to send the next at once.
    renewal_sent_at: Instant,
    /// When `member/<entry>` was written, if it was.
    registered_at: Option<Instant>,
    /// Whether `member/<entry>` was found to be absent.
    key_absent: bool,
    register_at: Instant,
}

/// A hand-over whose new owner is awaited.
#[derive(Clone, Copy, Debug)]
struct Handover {
    slice: id::Slice,
    until: Option<Instant>,
}

/// A listing of the members under way.
#[derive(Default)]
struct Listing {
    after: Option<Arc<str>>,
    found: BTreeMap<id::Entry, Vec<u8>>,
}

/// The registration of one entry and its slices.
pub struct Registry {
    entry: id::Entry,
    value: Vec<u8>,
    mode: Mode,
    calls: Calls,
    session: Option<Session>,
    roster: Roster,
    listing: Option<Listing>,
    seen_version: Version,
    slices: Vec<State>,
    handover: Option<Handover>,
}

impl Registry {
    /// Makes the registry of `entry`, which publishes `value` about itself.
    ///
    /// `slices` is the number of slices in the settings. `rng` must differ
    /// between processes.
    pub fn new(entry: id::Entry, value: Vec<u8>, slices: u16, rng: ChaCha8Rng) -> Self {
        Self {
            entry,
            value,
            mode: Mode::Idle,
            calls: Calls::new(rng),
            session: None,
            roster: Roster::default(),
            listing: None,
            seen_version: Version(0),
            slices: vec![State::new(); usize::from(slices)],
            handover: None,
        }
    }

    /// Returns the live entries as last read.
    pub fn members(&self) -> Vec<Member> {
        self.roster.members()
    }

    /// Returns the entry that `slice` belongs to by the roster. During a
    /// hand-over its owner may still be another one.
    pub fn preferred(&self, slice: id::Slice) -> Option<&id::Entry> {
        self.roster.preferred(slice)
    }

    /// Tells whether the process uses `slice`.
    pub fn owns(&self, slice: id::Slice) -> bool {
        self.state(slice).is_some_and(|h| h.role != Role::None)
    }

    /// Returns the time before the call was sent that last confirmed the
    /// ownership of `slice`.
    pub fn confirmed_at(&self, slice: id::Slice) -> Option<Instant> {
        let state = self.state(slice)?;
        (state.role != Role::None).then_some(state.confirmed_at)
    }

    /// Returns until when a lease of an attempt in `slice` may extend.
    pub fn grant_limit(&self, slice: id::Slice) -> Option<Instant> {
        Some(self.confirmed_at(slice)? + OWNERSHIP_HORIZON)
    }

    /// Returns until when first grants of attempts in `slice` are allowed, as
    /// far as is known now.
    pub fn first_grants_until(&self, slice: id::Slice) -> Option<Instant> {
        let held = self
            .state(slice)
            .is_some_and(|h| h.role == Role::Owner && h.is_confirmed());
        self.session.filter(|_| held).map(|session| session.until)
    }

    /// Tells whether the first grant of an attempt in `slice` is allowed: the
    /// slice is held and the store lease certainly has not lapsed.
    pub fn may_grant_first(&self, now: Instant, slice: id::Slice) -> bool {
        self.first_grants_until(slice)
            .is_some_and(|until| now < until)
    }

    /// Returns since when the store has not answered.
    pub fn stalled(&self) -> Option<Instant> {
        self.calls.stalled()
    }

    fn state(&self, slice: id::Slice) -> Option<&State> {
        self.slices.get(usize::from(slice.0))
    }

    fn state_mut(&mut self, slice: id::Slice) -> Option<&mut State> {
        self.slices.get_mut(usize::from(slice.0))
    }

    /// Takes one event.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => {
                if self.mode == Mode::Idle {
                    self.mode = Mode::Joined;
                }
            }
            Event::Answer { ticket, answer } => {
                if let Some((purpose, sent)) = self.calls.complete(now, ticket, &answer, actions) {
                    self.answer(now, sent, purpose, answer, actions);
                }
            }
            Event::Fenced(slice) => self.fenced(now, slice),
            Event::Confirmed { slice, at } => self.confirmed(slice, at),
            Event::Released(slice) => self.released(slice),
            Event::Leave => {
                if self.mode != Mode::Left {
                    self.mode = Mode::Leaving;
                }
            }
            Event::Tick => {}
        }
        self.drive(now, actions);
    }

    /// The journal met a newer epoch; the owner key decides who owns the slice.
    fn fenced(&mut self, now: Instant, slice: id::Slice) {
        self.end_handover(slice);
        if let Some(state) = self.state_mut(slice) {
            state.clear_role();
            if let Key::Held(_) = state.key {
                state.key = Key::Free {
                    check_at: Instant(0),
                };
                state.recheck_until = now + RECHECK_SPAN;
            }
        }
    }

    fn end_handover(&mut self, slice: id::Slice) {
        self.handover.take_if(|handover| handover.slice == slice);
    }

    fn confirmed(&mut self, slice: id::Slice, at: Instant) {
        if let Some(state) = self.state_mut(slice) {
            if state.role != Role::None && matches!(state.key, Key::Held(_)) {
                state.uncontested = true;
                state.confirmed_at = state.confirmed_at.max(at);
            }
        }
    }

    fn released(&mut self, slice: id::Slice) {
        if let Some(state) = self.state_mut(slice) {
            state.clear_role();
            if let Key::Held(version) = state.key {
                state.key = Key::Deleting(version);
            }
        }
    }

    fn answer(
        &mut self,
        now: Instant,
        sent: Instant,
        purpose: Purpose,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        match purpose {
            Purpose::Grant => self.granted(sent, &answer),
            Purpose::Renew => self.renewed(sent, &answer),
            Purpose::Register => self.registered(now, &answer, actions),
            Purpose::Unregister | Purpose::Revoke => self.ended(purpose, &answer, actions),
            Purpose::Watch => {
                if let Answer::Changed(version) = answer {
                    self.seen_version = version;
                    self.listing = Some(Listing::default());
                }
            }
            Purpose::List => self.listed(now, answer, actions),
            Purpose::Check(slice) => self.checked(now, sent, slice, answer, actions),
            Purpose::Claim(slice) => self.claimed(now, sent, slice, &answer, actions),
            Purpose::Delete(slice) => self.deleted(now, slice, &answer),
        }
    }

    fn granted(&mut self, sent: Instant, answer: &Answer) {
        if let Answer::Leased(lease) = answer {
            self.session = Some(Session {
                lease: *lease,
                nonce: self.calls.nonce(),
                until: sent + LEASE_TTL,
                renewal_sent_at: sent,
                registered_at: None,
                key_absent: false,
                register_at: Instant(0),
            });
        }
    }

    fn renewed(&mut self, sent: Instant, answer: &Answer) {
        match (answer, &mut self.session) {
            (Answer::Leased(_), Some(session)) => {
                session.until = session.until.max(sent + LEASE_TTL);
                let confirmed = self.slices.iter_mut().filter(|h| h.is_confirmed());
                confirmed.for_each(|state| {
                    state.confirmed_at = state.confirmed_at.max(sent);
                });
            }
            (Answer::LeaseGone, _) => self.lapse(),
            (_, Some(session)) => session.renewal_sent_at = Instant(0),
            (_, None) => {}
        }
    }

    /// The lease is gone, and with it every key that was bound to it.
    fn lapse(&mut self) {
        self.session = None;
        self.handover = None;
        self.calls.forget_session();
        self.slices.iter_mut().for_each(State::lapse);
    }

    fn registration(&self, session: &Session, value: Vec<u8>) -> Vec<u8> {
        let registration = Registration {
            entry: self.entry.clone(),
            nonce: session.nonce,
            value,
        };
        registration.encode()
    }

    fn member_key(&self) -> Arc<str> {
        format!("{}{}", roster::PREFIX, self.entry).into()
    }

    /// Takes the answer to a write or a read of `member/<entry>`.
    fn registered(&mut self, now: Instant, answer: &Answer, actions: &mut Vec<Action>) {
        let Some(session) = self.session else { return };
        let own = self.registration(&session, self.value.clone());
        let Some(session) = &mut self.session else {
            return;
        };
        match answer {
            Answer::Written(_) => session.registered_at = Some(now),
            Answer::Value(None) => session.key_absent = true,
            Answer::Value(Some(pair)) if pair.value == own => session.registered_at = Some(now),
            Answer::Value(Some(_)) => {
                session.register_at = now + CHECK_INTERVAL;
                actions.push(Action::NameTaken);
            }
            Answer::LeaseGone => self.lapse(),
            _ => session.key_absent = false,
        }
    }

    fn ended(&mut self, purpose: Purpose, answer: &Answer, actions: &mut Vec<Action>) {
        let settled = matches!(
            answer,
            Answer::Written(_) | Answer::Conflict(_) | Answer::LeaseGone
        );
        if !settled {
            return;
        }
        if purpose == Purpose::Revoke {
            self.mode = Mode::Left;
            self.session = None;
            actions.push(Action::Left);
        } else if let Some(session) = &mut self.session {
            session.registered_at = None;
        }
    }

    fn listed(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        let Answer::Page(pairs) = answer else { return };
        let Some(Listing { after, found }) = &mut self.listing else {
            return;
        };
        *after = pairs.last().map(|pair| pair.key.clone());
        let complete = pairs.len() < MEMBER_PAGE_SIZE as usize;
        for pair in pairs {
            match Registration::decode(&pair.value) {
                Some(member)
                    if pair.key.strip_prefix(roster::PREFIX) == Some(member.entry.as_str()) =>
                {
                    found.insert(member.entry, member.value);
                }
                _ => actions.push(Action::Malformed { key: pair.key }),
            }
        }
        if complete || found.len() >= MEMBER_LIMIT {
            let found = std::mem::take(found);
            self.listing = None;
            if self.roster.replace(now, found) {
                actions.push(Action::Roster(self.roster.members()));
            }
        }
    }

    /// Tells whether the entry should hold the key of `slice`.
    fn wants(&self, now: Instant, slice: id::Slice) -> bool {
        let Some(state) = self.state(slice) else {
            return false;
        };
        match state.role {
            Role::Owner => true,
            Role::Releasing => false,
            Role::None => {
                let settled = self
                    .session
                    .and_then(|session| session.registered_at)
                    .is_some_and(|at| now >= at + JOIN_DELAY);
                let preferred = self.roster.preferred(slice) == Some(&self.entry);
                settled && preferred && self.mode == Mode::Joined
            }
        }
    }
}
