//! Store calls with retry backoff, and conditional writes that are retried until
//! their outcome is known.

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

/// The time, the write budget and the list of actions of one step.
pub(super) struct Context<'a> {
    pub(super) now: Instant,
    pub(super) budget: &'a mut Budget,
    pub(super) actions: &'a mut Vec<Action>,
}

/// Issues store calls and tracks the retry backoff, which recovery, appends and
/// compactions of a journal share.
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
        // Tickets start at a random number so that late answers to an earlier
        // journal of the same slice do not match calls of this one.
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

    /// Returns whether the backoff after a failure has elapsed.
    pub(super) fn ready(&self, now: Instant) -> bool {
        self.not_before <= now
    }

    pub(super) fn not_before(&self) -> Instant {
        self.not_before
    }

    pub(super) fn stalled(&self) -> Option<Instant> {
        self.stalled
    }

    /// Updates the backoff after an answer; returns false if no call with this
    /// ticket is in flight.
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

/// Effect of an answer on a [`Write`].
pub(super) enum Progress {
    /// The outcome is not known yet.
    Pending,
    /// The store applied neither this call nor an earlier try.
    NotApplied,
    /// The value is in the store at this version.
    Done(Version),
    /// The key holds another value, or does not exist although a version was
    /// expected.
    Conflict(Option<Pair>),
}

enum State {
    Ready,
    Putting(Ticket),
    Unresolved,
    Reading(Ticket),
}

/// A conditional write that is retried and read back until its outcome is
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

    /// Returns whether the store may have applied a try whose outcome is not
    /// known.
    pub(super) fn may_have_applied(&self) -> bool {
        self.ambiguous || matches!(self.state, State::Putting(_))
    }

    /// Returns whether `pair` has the key and the value of this write.
    pub(super) fn matches(&self, pair: &Pair) -> bool {
        pair.key == self.key && pair.value == self.value
    }

    pub(super) fn len(&self) -> usize {
        self.value.len()
    }

    /// Schedules the write again, now expecting `version`.
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

    /// Issues the write at once. The caller has consumed a token for it.
    pub(super) fn put(&mut self, cx: &mut Context<'_>, client: &mut Client) {
        let call = Call::Put {
            key: self.key.clone(),
            value: self.value.clone(),
            expect: self.expect,
            lease: None,
        };
        self.state = State::Putting(client.call(cx, call));
    }

    /// Returns when [`Write::poll`] can issue the next call.
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

    /// Handles an answer; returns `None` if it belongs to another call.
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
