//! Fixtures for the tests of the owner and the planner.

#![allow(dead_code)]

use {
    filbertbend_coordination::{
        attempt::{self, Attempt, Command, End, Output, Report},
        job::{Answer, Call, Order, Spec},
        owner::{Action, Authority, Event, Image, Owner, Record, Recovery, Reply, Ticket},
        placement::{Agent, Decision, Planner, Settings},
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        room::Room,
        service::{Class, Declaration, Kind, Retry},
        time::{Instant, Wall},
        unit::{Accelerators, Bytes, Cores, Millis, Share, Slots},
    },
    std::collections::VecDeque,
};

/// The wall-clock time at the start of every test.
pub(crate) const WALL: Wall = Wall(1_800_000_000_000);

/// The ownership horizon of the entries, as in `ownership::OWNERSHIP_HORIZON`.
pub(crate) const HORIZON: Millis = Millis::from_secs(600);

pub(crate) fn name<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().unwrap()
}

pub(crate) fn worker(number: usize) -> id::Worker {
    name(&format!("worker-{number}"))
}

pub(crate) fn job_id(number: u64) -> id::Job {
    // The high part of a ULID is its creation time, here the start of the test.
    let ulid = (u128::from(WALL.0) << 80) | u128::from(number);
    id::Job(ulid::Ulid(ulid))
}

pub(crate) fn task(job: u64) -> id::Task {
    id::Task {
        job: job_id(job),
        index: 0,
    }
}

pub(crate) fn attempt(job: u64, number: u32) -> Attempt {
    Attempt {
        task: task(job),
        number: id::Attempt(number),
    }
}

pub(crate) fn room(cores: u64, gib: u64, accelerators: u32) -> Room {
    Room {
        cores: Cores(cores * 1000),
        memory: Bytes(gib << 30),
        accelerators: Accelerators(accelerators),
    }
}

pub(crate) fn agent(number: usize) -> Agent {
    Agent {
        worker: worker(number),
        endpoint: name(&format!("endpoint-{number}")),
        incarnation: id::Incarnation(1),
        data_centre: name("xela"),
        rack: name(&format!("rack-{}", number / 3)),
        services: vec![name("orders")],
        slots: Slots(8),
        room: room(64, 250, 0),
    }
}

pub(crate) fn settings() -> Settings {
    Settings {
        local: name("xela"),
        remote_cost: Millis(2000),
        slices_owned: 1,
        slices: 1,
    }
}

/// Returns a job with one task that takes a quarter of a worker's cores.
pub(crate) fn job(number: u64) -> Spec {
    Spec {
        id: job_id(number),
        service: name("layout"),
        team: name("drawing"),
        class: Class::Batch,
        size: room(16, 32, 0),
        tasks: 1,
        run_time: Millis::from_secs(60),
        expires_at: None,
        data_centres: Vec::new(),
        body: format!("input {number}").into_bytes(),
        order: None,
    }
}

/// Returns an order of the customer `acme` that expires after 30 s.
pub(crate) fn order(number: u64, sequence: u64, key: &str) -> Spec {
    Spec {
        service: name("orders"),
        size: room(1, 1, 0),
        expires_at: Some(WALL + Millis::from_secs(30)),
        order: Some(Order {
            customer: name("acme"),
            sequence,
            key: name(key),
        }),
        ..job(number)
    }
}

/// Returns the declaration of a job service that guarantees `quota` to `team`.
pub(crate) fn declaration(service: &str, team: &str, quota: Room) -> Declaration {
    Declaration {
        name: name(service),
        team: name(team),
        kind: Kind::Job,
        class: Class::Batch,
        idempotent: true,
        deadline: Millis::from_secs(60),
        size: room(1, 1, 0),
        run_time: Millis::from_secs(60),
        share: Share::NONE,
        quota,
        retry: Retry {
            tries: 1,
            hedge: false,
        },
        data_centres: Vec::new(),
    }
}

pub(crate) fn snapshot(services: Vec<Declaration>) -> Snapshot {
    Snapshot {
        revision: id::Revision(1),
        services,
        drains: Vec::new(),
    }
}

pub(crate) fn output(text: &str) -> Output {
    Output {
        status: 200,
        content_type: "text/plain".into(),
        body: text.as_bytes().to_vec(),
    }
}

pub(crate) fn completed(text: &str) -> Report {
    Report::Ended(End::Completed(output(text)))
}

/// When the records that an owner appends become durable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Writes {
    /// At once.
    AtOnce,
    /// Not before [`Fixture::write`] or [`Fixture::drop_writes`] is called.
    Held,
}

/// An owner with its planner, a journal and the actions that it returned.
pub(crate) struct Fixture {
    pub(crate) now: Instant,
    pub(crate) planner: Planner,
    pub(crate) owner: Owner,
    pub(crate) writes: Writes,
    pub(crate) held: VecDeque<(Ticket, Vec<Record>)>,
    pub(crate) journal: Vec<Record>,
    pub(crate) appends: usize,
    pub(crate) sent: Vec<(id::Worker, Attempt, Command)>,
    pub(crate) adopts: Vec<id::Worker>,
    pub(crate) answers: Vec<(Reply, Answer)>,
    pub(crate) chunks: Vec<(String, Vec<u8>)>,
    pub(crate) deleted: Vec<String>,
    pub(crate) store_chunks: bool,
    next_reply: u64,
}

