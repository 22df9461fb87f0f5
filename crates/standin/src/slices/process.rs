//! One entry process: a registry and the journals of the slices it owns.

use {
    super::ledger::{Ledger, Line},
    filbertbend_coordination::{
        journal::{self, Budget, Journal, Limits, Ticket},
        ownership::{self, Registry},
        store,
    },
    filbertbend_state::{id, time::Instant, unit::Millis},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, VecDeque},
};

/// The component of a process that sent a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Component {
    /// The ownership registry.
    Registry,
    /// The journal of a slice.
    Journal(id::Slice),
}

/// What a process asks of the simulation.
#[derive(Debug)]
pub enum Output {
    /// A store call.
    Call(Component, store::Ticket, store::Call),
    /// A journal action about a record or an ownership of the slice, with the
    /// number of the ownership within the process.
    Report(id::Slice, u64, journal::Action),
    /// The process has left the cluster and ends.
    Left,
}

/// The journal of an owned slice.
struct Owned {
    number: u64,
    journal: Journal<Ledger>,
    recovered: bool,
}

/// An entry process without I/O: a registry and the journals of its slices.
pub struct Process {
    /// The ownership registry.
    pub registry: Registry,
    entry: id::Entry,
    limits: Limits,
    budget: Budget,
    rng: ChaCha8Rng,
    owned: BTreeMap<id::Slice, Owned>,
    ownerships: u64,
    next_tick: Instant,
}

enum Pending {
    Registry(ownership::Action),
    Journal(id::Slice, u64, journal::Action),
}

impl Process {
    /// Creates a process that has not started.
    pub fn new(entry: id::Entry, slices: u16, limits: Limits, mut rng: ChaCha8Rng) -> Self {
        let own = ChaCha8Rng::seed_from_u64(rng.next_u64());
        Self {
            registry: Registry::new(entry.clone(), b"address".to_vec(), slices, own),
            entry,
            limits,
            budget: Budget::new(100, 4),
            rng,
            owned: BTreeMap::new(),
            ownerships: 0,
            next_tick: Instant(0),
        }
    }

    /// Returns the recovered slices.
    pub fn recovered(&self) -> Vec<id::Slice> {
        let recovered = self.owned.iter().filter(|(_, owned)| owned.recovered);
        recovered.map(|(slice, _)| *slice).collect()
    }

    /// Returns the state of a recovered slice.
    pub fn image(&self, slice: id::Slice) -> Option<&Ledger> {
        self.owned.get(&slice)?.journal.image()
    }

