//! The slices that this entry owns: joins the registry, the journals, the
//! owners and the planner, and carries their actions out.

use {
    super::{
        control::{Routed, Source},
        desk::Desk,
        store::Calls,
    },
    filbertbend_coordination::{
        attempt::{self, Attempt},
        job,
        journal::{self, Budget, Journal, Limits, Predecessor},
        membership::{Load, State},
        owner::{self, Authority, Owner, Recovery},
        ownership::{self, Registry, OWNERSHIP_HORIZON},
        placement::{self, Decision, Liveness, Peak, Planner},
        store,
    },
    filbertbend_protocol::message::Control,
    filbertbend_state::{config::Snapshot, id, time::Instant, unit::Millis},
    filbertbend_transport::clock,
    metrics::{counter, gauge},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    spdlog::prelude::*,
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::Arc,
    },
    tokio::sync::oneshot,
};

/// How often owners and the registry are told that time has passed.
const TICK: Millis = Millis(100);
/// How long a slice with a damaged journal is left alone.
const DAMAGED_PAUSE: Millis = Millis::from_secs(30);
/// Decisions of the planner in one round, so that a long queue does not keep
/// the control thread from its other work.
const DECISIONS_LIMIT: usize = 256;

/// Something that a machine of a slice is told, in the order of its arrival.
enum Event {
    Registry(ownership::Event),
    Journal(id::Slice, journal::Event<owner::Record>),
    Owner(id::Slice, owner::Event),
}

/// One slice that this entry owns.
struct Slice {
    journal: Journal<owner::Image>,
    owner: Option<Owner>,
    epoch: id::Epoch,
    claimed_at: Instant,
    authority: Authority,
    /// The last record of each append, by its ticket in the journal.
    appends: HashMap<journal::Ticket, owner::Ticket>,
    /// Callers that wait for an answer.
    replies: HashMap<owner::Reply, oneshot::Sender<Routed>>,
}

/// All slices of this entry.
pub(crate) struct Slices {
    entry: id::Entry,
    registry: Registry,
    planner: Planner,
    budget: Budget,
    slices: BTreeMap<id::Slice, Slice>,
    agents: BTreeMap<id::Worker, placement::Agent>,
    desk: Arc<Desk>,
    calls: Calls,
    rng: ChaCha8Rng,
    events: VecDeque<Event>,
    next_reply: u64,
    next_record: u64,
    next_tick: Instant,
    left: Option<oneshot::Sender<()>>,
    /// Slices that could not be recovered, and when to try again.
    damaged: Vec<(Instant, id::Slice)>,
    listed: Vec<ownership::Member>,
    roster_changed: bool,
}

/// What [`Slices`] is made of.
pub(crate) struct Parts {
    pub(crate) entry: id::Entry,
    pub(crate) registry: Registry,
    pub(crate) planner: Planner,
    pub(crate) writes_per_s: u32,
    pub(crate) desk: Arc<Desk>,
    pub(crate) calls: Calls,
    pub(crate) rng: ChaCha8Rng,
}

