//! Publishes a change to the configuration.

mod calls;
mod draft;

use {
    self::{
        calls::Calls,
        draft::{Base, Draft, Write},
    },
    super::{codec, key, Difference},
    crate::store::{Answer, Call, Expect, Pair, Ticket},
    filbertbend_state::{
        config::{Change, Manifest},
        id,
        service::Declaration,
        time::{Instant, Wall},
        unit::Millis,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, sync::Arc},
};

/// How long a publish retries without progress before it gives up.
pub(super) const PROGRESS_TIMEOUT: Millis = Millis(10_000);

/// The delay before a failed call is retried.
const RETRY_PAUSE: Millis = Millis(200);

/// Maximum number of writes and deletes in flight. Two at 5 ms each use only a
/// part of the several hundred writes per second that the store accepts from all
/// processes together.
const WRITES_IN_FLIGHT: usize = 2;

/// Maximum number of pairs in one page of a listing.
const PAGE_LIMIT: u32 = 256;

/// The change that an operator requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Intent {
    /// Replaces all declarations with these, whose names must be unique.
    Services(Vec<Declaration>),
    /// Drains an endpoint, so that it gets no new work.
    Drain(id::Endpoint),
    /// Ends the drain of an endpoint.
    Undrain(id::Endpoint),
}

/// A request to publish a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The requested change.
    pub intent: Intent,
    /// The author that the audit entry records.
    pub author: Arc<str>,
    /// The time of the request, by the author's clock.
    pub at: Wall,
    /// If set, the publish fails unless this revision, which the author has
    /// reviewed, is in force.
    pub expected: Option<id::Revision>,
}

/// The effect of a publish, for review before it is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// The revision that the publish is based on.
    pub base: id::Revision,
    /// The changes relative to this revision.
    pub difference: Difference,
}

/// The result of a publish.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The change is in force.
    Published(Change),
    /// The configuration already is as requested, at this revision.
    Unchanged(id::Revision),
    /// The operator declined the plan; nothing changed.
    Declined,
    /// Another publish took effect first; nothing of this one is in force.
    LostRace {
        /// The revision that this publish was based on.
        base: id::Revision,
        /// The change that took effect first, if it could be read.
        winner: Option<Change>,
    },
    /// The store was unavailable; nothing of the publish is in force.
    Unavailable,
    /// The outcome is unknown: this change may be in force, or may still take
    /// effect.
    Unknown(Change),
    /// A value in the store cannot be decoded, or a value to be written is too
    /// large; nothing of the publish is in force.
    Rejected {
        /// The key of the value.
        key: Arc<str>,
        /// Why the value was rejected.
        error: codec::Error,
    },
}

/// Input of [`Publisher::step`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passed. The first one starts the publish.
    Tick,
    /// The store answered a call.
    Answer(Ticket, Answer),
    /// The operator accepts the plan.
    Proceed,
    /// The operator declines the plan.
    Decline,
}

/// Output of [`Publisher::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Makes a store call, whose answer is passed back with the ticket.
    Store(Ticket, Call),
    /// Shows the plan; the publish waits for [`Event::Proceed`].
    Plan(Plan),
    /// The publish ended and ignores further events.
    Done(Outcome),
}

/// The current state of the publisher.
enum Phase {
    /// Has not started.
    Idle,
    /// Waits for the manifest.
    Reading,
    /// Lists the segments in force.
    Listing(Base),
    /// Waits for the operator to accept or decline the plan.
    Planned(Draft),
    /// Writes the values that the new manifest refers to: the draft, the writes
    /// that are waiting and those in flight.
    Writing(Draft, Vec<Write>, BTreeMap<Ticket, Write>),
    /// Waits for the answer of the compare-and-swap.
    Swapping(Draft),
    /// Reads the manifest back to learn whether the compare-and-swap took effect.
    Verifying(Draft),
    /// Deletes unreferenced values before it reports the outcome.
    CleaningUp(Outcome, Vec<Arc<str>>),
    /// Has ended.
    Ended,
}

/// Publishes one change on top of the revision that it read.
///
/// New values are written first, then one compare-and-swap of the manifest
/// puts the change and its audit entry in force. The nonce of the audit entry
/// shows whether a manifest that is read back contains the change.
pub struct Publisher {
    request: Request,
    rng: ChaCha8Rng,
    calls: Calls,
    phase: Phase,
    retry_at: Option<Instant>,
    deadline: Instant,
    /// Whether a compare-and-swap may have taken effect without an answer.
    ambiguous: bool,
    /// Whether a compare-and-swap failed because the manifest had changed.
    conflict: bool,
}

