//! An owner of a slice with an in-memory store, whose calls are answered one by
//! one.

use {
    filbertbend_coordination::{
        journal::{Action, Budget, Event, Journal, Limits, Predecessor, Reason, Ticket},
        store::{self, Answer, Call, Pair},
    },
    filbertbend_standin::{
        slices::{Ledger, Line},
        store::Memory,
    },
    filbertbend_state::{id, time::Instant},
    rand_chacha::{rand_core::SeedableRng, ChaCha8Rng},
    std::collections::VecDeque,
};

pub(crate) const SLICE: id::Slice = id::Slice(3);

/// The store and the clock that all owners of a test share.
pub(crate) struct Store {
    pub(crate) memory: Memory,
    pub(crate) now: Instant,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            memory: Memory::new(),
            now: Instant(1000),
        }
    }

    pub(crate) fn call(&mut self, call: Call) -> Answer {
        self.memory.call(self.now, call)
    }

    pub(crate) fn keys(&self) -> Vec<String> {
        let pairs = self.memory.pairs("").into_iter();
        pairs.map(|pair| pair.key.to_string()).collect()
    }

    pub(crate) fn pairs(&self) -> Vec<Pair> {
        self.memory.pairs("")
    }

    /// Replaces the value of the key, whatever it was.
    pub(crate) fn overwrite(&mut self, key: &str, value: Vec<u8>) {
        let key: std::sync::Arc<str> = key.into();
        self.call(Call::Delete {
            key: key.clone(),
            version: None,
        });
        self.call(Call::Put {
            key,
            value,
            expect: store::Expect::Absent,
            lease: None,
        });
    }
}

/// Returns limits that start a compaction after eight entries.
pub(crate) fn small_limits() -> Limits {
    Limits {
        compact_entries: 8,
        part_bytes: 64,
        ..Limits::default()
    }
}

pub(crate) struct Owner {
    pub(crate) journal: Journal<Ledger>,
    pub(crate) calls: VecDeque<(store::Ticket, Call)>,
    pub(crate) reports: Vec<Action>,
    budget: Budget,
}

