//! Calls to the store, their pace after failures, and settled writes.

use {
    super::{
        budget::{Budget, Reservation},
        Action,
    },
    crate::store::{Answer, Call, Expect, Pair, Ticket, Version},
    filbertbend_state::{id, time::Instant},
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, sync::Arc},
};

const RETRY_MIN_MS: u64 = 50;
const RETRY_MAX_MS: u64 = 1000;

/// What one step may use.
pub(super) struct Context<'a> {
    pub(super) now: Instant,
    pub(super) budget: &'a mut Budget,
    pub(super) actions: &'a mut Vec<Action>,
}

/// Issues calls and keeps the state that all lanes of a journal share.
pub(super) struct Client {
    rng: ChaCha8Rng,
    next: u64,
    sent: BTreeMap<Ticket, Instant>,
    failures: u32,
    not_before: Instant,
    stalled: Option<Instant>,
}

impl Client {
    pub(super) fn new(mut rng: ChaCha8Rng) -> Self {
        // A random start keeps late answers to an earlier journal of the same
        // slice from matching calls of this one.
        let next = rng.next_u64() >> 1;
        Self {
            rng,
            next,
            sent: BTreeMap::new(),
            failures: 0,
            not_before: Instant(0),
            stalled: None,
        }
    }

    pub(super) fn nonce(&mut self) -> id::Nonce {
        id::Nonce(self.rng.next_u64())
    }

    pub(super) fn call(&mut self, cx: &mut Context<'_>, call: Call) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.sent.insert(ticket, cx.now);
        cx.actions.push(Action::Call { ticket, call });
        ticket
    }

    pub(super) fn get(&mut self, cx: &mut Context<'_>, key: Arc<str>) -> Ticket {
        self.call(cx, Call::Get { key })
    }

    /// Tells whether the pause after a failure is over.
    pub(super) fn ready(&self, now: Instant) -> bool {
        self.not_before <= now
    }

    pub(super) fn not_before(&self) -> Instant {
        self.not_before
    }

    pub(super) fn stalled(&self) -> Option<Instant> {
        self.stalled
    }

    /// Notes how the store answered; returns false for an answer that no call
    /// waits for.
    pub(super) fn observe(
        &mut self,
        cx: &mut Context<'_>,
        ticket: Ticket,
        answer: &Answer,
    ) -> bool {
        let Some(sent) = self.sent.remove(&ticket) else {
            return false;
        };
        if matches!(answer, Answer::Unavailable | Answer::Lost) {
            self.fail(cx, sent);
        } else {
            self.recover(cx);
        }
        true
    }

    fn fail(&mut self, cx: &mut Context<'_>, sent: Instant) {
        if self.stalled.is_none() {
            self.stalled = Some(sent);
            cx.actions.push(Action::Stalled { since: sent });
        }
        if self.not_before <= cx.now {
            let pause = (RETRY_MIN_MS << self.failures.min(5)).min(RETRY_MAX_MS);
            let jitter = self.rng.next_u64() % (pause / 2 + 1);
            self.failures += 1;
            self.not_before = Instant(cx.now.0 + pause / 2 + jitter);
        }
    }

    fn recover(&mut self, cx: &mut Context<'_>) {
        self.failures = 0;
        self.not_before = Instant(0);
        if self.stalled.take().is_some() {
            cx.actions.push(Action::Resumed);
        }
    }
}

/// What an answer meant for a [`Write`].
pub(super) enum Progress {
    /// More answers are needed.
    Pending,
    /// The store certainly did not take the call, and no earlier one either.
    NotApplied,
    /// The value is in the store at this version.
    Done(Version),
    /// The key holds something else, or is gone although a version was
    /// expected.
    Conflict(Option<Pair>),
}

enum State {
    Ready,
    Putting(Ticket),
    Unresolved,
    Reading(Ticket),
}

/// One conditional write that is repeated and read back until its effect is
/// known. The value must be unique to the write.
pub(super) struct Write {
    key: Arc<str>,
    value: Vec<u8>,
    expect: Expect,
    state: State,
    ambiguous: bool,
}

impl Write {
    pub(super) fn new(key: Arc<str>, value: Vec<u8>, expect: Expect) -> Self {
        Self {
            key,
            value,
            expect,
            state: State::Ready,
            ambiguous: false,
        }
    }

    /// Tells whether the store may have taken a call whose answer has not
    /// settled it.
    pub(super) fn may_have_applied(&self) -> bool {
        self.ambiguous || matches!(self.state, State::Putting(_))
    }

    /// Tells whether `pair` is what this writes.
    pub(super) fn matches(&self, pair: &Pair) -> bool {
        pair.key == self.key && pair.value == self.value
    }

    pub(super) fn len(&self) -> usize {
        self.value.len()
    }

    /// Writes again on top of `version`.
    pub(super) fn retarget(&mut self, version: Version) {
        self.expect = Expect::At(version);
        self.state = State::Ready;
    }

    /// Issues the call that is due.
    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        client: &mut Client,
        reservation: &mut Reservation,
    ) {
        if !client.ready(cx.now) {
            return;
        }
        match self.state {
            State::Ready if reservation.take(cx.now, cx.budget) => self.put(cx, client),
            State::Unresolved => {
                self.state = State::Reading(client.get(cx, self.key.clone()));
            }
            _ => {}
        }
    }

    /// Issues the write at once; its token has been taken.
    pub(super) fn put(&mut self, cx: &mut Context<'_>, client: &mut Client) {
        let call = Call::Put {
            key: self.key.clone(),
            value: self.value.clone(),
            expect: self.expect,
            lease: None,
        };
        self.state = State::Putting(client.call(cx, call));
    }

    /// Returns when [`Write::poll`] has something to do.
    pub(super) fn wake(&self, client: &Client, reservation: &Reservation) -> Option<Instant> {
        match self.state {
            State::Ready => Some(
                reservation
                    .at()
                    .unwrap_or_default()
                    .max(client.not_before()),
            ),
            State::Unresolved => Some(client.not_before()),
            State::Putting(_) | State::Reading(_) => None,
        }
    }

    /// Takes an answer; `None` if it is for another call.
    pub(super) fn answer(&mut self, ticket: Ticket, answer: &Answer) -> Option<Progress> {
        match self.state {
            State::Putting(sent) if sent == ticket => Some(self.put_answer(answer)),
            State::Reading(sent) if sent == ticket => Some(self.read_answer(answer)),
            _ => None,
        }
    }

    fn put_answer(&mut self, answer: &Answer) -> Progress {
        match answer {
            Answer::Written(version) => return Progress::Done(*version),
            Answer::Unavailable => {
                self.state = State::Ready;
                if !self.ambiguous {
                    return Progress::NotApplied;
                }
            }
            Answer::Conflict(_) => self.state = State::Unresolved,
            _ => {
                self.ambiguous = true;
                self.state = State::Unresolved;
            }
        }
        Progress::Pending
    }

    fn read_answer(&mut self, answer: &Answer) -> Progress {
        match answer {
            Answer::Value(Some(pair)) if pair.value == self.value => {
                return Progress::Done(pair.version)
            }
            Answer::Value(Some(pair)) if self.expect == Expect::At(pair.version) => {
                self.state = State::Ready;
            }
            Answer::Value(None) if self.expect == Expect::Absent => self.state = State::Ready,
            Answer::Value(pair) => return Progress::Conflict(pair.clone()),
            _ => self.state = State::Unresolved,
        }
        Progress::Pending
    }
}
