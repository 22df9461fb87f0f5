//! Registers an entry and assigns the slices to the live entries.
//!
//! An entry holds one store lease. `member/<entry>` and every
//! `slice/<n>/owner` key that it claims are bound to the lease, so they disappear
//! when the process dies. A slice belongs to the live entry with the highest
//! rendezvous weight, so a change of members moves only the slices of the
//! entries that joined or left.
//!
//! Ownership survives the lapse of the lease. After a store outage or a pause of
//! the process, the entry claims its slices again, and the fence of the journal
//! shows whether another entry has owned one of them in between. See
//! `docs/design.md`, section 7.

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

/// Time to live of an entry's store lease. The entry counts it from when it sent
/// the grant or renewal.
pub const LEASE_TTL: Millis = Millis(4000);
/// How long after the last confirmation of an ownership its leases may last.
pub const OWNERSHIP_HORIZON: Millis = Millis::from_secs(600);
/// How long the set of entries must be unchanged before slices are handed over.
pub const STABLE_SPAN: Millis = Millis(3000);

/// Interval between two [`Event::Tick`].
pub const TICK_INTERVAL: Millis = Millis(100);

const RENEW_INTERVAL: Millis = Millis(1000);
/// Interval at which an entry reads the owner key of a slice that it should own
/// but does not.
const CHECK_INTERVAL: Millis = Millis(500);
/// How long after its registration an entry claims only the slices that it owned
/// before, so that the other entries have time to register again after an
/// outage.
const JOIN_DELAY: Millis = Millis(1000);
/// How long a hand-over waits for the new owner before the next one begins.
const HANDOVER_TIMEOUT: Millis = Millis(2000);
/// How long a write whose answer was lost may take to become visible.
const RECHECK_SPAN: Millis = Millis(10_000);
const WATCH_WAIT: Millis = Millis(5000);
const MEMBER_PAGE_SIZE: u32 = 64;
/// Number of members after which a listing ends, which bounds its memory.
const MEMBER_LIMIT: usize = 1024;

/// An input of [`Registry::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Register the entry and begin to claim slices.
    Start,
    /// The store answered a call of the registry.
    Answer {
        /// The ticket of the [`Action::Call`] that is answered.
        ticket: Ticket,
        /// The store's answer.
        answer: Answer,
    },
    /// The slice's journal has stopped because it found a newer epoch.
    Fenced(id::Slice),
    /// The slice's journal has confirmed its epoch.
    Confirmed {
        /// The slice whose journal confirmed its epoch.
        slice: id::Slice,
        /// When the confirming store call was sent.
        at: Instant,
    },
    /// The process has stopped using the slice after an [`Action::Release`].
    Released(id::Slice),
    /// Hand over all slices and end the registration.
    Leave,
    /// Another [`TICK_INTERVAL`] has passed.
    Tick,
}

/// An output of [`Registry::step`]: a request to the process or a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a call to the store.
    Call {
        /// Identifies the call in [`Event::Answer`].
        ticket: Ticket,
        /// The call to send.
        call: Call,
    },
    /// The entry has claimed the slice, whose recovery can begin.
    Owned(id::Slice),
    /// The slice was claimed again after the lease had lapsed. The process must
    /// have the journal confirm its epoch and report [`Event::Confirmed`].
    Reclaimed(id::Slice),
    /// Another entry has claimed the slice. The process must stop using it at
    /// once.
    Lost(id::Slice),
    /// Append a `Release` to the journal, stop using the slice, then report
    /// [`Event::Released`].
    Release(id::Slice),
    /// The live entries or their published values have changed.
    Roster(Vec<Member>),
    /// The value at a key cannot be decoded and is ignored.
    Malformed {
        /// The key of the value.
        key: Arc<str>,
    },
    /// Another process with the same name holds `member/<entry>`. This one
    /// registers once that key is gone.
    NameTaken,
    /// The store has stopped answering.
    Stalled {
        /// When the first failed call was sent.
        since: Instant,
    },
    /// The store answers again.
    Resumed,
    /// All slices are handed over and the registration has ended.
    Left,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Idle,
    Joined,
    /// Hands over its slices before it ends the registration.
    Leaving,
    Left,
}

