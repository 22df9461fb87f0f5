//! One entry process: the machines of its slices, joined as the product joins
//! them, without I/O.

use {
    filbertbend_coordination::{
        attempt::{self, Attempt},
        job,
        journal::{self, Budget, Journal, Limits, Predecessor},
        membership::State,
        owner::{self, Authority, Owner, Recovery},
        ownership::{self, Registry, OWNERSHIP_HORIZON},
        placement::{Agent, Liveness, Planner, Settings},
        store::{Answer, Call, Expect, Ticket},
    },
    filbertbend_state::{
        config::Snapshot,
        hash, id,
        time::{Instant, Wall},
        unit::Millis,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, VecDeque},
};

/// The wall clock at the start of every session.
const WALL: Wall = Wall(1_800_000_000_000);
const WRITES_PER_S: u32 = 100;

/// The part of an entry that made a store call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    Registry,
    Journal(id::Slice),
    Chunk(id::Slice),
    Fetch(id::Slice),
    Delete,
}

/// What an entry asks the session to do.
pub(crate) enum Output {
    Store(Source, Ticket, Call),
    Command(id::Worker, id::Slice, id::Epoch, Attempt, attempt::Command),
    Adopt(id::Worker, id::Slice, id::Epoch),
    Answer(u64, job::Answer),
    Count(owner::Counter),
    Note(String),
    /// Callers that wait for this slice ask the next owner.
    Disowned(id::Slice),
    Left,
}

/// Something that a machine of the entry is told.
pub(crate) enum Event {
    Registry(ownership::Event),
    Journal(id::Slice, journal::Event<owner::Record>),
    Owner(id::Slice, owner::Event),
}

struct Held {
    journal: Journal<owner::Image>,
    owner: Option<Owner>,
    epoch: id::Epoch,
    claimed_at: Instant,
    authority: Authority,
    appends: BTreeMap<u64, owner::Ticket>,
}

pub(crate) struct Entry {
    pub(crate) planner: Planner,
    pub(crate) outputs: Vec<Output>,
    name: id::Entry,
    registry: Registry,
    budget: Budget,
    slices: BTreeMap<id::Slice, Held>,
    seen: BTreeMap<id::Worker, (Agent, State)>,
    rng: ChaCha8Rng,
    events: VecDeque<Event>,
    next_record: u64,
}

/// Returns the wall clock.
pub(crate) fn wall(now: Instant) -> Wall {
    WALL + Millis(now.0)
}