impl Slices {
    /// Puts the parts together and starts to take part.
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            entry: parts.entry,
            registry: parts.registry,
            planner: parts.planner,
            budget: Budget::new(parts.writes_per_s, parts.writes_per_s),
            slices: BTreeMap::new(),
            agents: BTreeMap::new(),
            desk: parts.desk,
            calls: parts.calls,
            rng: parts.rng,
            events: VecDeque::from([Event::Registry(ownership::Event::Start)]),
            next_reply: 0,
            next_record: 0,
            next_tick: Instant::default(),
            left: None,
            damaged: Vec::new(),
            listed: Vec::new(),
            roster_changed: false,
        }
    }

    /// Returns this entry.
    pub(crate) fn entry(&self) -> &id::Entry {
        &self.entry
    }

    /// Returns the slices that this entry serves.
    pub(crate) fn owned(&self) -> Vec<id::Slice> {
        let served = self.slices.iter().filter(|(_, held)| held.owner.is_some());
        served.map(|(slice, _)| *slice).collect()
    }

    /// Returns the number of tasks that wait for a worker.
    pub(crate) fn tasks_waiting(&self) -> usize {
        self.planner.waiting()
    }

    /// Returns the live entries as the store lists them.
    pub(crate) fn entries(&self) -> Vec<id::Entry> {
        let members = self.listed.iter();
        members.map(|member| member.entry.clone()).collect()
    }

    /// Returns since when the store has not answered.
    pub(crate) fn stalled(&self) -> Option<Instant> {
        self.registry.stalled()
    }

    /// Returns the entry that a slice belongs to, if it is another one.
    pub(crate) fn elsewhere(&self, slice: id::Slice) -> Option<&id::Entry> {
        self.registry
            .preferred(slice)
            .filter(|entry| **entry != self.entry)
    }

    /// Returns the live entries if they have changed since the last call.
    pub(crate) fn take_roster(&mut self) -> Option<Vec<ownership::Member>> {
        std::mem::take(&mut self.roster_changed).then(|| self.listed.clone())
    }

    /// Tells whether this entry serves calls for a slice.
    pub(crate) fn serves(&self, slice: id::Slice) -> bool {
        self.slices
            .get(&slice)
            .is_some_and(|slice| slice.owner.is_some())
    }

    /// Passes a call to the owner of a slice that this entry serves.
    pub(crate) fn call(
        &mut self,
        now: Instant,
        slice: id::Slice,
        call: job::Call,
        reply: oneshot::Sender<Routed>,
    ) {
        let Some(held) = self.slices.get_mut(&slice) else {
            let _ = reply.send(Routed::NoOwner);
            return;
        };
        self.next_reply += 1;
        let number = owner::Reply(self.next_reply);
        held.replies.insert(number, reply);
        let event = owner::Event::Call {
            reply: number,
            wall: clock::wall(),
            call,
        };
        self.run(now, Event::Owner(slice, event));
    }

    /// Takes a report of an agent.
    pub(crate) fn report(
        &mut self,
        now: Instant,
        worker: id::Worker,
        slice: id::Slice,
        attempt: Attempt,
        report: attempt::Report,
    ) {
        let event = owner::Event::Report {
            worker,
            attempt,
            report,
        };
        self.run(now, Event::Owner(slice, event));
    }

    /// Takes an agent's answer to `Adopt`; one for another epoch is stale.
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
            let event = owner::Event::Inventory { worker, attempts };
            self.run(now, Event::Owner(slice, event));
        }
    }

    /// Takes note of an agent's state.
    pub(crate) fn agent(&mut self, now: Instant, agent: placement::Agent, state: State) {
        let worker = agent.worker.clone();
        let incarnation = agent.incarnation;
        let restarted = self
            .agents
            .get(&worker)
            .is_none_or(|known| known.incarnation != incarnation);
        match state {
            State::Alive => {
                if restarted {
                    self.planner.agent(now, agent.clone());
                    self.agents.insert(worker.clone(), agent);
                }
                self.planner.set_liveness(&worker, Liveness::Up);
                let event = |_| owner::Event::Agent {
                    worker: worker.clone(),
                    incarnation,
                };
                self.tell_owners(now, event);
            }
            State::Suspect => self.planner.set_liveness(&worker, Liveness::Suspect),
            State::Down => {
                self.planner.set_liveness(&worker, Liveness::Down);
                self.agents.remove(&worker);
                let event = |_| owner::Event::Down {
                    worker: worker.clone(),
                };
                self.tell_owners(now, event);
            }
        }
    }

    /// Takes note of an agent's load.
    pub(crate) fn load(&mut self, worker: &id::Worker, load: Load) {
        self.planner
            .load(worker, load.free, load.slots_used, load.leaving);
    }

    /// Takes note of what kinds of tasks were seen to use.
    pub(crate) fn observe(&mut self, peaks: Vec<Peak>) {
        for Peak { service, peak } in peaks {
            self.planner.observe(&service, peak);
        }
    }

    /// Puts a configuration in force.
    pub(crate) fn configure(&mut self, snapshot: &Snapshot) {
        self.planner.configure(snapshot);
    }

    /// Takes an answer of the store.
    pub(crate) fn stored(
        &mut self,
        now: Instant,
        source: Source,
        ticket: store::Ticket,
        answer: store::Answer,
    ) {
        let event = match source {
            Source::Registry => Event::Registry(ownership::Event::Answer { ticket, answer }),
            Source::Journal(slice) => {
                Event::Journal(slice, journal::Event::Answer { ticket, answer })
            }
            Source::Chunk(slice) => Event::Owner(slice, stored_event(ticket, &answer)),
            Source::Fetch(slice) => Event::Owner(slice, fetched_event(ticket, answer)),
            Source::Follower => return,
        };
        self.run(now, event);
    }

    /// Hands every slice over, then tells `left`.
    pub(crate) fn leave(&mut self, now: Instant, left: oneshot::Sender<()>) {
        self.left = Some(left);
        self.run(now, Event::Registry(ownership::Event::Leave));
    }

    /// Tells the machines that time has passed.
    pub(crate) fn tick(&mut self, now: Instant) {
        let due: Vec<id::Slice> = self
            .slices
            .iter()
            .filter(|(_, held)| held.journal.wake().is_some_and(|wake| wake <= now))
            .map(|(slice, _)| *slice)
            .collect();
        for slice in due {
            self.run(now, Event::Journal(slice, journal::Event::Tick));
        }
        if now < self.next_tick {
            return self.decide(now);
        }
        self.next_tick = now + TICK;
        self.retry_damaged(now);
        self.run(now, Event::Registry(ownership::Event::Tick));
        let wall = clock::wall();
        self.tell_owners(now, |_| owner::Event::Tick { wall });
        self.gauges();
    }

    /// Lets the registry begin again with slices whose journal was damaged; an
    /// operator may have mended the value meanwhile.
    fn retry_damaged(&mut self, now: Instant) {
        let (due, later) = self.damaged.iter().partition(|(at, _)| *at <= now);
        self.damaged = later;
        let due: Vec<(Instant, id::Slice)> = due;
        for (_, slice) in due {
            let event = ownership::Event::Fenced(slice);
            self.events.push_back(Event::Registry(event));
        }
    }

    fn gauges(&self) {
        gauge!("filbertbend_slices_owned").set(self.slices.len() as f64);
        gauge!("filbertbend_tasks_waiting").set(self.planner.waiting() as f64);
        let waiting: usize = self
            .slices
            .values()
            .map(|held| held.journal.waiting())
            .sum();
        gauge!("filbertbend_journal_records_waiting").set(waiting as f64);
    }

    fn tell_owners(&mut self, now: Instant, event: impl Fn(id::Slice) -> owner::Event) {
        let slices: Vec<id::Slice> = self.slices.keys().copied().collect();
        for slice in slices {
            self.events.push_back(Event::Owner(slice, event(slice)));
        }
        self.drain(now);
    }

    fn run(&mut self, now: Instant, event: Event) {
        self.events.push_back(event);
        self.drain(now);
    }

    /// Steps the machines until none of them has anything left to tell.
    fn drain(&mut self, now: Instant) {
        loop {
            while let Some(event) = self.events.pop_front() {
                match event {
                    Event::Registry(event) => self.step_registry(now, event),
                    Event::Journal(slice, event) => self.step_journal(now, slice, event),
                    Event::Owner(slice, event) => self.step_owner(now, slice, event),
                }
            }
            self.decide(now);
            if self.events.is_empty() {
                return;
            }
        }
    }

    fn decide(&mut self, now: Instant) {
        if self.planner.waiting() == 0 {
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

    fn step_registry(&mut self, now: Instant, event: ownership::Event) {
        let mut actions = Vec::new();
        self.registry.step(now, event, &mut actions);
        for action in actions {
            self.act_on_registry(now, action);
        }
        self.update_authority();
    }

    fn act_on_registry(&mut self, now: Instant, action: ownership::Action) {
        match action {
            ownership::Action::Call { ticket, call } => {
                self.calls.start(Source::Registry, ticket, call);
            }
            ownership::Action::Owned(slice) => self.own(now, slice),
            ownership::Action::Reclaimed(slice) => {
                self.events
                    .push_back(Event::Journal(slice, journal::Event::Confirm));
            }
            ownership::Action::Lost(slice) => {
                info!("slice lost", kv: { slice: });
                self.step_journal(now, slice, journal::Event::Revoke);
                self.disown(slice);
            }
            ownership::Action::Release(slice) => self.release(now, slice),
            ownership::Action::Roster(members) => {
                info!("entries changed", kv: { entries = members.len() });
                self.listed = members;
                self.roster_changed = true;
            }
            ownership::Action::Damaged { key } => error!("value damaged", kv: { key: }),
            ownership::Action::NameTaken => {
                warn!("another process has the same entry name", kv: { entry: = self.entry });
            }
            ownership::Action::Stalled { since } => warn!("store silent", kv: { since: }),
            ownership::Action::Resumed => info!("store answers again"),
            ownership::Action::Left => {
                if let Some(left) = self.left.take() {
                    let _ = left.send(());
                }
            }
        }
    }

    fn own(&mut self, now: Instant, slice: id::Slice) {
        info!("slice claimed", kv: { slice: });
        let rng = ChaCha8Rng::from_rng(&mut self.rng);
        let held = Slice {
            journal: Journal::new(slice, self.entry.clone(), Limits::default(), rng),
            owner: None,
            epoch: id::Epoch::default(),
            claimed_at: now,
            authority: Authority::default(),
            appends: HashMap::new(),
            replies: HashMap::new(),
        };
        self.slices.insert(slice, held);
        self.count_slices();
        self.events
            .push_back(Event::Journal(slice, journal::Event::Recover));
    }

    /// Forgets a slice; callers that wait ask the next owner.
    fn disown(&mut self, slice: id::Slice) {
        if self.slices.remove(&slice).is_some() {
            self.planner.forget_slice(slice);
            self.count_slices();
        }
    }

    fn count_slices(&mut self) {
        let owned = u16::try_from(self.slices.len()).unwrap_or(u16::MAX);
        self.planner.set_slices_owned(owned);
    }

    fn release(&mut self, now: Instant, slice: id::Slice) {
        let Some(held) = self.slices.get_mut(&slice) else {
            self.events
                .push_back(Event::Registry(ownership::Event::Released(slice)));
            return;
        };
        // Leases that were granted here last this long; nothing is granted
        // after the owner has gone.
        let owner = held.owner.take();
        let leases_end_in = owner.map_or(OWNERSHIP_HORIZON, |owner| owner.lease_remaining(now));
        held.replies.clear();
        let event = journal::Event::Release { leases_end_in };
        self.events.push_back(Event::Journal(slice, event));
    }

    /// Passes on until when each owner may grant.
    fn update_authority(&mut self) {
        for (slice, held) in &mut self.slices {
            let authority = authority(&self.registry, *slice);
            if held.owner.is_some() && held.authority != authority {
                held.authority = authority;
                let event = owner::Event::Authority(authority);
                self.events.push_back(Event::Owner(*slice, event));
            }
        }
    }

    fn step_journal(
        &mut self,
        now: Instant,
        slice: id::Slice,
        event: journal::Event<owner::Record>,
    ) {
        let Some(held) = self.slices.get_mut(&slice) else {
            return;
        };
        let mut actions = Vec::new();
        held.journal
            .step(now, event, &mut self.budget, &mut actions);
        for action in actions {
            self.act_on_journal(now, slice, action);
        }
    }

    fn act_on_journal(&mut self, now: Instant, slice: id::Slice, action: journal::Action) {
        match action {
            journal::Action::Call { ticket, call } => {
                self.calls.start(Source::Journal(slice), ticket, call);
            }
            journal::Action::Recovered { epoch, predecessor } => {
                self.recover(now, slice, epoch, predecessor);
            }
            journal::Action::Confirmed { at } => {
                let event = ownership::Event::Confirmed { slice, at };
                self.events.push_back(Event::Registry(event));
            }
            journal::Action::Durable { ticket } => {
                self.settle(slice, ticket, owner::Event::Durable);
            }
            journal::Action::NotWritten { ticket, reason } => {
                warn!("record not written", kv: { slice:, reason: });
                self.settle(slice, ticket, owner::Event::NotWritten);
            }
            journal::Action::Unknown { .. } | journal::Action::Kept { .. } => {}
            journal::Action::Stalled { .. } => self.store_available(slice, false),
            journal::Action::Resumed => self.store_available(slice, true),
            journal::Action::Released => {
                info!("slice released", kv: { slice: });
                self.disown(slice);
                let event = ownership::Event::Released(slice);
                self.events.push_back(Event::Registry(event));
            }
            journal::Action::Lost { newer } => {
                info!("slice lost", kv: { slice:, newer:? });
                self.lose(now, slice);
                if newer.is_some() {
                    let event = ownership::Event::Fenced(slice);
                    self.events.push_back(Event::Registry(event));
                }
            }
            journal::Action::Failed(error) => {
                error!("slice not served: its journal is damaged", kv: { slice:, error: });
                self.lose(now, slice);
                self.damaged.push((now + DAMAGED_PAUSE, slice));
            }
        }
    }

    fn store_available(&mut self, slice: id::Slice, available: bool) {
        let event = owner::Event::Store { available };
        self.events.push_back(Event::Owner(slice, event));
    }

    fn settle(
        &mut self,
        slice: id::Slice,
        ticket: journal::Ticket,
        event: impl Fn(owner::Ticket) -> owner::Event,
    ) {
        let append = self
            .slices
            .get_mut(&slice)
            .and_then(|held| held.appends.remove(&ticket));
        if let Some(append) = append {
            self.events.push_back(Event::Owner(slice, event(append)));
        }
    }

    /// Lets the owner answer its callers before the slice is forgotten.
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
        let image = held.journal.image().cloned().unwrap_or_default();
        info!("slice owned", kv: { slice:, epoch:, jobs = image.jobs().count() });
        held.epoch = epoch;
        held.authority = authority(&self.registry, slice);
        let recovery = Recovery {
            slice,
            image,
            wall: clock::wall(),
            authority: held.authority,
            claimed_at: held.claimed_at,
            hold: match predecessor {
                Predecessor::None => Millis::ZERO,
                Predecessor::Released { leases_end_in } => leases_end_in,
                Predecessor::Vanished => OWNERSHIP_HORIZON,
            },
        };
        let mut actions = Vec::new();
        held.owner = Some(Owner::recover(
            now,
            recovery,
            &mut self.planner,
            &mut actions,
        ));
        self.act_on_owner(slice, actions);
        for agent in self.agents.values() {
            let event = owner::Event::Agent {
                worker: agent.worker.clone(),
                incarnation: agent.incarnation,
            };
            self.events.push_back(Event::Owner(slice, event));
        }
    }

    fn step_owner(&mut self, now: Instant, slice: id::Slice, event: owner::Event) {
        let Some(owner) = self
            .slices
            .get_mut(&slice)
            .and_then(|held| held.owner.as_mut())
        else {
            return;
        };
        let mut actions = Vec::new();
        owner.step(now, event, &mut self.planner, &mut actions);
        self.act_on_owner(slice, actions);
    }

    fn act_on_owner(&mut self, slice: id::Slice, actions: Vec<owner::Action>) {
        for action in actions {
            match action {
                owner::Action::Append { ticket, records } => self.append(slice, ticket, records),
                owner::Action::Send {
                    worker,
                    attempt,
                    command,
                } => self.send(slice, &worker, attempt, command),
                owner::Action::Adopt { worker } => {
                    let epoch = self.epoch(slice);
                    self.desk.send(&worker, Control::Adopt { slice, epoch });
                }
                owner::Action::Answer { reply, answer } => self.answer(slice, reply, answer),
                owner::Action::Store { ticket, key, value } => {
                    self.calls
                        .store_chunk(slice, store::Ticket(ticket.0), key, value);
                }
                owner::Action::Fetch { ticket, key } => {
                    let call = store::Call::Get { key };
                    let ticket = store::Ticket(ticket.0);
                    self.calls.start(Source::Fetch(slice), ticket, call);
                }
                owner::Action::Delete { key } => self.calls.delete_chunk(key),
                owner::Action::Count(count) => {
                    let event: &'static str = count.into();
                    counter!("filbertbend_job_events_total", "event" => event).increment(1);
                }
            }
        }
    }

    fn epoch(&self, slice: id::Slice) -> id::Epoch {
        self.slices
            .get(&slice)
            .map_or_else(id::Epoch::default, |held| held.epoch)
    }

    fn send(
        &self,
        slice: id::Slice,
        worker: &id::Worker,
        attempt: Attempt,
        command: attempt::Command,
    ) {
        debug!(
            "command",
            kv: { job: = attempt.task.job, attempt:, worker:, command = command.name() }
        );
        let message = Control::Command {
            slice,
            epoch: self.epoch(slice),
            attempt,
            command,
        };
        self.desk.send(worker, message);
    }

    fn append(&mut self, slice: id::Slice, ticket: owner::Ticket, records: Vec<owner::Record>) {
        let Some(held) = self.slices.get_mut(&slice) else {
            return;
        };
        let last = records.len().saturating_sub(1);
        for (index, record) in records.into_iter().enumerate() {
            self.next_record += 1;
            let number = journal::Ticket(self.next_record);
            if index == last {
                held.appends.insert(number, ticket);
            }
            let event = journal::Event::Append {
                ticket: number,
                record,
            };
            self.events.push_back(Event::Journal(slice, event));
        }
    }

    fn answer(&mut self, slice: id::Slice, reply: owner::Reply, answer: job::Answer) {
        let waiting = self
            .slices
            .get_mut(&slice)
            .and_then(|held| held.replies.remove(&reply));
        if let Some(waiting) = waiting {
            let _ = waiting.send(Routed::Answered(answer));
        }
    }
}

fn authority(registry: &Registry, slice: id::Slice) -> Authority {
    Authority {
        first_grants_until: registry.first_grants_until(slice).unwrap_or_default(),
        renewals_until: registry.grant_limit(slice).unwrap_or_default(),
    }
}

/// A key that exists holds the same chunk, because keys of chunks are never
/// used for another value.
fn stored_event(ticket: store::Ticket, answer: &store::Answer) -> owner::Event {
    let written = matches!(
        answer,
        store::Answer::Written(_) | store::Answer::Conflict(Some(_))
    );
    owner::Event::Stored {
        ticket: owner::Ticket(ticket.0),
        written,
    }
}

fn fetched_event(ticket: store::Ticket, answer: store::Answer) -> owner::Event {
    let value = match answer {
        store::Answer::Value(Some(pair)) => Some(pair.value),
        _ => None,
    };
    owner::Event::Fetched {
        ticket: owner::Ticket(ticket.0),
        value,
    }
}

/// Makes the planner of an entry in `data_centre`.
pub(crate) fn planner(local: id::DataCentre, remote_cost: Millis, slices: u16) -> Planner {
    Planner::new(placement::Settings {
        local,
        remote_cost,
        slices_owned: 0,
        slices,
    })
}