impl Publisher {
    /// Creates a publisher for one request. `seed` must differ from that of every
    /// other publish, because it makes the keys of new values unique.
    pub fn new(request: Request, seed: u64) -> Self {
        Self {
            request,
            rng: ChaCha8Rng::seed_from_u64(seed),
            calls: Calls::default(),
            phase: Phase::Idle,
            retry_at: None,
            deadline: Instant::default(),
            ambiguous: false,
            conflict: false,
        }
    }

    /// Returns when the next [`Event::Tick`] is due, or `None` if the publisher
    /// waits for the operator or has ended.
    pub fn wake_at(&self) -> Option<Instant> {
        let calls = self.calls.next_timeout();
        match (self.retry_at, calls) {
            (Some(retry), Some(limit)) => Some(retry.min(limit)),
            (retry, limit) => retry.or(limit),
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Answer(ticket, answer) => {
                if self.calls.complete(ticket) {
                    self.answer(now, ticket, answer, actions);
                }
            }
            Event::Proceed => self.proceed(now, actions),
            Event::Decline => {
                if matches!(self.phase, Phase::Planned(_)) {
                    self.finish(Outcome::Declined, actions);
                }
            }
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Idle) {
            self.deadline = now + PROGRESS_TIMEOUT;
            return self.read(now, actions);
        }
        for ticket in self.calls.take_overdue(now) {
            self.answer(now, ticket, Answer::Lost, actions);
        }
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            self.resume(now, actions);
        }
    }

    /// Retries the call that failed.
    fn resume(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match &self.phase {
            Phase::Reading | Phase::Listing(_) => self.read(now, actions),
            Phase::Writing(..) => self.write(now, actions),
            Phase::Swapping(_) => self.swap(now, actions),
            Phase::Verifying(_) => self.verify(now, actions),
            Phase::Idle | Phase::Planned(_) | Phase::CleaningUp(..) | Phase::Ended => {}
        }
    }

    fn answer(&mut self, now: Instant, ticket: Ticket, answer: Answer, actions: &mut Vec<Action>) {
        match &self.phase {
            Phase::Reading => self.manifest_read(now, answer, actions),
            Phase::Listing(_) => self.page_read(now, answer, actions),
            Phase::Writing(..) => self.value_written(now, ticket, answer, actions),
            Phase::Swapping(_) => self.manifest_swapped(now, answer, actions),
            Phase::Verifying(_) => self.manifest_verified(now, answer, actions),
            Phase::CleaningUp(..) => self.value_deleted(now, answer, actions),
            Phase::Idle | Phase::Planned(_) | Phase::Ended => {}
        }
    }

    fn read(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.phase = Phase::Reading;
        self.get_manifest(now, actions);
    }

    fn get_manifest(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let key = key::MANIFEST.into();
        self.calls.issue(now, Call::Get { key }, actions);
    }

    fn manifest_read(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        let base = match answer {
            Answer::Value(None) => Base::default(),
            Answer::Value(Some(pair)) => match codec::decode::<Manifest>(&pair.value) {
                Ok(manifest) => Base::new(pair.version, manifest),
                Err(error) => return self.reject(pair.key, error, actions),
            },
            _ => return self.retry(now, Outcome::Unavailable, actions),
        };
        self.deadline = now + PROGRESS_TIMEOUT;
        match (self.request.expected, &self.request.intent) {
            (Some(expected), _) if expected != base.manifest.revision => {
                let winner = winner(&base.manifest, expected);
                let base = expected;
                self.finish(Outcome::LostRace { base, winner }, actions);
            }
            (_, Intent::Services(_)) => {
                self.phase = Phase::Listing(base);
                self.list(now, None, actions);
            }
            _ => self.plan(base, actions),
        }
    }

    fn list(&mut self, now: Instant, after: Option<Arc<str>>, actions: &mut Vec<Action>) {
        let call = Call::List {
            prefix: key::SEGMENT_PREFIX.into(),
            after,
            limit: PAGE_LIMIT,
        };
        self.calls.issue(now, call, actions);
    }

    fn page_read(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        let Answer::Page(pairs) = answer else {
            return self.retry(now, Outcome::Unavailable, actions);
        };
        self.deadline = now + PROGRESS_TIMEOUT;
        let last = pairs.last().map(|pair| pair.key.clone());
        let more = pairs.len() >= PAGE_LIMIT as usize;
        for pair in pairs {
            let key = pair.key.clone();
            if let Err(error) = self.segment_found(pair) {
                return self.reject(key, error, actions);
            }
        }
        if more {
            return self.list(now, last, actions);
        }
        let Phase::Listing(base) = &mut self.phase else {
            return;
        };
        let complete = base.services.len() == base.named.len();
        let base = std::mem::take(base);
        match complete {
            true => self.plan(base, actions),
            // A newer publish deleted a segment after the manifest was read.
            false => self.retry(now, Outcome::Unavailable, actions),
        }
    }

    fn segment_found(&mut self, pair: Pair) -> Result<(), codec::Error> {
        let Phase::Listing(base) = &mut self.phase else {
            return Ok(());
        };
        if base.named.contains(&pair.key) {
            let declaration = codec::decode(&pair.value)?;
            base.services.insert(pair.key, declaration);
        } else if is_orphan(&pair.key, base.manifest.revision) {
            base.orphans.push(pair.key);
        }
        Ok(())
    }

    fn plan(&mut self, base: Base, actions: &mut Vec<Action>) {
        let revision = base.manifest.revision;
        let rng = &mut self.rng;
        match Draft::new(&self.request, base, || id::Nonce(rng.random())) {
            Ok(draft) if draft.difference.is_empty() => {
                self.finish(Outcome::Unchanged(revision), actions);
            }
            Ok(draft) => {
                actions.push(Action::Plan(Plan {
                    base: revision,
                    difference: draft.difference.clone(),
                }));
                self.phase = Phase::Planned(draft);
            }
            Err(error) => self.reject(key::MANIFEST.into(), error, actions),
        }
    }

    fn proceed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        match std::mem::replace(&mut self.phase, Phase::Ended) {
            Phase::Planned(draft) => {
                self.deadline = now + PROGRESS_TIMEOUT;
                let waiting = draft.writes.clone();
                self.phase = Phase::Writing(draft, waiting, BTreeMap::new());
                self.write(now, actions);
            }
            other => self.phase = other,
        }
    }

    fn write(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Phase::Writing(draft, waiting, in_flight) = &mut self.phase else {
            return;
        };
        while in_flight.len() < WRITES_IN_FLIGHT {
            let Some(write) = waiting.pop() else { break };
            let call = Call::Put {
                key: write.key.clone(),
                value: write.value.clone(),
                expect: Expect::Absent,
                lease: None,
            };
            in_flight.insert(self.calls.issue(now, call, actions), write);
        }
        if in_flight.is_empty() {
            self.phase = Phase::Swapping(draft.clone());
            self.swap(now, actions);
        }
    }

    fn value_written(
        &mut self,
        now: Instant,
        ticket: Ticket,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Phase::Writing(draft, waiting, in_flight) = &mut self.phase else {
            return;
        };
        let Some(mut write) = in_flight.remove(&ticket) else {
            return;
        };
        match answer {
            Answer::Written(_) => self.deadline = now + PROGRESS_TIMEOUT,
            // The key is unique, so an earlier try must have written it.
            Answer::Conflict(_) if write.ambiguous => self.deadline = now + PROGRESS_TIMEOUT,
            Answer::Conflict(_) => {
                let nonce = id::Nonce(self.rng.random());
                let new_key = key::with_nonce(&write.key, nonce);
                draft.rename(&write.key, &new_key);
                write.key = new_key;
                waiting.push(write);
            }
            answer => {
                write.ambiguous |= answer == Answer::Lost;
                waiting.push(write);
                return self.retry(now, Outcome::Unavailable, actions);
            }
        }
        if self.retry_at.is_none() {
            self.write(now, actions);
        }
    }

    fn swap(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Phase::Swapping(draft) = &self.phase else {
            return;
        };
        let value = match codec::encode(&draft.manifest) {
            Ok(value) => value,
            Err(error) => return self.reject(key::MANIFEST.into(), error, actions),
        };
        let call = Call::Put {
            key: key::MANIFEST.into(),
            value,
            expect: draft.base_version.map_or(Expect::Absent, Expect::At),
            lease: None,
        };
        self.calls.issue(now, call, actions);
    }

    fn manifest_swapped(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        let Phase::Swapping(draft) = &self.phase else {
            return;
        };
        let draft = draft.clone();
        match answer {
            Answer::Written(_) => return self.published(now, draft, actions),
            Answer::Conflict(_) => self.conflict = true,
            Answer::Lost => self.ambiguous = true,
            _ => return self.retry(now, self.unresolved_outcome(&draft), actions),
        }
        self.phase = Phase::Verifying(draft);
        self.verify(now, actions);
    }

    fn verify(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.get_manifest(now, actions);
    }

    fn manifest_verified(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        let Phase::Verifying(draft) = &self.phase else {
            return;
        };
        let draft = draft.clone();
        let Answer::Value(pair) = answer else {
            return self.retry(now, self.unresolved_outcome(&draft), actions);
        };
        let version = pair.as_ref().map(|pair| pair.version);
        let found = pair.and_then(|pair| codec::decode::<Manifest>(&pair.value).ok());
        if found
            .as_ref()
            .is_some_and(|found| contains_change(found, &draft))
        {
            return self.published(now, draft, actions);
        }
        if version == draft.base_version && !self.conflict {
            // The swap has not taken effect, but may still be in transit. It is
            // safe to retry, because only one of the two tries can succeed.
            self.phase = Phase::Swapping(draft.clone());
            return self.retry(now, self.unresolved_outcome(&draft), actions);
        }
        let base = draft.base_revision;
        let winner = found.as_ref().and_then(|found| winner(found, base));
        if self.ambiguous && winner.is_none() {
            return self.finish(Outcome::Unknown(draft.change), actions);
        }
        let written = draft.writes.into_iter().map(|write| write.key).collect();
        self.phase = Phase::CleaningUp(Outcome::LostRace { base, winner }, written);
        self.clean_up(now, actions);
    }

    /// Returns the outcome of the publish if the store answers no further call.
    fn unresolved_outcome(&self, draft: &Draft) -> Outcome {
        match (self.ambiguous, self.conflict) {
            (true, _) => Outcome::Unknown(draft.change.clone()),
            (false, true) => Outcome::LostRace {
                base: draft.base_revision,
                winner: None,
            },
            (false, false) => Outcome::Unavailable,
        }
    }

    fn published(&mut self, now: Instant, draft: Draft, actions: &mut Vec<Action>) {
        let outcome = Outcome::Published(draft.change);
        self.phase = Phase::CleaningUp(outcome, draft.replaced);
        self.clean_up(now, actions);
    }

    fn value_deleted(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        if let (Phase::CleaningUp(_, keys), Answer::Unavailable | Answer::Lost) =
            (&mut self.phase, answer)
        {
            keys.clear();
        }
        self.clean_up(now, actions);
    }

    /// Deletes unreferenced values. It stops at the first failed delete, because
    /// a later publish finds the remaining ones in its listing.
    fn clean_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Phase::CleaningUp(outcome, keys) = &mut self.phase else {
            return;
        };
        while self.calls.in_flight() < WRITES_IN_FLIGHT {
            let Some(key) = keys.pop() else { break };
            let call = Call::Delete { key, version: None };
            self.calls.issue(now, call, actions);
        }
        if self.calls.in_flight() == 0 {
            let outcome = outcome.clone();
            self.finish(outcome, actions);
        }
    }

    /// Schedules a retry of the current phase, or ends with `outcome` if there was
    /// no progress for [`PROGRESS_TIMEOUT`].
    fn retry(&mut self, now: Instant, outcome: Outcome, actions: &mut Vec<Action>) {
        if now >= self.deadline {
            return self.finish(outcome, actions);
        }
        self.retry_at = Some(now + RETRY_PAUSE);
    }

    fn reject(&mut self, key: Arc<str>, error: codec::Error, actions: &mut Vec<Action>) {
        self.finish(Outcome::Rejected { key, error }, actions);
    }

    fn finish(&mut self, outcome: Outcome, actions: &mut Vec<Action>) {
        self.phase = Phase::Ended;
        self.retry_at = None;
        self.calls.clear();
        actions.push(Action::Done(outcome));
    }
}

/// Returns whether no later manifest can refer to `key`, to which the manifest of
/// `revision` does not refer.
///
/// A manifest refers to segments that its own publish has written, whose keys
/// contain its revision, and to segments of the manifest before. A publish in
/// progress makes a revision above the one in force, so its keys are never
/// orphans here.
fn is_orphan(key: &Arc<str>, revision: id::Revision) -> bool {
    key::revision(key).is_some_and(|made| made <= revision)
}

fn contains_change(manifest: &Manifest, draft: &Draft) -> bool {
    manifest
        .audit
        .iter()
        .any(|change| change.nonce == draft.change.nonce && change.to == draft.change.to)
}

/// Finds the change that replaced the revision `base`.
fn winner(manifest: &Manifest, base: id::Revision) -> Option<Change> {
    manifest
        .audit
        .iter()
        .find(|change| change.from == base)
        .cloned()
}