    /// Returns when [`Process::tick`] is due.
    pub fn wake(&self) -> Instant {
        let journals = self.owned.values().filter_map(|o| o.journal.wake());
        journals.fold(self.next_tick, Instant::min)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Output> {
        let mut queue = VecDeque::new();
        if self.next_tick <= now {
            self.next_tick = now + ownership::TICK_INTERVAL;
            self.on_registry(now, ownership::Event::Tick, &mut queue);
        }
        let due = |owned: &Owned| owned.journal.wake().is_some_and(|at| at <= now);
        let slices: Vec<_> = self.owned.iter().filter(|(_, o)| due(o)).collect();
        for slice in slices.into_iter().map(|(s, _)| *s).collect::<Vec<_>>() {
            self.on_journal(now, slice, journal::Event::Tick, &mut queue);
        }
        self.run(now, queue)
    }

    /// Passes an event to the registry.
    pub fn step(&mut self, now: Instant, event: ownership::Event) -> Vec<Output> {
        let mut queue = VecDeque::new();
        self.on_registry(now, event, &mut queue);
        self.run(now, queue)
    }

    /// Passes an event to the journal of `slice`, if the process owns it.
    pub fn step_journal(
        &mut self,
        now: Instant,
        slice: id::Slice,
        event: journal::Event<Line>,
    ) -> Vec<Output> {
        let mut queue = VecDeque::new();
        self.on_journal(now, slice, event, &mut queue);
        self.run(now, queue)
    }

    /// Passes the answer to a call to the component that sent it.
    pub fn answer(
        &mut self,
        now: Instant,
        component: Component,
        ticket: store::Ticket,
        answer: store::Answer,
    ) -> Vec<Output> {
        match component {
            Component::Registry => self.step(now, ownership::Event::Answer { ticket, answer }),
            Component::Journal(slice) => {
                self.step_journal(now, slice, journal::Event::Answer { ticket, answer })
            }
        }
    }

    fn on_registry(
        &mut self,
        now: Instant,
        event: ownership::Event,
        queue: &mut VecDeque<Pending>,
    ) {
        let mut actions = Vec::new();
        self.registry.step(now, event, &mut actions);
        queue.extend(actions.into_iter().map(Pending::Registry));
    }

    fn on_journal(
        &mut self,
        now: Instant,
        slice: id::Slice,
        event: journal::Event<Line>,
        queue: &mut VecDeque<Pending>,
    ) {
        let Some(owned) = self.owned.get_mut(&slice) else {
            return;
        };
        let mut actions = Vec::new();
        let number = owned.number;
        let budget = &mut self.budget;
        owned.journal.step(now, event, budget, &mut actions);
        let actions = actions.into_iter();
        queue.extend(actions.map(|action| Pending::Journal(slice, number, action)));
    }

    fn run(&mut self, now: Instant, mut queue: VecDeque<Pending>) -> Vec<Output> {
        let mut outputs = Vec::new();
        while let Some(next) = queue.pop_front() {
            match next {
                Pending::Registry(action) => self.apply(now, action, &mut queue, &mut outputs),
                Pending::Journal(slice, number, action) => {
                    self.forward(now, slice, &action, &mut queue);
                    outputs.push(match action {
                        journal::Action::Call { ticket, call } => {
                            Output::Call(Component::Journal(slice), ticket, call)
                        }
                        action => Output::Report(slice, number, action),
                    });
                }
            }
        }
        outputs
    }

    /// Applies an action of the registry.
    fn apply(
        &mut self,
        now: Instant,
        action: ownership::Action,
        queue: &mut VecDeque<Pending>,
        outputs: &mut Vec<Output>,
    ) {
        use ownership::Action;
        match action {
            Action::Call { ticket, call } => {
                outputs.push(Output::Call(Component::Registry, ticket, call));
            }
            Action::Owned(slice) => {
                self.begin_ownership(slice);
                self.on_journal(now, slice, journal::Event::Recover, queue);
            }
            Action::Reclaimed(slice) => self.on_journal(now, slice, journal::Event::Confirm, queue),
            Action::Lost(slice) => {
                self.on_journal(now, slice, journal::Event::Revoke, queue);
                self.owned.remove(&slice);
            }
            Action::Release(slice) => {
                let leases_end_in = Millis(0);
                let event = journal::Event::Release { leases_end_in };
                self.on_journal(now, slice, event, queue);
            }
            Action::Left => outputs.push(Output::Left),
            _ => {}
        }
    }

    fn begin_ownership(&mut self, slice: id::Slice) {
        self.ownerships += 1;
        let rng = ChaCha8Rng::seed_from_u64(self.rng.next_u64());
        let owned = Owned {
            number: self.ownerships,
            journal: Journal::new(slice, self.entry.clone(), self.limits, rng),
            recovered: false,
        };
        self.owned.insert(slice, owned);
    }

    /// Forwards what an action of a journal changes about the ownership of the
    /// slice to the registry.
    fn forward(
        &mut self,
        now: Instant,
        slice: id::Slice,
        action: &journal::Action,
        queue: &mut VecDeque<Pending>,
    ) {
        use journal::Action;
        match action {
            Action::Recovered { .. } => {
                if let Some(owned) = self.owned.get_mut(&slice) {
                    owned.recovered = true;
                }
            }
            Action::Confirmed { at } => {
                let event = ownership::Event::Confirmed { slice, at: *at };
                self.on_registry(now, event, queue);
            }
            Action::Released => {
                self.owned.remove(&slice);
                self.on_registry(now, ownership::Event::Released(slice), queue);
            }
            Action::Lost { .. } => {
                // Nothing to report if the registry itself revoked the slice.
                let removed = self.owned.remove(&slice);
                if removed.is_some() {
                    self.on_registry(now, ownership::Event::Fenced(slice), queue);
                }
            }
            _ => {}
        }
    }

    /// Returns an append event for the record `id`.
    pub fn append(id: u64, body_bytes: usize) -> journal::Event<Line> {
        journal::Event::Append {
            ticket: Ticket(id),
            record: Line {
                id,
                body: vec![0x5a; body_bytes],
            },
        }
    }
}
