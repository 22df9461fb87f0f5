//! The slices that one entry owns.
//!
//! [`Slices`] joins the registry, the journals, the owners and the planner of
//! an entry: it passes what one of them asks for to the one that it concerns,
//! and returns what is left as actions for the process. See `docs/design.md`,
//! section 6.

mod event;
mod join;

use {
    crate::{
        attempt::{self, Attempt},
        job,
        journal::{self, Budget, Journal},
        membership::{Load, State},
        owner::{self, Authority, Owner},
        ownership::{self, Registry},
        placement::{self, Decision, Liveness, Peak, Planner},
        store,
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        time::{Instant, Wall},
        unit::Millis,
    },
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

pub use event::{Action, Note, Source};

/// How often owners and the registry are told that time has passed.
const TICK: Millis = Millis(100);
/// Decisions of the planner in one round, so that a long queue does not keep
/// the control thread from its other work.
const DECISIONS_LIMIT: usize = 256;

/// The clocks at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// The instance's monotonic clock.
    pub now: Instant,
    /// The wall clock.
    pub wall: Wall,
}

/// Something that a machine of a slice is told, in the order of its arrival.
enum Event {
    Registry(ownership::Event),
    Journal(id::Slice, journal::Event<owner::Record>),
    Owner(id::Slice, owner::Event),
}

/// One slice that this entry owns.
struct Held {
    journal: Journal<owner::Image>,
    owner: Option<Owner>,
    epoch: id::Epoch,
    claimed_at: Instant,
    authority: Authority,
    /// The last record of each append, by its ticket in the journal.
    appends: BTreeMap<journal::Ticket, owner::Ticket>,
    /// Callers that wait for an answer.
    replies: BTreeSet<owner::Reply>,
}

/// What [`Slices`] is made of.
pub struct Parts {
    /// The entry.
    pub entry: id::Entry,
    /// Its registry, which has not been started.
    pub registry: Registry,
    /// The planner that all its owners share.
    pub planner: Planner,
    /// The writes that its journals may make in a second.
    pub writes_per_s: u32,
    /// The source of its journals' randomness.
    pub rng: ChaCha8Rng,
}

/// All slices of one entry.
pub struct Slices {
    entry: id::Entry,
    registry: Registry,
    planner: Planner,
    budget: Budget,
    held: BTreeMap<id::Slice, Held>,
    agents: BTreeMap<id::Worker, placement::Agent>,
    rng: ChaCha8Rng,
    events: VecDeque<Event>,
    next_record: u64,
    next_tick: Instant,
    /// Slices that could not be recovered, and when to try again.
    damaged: Vec<(Instant, id::Slice)>,
    listed: Vec<ownership::Member>,
}

impl Slices {
    /// Puts the parts together; the first step makes the entry take part.
    pub fn new(parts: Parts) -> Self {
        Self {
            entry: parts.entry,
            registry: parts.registry,
            planner: parts.planner,
            budget: Budget::new(parts.writes_per_s, parts.writes_per_s),
            held: BTreeMap::new(),
            agents: BTreeMap::new(),
            rng: parts.rng,
            events: VecDeque::from([Event::Registry(ownership::Event::Start)]),
            next_record: 0,
            next_tick: Instant::default(),
            damaged: Vec::new(),
            listed: Vec::new(),
        }
    }

    /// Returns this entry.
    pub fn entry(&self) -> &id::Entry {
        &self.entry
    }

    /// Returns the planner, for what it knows.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Returns the slices that this entry serves.
    pub fn owned(&self) -> Vec<id::Slice> {
        let served = self.held.iter().filter(|(_, held)| held.owner.is_some());
        served.map(|(slice, _)| *slice).collect()
    }

    /// Returns how many records wait to be made durable.
    pub fn records_waiting(&self) -> usize {
        self.held.values().map(|held| held.journal.pending()).sum()
    }

    /// Returns the live entries as the store lists them.
    pub fn entries(&self) -> Vec<id::Entry> {
        let members = self.listed.iter();
        members.map(|member| member.entry.clone()).collect()
    }

    /// Returns since when the store has not answered.
    pub fn stalled(&self) -> Option<Instant> {
        self.registry.stalled()
    }

    /// Returns the entry that a slice belongs to, if it is another one.
    pub fn elsewhere(&self, slice: id::Slice) -> Option<&id::Entry> {
        self.registry
            .preferred(slice)
            .filter(|entry| **entry != self.entry)
    }

    /// Tells whether this entry serves calls for a slice.
    pub fn serves(&self, slice: id::Slice) -> bool {
        self.held
            .get(&slice)
            .is_some_and(|held| held.owner.is_some())
    }

    /// Returns when a journal wants to be told that time has passed.
    pub fn wake(&self) -> Option<Instant> {
        let journals = self.held.values();
        journals.filter_map(|held| held.journal.wake()).min()
    }

    /// Passes a call to the owner of a slice that this entry serves. It is
    /// followed by [`Action::Answer`] or [`Action::Dropped`] with `reply`.
    pub fn call(
        &mut self,
        clock: Clock,
        slice: id::Slice,
        reply: owner::Reply,
        call: job::Call,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.held.get_mut(&slice) else {
            actions.push(Action::Dropped { reply });
            return;
        };
        held.replies.insert(reply);
        let event = owner::Event::Call {
            reply,
            wall: clock.wall,
            call,
        };
        self.run(clock, Event::Owner(slice, event), actions);
    }

    /// Takes a report of an agent.
    pub fn report(
        &mut self,
        clock: Clock,
        worker: id::Worker,
        slice: id::Slice,
        attempt: Attempt,
        report: attempt::Report,
        actions: &mut Vec<Action>,
    ) {
        let event = owner::Event::Report {
            worker,
            attempt,
            report,
        };
        self.run(clock, Event::Owner(slice, event), actions);
    }