/// Returns the authority of an owner that keeps its store lease.
pub(crate) fn authority(now: Instant) -> Authority {
    Authority {
        first_grants_until: now + HORIZON,
        renewals_until: now + HORIZON,
    }
}

/// Returns the owner of an empty slice with `workers` connected agents.
pub(crate) fn owner(workers: usize) -> Fixture {
    let now = Instant(1_000_000);
    let owner = Owner::new(id::Slice(0), WALL, authority(now));
    let mut fixture = Fixture::with_owner(now, owner, planner(now, workers));
    fixture.connect(workers);
    fixture
}

pub(crate) fn planner(now: Instant, workers: usize) -> Planner {
    let mut planner = Planner::new(settings());
    for number in 0..workers {
        planner.register_agent(now, agent(number));
    }
    planner
}

impl Fixture {
    fn with_owner(now: Instant, owner: Owner, planner: Planner) -> Self {
        Self {
            now,
            planner,
            owner,
            writes: Writes::AtOnce,
            held: VecDeque::new(),
            journal: Vec::new(),
            appends: 0,
            sent: Vec::new(),
            adopts: Vec::new(),
            answers: Vec::new(),
            chunks: Vec::new(),
            deleted: Vec::new(),
            store_chunks: true,
            next_reply: 0,
        }
    }

    fn connect(&mut self, workers: usize) {
        for number in 0..workers {
            self.agent_appears(number, 1);
        }
    }

    /// Reports to planner and owner that an agent has connected.
    pub(crate) fn agent_appears(&mut self, number: usize, incarnation: u64) {
        let incarnation = id::Incarnation(incarnation);
        self.planner.register_agent(
            self.now,
            Agent {
                incarnation,
                ..agent(number)
            },
        );
        self.step(Event::AgentConnected {
            worker: worker(number),
            incarnation,
        });
    }

    /// Returns a new owner with a new planner that has recovered from the journal
    /// and to which no agent is connected yet.
    pub(crate) fn replace_owner(&self, former_lease_remaining: Millis) -> Self {
        let mut image = Image::default();
        for record in &self.journal {
            image.apply(record);
        }
        let mut planner = Planner::new(settings());
        let mut actions = Vec::new();
        let recovery = Recovery {
            slice: id::Slice(0),
            image,
            wall: WALL,
            authority: authority(self.now),
            claimed_at: self.now,
            former_lease_remaining,
        };
        let owner = Owner::recover(self.now, recovery, &mut planner, &mut actions);
        let mut fixture = Self::with_owner(self.now, owner, planner);
        fixture.journal = self.journal.clone();
        fixture.chunks = self.chunks.clone();
        fixture.next_reply = self.next_reply + 1000;
        fixture.run_until_idle(actions);
        fixture
    }

