//! Follows the newest published configuration.

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

/// How long one watch waits at the store. Each expiry costs one call, so a
/// process without changes makes two calls a minute.
pub const WATCH_WAIT_MS: u64 = 30_000;

/// How long past its own wait a call may stay unanswered before it counts as
/// lost; a connection that went silent would otherwise stop the follower.
const ANSWER_GRACE: Millis = Millis(3000);

/// The pause after the first failed call; it doubles with each further one.
const BACKOFF_MIN: Millis = Millis(100);

/// The longest pause between calls. It lies below the goal of 3 s for a change
/// to be in force, so that the goal holds right after an outage as well.
const BACKOFF_MAX: Millis = Millis(1500);

/// Segments that are fetched one by one; more are read by listing them all,
/// which takes a call for each page instead of one for each segment.
const FETCH_LIMIT: usize = 32;

/// Calls in flight while segments are fetched one by one.
const FETCHES_IN_FLIGHT: usize = 8;

/// Pairs requested for in one page of a listing.
const PAGE_LIMIT: u32 = 256;

/// What happens to a [`Follower`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time passed. The first one starts the follower.
    Tick,
    /// The store answered a call.
    Answer(Ticket, Answer),
    /// Another process sent the configuration that it has in force.
    Peer(Arc<Snapshot>),
}

/// What a [`Follower`] wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Makes a store call and reports its answer under the ticket.
    Store(Ticket, Call),
    /// Puts a newer configuration in force.
    Adopt(Arc<Snapshot>),
    /// Logs a value that cannot be read; the configuration in force stays.
    Unreadable(Arc<str>, codec::Error),
}

/// What the follower does at the moment.
enum Phase {
    /// Waits for the time to ask for the manifest again.
    Paused(Instant),
    /// Waits for the manifest.
    Reading(Ticket),
    /// Waits for segments that it does not hold yet.
    Resolving(Resolution),
    /// Waits for the manifest to change.
    Watching(Ticket),
}

/// The work left until a manifest is resolved.
struct Resolution {
    manifest: Manifest,
    missing: BTreeSet<Arc<str>>,
    requested: BTreeMap<Ticket, Arc<str>>,
    listing: Option<Ticket>,
}

/// Keeps a process on the newest configuration that it can learn of.
///
/// It holds one waiting watch on the manifest and fetches only segments that
/// it does not hold. It never goes back to an older revision, and goes on with
/// the one it has when the store does not answer.
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
    /// Makes a follower without a configuration; `seed` spreads its retries.
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

    /// Returns the configuration in force, if one is known.
    pub fn current(&self) -> Option<&Arc<Snapshot>> {
        self.current.as_ref()
    }

    /// Returns the revision in force; zero if none is known.
    pub fn revision(&self) -> id::Revision {
        self.current
            .as_ref()
            .map_or_else(id::Revision::default, |snapshot| snapshot.revision)
    }

    /// Returns when the follower needs the next [`Event::Tick`].
    pub fn wake_at(&self) -> Instant {
        match self.phase {
            Phase::Paused(until) => until,
            Phase::Reading(_) | Phase::Resolving(_) => self.last_call_at + ANSWER_GRACE,
            Phase::Watching(_) => self.last_call_at + Millis(WATCH_WAIT_MS) + ANSWER_GRACE,
        }
    }

    /// Takes one event and adds the actions that follow from it.
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
                // A manifest that was deleted has no version of its own, and a
                // watch from before the delete would end at once each time.
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

    /// Asks for more segments, or adopts the manifest when none is missing.
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
            // Without a value, a newer publish replaced the segment and
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

    /// Keeps a segment, or reports it and returns false if it cannot be read;
    /// only a change of the manifest can repair that.
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