/// The store lease and the state of the registration bound to it.
#[derive(Clone, Copy, Debug)]
struct Session {
    lease: Lease,
    nonce: id::Nonce,
    /// Until when the lease is known to last, counted from when the last answered
    /// grant or renewal was sent.
    until: Instant,
    /// When the last grant or renewal was sent; zero to send the next renewal at
    /// once.
    renewal_sent_at: Instant,
    /// When `member/<entry>` was written, or `None` if it is not registered.
    registered_at: Option<Instant>,
    /// Whether the last read found no `member/<entry>`.
    key_absent: bool,
    register_at: Instant,
}

/// A hand-over in progress.
#[derive(Clone, Copy, Debug)]
struct Handover {
    slice: id::Slice,
    until: Option<Instant>,
}

/// A paged listing of the members in progress.
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
    /// Creates the registry of `entry`, which publishes `value` to the others.
    ///
    /// `slices` is the configured number of slices. The seed of `rng` must differ
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

    /// Returns the live entries as of the last listing.
    pub fn members(&self) -> Vec<Member> {
        self.roster.members()
    }

    /// Returns the live entry that `slice` is assigned to. Another entry may still
    /// own it until the hand-over is complete.
    pub fn preferred(&self, slice: id::Slice) -> Option<&id::Entry> {
        self.roster.preferred(slice)
    }

    /// Returns whether the process uses `slice`, as its owner or while releasing it.
    pub fn owns(&self, slice: id::Slice) -> bool {
        self.state(slice).is_some_and(|h| h.role != Role::None)
    }

    /// Returns when the store call was sent whose answer last confirmed the
    /// ownership of `slice`.
    pub fn confirmed_at(&self, slice: id::Slice) -> Option<Instant> {
        let state = self.state(slice)?;
        (state.role != Role::None).then_some(state.confirmed_at)
    }

    /// Returns the latest time to which a lease of an attempt in `slice` may extend.
    pub fn grant_limit(&self, slice: id::Slice) -> Option<Instant> {
        Some(self.confirmed_at(slice)? + OWNERSHIP_HORIZON)
    }

    /// Returns the time before which first grants of attempts in `slice` are
    /// allowed, as far as is known now.
    pub fn first_grants_until(&self, slice: id::Slice) -> Option<Instant> {
        let held = self
            .state(slice)
            .is_some_and(|h| h.role == Role::Owner && h.is_confirmed());
        self.session.filter(|_| held).map(|session| session.until)
    }

    /// Returns whether the first grant of an attempt in `slice` is allowed: the
    /// slice is held and the store lease cannot have lapsed.
    pub fn may_grant_first(&self, now: Instant, slice: id::Slice) -> bool {
        self.first_grants_until(slice)
            .is_some_and(|until| now < until)
    }

    /// Returns when the first call of a store outage was sent, if the store does not
    /// answer at present.
    pub fn stalled(&self) -> Option<Instant> {
        self.calls.stalled()
    }

    fn state(&self, slice: id::Slice) -> Option<&State> {
        self.slices.get(usize::from(slice.0))
    }

    fn state_mut(&mut self, slice: id::Slice) -> Option<&mut State> {
        self.slices.get_mut(usize::from(slice.0))
    }

    /// Handles one event and appends the resulting actions to `actions`.
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

    /// Stops using a slice whose journal found a newer epoch. The owner key, which
    /// is read again, decides who owns the slice.
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

    /// Resets the state after the lease, and every key bound to it, has lapsed.
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

    /// Handles the answer to a write or a read of `member/<entry>`.
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

    /// Returns whether the entry should hold the owner key of `slice`.
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