    /// Takes an agent's answer to `Adopt`; one for another epoch is stale.
    pub fn inventory(
        &mut self,
        clock: Clock,
        worker: id::Worker,
        slice: id::Slice,
        epoch: id::Epoch,
        attempts: Vec<(Attempt, attempt::Phase)>,
        actions: &mut Vec<Action>,
    ) {
        if self.epoch(slice) == Some(epoch) {
            let event = owner::Event::Inventory { worker, attempts };
            self.run(clock, Event::Owner(slice, event), actions);
        }
    }

    /// Takes note of an agent's state.
    pub fn agent(
        &mut self,
        clock: Clock,
        agent: placement::Agent,
        state: State,
        actions: &mut Vec<Action>,
    ) {
        let worker = agent.worker.clone();
        let incarnation = agent.incarnation;
        match state {
            State::Alive => {
                let known = self.agents.get(&worker);
                if known.is_none_or(|known| known.incarnation != incarnation) {
                    self.planner.register_agent(clock.now, agent.clone());
                    self.agents.insert(worker.clone(), agent);
                }
                self.planner.set_liveness(&worker, Liveness::Up);
                let event = || owner::Event::AgentConnected {
                    worker: worker.clone(),
                    incarnation,
                };
                self.tell_owners(clock, event, actions);
            }
            State::Suspect => self.planner.set_liveness(&worker, Liveness::Suspect),
            State::Down => {
                self.planner.set_liveness(&worker, Liveness::Down);
                self.agents.remove(&worker);
                let event = || owner::Event::AgentDown {
                    worker: worker.clone(),
                };
                self.tell_owners(clock, event, actions);
            }
        }
    }

    /// Takes note of an agent's load.
    pub fn load(&mut self, worker: &id::Worker, load: Load) {
        self.planner
            .record_heartbeat(worker, load.free, load.slots_used, load.leaving);
    }

    /// Takes note of what kinds of tasks were seen to use.
    pub fn observe(&mut self, peaks: Vec<Peak>) {
        for Peak { service, peak } in peaks {
            self.planner.record_peak(&service, peak);
        }
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, snapshot: &Snapshot) {
        self.planner.configure(snapshot);
    }

    /// Takes an answer of the store to [`Action::Store`] or
    /// [`Action::StoreChunk`].
    pub fn stored(
        &mut self,
        clock: Clock,
        source: Source,
        ticket: store::Ticket,
        answer: store::Answer,
        actions: &mut Vec<Action>,
    ) {
        let event = match source {
            Source::Registry => Event::Registry(ownership::Event::Answer { ticket, answer }),
            Source::Journal(slice) => {
                Event::Journal(slice, journal::Event::Answer { ticket, answer })
            }
            Source::Chunk(slice) => Event::Owner(slice, event::stored(ticket, &answer)),
            Source::Fetch(slice) => Event::Owner(slice, event::fetched(ticket, answer)),
        };
        self.run(clock, event, actions);
    }

    /// Hands every slice over; [`Action::Left`] follows.
    pub fn leave(&mut self, clock: Clock, actions: &mut Vec<Action>) {
        self.run(clock, Event::Registry(ownership::Event::Leave), actions);
    }

    /// Tells the machines that time has passed; due at [`Slices::wake`] and at
    /// least every 100 ms.
    pub fn tick(&mut self, clock: Clock, actions: &mut Vec<Action>) {
        let due: Vec<id::Slice> = self
            .held
            .iter()
            .filter(|(_, held)| held.journal.wake().is_some_and(|wake| wake <= clock.now))
            .map(|(slice, _)| *slice)
            .collect();
        for slice in due {
            self.run(clock, Event::Journal(slice, journal::Event::Tick), actions);
        }
        if clock.now < self.next_tick {
            self.drain(clock, actions);
            return;
        }
        self.next_tick = clock.now + TICK;
        self.retry_damaged(clock.now);
        self.run(clock, Event::Registry(ownership::Event::Tick), actions);
        let wall = clock.wall;
        self.tell_owners(clock, || owner::Event::Tick { wall }, actions);
    }

    fn epoch(&self, slice: id::Slice) -> Option<id::Epoch> {
        self.held.get(&slice).map(|held| held.epoch)
    }

    fn tell_owners(
        &mut self,
        clock: Clock,
        event: impl Fn() -> owner::Event,
        actions: &mut Vec<Action>,
    ) {
        for slice in self.held.keys() {
            self.events.push_back(Event::Owner(*slice, event()));
        }
        self.drain(clock, actions);
    }

    fn run(&mut self, clock: Clock, event: Event, actions: &mut Vec<Action>) {
        self.events.push_back(event);
        self.drain(clock, actions);
    }

    /// Steps the machines until none of them has anything left to tell.
    fn drain(&mut self, clock: Clock, actions: &mut Vec<Action>) {
        loop {
            while let Some(event) = self.events.pop_front() {
                match event {
                    Event::Registry(event) => self.step_registry(clock, event, actions),
                    Event::Journal(slice, event) => self.step_journal(clock, slice, event, actions),
                    Event::Owner(slice, event) => self.step_owner(clock, slice, event, actions),
                }
            }
            self.decide(clock.now);
            if self.events.is_empty() {
                return;
            }
        }
    }

    fn decide(&mut self, now: Instant) {
        if self.planner.waiting_count() == 0 {
            return;
        }
        let mut decisions = Vec::new();
        self.planner.decide(now, DECISIONS_LIMIT, &mut decisions);
        for decision in decisions {
            let slice = Decision::slice(&decision);
            let event = owner::Event::Decision(decision);
            self.events.push_back(Event::Owner(slice, event));
        }
    }
}
