//! The slices that one entry owns.
//!
//! [`Slices`] connects the registry, the journals, the owners and the planner
//! of an entry: it forwards the actions of each of them as events to the others
//! and returns the remaining ones as actions for the process. See
//! `docs/design.md`, section 6.

mod event;
mod step;

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

/// The interval between ticks of the owners and the registry.
const TICK_INTERVAL: Millis = Millis(100);
/// Maximum number of planner decisions in one round, so that a long queue does
/// not block the other work of the control thread.
const DECISIONS_LIMIT: usize = 256;

/// The monotonic and the wall-clock time of one step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// The time of the instance's monotonic clock.
    pub now: Instant,
    /// The wall-clock time.
    pub wall: Wall,
}

/// An event for the registry, a journal or an owner, queued in order of
/// arrival.
enum Event {
    Registry(ownership::Event),
    Journal(id::Slice, journal::Event<owner::Record>),
    Owner(id::Slice, owner::Event),
}

/// A slice that this entry has claimed. It has no owner until its journal is
/// recovered, and none while it is released.
struct Owned {
    journal: Journal<owner::Image>,
    owner: Option<Owner>,
    epoch: id::Epoch,
    claimed_at: Instant,
    authority: Authority,
    /// The owner's ticket of each append, by the journal ticket of the append's
    /// last record.
    appends: BTreeMap<journal::Ticket, owner::Ticket>,
    /// Calls that have not been answered.
    replies: BTreeSet<owner::Reply>,
}

/// The components and settings of [`Slices`].
pub struct Parts {
    /// The name of this entry.
    pub entry: id::Entry,
    /// The ownership registry of this entry, not started yet.
    pub registry: Registry,
    /// The planner that all owners of this entry share.
    pub planner: Planner,
    /// Maximum number of journal writes per second, for all slices together.
    pub writes_per_s: u32,
    /// The random number generator that seeds those of the journals.
    pub rng: ChaCha8Rng,
}

/// The state of all slices of one entry.
pub struct Slices {
    entry: id::Entry,
    registry: Registry,
    planner: Planner,
    budget: Budget,
    owned: BTreeMap<id::Slice, Owned>,
    agents: BTreeMap<id::Worker, placement::Agent>,
    rng: ChaCha8Rng,
    events: VecDeque<Event>,
    last_ticket: u64,
    next_tick: Instant,
    /// Slices whose journal is damaged, with the time of the next retry.
    damaged: Vec<(Instant, id::Slice)>,
    members: Vec<ownership::Member>,
}

impl Slices {
    /// Creates the slices of an entry. The first step registers the entry.
    pub fn new(parts: Parts) -> Self {
        Self {
            entry: parts.entry,
            registry: parts.registry,
            planner: parts.planner,
            budget: Budget::new(parts.writes_per_s, parts.writes_per_s),
            owned: BTreeMap::new(),
            agents: BTreeMap::new(),
            rng: parts.rng,
            events: VecDeque::from([Event::Registry(ownership::Event::Start)]),
            last_ticket: 0,
            next_tick: Instant::default(),
            damaged: Vec::new(),
            members: Vec::new(),
        }
    }

    /// Returns the name of this entry.
    pub fn entry(&self) -> &id::Entry {
        &self.entry
    }

    /// Returns the planner, to read its state.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Returns the slices that this entry serves.
    pub fn served(&self) -> Vec<id::Slice> {
        let served = self.owned.iter().filter(|(_, owned)| owned.owner.is_some());
        served.map(|(slice, _)| *slice).collect()
    }

    /// Returns the number of records that are not durable yet.
    pub fn records_waiting(&self) -> usize {
        self.owned
            .values()
            .map(|owned| owned.journal.pending())
            .sum()
    }

    /// Returns the live entries, as listed in the store.
    pub fn entries(&self) -> Vec<id::Entry> {
        let members = self.members.iter();
        members.map(|member| member.entry.clone()).collect()
    }

    /// Returns since when the store has not answered, if it does not.
    pub fn stalled_since(&self) -> Option<Instant> {
        self.registry.stalled()
    }

    /// Returns the entry that should own a slice, if it is not this one.
    pub fn redirect_target(&self, slice: id::Slice) -> Option<&id::Entry> {
        self.registry
            .preferred(slice)
            .filter(|entry| **entry != self.entry)
    }

    /// Returns whether this entry serves calls for a slice.
    pub fn serves(&self, slice: id::Slice) -> bool {
        self.owned
            .get(&slice)
            .is_some_and(|owned| owned.owner.is_some())
    }

    /// Returns when the next timer of a journal is due.
    pub fn wake(&self) -> Option<Instant> {
        let journals = self.owned.values();
        journals.filter_map(|owned| owned.journal.wake()).min()
    }

