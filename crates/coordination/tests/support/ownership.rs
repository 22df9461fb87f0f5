//! Fixtures for the tests of the ownership registry: registries over a simulated
//! store, and one whose calls the test answers itself.

use {
    filbertbend_coordination::{
        ownership::{Action, Event, Registry, TICK_INTERVAL},
        store::{Answer, Call, Ticket},
    },
    filbertbend_standin::store::{
        network::{Faults, Network},
        Memory,
    },
    filbertbend_state::{hash, id, time::Instant, unit::Millis},
    rand_chacha::{rand_core::SeedableRng, ChaCha8Rng},
    std::collections::BTreeSet,
};

pub(crate) const SLICES: u16 = 16;
pub(crate) const LATENCY_MS: u64 = 4;

pub(crate) fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub(crate) fn entry(name: &str) -> id::Entry {
    id::Entry::new(name).unwrap()
}

/// One entry and the actions that its registry returned, with their times.
pub(crate) struct Node {
    pub(crate) name: id::Entry,
    pub(crate) registry: Registry,
    pub(crate) reports: Vec<(Instant, Action)>,
    pub(crate) frozen: bool,
    pub(crate) held: Vec<(Ticket, Answer)>,
    /// Whether the entry answers `Reclaimed` with `Confirmed` and `Release` with
    /// `Released`.
    pub(crate) cooperative: bool,
}

/// Several entries on one simulated store.
pub(crate) struct Cluster {
    pub(crate) now: Instant,
    pub(crate) network: Network<usize>,
    pub(crate) nodes: Vec<Node>,
}

impl Cluster {
    pub(crate) fn new(names: &[&str]) -> Self {
        let faults = Faults {
            latency_ms: LATENCY_MS,
            ..Faults::default()
        };
        let mut cluster = Self {
            now: Instant(1000),
            network: Network::new(faults, rng(7)),
            nodes: Vec::new(),
        };
        names.iter().for_each(|name| cluster.join(name));
        cluster
    }

    /// Starts another entry.
    pub(crate) fn join(&mut self, name: &str) {
        let index = self.nodes.len();
        let value = name.as_bytes().to_vec();
        self.nodes.push(Node {
            name: entry(name),
            registry: Registry::new(entry(name), value, SLICES, rng(index as u64)),
            reports: Vec::new(),
            frozen: false,
            held: Vec::new(),
            cooperative: true,
        });
        self.step(index, Event::Start);
    }

    pub(crate) fn step(&mut self, index: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let node = &mut self.nodes[index];
            let mut actions = Vec::new();
            node.registry.step(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Call { ticket, call } => {
                        self.network.send(self.now, index, ticket, call);
                        continue;
                    }
                    Action::Release(slice) if node.cooperative => {
                        events.push(Event::Released(slice))
                    }
                    Action::Reclaimed(slice) if node.cooperative => {
                        let at = self.now;
                        events.push(Event::Confirmed { slice, at });
                    }
                    _ => {}
                }
                node.reports.push((self.now, action));
            }
        }
    }

    /// Advances the clock by `span` in steps of 1 ms.
    pub(crate) fn advance(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(1);
            while let Some((index, ticket, answer)) = self.network.receive(self.now) {
                if self.nodes[index].frozen {
                    self.nodes[index].held.push((ticket, answer));
                } else {
                    self.step(index, Event::Answer { ticket, answer });
                }
            }
            if self.now.0.is_multiple_of(TICK_INTERVAL.0) {
                for index in 0..self.nodes.len() {
                    if !self.nodes[index].frozen {
                        self.step(index, Event::Tick);
                    }
                }
            }
            self.check_grants();
        }
    }

    /// Checks that at most one entry may give first grants in each slice.
    pub(crate) fn check_grants(&self) {
        for slice in slices() {
            let nodes = self.nodes.iter();
            let allowed = nodes.filter(|n| n.registry.may_grant_first(self.now, slice));
            assert!(allowed.count() <= 1, "slice {slice} at {}", self.now);
        }
    }

    pub(crate) fn unfreeze(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        for (ticket, answer) in std::mem::take(&mut self.nodes[index].held) {
            self.step(index, Event::Answer { ticket, answer });
        }
    }

    pub(crate) fn owned(&self, index: usize) -> BTreeSet<id::Slice> {
        let registry = &self.nodes[index].registry;
        slices().filter(|slice| registry.owns(*slice)).collect()
    }

    /// Returns the slices that entry `index` should own if the entries `live` are
    /// live.
    pub(crate) fn expected_slices(&self, index: usize, live: &[usize]) -> BTreeSet<id::Slice> {
        let weight = |index: usize, slice| hash::weight(self.nodes[index].name.as_str(), slice);
        let best = |slice| live.iter().copied().max_by_key(|i| weight(*i, slice));
        slices()
            .filter(|slice| best(*slice) == Some(index))
            .collect()
    }

    pub(crate) fn count(&self, index: usize, pick: impl Fn(&Action) -> bool) -> usize {
        let reports = self.nodes[index].reports.iter();
        reports.filter(|(_, action)| pick(action)).count()
    }

    pub(crate) fn clear_reports(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.reports.clear());
    }
}

pub(crate) fn slices() -> impl Iterator<Item = id::Slice> {
    (0..SLICES).map(id::Slice)
}

pub(crate) fn settling_time() -> Millis {
    Millis::from_secs(60)
}

/// A registry whose store calls the test answers itself.
pub(crate) struct Manual {
    pub(crate) now: Instant,
    pub(crate) registry: Registry,
    pub(crate) calls: Vec<(Ticket, Call)>,
    pub(crate) reports: Vec<Action>,
}

impl Manual {
    pub(crate) fn new() -> Self {
        let registry = Registry::new(entry("a"), Vec::new(), 1, rng(3));
        Self {
            now: Instant(1000),
            registry,
            calls: Vec::new(),
            reports: Vec::new(),
        }
    }

    pub(crate) fn step(&mut self, now: Instant, event: Event) {
        let mut actions = Vec::new();
        self.registry.step(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Call { ticket, call } => self.calls.push((ticket, call)),
                report => self.reports.push(report),
            }
        }
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.step(self.now, Event::Answer { ticket, answer });
    }

    /// Advances the clock by `span` while the store answers all calls except those
    /// that `hold` selects.
    pub(crate) fn run(&mut self, store: &mut Memory, span: Millis, hold: impl Fn(&Call) -> bool) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(1);
            for (ticket, call) in std::mem::take(&mut self.calls) {
                if hold(&call) {
                    self.calls.push((ticket, call));
                } else {
                    let answer = store.call(self.now, call);
                    self.answer(ticket, answer);
                }
            }
            self.step(self.now, Event::Tick);
        }
    }

    /// Runs until the slice is claimed in the store and withholds the answer.
    pub(crate) fn run_until_claim(&mut self, store: &mut Memory) -> Ticket {
        let claims = |call: &Call| matches!(call, Call::Put { key, .. } if key.ends_with("/owner"));
        self.step(self.now, Event::Start);
        self.run(store, Millis(5000), claims);
        let (ticket, claim) = self.take(claims).unwrap();
        store.call(self.now, claim);
        ticket
    }

    pub(crate) fn take(&mut self, pick: impl Fn(&Call) -> bool) -> Option<(Ticket, Call)> {
        let found = self.calls.iter().position(|(_, call)| pick(call))?;
        Some(self.calls.remove(found))
    }
}
