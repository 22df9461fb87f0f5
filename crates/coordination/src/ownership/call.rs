//! Tracks the store calls of a registry and delays them after failures.

use {
    super::Action,
    crate::store::{Answer, Call, Ticket},
    filbertbend_state::{id, time::Instant, unit::Millis},
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
};

const RETRY_MIN_MS: u64 = 100;
const RETRY_JITTER_MS: u64 = 200;

/// The operation that a store call belongs to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Purpose {
    Grant,
    Renew,
    Register,
    Unregister,
    Revoke,
    Watch,
    List,
    Check(id::Slice),
    Claim(id::Slice),
    Delete(id::Slice),
}

impl Purpose {
    /// Returns whether the answer is meaningless once the lease has lapsed.
    fn needs_session(self) -> bool {
        !matches!(self, Self::Grant | Self::Watch | Self::List)
    }
}

/// The store calls in progress and the delay of the next one after a failure.
pub(super) struct Calls {
    rng: ChaCha8Rng,
    next: u64,
    sent: BTreeMap<Ticket, (Purpose, Instant)>,
    retry_at: Instant,
    stalled: Option<Instant>,
}

impl Calls {
    pub(super) fn new(mut rng: ChaCha8Rng) -> Self {
        // A random first ticket prevents late answers to an earlier process from
        // matching the calls of this one.
        let next = rng.next_u64() >> 1;
        Self {
            rng,
            next,
            sent: BTreeMap::new(),
            retry_at: Instant(0),
            stalled: None,
        }
    }

    pub(super) fn nonce(&mut self) -> id::Nonce {
        id::Nonce(self.rng.next_u64())
    }

    pub(super) fn stalled(&self) -> Option<Instant> {
        self.stalled
    }

    pub(super) fn ready(&self, now: Instant) -> bool {
        self.retry_at <= now
    }

    /// Returns whether a call for `purpose` is in progress.
    pub(super) fn waits_for(&self, purpose: Purpose) -> bool {
        self.sent.values().any(|(sent, _)| *sent == purpose)
    }

    pub(super) fn send(
        &mut self,
        now: Instant,
        purpose: Purpose,
        call: Call,
        actions: &mut Vec<Action>,
    ) {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.sent.insert(ticket, (purpose, now));
        actions.push(Action::Call { ticket, call });
    }

    /// Matches an answer to its call, updates the retry delay, and returns the
    /// call's purpose and the time when it was sent.
    pub(super) fn complete(
        &mut self,
        now: Instant,
        ticket: Ticket,
        answer: &Answer,
        actions: &mut Vec<Action>,
    ) -> Option<(Purpose, Instant)> {
        let (purpose, sent) = self.sent.remove(&ticket)?;
        if matches!(answer, Answer::Unavailable | Answer::Lost) {
            let pause = RETRY_MIN_MS + self.rng.next_u64() % RETRY_JITTER_MS;
            self.retry_at = self.retry_at.max(now + Millis(pause));
            if self.stalled.is_none() {
                self.stalled = Some(sent);
                actions.push(Action::Stalled { since: sent });
            }
        } else {
            self.retry_at = Instant(0);
            if self.stalled.take().is_some() {
                actions.push(Action::Resumed);
            }
        }
        Some((purpose, sent))
    }

    /// Drops the calls that belong to a lease which has lapsed.
    pub(super) fn forget_session(&mut self) {
        self.sent.retain(|_, (purpose, _)| !purpose.needs_session());
    }
}
