//! Keeps a process up to date with the published configuration.

use {
    super::{codec, key},
    crate::store::{Answer, Call, Pair, Ticket, Version},
    filbertbend_state::{
        config::{Manifest, Snapshot},
        id,
        service::Declaration,
        time::Instant,
        unit::Millis,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// How long the store holds one watch open, in milliseconds. Each expiry costs
/// one call, so a process makes two calls per minute while nothing changes.
pub const WATCH_WAIT_MS: u64 = 30_000;

/// How long after its own wait a call may stay unanswered before it counts as
/// lost. Without this limit, an unresponsive connection would block the follower
/// forever.
const ANSWER_GRACE: Millis = Millis(3000);

/// The backoff after the first failed call; it doubles with each further one.
const BACKOFF_MIN: Millis = Millis(100);

/// The maximum backoff between calls. It is below the 3 s within which a change
/// should be in force, so that this target is also met right after an outage.
const BACKOFF_MAX: Millis = Millis(1500);

/// Maximum number of missing segments that are fetched one by one. If more are
/// missing, all segments are listed, which takes one call for each page instead
/// of one for each segment.
const FETCH_LIMIT: usize = 32;

/// Maximum number of calls in flight while segments are fetched one by one.
const FETCHES_IN_FLIGHT: usize = 8;

/// Maximum number of pairs in one page of a listing.
const PAGE_LIMIT: u32 = 256;

/// Input of [`Follower::step`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passed. The first one starts the follower.
    Tick,
    /// The store answered a call.
    Answer(Ticket, Answer),
    /// Another process sent the configuration that it has in force.
    Peer(Arc<Snapshot>),
}

/// Output of [`Follower::step`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Makes a store call, whose answer is passed back with the ticket.
    Store(Ticket, Call),
    /// Puts a newer configuration in force.
    Adopt(Arc<Snapshot>),
    /// Reports the key of a value that cannot be decoded. The configuration in
    /// force is kept.
    Unreadable(Arc<str>, codec::Error),
}

/// The current state of the follower.
enum Phase {
    /// Waits until the given time before it reads the manifest again.
    Paused(Instant),
    /// Waits for the manifest.
    Reading(Ticket),
    /// Waits for segments that are not cached yet.
    Resolving(Resolution),
    /// Waits for the manifest to change.
    Watching(Ticket),
}

/// A manifest whose segments are being fetched.
struct Resolution {
    manifest: Manifest,
    missing: BTreeSet<Arc<str>>,
    requested: BTreeMap<Ticket, Arc<str>>,
    listing: Option<Ticket>,
}

/// Keeps a process on the newest configuration that the store or a peer offers.
///
/// It keeps one watch open on the manifest and fetches only segments that are
/// not cached. It never returns to an older revision, and keeps the current one
/// while the store does not answer.
pub struct Follower {
    rng: ChaCha8Rng,
    tickets: u64,
    phase: Phase,
    since: Version,
    failures: u32,
    last_call_at: Instant,
    segments: BTreeMap<Arc<str>, Declaration>,
    current: Option<Arc<Snapshot>>,
}

