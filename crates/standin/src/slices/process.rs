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

/// The part of a process that sent a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The registry.
    Registry,
    /// The journal of a slice.
    Journal(id::Slice),
}

/// What a process hands to the world around it.
#[derive(Debug)]
pub enum Output {
    /// A store call.
    Call(Part, store::Ticket, store::Call),
    /// A report about a record or an ownership, with the number of the
    /// ownership within the process.
    Report(id::Slice, u64, journal::Action),
    /// The process has left.
    Left,
}

/// A journal and whether it is recovered.
struct Owned {
    number: u64,
    journal: Journal<Ledger>,
    recovered: bool,
}

/// An entry process without I/O.
pub struct Process {
    /// The registry.
    pub registry: Registry,
    entry: id::Entry,
    limits: Limits,
    budget: Budget,
    rng: ChaCha8Rng,
    owned: BTreeMap<id::Slice, Owned>,
    ownerships: u64,
    next_tick: Instant,
}

enum Todo {
    Registry(ownership::Action),
    Journal(id::Slice, u64, journal::Action),
}

impl Process {
    /// Makes a process that has not started.
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

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) -> Vec<Output> {
        let mut todo = VecDeque::new();
        if self.next_tick <= now {
            self.next_tick = now + ownership::TICK_INTERVAL;
            self.registry(now, ownership::Event::Tick, &mut todo);
        }
        let due = |owned: &Owned| owned.journal.wake().is_some_and(|at| at <= now);
        let slices: Vec<_> = self.owned.iter().filter(|(_, o)| due(o)).collect();
        for slice in slices.into_iter().map(|(s, _)| *s).collect::<Vec<_>>() {
            self.journal(now, slice, journal::Event::Tick, &mut todo);
        }
        self.work(now, todo)
    }

    /// Tells the registry something.
    pub fn tell(&mut self, now: Instant, event: ownership::Event) -> Vec<Output> {
        let mut todo = VecDeque::new();
        self.registry(now, event, &mut todo);
        self.work(now, todo)
    }

    /// Tells the journal of `slice` something.
    pub fn tell_journal(
        &mut self,
        now: Instant,
        slice: id::Slice,
        event: journal::Event<Line>,
    ) -> Vec<Output> {
        let mut todo = VecDeque::new();
        self.journal(now, slice, event, &mut todo);
        self.work(now, todo)
    }

    /// Takes the answer to a call.
    pub fn answer(
        &mut self,
        now: Instant,
        part: Part,
        ticket: store::Ticket,
        answer: store::Answer,
    ) -> Vec<Output> {
        match part {
            Part::Registry => self.tell(now, ownership::Event::Answer { ticket, answer }),
            Part::Journal(slice) => {
                self.tell_journal(now, slice, journal::Event::Answer { ticket, answer })
            }
        }
    }

    fn registry(&mut self, now: Instant, event: ownership::Event, todo: &mut VecDeque<Todo>) {
        let mut actions = Vec::new();
        self.registry.step(now, event, &mut actions);
        todo.extend(actions.into_iter().map(Todo::Registry));
    }

    fn journal(
        &mut self,
        now: Instant,
        slice: id::Slice,
        event: journal::Event<Line>,
        todo: &mut VecDeque<Todo>,
    ) {
        let Some(owned) = self.owned.get_mut(&slice) else {
            return;
        };
        let mut actions = Vec::new();
        let number = owned.number;
        let budget = &mut self.budget;
        owned.journal.step(now, event, budget, &mut actions);
        let actions = actions.into_iter();
        todo.extend(actions.map(|action| Todo::Journal(slice, number, action)));
    }

    fn work(&mut self, now: Instant, mut todo: VecDeque<Todo>) -> Vec<Output> {
        let mut outputs = Vec::new();
        while let Some(next) = todo.pop_front() {
            match next {
                Todo::Registry(action) => self.obey(now, action, &mut todo, &mut outputs),
                Todo::Journal(slice, number, action) => {
                    self.follow(now, slice, &action, &mut todo);
                    outputs.push(match action {
                        journal::Action::Call { ticket, call } => {
                            Output::Call(Part::Journal(slice), ticket, call)
                        }
                        action => Output::Report(slice, number, action),
                    });
                }
            }
        }
        outputs
    }

    /// Carries out an action of the registry.
    fn obey(
        &mut self,
        now: Instant,
        action: ownership::Action,
        todo: &mut VecDeque<Todo>,
        outputs: &mut Vec<Output>,
    ) {
        use ownership::Action;
        match action {
            Action::Call { ticket, call } => {
                outputs.push(Output::Call(Part::Registry, ticket, call));
            }
            Action::Owned(slice) => {
                self.begin(slice);
                self.journal(now, slice, journal::Event::Recover, todo);
            }
            Action::Reclaimed(slice) => self.journal(now, slice, journal::Event::Confirm, todo),
            Action::Lost(slice) => {
                self.journal(now, slice, journal::Event::Revoke, todo);
                self.owned.remove(&slice);
            }
            Action::Release(slice) => {
                let leases_end_in = Millis(0);
                let event = journal::Event::Release { leases_end_in };
                self.journal(now, slice, event, todo);
            }
            Action::Left => outputs.push(Output::Left),
            _ => {}
        }
    }

    fn begin(&mut self, slice: id::Slice) {
        self.ownerships += 1;
        let rng = ChaCha8Rng::seed_from_u64(self.rng.next_u64());
        let owned = Owned {
            number: self.ownerships,
            journal: Journal::new(slice, self.entry.clone(), self.limits, rng),
            recovered: false,
        };
        self.owned.insert(slice, owned);
    }

    /// Tells the registry what an action of a journal means for the slice.
    fn follow(
        &mut self,
        now: Instant,
        slice: id::Slice,
        action: &journal::Action,
        todo: &mut VecDeque<Todo>,
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
                self.registry(now, event, todo);
            }
            Action::Released => {
                self.owned.remove(&slice);
                self.registry(now, ownership::Event::Released(slice), todo);
            }
            Action::Lost { .. } => {
                // If the registry itself revoked the slice, it knows already.
                let removed = self.owned.remove(&slice);
                if removed.is_some() {
                    self.registry(now, ownership::Event::Fenced(slice), todo);
                }
            }
            _ => {}
        }
    }

    /// Makes an append event for the record `id`.
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