    /// Passes an event to the owner and executes the resulting actions and
    /// decisions until none are left.
    pub(crate) fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.owner
            .step(self.now, event, &mut self.planner, &mut actions);
        self.run_until_idle(actions);
    }

    fn run_until_idle(&mut self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        loop {
            while let Some(action) = actions.pop_front() {
                if let Some(event) = self.perform(action) {
                    actions.extend(self.actions_of(event));
                }
            }
            let mut decisions = Vec::new();
            self.planner.decide(self.now, usize::MAX, &mut decisions);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                actions.extend(self.actions_of(Event::Decision(decision)));
            }
        }
    }

    fn actions_of(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.owner
            .step(self.now, event, &mut self.planner, &mut actions);
        actions
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Append { ticket, records } => {
                self.appends += 1;
                if self.writes == Writes::Held {
                    self.held.push_back((ticket, records));
                    return None;
                }
                self.journal.extend(records);
                return Some(Event::Durable(ticket));
            }
            Action::Send {
                worker,
                attempt,
                command,
            } => self.sent.push((worker, attempt, command)),
            Action::Adopt { worker } => self.adopts.push(worker),
            Action::Answer { reply, answer } => self.answers.push((reply, answer)),
            Action::StoreChunk { ticket, key, value } => {
                if self.store_chunks {
                    self.chunks.push((key.to_string(), value));
                }
                let written = self.store_chunks;
                return Some(Event::ChunkStored { ticket, written });
            }
            Action::FetchChunk { ticket, key } => {
                let found = self.chunks.iter().find(|(name, _)| **name == *key);
                let value = found.map(|(_, value)| value.clone());
                return Some(Event::ChunkFetched { ticket, value });
            }
            Action::DeleteChunk { key } => self.deleted.push(key.to_string()),
            Action::Count(_) => {}
        }
        None
    }

    /// Makes all held records durable.
    pub(crate) fn write(&mut self) {
        while let Some((ticket, records)) = self.held.pop_front() {
            self.journal.extend(records);
            self.step(Event::Durable(ticket));
        }
    }

    /// Drops all held records and reports them as not written.
    pub(crate) fn drop_writes(&mut self) {
        while let Some((ticket, _)) = self.held.pop_front() {
            self.step(Event::NotWritten(ticket));
        }
    }

    /// Advances the clock by `span` in steps of 100 ms.
    pub(crate) fn advance(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + Millis(100)).min(end);
            let wall = self.wall();
            self.step(Event::Tick { wall });
        }
    }

    pub(crate) fn wall(&self) -> Wall {
        WALL + self.now.since(Instant(1_000_000))
    }

    pub(crate) fn call(&mut self, call: Call) -> Reply {
        self.next_reply += 1;
        let reply = Reply(self.next_reply);
        let wall = self.wall();
        self.step(Event::Call { reply, wall, call });
        reply
    }

    /// Makes a call and returns its answer, if there is one yet.
    pub(crate) fn ask(&mut self, call: Call) -> Option<Answer> {
        let reply = self.call(call);
        self.answer(reply)
    }

    pub(crate) fn answer(&self, reply: Reply) -> Option<Answer> {
        let mut found = self.answers.iter().filter(|(other, _)| *other == reply);
        let answer = found.next().map(|(_, answer)| answer.clone());
        assert!(found.next().is_none(), "a call was answered twice");
        answer
    }

    pub(crate) fn report(&mut self, number: usize, attempt: Attempt, report: Report) {
        self.step(Event::Report {
            worker: worker(number),
            attempt,
            report,
        });
    }

    pub(crate) fn inventory(&mut self, number: usize, attempts: Vec<(Attempt, attempt::Phase)>) {
        self.step(Event::Inventory {
            worker: worker(number),
            attempts,
        });
    }

    /// Sends an agent's claim of an attempt and returns the owner's answer.
    pub(crate) fn claim(&mut self, number: usize, attempt: Attempt) -> Option<Command> {
        self.exchange(number, attempt, |nonce| Report::Claim { nonce })
    }

    pub(crate) fn renew(&mut self, number: usize, attempt: Attempt) -> Option<Command> {
        self.exchange(number, attempt, |nonce| Report::Renew { nonce })
    }

    fn exchange(
        &mut self,
        number: usize,
        attempt: Attempt,
        report: impl Fn(id::Nonce) -> Report,
    ) -> Option<Command> {
        let before = self.sent.len();
        self.report(number, attempt, report(id::Nonce(before as u64)));
        self.sent[before..]
            .iter()
            .find(|(to, found, _)| *to == worker(number) && *found == attempt)
            .map(|(_, _, command)| command.clone())
    }

    /// Returns the attempts whose start was sent, in order, without resends.
    pub(crate) fn starts(&self) -> Vec<(id::Worker, Attempt)> {
        let mut starts: Vec<(id::Worker, Attempt)> = Vec::new();
        for (worker, attempt, command) in &self.sent {
            let start = matches!(command, Command::Start { .. });
            if start && !starts.iter().any(|(_, found)| found == attempt) {
                starts.push((worker.clone(), *attempt));
            }
        }
        starts
    }

    /// Returns the worker that was sent the start of `attempt`.
    pub(crate) fn started_on(&self, attempt: Attempt) -> Option<usize> {
        let starts = self.starts();
        let (worker, _) = starts.iter().find(|(_, found)| *found == attempt)?;
        worker.as_str().strip_prefix("worker-")?.parse().ok()
    }

    /// Submits a job, grants its first attempt and returns the worker's number.
    pub(crate) fn run(&mut self, spec: Spec) -> usize {
        let first = Attempt {
            task: id::Task {
                job: spec.id,
                index: 0,
            },
            number: id::Attempt(1),
        };
        self.call(Call::Submit(spec));
        let number = self.started_on(first).expect("the job was placed");
        let granted = self.claim(number, first);
        assert!(is_grant(granted.as_ref()), "{granted:?}");
        number
    }

    pub(crate) fn commands(&self, attempt: Attempt) -> Vec<Command> {
        self.sent
            .iter()
            .filter(|(_, found, _)| *found == attempt)
            .map(|(_, _, command)| command.clone())
            .collect()
    }
}

pub(crate) fn is_grant(command: Option<&Command>) -> bool {
    matches!(command, Some(Command::Grant { .. }))
}

pub(crate) fn is_deny(command: Option<&Command>) -> bool {
    matches!(command, Some(Command::Deny { .. }))
}

/// Returns the placements in `decisions`.
pub(crate) fn places(decisions: &[Decision]) -> Vec<(id::Task, id::Worker)> {
    let place = |decision: &Decision| match decision {
        Decision::Place { task, worker, .. } => Some((*task, worker.clone())),
        Decision::Evict { .. } => None,
    };
    decisions.iter().filter_map(place).collect()
}

/// Returns the evictions in `decisions`.
pub(crate) fn evictions(decisions: &[Decision]) -> Vec<id::Task> {
    let evict = |decision: &Decision| match decision {
        Decision::Evict { task, .. } => Some(*task),
        Decision::Place { .. } => None,
    };
    decisions.iter().filter_map(evict).collect()
}