    /// Passes a call to the owner of a slice that this entry serves. It is
    /// answered by [`Action::Answer`] or [`Action::Redirect`] with the same
    /// `reply`.
    pub fn call(
        &mut self,
        clock: Clock,
        slice: id::Slice,
        reply: owner::Reply,
        call: job::Call,
        actions: &mut Vec<Action>,
    ) {
        let Some(owned) = self.owned.get_mut(&slice) else {
            actions.push(Action::Redirect { reply });
            return;
        };
        owned.replies.insert(reply);
        let event = owner::Event::Call {
            reply,
            wall: clock.wall,
            call,
        };
        self.handle(clock, Event::Owner(slice, event), actions);
    }

    /// Handles an agent's report on an attempt.
    pub fn handle_report(
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
        self.handle(clock, Event::Owner(slice, event), actions);
    }

    /// Handles an agent's answer to [`Action::Adopt`]. An answer for another
    /// epoch is stale and is ignored.
    pub fn handle_inventory(
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
            self.handle(clock, Event::Owner(slice, event), actions);
        }
    }

    /// Records the state of an agent and reports changes to the owners.
    pub fn update_agent(
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
                self.notify_owners(clock, event, actions);
            }
            State::Suspect => self.planner.set_liveness(&worker, Liveness::Suspect),
            State::Down => {
                self.planner.set_liveness(&worker, Liveness::Down);
                self.agents.remove(&worker);
                let event = || owner::Event::AgentDown {
                    worker: worker.clone(),
                };
                self.notify_owners(clock, event, actions);
            }
        }
    }

    /// Records the load of an agent.
    pub fn update_load(&mut self, worker: &id::Worker, load: Load) {
        self.planner
            .record_heartbeat(worker, load.free, load.slots_used, load.leaving);
    }

    /// Records the observed peak resource usage of services.
    pub fn record_peaks(&mut self, peaks: Vec<Peak>) {
        for Peak { service, peak } in peaks {
            self.planner.record_peak(&service, peak);
        }
    }

    /// Applies a configuration.
    pub fn configure(&mut self, snapshot: &Snapshot) {
        self.planner.configure(snapshot);
    }

    /// Handles the store's answer to [`Action::Store`] or
    /// [`Action::StoreChunk`].
    pub fn handle_store_answer(
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
            Source::Chunk(slice) => Event::Owner(slice, event::chunk_stored(ticket, &answer)),
            Source::Fetch(slice) => Event::Owner(slice, event::chunk_fetched(ticket, answer)),
        };
        self.handle(clock, event, actions);
    }

    /// Starts to hand over all slices. [`Action::Left`] reports the end.
    pub fn leave(&mut self, clock: Clock, actions: &mut Vec<Action>) {
        self.handle(clock, Event::Registry(ownership::Event::Leave), actions);
    }

    /// Advances the timers. Must be called at [`Slices::wake`] and at least
    /// every 100 ms.
    pub fn tick(&mut self, clock: Clock, actions: &mut Vec<Action>) {
        let due: Vec<id::Slice> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.journal.wake().is_some_and(|wake| wake <= clock.now))
            .map(|(slice, _)| *slice)
            .collect();
        for slice in due {
            self.handle(clock, Event::Journal(slice, journal::Event::Tick), actions);
        }
        if clock.now < self.next_tick {
            self.process_events(clock, actions);
            return;
        }
        self.next_tick = clock.now + TICK_INTERVAL;
        self.retry_damaged(clock.now);
        self.handle(clock, Event::Registry(ownership::Event::Tick), actions);
        let wall = clock.wall;
        self.notify_owners(clock, || owner::Event::Tick { wall }, actions);
    }

    fn epoch(&self, slice: id::Slice) -> Option<id::Epoch> {
        self.owned.get(&slice).map(|owned| owned.epoch)
    }

    fn notify_owners(
        &mut self,
        clock: Clock,
        event: impl Fn() -> owner::Event,
        actions: &mut Vec<Action>,
    ) {
        for slice in self.owned.keys() {
            self.events.push_back(Event::Owner(*slice, event()));
        }
        self.process_events(clock, actions);
    }

    fn handle(&mut self, clock: Clock, event: Event, actions: &mut Vec<Action>) {
        self.events.push_back(event);
        self.process_events(clock, actions);
    }

    /// Processes queued events, and decisions of the planner, until none are
    /// left.
    fn process_events(&mut self, clock: Clock, actions: &mut Vec<Action>) {
        loop {
            while let Some(event) = self.events.pop_front() {
                match event {
                    Event::Registry(event) => self.step_registry(clock, event, actions),
                    Event::Journal(slice, event) => self.step_journal(clock, slice, event, actions),
                    Event::Owner(slice, event) => self.step_owner(clock, slice, event, actions),
                }
            }
            self.run_planner(clock.now);
            if self.events.is_empty() {
                return;
            }
        }
    }

    fn run_planner(&mut self, now: Instant) {
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