impl Owner {
    pub(crate) fn new(name: &str, seed: u64, limits: Limits) -> Self {
        let entry = id::Entry::new(name).unwrap();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            journal: Journal::new(SLICE, entry, limits, rng),
            calls: VecDeque::new(),
            reports: Vec::new(),
            budget: Budget::new(1000, 100),
        }
    }

    /// Creates an owner that has recovered the slice.
    pub(crate) fn recovered(store: &mut Store, name: &str, seed: u64) -> Self {
        Self::recovered_with(store, name, seed, small_limits())
    }

    pub(crate) fn recovered_with(store: &mut Store, name: &str, seed: u64, limits: Limits) -> Self {
        let mut owner = Self::new(name, seed, limits);
        owner.step(store, Event::Recover);
        owner.run_until_idle(store);
        assert!(owner.is_recovered(), "{:?}", owner.reports);
        owner
    }

    pub(crate) fn step(&mut self, store: &Store, event: Event<Line>) {
        let mut actions = Vec::new();
        let budget = &mut self.budget;
        self.journal.step(store.now, event, budget, &mut actions);
        for action in actions {
            match action {
                Action::Call { ticket, call } => self.calls.push_back((ticket, call)),
                report => self.reports.push(report),
            }
        }
    }

    pub(crate) fn append(&mut self, store: &Store, id: u64) {
        self.append_sized(store, id, 0);
    }

    pub(crate) fn append_sized(&mut self, store: &Store, id: u64, bytes: usize) {
        let event = Event::Append {
            ticket: Ticket(id),
            record: Line {
                id,
                body: vec![7; bytes],
            },
        };
        self.step(store, event);
    }

    /// Applies the oldest call to the store without delivering the answer.
    pub(crate) fn apply_next(&mut self, store: &mut Store) -> (store::Ticket, Answer) {
        let (ticket, call) = self.calls.pop_front().expect("no call is under way");
        (ticket, store.call(call))
    }

    /// Removes the oldest call without applying it to the store.
    pub(crate) fn take_call(&mut self) -> (store::Ticket, Call) {
        self.calls.pop_front().expect("no call is under way")
    }

    pub(crate) fn answer(&mut self, store: &Store, ticket: store::Ticket, answer: Answer) {
        self.step(store, Event::Answer { ticket, answer });
    }

    /// Applies the oldest call to the store and delivers the answer.
    pub(crate) fn answer_next(&mut self, store: &mut Store) {
        let (ticket, answer) = self.apply_next(store);
        self.answer(store, ticket, answer);
    }

    /// Answers the oldest call with `answer` without applying it to the store.
    pub(crate) fn answer_with(&mut self, store: &Store, answer: Answer) {
        let (ticket, _) = self.take_call();
        self.answer(store, ticket, answer);
    }

    /// Applies the oldest call to the store and reports its answer as lost.
    pub(crate) fn answer_lost(&mut self, store: &mut Store) {
        let (ticket, _) = self.apply_next(store);
        self.answer(store, ticket, Answer::Lost);
    }

    /// Advances the clock to the next wake-up of the journal; returns false if it
    /// has none.
    pub(crate) fn advance_to_wake(&mut self, store: &mut Store) -> bool {
        let Some(at) = self.journal.wake() else {
            return false;
        };
        store.now = store.now.max(at);
        self.step(store, Event::Tick);
        true
    }

    /// Answers every call until the journal has no call and no wake-up left.
    pub(crate) fn run_until_idle(&mut self, store: &mut Store) {
        for _ in 0..100_000 {
            if !self.calls.is_empty() {
                self.answer_next(store);
            } else if !self.advance_to_wake(store) {
                return;
            }
        }
        panic!("the journal does not come to rest");
    }

    pub(crate) fn is_recovered(&self) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|report| matches!(report, Action::Recovered { .. }))
    }

    pub(crate) fn predecessor(&self) -> Option<Predecessor> {
        self.reports.iter().find_map(|report| match report {
            Action::Recovered { predecessor, .. } => Some(*predecessor),
            _ => None,
        })
    }

    pub(crate) fn durable(&self) -> Vec<u64> {
        let reports = self.reports.iter();
        let ids = reports.filter_map(|report| match report {
            Action::Durable { ticket } => Some(ticket.0),
            _ => None,
        });
        ids.collect()
    }

    pub(crate) fn not_written(&self) -> Vec<(u64, Reason)> {
        let reports = self.reports.iter();
        let ids = reports.filter_map(|report| match report {
            Action::NotWritten { ticket, reason } => Some((ticket.0, *reason)),
            _ => None,
        });
        ids.collect()
    }

    pub(crate) fn unknown(&self) -> Vec<u64> {
        let reports = self.reports.iter();
        let ids = reports.filter_map(|report| match report {
            Action::Unknown { ticket } => Some(ticket.0),
            _ => None,
        });
        ids.collect()
    }

    pub(crate) fn is_lost(&self) -> bool {
        let mut reports = self.reports.iter();
        reports.any(|report| matches!(report, Action::Lost { newer: Some(_) }))
    }

    /// Returns the sorted ids of the records in the state.
    pub(crate) fn ids(&self) -> Vec<u64> {
        let image = self.journal.image().expect("the slice is not recovered");
        let mut ids: Vec<u64> = image.ids().collect();
        ids.sort_unstable();
        ids
    }
}

/// Appends each id as one entry and answers every call.
pub(crate) fn append_each(
    store: &mut Store,
    owner: &mut Owner,
    ids: std::ops::RangeInclusive<u64>,
) {
    for id in ids {
        owner.append(store, id);
        owner.run_until_idle(store);
    }
}