impl Follower {
    /// Creates a follower without a configuration. `seed` randomises the backoff,
    /// so that processes do not retry at the same time.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            tickets: 0,
            phase: Phase::Paused(Instant::default()),
            since: Version::default(),
            failures: 0,
            last_call_at: Instant::default(),
            segments: BTreeMap::new(),
            current: None,
        }
    }

    /// Returns the configuration in force, or `None` before the first one.
    pub fn current(&self) -> Option<&Arc<Snapshot>> {
        self.current.as_ref()
    }

    /// Returns the revision in force, or zero before the first one.
    pub fn revision(&self) -> id::Revision {
        self.current
            .as_ref()
            .map_or_else(id::Revision::default, |snapshot| snapshot.revision)
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn wake_at(&self) -> Instant {
        match self.phase {
            Phase::Paused(until) => until,
            Phase::Reading(_) | Phase::Resolving(_) => self.last_call_at + ANSWER_GRACE,
            Phase::Watching(_) => self.last_call_at + Millis(WATCH_WAIT_MS) + ANSWER_GRACE,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Answer(ticket, answer) => self.answer(now, ticket, answer, actions),
            Event::Peer(snapshot) => self.adopt(snapshot, actions),
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.wake_at() {
            return;
        }
        match self.phase {
            Phase::Paused(_) => self.read(now, actions),
            _ => self.pause(now),
        }
    }

    fn answer(&mut self, now: Instant, ticket: Ticket, answer: Answer, actions: &mut Vec<Action>) {
        match &mut self.phase {
            Phase::Reading(expected) if *expected == ticket => {
                self.manifest_read(now, answer, actions);
            }
            Phase::Watching(expected) if *expected == ticket => {
                self.watch_ended(now, answer, actions);
            }
            Phase::Resolving(resolution) => {
                if resolution.listing == Some(ticket) {
                    self.page_read(now, answer, actions);
                } else if resolution.requested.remove(&ticket).is_some() {
                    self.segment_read(now, answer, actions);
                }
            }
            _ => {}
        }
    }

    fn read(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let call = Call::Get {
            key: key::MANIFEST.into(),
        };
        let ticket = self.call(now, call, actions);
        self.phase = Phase::Reading(ticket);
    }

    fn watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.failures = 0;
        let call = Call::Watch {
            prefix: key::MANIFEST.into(),
            since: self.since,
            wait_ms: WATCH_WAIT_MS,
        };
        let ticket = self.call(now, call, actions);
        self.phase = Phase::Watching(ticket);
    }

    fn manifest_read(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        match answer {
            Answer::Value(Some(pair)) => self.manifest_found(now, pair, actions),
            Answer::Value(None) => self.watch(now, actions),
            _ => self.pause(now),
        }
    }

    fn manifest_found(&mut self, now: Instant, pair: Pair, actions: &mut Vec<Action>) {
        self.since = pair.version;
        match codec::decode::<Manifest>(&pair.value) {
            Ok(manifest) if manifest.revision > self.revision() => {
                self.resolve(now, manifest, actions);
            }
            Ok(_) => self.watch(now, actions),
            Err(error) => {
                actions.push(Action::Unreadable(pair.key, error));
                self.watch(now, actions);
            }
        }
    }

    fn watch_ended(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        match answer {
            Answer::Changed(version) => {
                // A deleted manifest has no version. If `since` stayed below the
                // delete, every further watch would end at once.
                self.since = self.since.max(version);
                self.read(now, actions);
            }
            Answer::Unchanged => self.watch(now, actions),
            _ => self.pause(now),
        }
    }

    fn resolve(&mut self, now: Instant, manifest: Manifest, actions: &mut Vec<Action>) {
        let missing: BTreeSet<Arc<str>> = manifest
            .segments
            .iter()
            .filter(|segment| !self.segments.contains_key(&segment.key))
            .map(|segment| segment.key.clone())
            .collect();
        let listed = missing.len() > FETCH_LIMIT;
        let mut resolution = Resolution {
            manifest,
            missing,
            requested: BTreeMap::new(),
            listing: None,
        };
        if listed {
            resolution.listing = Some(self.list(now, None, actions));
        }
        self.phase = Phase::Resolving(resolution);
        self.fetch_missing(now, actions);
    }

    /// Fetches more segments, or adopts the manifest if none is missing.
    fn fetch_missing(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Phase::Resolving(resolution) = &mut self.phase else {
            return;
        };
        if resolution.missing.is_empty() {
            return self.finish(now, actions);
        }
        if resolution.listing.is_some() {
            return;
        }
        let free = FETCHES_IN_FLIGHT - resolution.requested.len();
        let wanted: Vec<Arc<str>> = resolution
            .missing
            .iter()
            .filter(|key| {
                !resolution
                    .requested
                    .values()
                    .any(|requested| requested == *key)
            })
            .take(free)
            .cloned()
            .collect();
        for key in wanted {
            let ticket = self.call(now, Call::Get { key: key.clone() }, actions);
            if let Phase::Resolving(resolution) = &mut self.phase {
                resolution.requested.insert(ticket, key);
            }
        }
    }

    fn list(&mut self, now: Instant, after: Option<Arc<str>>, actions: &mut Vec<Action>) -> Ticket {
        let call = Call::List {
            prefix: key::SEGMENT_PREFIX.into(),
            after,
            limit: PAGE_LIMIT,
        };
        self.call(now, call, actions)
    }

    fn segment_read(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        match answer {
            Answer::Value(Some(pair)) => match self.store_segment(&pair, actions) {
                true => self.fetch_missing(now, actions),
                false => self.watch(now, actions),
            },
            // If the segment does not exist, a newer publish has replaced and
            // deleted it, so the manifest has to be read again.
            _ => self.pause(now),
        }
    }

    fn page_read(&mut self, now: Instant, answer: Answer, actions: &mut Vec<Action>) {
        let Answer::Page(pairs) = answer else {
            return self.pause(now);
        };
        for pair in &pairs {
            let wanted = match &self.phase {
                Phase::Resolving(resolution) => resolution.missing.contains(&pair.key),
                _ => false,
            };
            if wanted && !self.store_segment(pair, actions) {
                return self.watch(now, actions);
            }
        }
        let last = pairs.last().map(|pair| pair.key.clone());
        let more = pairs.len() >= PAGE_LIMIT as usize;
        let listing = more.then(|| self.list(now, last, actions));
        if let Phase::Resolving(resolution) = &mut self.phase {
            resolution.listing = listing;
        }
        self.fetch_missing(now, actions);
    }

    /// Caches a segment. If it cannot be decoded, reports it and returns false;
    /// in this case only a new manifest can help.
    fn store_segment(&mut self, pair: &Pair, actions: &mut Vec<Action>) -> bool {
        match codec::decode::<Declaration>(&pair.value) {
            Ok(declaration) => {
                self.segments.insert(pair.key.clone(), declaration);
                if let Phase::Resolving(resolution) = &mut self.phase {
                    resolution.missing.remove(&pair.key);
                }
                true
            }
            Err(error) => {
                actions.push(Action::Unreadable(pair.key.clone(), error));
                false
            }
        }
    }

    fn finish(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let idle = Phase::Paused(now);
        let Phase::Resolving(resolution) = std::mem::replace(&mut self.phase, idle) else {
            return;
        };
        let manifest = resolution.manifest;
        let named: BTreeSet<&Arc<str>> = manifest
            .segments
            .iter()
            .map(|segment| &segment.key)
            .collect();
        self.segments.retain(|key, _| named.contains(key));
        let snapshot = Snapshot {
            revision: manifest.revision,
            services: manifest
                .segments
                .iter()
                .filter_map(|segment| self.segments.get(&segment.key).cloned())
                .collect(),
            drains: manifest.drains,
        };
        self.adopt(Arc::new(snapshot), actions);
        self.watch(now, actions);
    }

    fn adopt(&mut self, snapshot: Arc<Snapshot>, actions: &mut Vec<Action>) {
        let newer = match &self.current {
            Some(current) => snapshot.revision > current.revision,
            None => true,
        };
        if newer {
            self.current = Some(snapshot.clone());
            actions.push(Action::Adopt(snapshot));
        }
    }

    fn pause(&mut self, now: Instant) {
        let doubled = BACKOFF_MIN.0 << self.failures.min(8);
        let limit = doubled.min(BACKOFF_MAX.0);
        let pause = self.rng.random_range(limit / 2..=limit);
        self.failures += 1;
        self.phase = Phase::Paused(now + Millis(pause));
    }

    fn call(&mut self, now: Instant, call: Call, actions: &mut Vec<Action>) -> Ticket {
        self.tickets += 1;
        self.last_call_at = now;
        let ticket = Ticket(self.tickets);
        actions.push(Action::Store(ticket, call));
        ticket
    }
}