impl Entry {
    pub(crate) fn new(name: id::Entry, life: u64, local: id::DataCentre, slices: u16) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(hash::of(format!("{name}/{life}")));
        let address = format!("{name}:1").into_bytes();
        let own = ChaCha8Rng::from_rng(&mut rng);
        Self {
            planner: Planner::new(Settings {
                local,
                remote_cost: Millis(2000),
                slices_owned: 0,
                slices,
            }),
            outputs: Vec::new(),
            registry: Registry::new(name.clone(), address, slices, own),
            name,
            budget: Budget::new(WRITES_PER_S, WRITES_PER_S),
            slices: BTreeMap::new(),
            seen: BTreeMap::new(),
            rng,
            events: VecDeque::new(),
            next_record: 0,
        }
    }

    pub(crate) fn serves(&self, slice: id::Slice) -> bool {
        self.slices
            .get(&slice)
            .is_some_and(|held| held.owner.is_some())
    }

    pub(crate) fn configure(&mut self, snapshot: &Snapshot) {
        self.planner.configure(snapshot);
    }

    /// Returns when a journal wants a tick.
    pub(crate) fn wake(&self) -> Option<Instant> {
        self.slices
            .values()
            .filter_map(|held| held.journal.wake())
            .min()
    }

    pub(crate) fn wake_journals(&mut self, now: Instant) {
        let due = |held: &Held| held.journal.wake().is_some_and(|wake| wake <= now);
        let due: Vec<_> = self
            .slices
            .iter()
            .filter(|(_, held)| due(held))
            .map(|(s, _)| *s)
            .collect();
        for slice in due {
            self.run(now, Event::Journal(slice, journal::Event::Tick));
        }
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        self.run(now, Event::Registry(ownership::Event::Tick));
        self.tell_owners(now, |_| owner::Event::Tick { wall: wall(now) });
    }

    pub(crate) fn stored(&mut self, now: Instant, source: Source, ticket: Ticket, answer: Answer) {
        let owner_ticket = owner::Ticket(ticket.0);
        let event = match source {
            Source::Registry => Event::Registry(ownership::Event::Answer { ticket, answer }),
            Source::Journal(slice) => {
                Event::Journal(slice, journal::Event::Answer { ticket, answer })
            }
            Source::Chunk(slice) => {
                let written = matches!(answer, Answer::Written(_) | Answer::Conflict(Some(_)));
                Event::Owner(
                    slice,
                    owner::Event::Stored {
                        ticket: owner_ticket,
                        written,
                    },
                )
            }
            Source::Fetch(slice) => {
                let value = match answer {
                    Answer::Value(Some(pair)) => Some(pair.value),
                    _ => None,
                };
                Event::Owner(
                    slice,
                    owner::Event::Fetched {
                        ticket: owner_ticket,
                        value,
                    },
                )
            }
            Source::Delete => return,
        };
        self.run(now, event);
    }

    pub(crate) fn inventory(
        &mut self,
        now: Instant,
        worker: id::Worker,
        slice: id::Slice,
        epoch: id::Epoch,
        attempts: Vec<(Attempt, attempt::Phase)>,
    ) {
        if self
            .slices
            .get(&slice)
            .is_some_and(|held| held.epoch == epoch)
        {
            self.run(
                now,
                Event::Owner(slice, owner::Event::Inventory { worker, attempts }),
            );
        }
    }

    /// Takes note of an agent's state, if it has changed.
    pub(crate) fn agent(&mut self, now: Instant, agent: &Agent, state: State) {
        let worker = agent.worker.clone();
        let before = self.seen.insert(worker.clone(), (agent.clone(), state));
        if before.as_ref() == Some(&(agent.clone(), state)) {
            return;
        }
        match state {
            State::Alive => {
                if before.is_none_or(|(known, state)| state == State::Down || known != *agent) {
                    self.planner.agent(now, agent.clone());
                }
                self.planner.set_liveness(&worker, Liveness::Up);
                let incarnation = agent.incarnation;
                self.tell_owners(now, |_| owner::Event::Agent {
                    worker: worker.clone(),
                    incarnation,
                });
            }
            State::Suspect => self.planner.set_liveness(&worker, Liveness::Suspect),
            State::Down => {
                self.planner.set_liveness(&worker, Liveness::Down);
                self.tell_owners(now, |_| owner::Event::Down {
                    worker: worker.clone(),
                });
            }
        }
    }

    fn tell_owners(&mut self, now: Instant, event: impl Fn(id::Slice) -> owner::Event) {
        for slice in self.slices.keys() {
            self.events.push_back(Event::Owner(*slice, event(*slice)));
        }
        self.drain(now);
    }

    pub(crate) fn run(&mut self, now: Instant, event: Event) {
        self.events.push_back(event);
        self.drain(now);
    }

    fn drain(&mut self, now: Instant) {
        loop {
            while let Some(event) = self.events.pop_front() {
                match event {
                    Event::Registry(event) => self.step_registry(now, event),
                    Event::Journal(slice, event) => self.step_journal(now, slice, event),
                    Event::Owner(slice, event) => self.step_owner(now, slice, event),
                }
            }
            let mut decisions = Vec::new();
            self.planner.decide(now, 256, &mut decisions);
            for decision in decisions {
                let slice = decision.slice();
                self.events
                    .push_back(Event::Owner(slice, owner::Event::Decision(decision)));
            }
            if self.events.is_empty() {
                return;
            }
        }
    }

    fn step_registry(&mut self, now: Instant, event: ownership::Event) {
        use ownership::Action;
        let mut actions = Vec::new();
        self.registry.step(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Call { ticket, call } => {
                    self.outputs
                        .push(Output::Store(Source::Registry, ticket, call))
                }
                Action::Owned(slice) => self.own(now, slice),
                Action::Reclaimed(slice) => self
                    .events
                    .push_back(Event::Journal(slice, journal::Event::Confirm)),
                Action::Lost(slice) => {
                    self.note(format!("lost slice {slice}"));
                    self.step_journal(now, slice, journal::Event::Revoke);
                    self.disown(slice);
                }
                Action::Release(slice) => self.release(now, slice),
                Action::Roster(members) => {
                    let names: Vec<_> = members
                        .iter()
                        .map(|member| member.entry.to_string())
                        .collect();
                    self.note(format!("entries: {}", names.join(" ")));
                }
                Action::Damaged { key } => self.note(format!("damaged: {key}")),
                Action::NameTaken => self.note("name taken"),
                Action::Stalled { .. } => self.note("store silent"),
                Action::Resumed => self.note("store answers again"),
                Action::Left => self.outputs.push(Output::Left),
            }
        }
        for (slice, held) in &mut self.slices {
            let authority = authority(&self.registry, *slice);
            if held.owner.is_some() && held.authority != authority {
                held.authority = authority;
                self.events
                    .push_back(Event::Owner(*slice, owner::Event::Authority(authority)));
            }
        }
    }

    fn note(&mut self, text: impl Into<String>) {
        self.outputs.push(Output::Note(text.into()));
    }

    fn own(&mut self, now: Instant, slice: id::Slice) {
        let rng = ChaCha8Rng::from_rng(&mut self.rng);
        let held = Held {
            journal: Journal::new(slice, self.name.clone(), Limits::default(), rng),
            owner: None,
            epoch: id::Epoch::default(),
            claimed_at: now,
            authority: Authority::default(),
            appends: BTreeMap::new(),
        };
        self.slices.insert(slice, held);
        self.planner.set_slices_owned(self.slices.len() as u16);
        self.events
            .push_back(Event::Journal(slice, journal::Event::Recover));
    }

    fn disown(&mut self, slice: id::Slice) {
        if self.slices.remove(&slice).is_some() {
            self.outputs.push(Output::Disowned(slice));
            self.planner.forget_slice(slice);
            self.planner.set_slices_owned(self.slices.len() as u16);
        }
    }

    fn release(&mut self, now: Instant, slice: id::Slice) {
        let Some(held) = self.slices.get_mut(&slice) else {
            self.events
                .push_back(Event::Registry(ownership::Event::Released(slice)));
            return;
        };
        let owner = held.owner.take();
        self.outputs.push(Output::Disowned(slice));
        let leases_end_in = owner.map_or(OWNERSHIP_HORIZON, |owner| owner.lease_remaining(now));
        self.events.push_back(Event::Journal(
            slice,
            journal::Event::Release { leases_end_in },
        ));
    }

    fn step_journal(
        &mut self,
        now: Instant,
        slice: id::Slice,
        event: journal::Event<owner::Record>,
    ) {
        use journal::Action;
        let Some(held) = self.slices.get_mut(&slice) else {
            return;
        };
        let mut actions = Vec::new();
        held.journal
            .step(now, event, &mut self.budget, &mut actions);
        for action in actions {
            match action {
                Action::Call { ticket, call } => {
                    self.outputs
                        .push(Output::Store(Source::Journal(slice), ticket, call))
                }
                Action::Recovered { epoch, predecessor } => {
                    self.recover(now, slice, epoch, predecessor)
                }
                Action::Confirmed { at } => {
                    let event = ownership::Event::Confirmed { slice, at };
                    self.events.push_back(Event::Registry(event));
                }
                Action::Durable { ticket } => self.settle(slice, ticket, owner::Event::Durable),
                Action::NotWritten { ticket, .. } => {
                    self.settle(slice, ticket, owner::Event::NotWritten)
                }
                Action::Unknown { .. } | Action::Kept { .. } => {}
                Action::Stalled { .. } => self.store_available(slice, false),
                Action::Resumed => self.store_available(slice, true),
                Action::Released => {
                    self.note(format!("released slice {slice}"));
                    self.disown(slice);
                    self.events
                        .push_back(Event::Registry(ownership::Event::Released(slice)));
                }
                Action::Lost { .. } => {
                    self.note(format!("fenced out of slice {slice}"));
                    self.lose(now, slice);
                    self.events
                        .push_back(Event::Registry(ownership::Event::Fenced(slice)));
                }
                Action::Failed(error) => {
                    self.note(format!("journal of slice {slice} damaged: {error}"));
                    self.lose(now, slice);
                }
            }
        }
    }

    fn store_available(&mut self, slice: id::Slice, available: bool) {
        self.events
            .push_back(Event::Owner(slice, owner::Event::Store { available }));
    }

    fn settle(
        &mut self,
        slice: id::Slice,
        ticket: journal::Ticket,
        event: impl Fn(owner::Ticket) -> owner::Event,
    ) {
        let held = self.slices.get_mut(&slice);
        if let Some(append) = held.and_then(|held| held.appends.remove(&ticket.0)) {
            self.events.push_back(Event::Owner(slice, event(append)));
        }
    }

    fn lose(&mut self, now: Instant, slice: id::Slice) {
        let lost = owner::Event::Lost {
            not_written: Vec::new(),
            unknown: Vec::new(),
        };
        self.step_owner(now, slice, lost);
        self.disown(slice);
    }

    fn recover(
        &mut self,
        now: Instant,
        slice: id::Slice,
        epoch: id::Epoch,
        predecessor: Predecessor,
    ) {
        let Some(held) = self.slices.get_mut(&slice) else {
            return;
        };
        held.epoch = epoch;
        held.authority = authority(&self.registry, slice);
        let (before, hold) = match predecessor {
            Predecessor::None => ("nobody", Millis::ZERO),
            Predecessor::Released { leases_end_in } => ("a hand-over", leases_end_in),
            Predecessor::Vanished => ("a vanished owner", OWNERSHIP_HORIZON),
        };
        let recovery = Recovery {
            slice,
            image: held.journal.image().cloned().unwrap_or_default(),
            wall: wall(now),
            authority: held.authority,
            claimed_at: held.claimed_at,
            hold,
        };
        let jobs = recovery.image.jobs().count();
        let mut actions = Vec::new();
        held.owner = Some(Owner::recover(
            now,
            recovery,
            &mut self.planner,
            &mut actions,
        ));
        self.note(format!(
            "owns slice {slice} in epoch {epoch} after {before}, {jobs} jobs, hold {} ms",
            hold.0
        ));
        self.act(slice, actions);
        for (agent, state) in self.seen.values() {
            if *state != State::Down {
                let worker = agent.worker.clone();
                let event = owner::Event::Agent {
                    worker,
                    incarnation: agent.incarnation,
                };
                self.events.push_back(Event::Owner(slice, event));
            }
        }
    }

    fn step_owner(&mut self, now: Instant, slice: id::Slice, event: owner::Event) {
        let held = self.slices.get_mut(&slice);
        let Some(owner) = held.and_then(|held| held.owner.as_mut()) else {
            return;
        };
        let mut actions = Vec::new();
        owner.step(now, event, &mut self.planner, &mut actions);
        self.act(slice, actions);
    }

    fn act(&mut self, slice: id::Slice, actions: Vec<owner::Action>) {
        use owner::Action;
        let epoch = self
            .slices
            .get(&slice)
            .map_or_else(id::Epoch::default, |held| held.epoch);
        for action in actions {
            let output = match action {
                Action::Append { ticket, records } => {
                    self.append(slice, ticket, records);
                    continue;
                }
                Action::Send {
                    worker,
                    attempt,
                    command,
                } => Output::Command(worker, slice, epoch, attempt, command),
                Action::Adopt { worker } => Output::Adopt(worker, slice, epoch),
                Action::Answer { reply, answer } => Output::Answer(reply.0, answer),
                Action::Store { ticket, key, value } => {
                    let call = Call::Put {
                        key,
                        value,
                        expect: Expect::Absent,
                        lease: None,
                    };
                    Output::Store(Source::Chunk(slice), Ticket(ticket.0), call)
                }
                Action::Fetch { ticket, key } => {
                    Output::Store(Source::Fetch(slice), Ticket(ticket.0), Call::Get { key })
                }
                Action::Delete { key } => Output::Store(
                    Source::Delete,
                    Ticket(0),
                    Call::Delete { key, version: None },
                ),
                Action::Count(counter) => Output::Count(counter),
            };
            self.outputs.push(output);
        }
    }

    fn append(&mut self, slice: id::Slice, ticket: owner::Ticket, records: Vec<owner::Record>) {
        let Some(held) = self.slices.get_mut(&slice) else {
            return;
        };
        for record in records {
            self.next_record += 1;
            let event = journal::Event::Append {
                ticket: journal::Ticket(self.next_record),
                record,
            };
            self.events.push_back(Event::Journal(slice, event));
        }
        held.appends.insert(self.next_record, ticket);
    }
}

fn authority(registry: &Registry, slice: id::Slice) -> Authority {
    Authority {
        first_grants_until: registry.first_grants_until(slice).unwrap_or_default(),
        renewals_until: registry.grant_limit(slice).unwrap_or_default(),
    }
}
