//! Runs owners and executors together under seeded faults: changes of owner while
//! the former one keeps running, restarts of agents, lost, late and repeated
//! messages, and slow writes. Guards against tasks that run on two workers at
//! once, orders that run twice or out of sequence, lost jobs, and cancelled jobs
//! that run.

mod support;

use {
    filbertbend_coordination::{
        attempt::{self, Attempt, Output, Work},
        executor::{self, Delivery, Executor},
        job::{Answer, Call},
        owner::{Action, Authority, Event, Image, Owner, Record, Recovery, Reply, Ticket},
        placement::{self, Planner},
        worker,
    },
    filbertbend_state::{
        id,
        outcome::Outcome,
        time::{Instant, Wall},
        unit::{Connections, Millis, Slots},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
    support::{agent, job, job_id, name, order, output, room, settings, worker as worker_id, WALL},
};

const STEP: Millis = Millis(50);
const WORKERS: usize = 3;
const JOBS: u64 = 20;
const ORDERS: u64 = 12;
const FAULTS_END: Instant = Instant(1_150_000);
const END: Instant = Instant(1_500_000);
/// Shorter than the real ownership horizon, so that a run exceeds it several
/// times.
const HORIZON: Millis = Millis::from_secs(40);
const STORE_LEASE: Millis = Millis(4000);

/// An entry process that owns the slice or owned it before.
struct Entry {
    owner: Owner,
    planner: Planner,
    epoch: id::Epoch,
    confirmed_at: Instant,
    writes: VecDeque<(Instant, Ticket, Vec<Record>)>,
    /// The agent that the entry cannot exchange messages with.
    unreachable_agent: Option<usize>,
}

/// A worker, its agent and its endpoint.
struct Machine {
    executor: Option<Executor>,
    incarnation: u64,
    restart_at: Instant,
    running: BTreeMap<Attempt, (Instant, Instant)>,
    /// Commands in transit to the worker, which arrive even if the agent dies.
    commands: Vec<(Instant, worker::Command)>,
    events: Vec<worker::Event>,
    orders: Vec<(Instant, Attempt, u64)>,
}

enum Message {
    Command(usize, usize, Attempt, attempt::Command),
    Adopt(usize, usize),
    Report(usize, usize, Attempt, attempt::Report),
    Inventory(usize, usize, Vec<(Attempt, attempt::Phase)>),
}

/// The entries and machines of one seeded run, and the messages between them.
struct Simulation {
    seed: u64,
    now: Instant,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    machines: Vec<Machine>,
    messages: Vec<(Instant, Message)>,
    journal: Vec<Record>,
    cancels: BTreeMap<Reply, id::Job>,
    cancelled: BTreeSet<id::Job>,
    /// The sequence numbers of the orders that the endpoints ran.
    ran: Vec<u64>,
    replace_at: Option<Instant>,
    /// Whether all jobs and orders are accepted, so that faults may begin.
    accepted: bool,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            seed,
            now: Instant(1_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            machines: Vec::new(),
            messages: Vec::new(),
            journal: Vec::new(),
            cancels: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            ran: Vec::new(),
            replace_at: None,
            accepted: false,
        };
        for _ in 0..WORKERS {
            simulation.machines.push(Machine {
                executor: None,
                incarnation: 0,
                restart_at: simulation.now,
                running: BTreeMap::new(),
                commands: Vec::new(),
                events: Vec::new(),
                orders: Vec::new(),
            });
        }
        simulation.replace_owner();
        simulation
    }

    fn wall(&self) -> Wall {
        WALL + self.now.since(Instant(1_000_000))
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.accepted && self.now < FAULTS_END && self.rng.random_range(0..one_in) == 0
    }

    fn delay(&mut self) -> Millis {
        let slow = self.chance(50);
        Millis(self.rng.random_range(1..if slow { 6000 } else { 150 }))
    }

    /// Creates a new owner. The former one keeps running without the store.
    fn replace_owner(&mut self) {
        let mut image = Image::default();
        for record in &self.journal {
            image.apply(record);
        }
        let mut planner = Planner::new(settings());
        let mut actions = Vec::new();
        let recovery = Recovery {
            slice: id::Slice(0),
            image,
            wall: self.wall(),
            authority: Authority::default(),
            claimed_at: self.now,
            former_lease_remaining: HORIZON,
        };
        let owner = Owner::recover(self.now, recovery, &mut planner, &mut actions);
        let epoch = id::Epoch(self.entries.len() as u64 + 1);
        self.entries.push(Entry {
            owner,
            planner,
            epoch,
            confirmed_at: self.now,
            writes: VecDeque::new(),
            unreachable_agent: None,
        });
        let entry = self.entries.len() - 1;
        self.perform(entry, actions);
        for number in 0..WORKERS {
            if self.machines[number].executor.is_some() {
                self.connect(entry, number);
            }
        }
    }

    fn connect(&mut self, entry: usize, number: usize) {
        let incarnation = id::Incarnation(self.machines[number].incarnation);
        let announced = placement::Agent {
            incarnation,
            room: room(32, 64, 0),
            ..agent(number)
        };
        self.entries[entry]
            .planner
            .register_agent(self.now, announced);
        let worker = worker_id(number);
        self.step_owner(
            entry,
            Event::AgentConnected {
                worker,
                incarnation,
            },
        );
    }

    fn step_owner(&mut self, entry: usize, event: Event) {
        let mut actions = Vec::new();
        let found = &mut self.entries[entry];
        found
            .owner
            .step(self.now, event, &mut found.planner, &mut actions);
        self.perform(entry, actions);
    }

    fn perform(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append { ticket, records } => {
                    let at = self.now + self.delay();
                    self.entries[entry].writes.push_back((at, ticket, records));
                }
                Action::Send {
                    worker,
                    attempt,
                    command,
                } => {
                    let number = number_of(&worker);
                    self.send(|| Message::Command(entry, number, attempt, command.clone()));
                }
                Action::Adopt { worker } => {
                    let number = number_of(&worker);
                    self.send(|| Message::Adopt(entry, number));
                }
                Action::Answer { reply, answer } => self.answered(reply, &answer),
                Action::StoreChunk { .. } | Action::FetchChunk { .. } => {
                    panic!("no result is large")
                }
                Action::DeleteChunk { .. } | Action::Count(_) => {}
            }
        }
    }

    fn answered(&mut self, reply: Reply, answer: &Answer) {
        if let Some(job) = self.cancels.remove(&reply) {
            if *answer == Answer::Outcome(Outcome::Cancelled) {
                self.cancelled.insert(job);
            }
        }
    }

    /// Sends a message with a delay, and sometimes twice or not at all.
    fn send(&mut self, message: impl Fn() -> Message) {
        if self.chance(20) {
            return;
        }
        let copies = if self.chance(20) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.delay();
            self.messages.push((at, message()));
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.faults();
        self.write();
        self.deliver();
        for number in 0..WORKERS {
            self.step_machine(number);
        }
        let wall = self.wall();
        for entry in 0..self.entries.len() {
            self.authorise(entry);
            self.step_owner(entry, Event::Tick { wall });
            self.decide(entry);
        }
        self.check();
    }

    fn authorise(&mut self, entry: usize) {
        let current = entry == self.entries.len() - 1 && self.replace_at.is_none();
        if current {
            self.entries[entry].confirmed_at = self.now;
        }
        let confirmed_at = self.entries[entry].confirmed_at;
        let authority = Authority {
            first_grants_until: confirmed_at + STORE_LEASE,
            renewals_until: confirmed_at + HORIZON,
        };
        self.step_owner(entry, Event::Authority(authority));
    }

    fn decide(&mut self, entry: usize) {
        let mut decisions = Vec::new();
        let found = &mut self.entries[entry];
        for (number, machine) in self.machines.iter().enumerate() {
            let load = machine.executor.as_ref().map(Executor::load);
            if let Some(load) = load.filter(|_| self.now.0.is_multiple_of(1000)) {
                let worker = worker_id(number);
                found
                    .planner
                    .record_heartbeat(&worker, load.free, load.slots, load.leaving);
            }
        }
        found.planner.decide(self.now, 1000, &mut decisions);
        for decision in decisions {
            self.step_owner(entry, Event::Decision(decision));
        }
    }

    fn faults(&mut self) {
        if self.replace_at.is_none() && self.chance(400) {
            self.replace_at = Some(self.now + STORE_LEASE + Millis(100));
        }
        if self.replace_at.is_some_and(|at| self.now >= at) {
            self.replace_at = None;
            self.replace_owner();
        }
        let last = self.entries.len() - 1;
        if self.chance(300) {
            let number = self.rng.random_range(0..WORKERS);
            self.entries[last].unreachable_agent = Some(number);
        }
        if self.now >= FAULTS_END || self.chance(600) {
            self.entries[last].unreachable_agent = None;
        }
        for former in 0..last {
            if !self.entries[former].owner.is_lost() && self.rng.random_range(0..600) == 0 {
                self.revoke_ownership(former);
            }
        }
        for number in 0..WORKERS {
            if self.machines[number].executor.is_some() && self.chance(300) {
                let span = Millis(self.rng.random_range(100..8000));
                self.machines[number].executor = None;
                self.machines[number].restart_at = self.now + span;
                self.machines[number].orders.clear();
                for entry in 0..self.entries.len() {
                    let worker = worker_id(number);
                    self.step_owner(entry, Event::AgentDown { worker });
                }
            }
        }
        if self.chance(40) {
            let job = job_id(self.rng.random_range(0..JOBS));
            let reply = Reply(self.now.0);
            self.cancels.insert(reply, job);
            let wall = self.wall();
            let call = Call::Cancel(job);
            self.step_owner(last, Event::Call { reply, wall, call });
        }
        if self.chance(200) {
            let job = self.rng.random_range(0..JOBS);
            let task = support::task(job);
            let slice = id::Slice(0);
            let evict = placement::Decision::Evict { slice, task };
            self.step_owner(last, Event::Decision(evict));
        }
    }

    fn revoke_ownership(&mut self, entry: usize) {
        self.step_owner(
            entry,
            Event::OwnershipLost {
                not_written: Vec::new(),
                unknown: Vec::new(),
            },
        );
    }

    /// Makes the current owner's records durable, unless it is being replaced.
    fn write(&mut self) {
        let last = self.entries.len() - 1;
        while self.replace_at.is_none() {
            let Some((at, _, _)) = self.entries[last].writes.front() else {
                return;
            };
            if *at > self.now {
                return;
            }
            let (_, ticket, records) = self.entries[last].writes.pop_front().unwrap();
            self.journal.extend(records);
            self.step_owner(last, Event::Durable(ticket));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.messages = rest;
        for (_, message) in due {
            match message {
                Message::Command(entry, number, attempt, command) => {
                    let (from, epoch) = self.sender(entry);
                    let slice = id::Slice(0);
                    let event = executor::Event::Command {
                        from,
                        slice,
                        epoch,
                        attempt,
                        command,
                    };
                    self.send_to_agent(entry, number, event);
                }
                Message::Adopt(entry, number) => {
                    let (from, epoch) = self.sender(entry);
                    let slice = id::Slice(0);
                    let event = executor::Event::Adopt { from, slice, epoch };
                    self.send_to_agent(entry, number, event);
                }
                Message::Report(number, entry, attempt, report) => {
                    let worker = worker_id(number);
                    if self.entries[entry].unreachable_agent != Some(number) {
                        self.step_owner(
                            entry,
                            Event::Report {
                                worker,
                                attempt,
                                report,
                            },
                        );
                    }
                }
                Message::Inventory(number, entry, attempts) => {
                    let worker = worker_id(number);
                    if self.entries[entry].unreachable_agent != Some(number) {
                        self.step_owner(entry, Event::Inventory { worker, attempts });
                    }
                }
            }
        }
    }

    fn sender(&self, entry: usize) -> (id::Entry, id::Epoch) {
        (name(&format!("entry-{entry}")), self.entries[entry].epoch)
    }

    fn send_to_agent(&mut self, entry: usize, number: usize, event: executor::Event) {
        if self.entries[entry].unreachable_agent != Some(number) {
            self.agent(number, event);
        }
    }

    fn agent(&mut self, number: usize, event: executor::Event) {
        let mut actions = Vec::new();
        let Some(executor) = &mut self.machines[number].executor else {
            return;
        };
        executor.step(self.now, event, &mut actions);
        for action in actions {
            match action {
                executor::Action::Report {
                    to,
                    attempt,
                    report,
                    ..
                } => {
                    let entry = entry_of(&to);
                    self.send(|| Message::Report(number, entry, attempt, report.clone()));
                }
                executor::Action::Inventory { to, attempts, .. } => {
                    let entry = entry_of(&to);
                    self.send(|| Message::Inventory(number, entry, attempts.clone()));
                }
                executor::Action::Worker(command) => {
                    // An agent sends its commands to the worker in order.
                    let at = self.now + Millis(self.rng.random_range(1..300));
                    let commands = &mut self.machines[number].commands;
                    let at = commands.last().map_or(at, |(last, _)| at.max(*last));
                    commands.push((at, command));
                }
                executor::Action::ReadTasks => self.read_tasks(number),
                executor::Action::SendOrder { attempt, work, .. } => {
                    let Work::Order { key, .. } = work else {
                        panic!("{work:?}");
                    };
                    let sequence = key.as_str()[2..].parse().unwrap();
                    let end = self.now + Millis(self.rng.random_range(50..2000));
                    self.ran.push(sequence);
                    self.machines[number].orders.push((end, attempt, sequence));
                }
                other => panic!("{other:?}"),
            }
        }
    }

    fn read_tasks(&mut self, number: usize) {
        let list = self.machines[number]
            .running
            .iter()
            .map(|(attempt, (_, lease_end))| worker::Running {
                attempt: *attempt,
                service: name("layout"),
                size: room(16, 32, 0),
                lease_end: *lease_end,
            })
            .collect();
        self.agent(number, executor::Event::Tasks(list));
    }

    /// Advances a worker, its agent and its endpoint to the current time.
    fn step_machine(&mut self, number: usize) {
        let now = self.now;
        if self.machines[number].executor.is_none() && now >= self.machines[number].restart_at {
            self.restart(number);
        }
        let (due, rest) = std::mem::take(&mut self.machines[number].commands)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.machines[number].commands = rest;
        for (_, command) in due {
            self.command(number, command);
        }
        let machine = &mut self.machines[number];
        let mut events = Vec::new();
        machine.running.retain(|attempt, (end, lease_end)| {
            if *end <= now {
                events.push(worker::Event::Completed(*attempt, output("drawn")));
            } else if *lease_end <= now {
                events.push(worker::Event::Stopped(*attempt));
            }
            *end > now && *lease_end > now
        });
        machine.events.extend(events);
        if machine.executor.is_some() {
            for event in std::mem::take(&mut machine.events) {
                self.agent(number, executor::Event::Worker(event));
            }
        }
        let (ended, orders) = std::mem::take(&mut self.machines[number].orders)
            .into_iter()
            .partition::<Vec<_>, _>(|(end, _, _)| *end <= now);
        self.machines[number].orders = orders;
        for (_, attempt, _) in ended {
            let delivery = Delivery::Answered(order_output());
            self.agent(number, executor::Event::Order { attempt, delivery });
        }
        self.agent(number, executor::Event::Tick);
    }

    fn restart(&mut self, number: usize) {
        let settings = executor::Settings::new(room(32, 64, 0), Slots(8), Connections(64), 1);
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        self.machines[number].incarnation += 1;
        self.machines[number].executor = Some(Executor::new(settings, rng));
        self.read_tasks(number);
        for entry in 0..self.entries.len() {
            if self.entries[entry].unreachable_agent != Some(number) {
                self.connect(entry, number);
            }
        }
    }

    fn command(&mut self, number: usize, command: worker::Command) {
        let now = self.now;
        let span = Millis(self.rng.random_range(500..25_000));
        let machine = &mut self.machines[number];
        match command {
            worker::Command::Start {
                attempt, lease_end, ..
            } => {
                let event = if lease_end <= now || machine.running.contains_key(&attempt) {
                    worker::Event::Refused(attempt)
                } else {
                    machine.running.insert(attempt, (now + span, lease_end));
                    worker::Event::Started(attempt)
                };
                machine.events.push(event);
            }
            worker::Command::Extend { attempt, lease_end } => {
                if let Some((_, found)) = machine.running.get_mut(&attempt) {
                    *found = (*found).max(lease_end);
                }
            }
            worker::Command::Checkpoint { attempt } => {
                if machine.running.contains_key(&attempt) {
                    let number = id::Checkpoint(now.0);
                    machine
                        .events
                        .push(worker::Event::Checkpointed(attempt, number));
                }
            }
            worker::Command::Stop { attempt } => {
                machine.running.remove(&attempt);
                machine.events.push(worker::Event::Stopped(attempt));
            }
            worker::Command::Throttle { .. } => {}
        }
    }

    fn check(&self) {
        let mut places = BTreeSet::new();
        for machine in &self.machines {
            let used = machine.running.len();
            assert!(used <= 2, "seed {}: {used} tasks in room for 2", self.seed);
            for attempt in machine.running.keys() {
                let task = attempt.task;
                let at = self.now;
                assert!(
                    places.insert(task),
                    "seed {}: {task} runs on two workers at {at}",
                    self.seed
                );
                assert!(
                    !self.cancelled.contains(&task.job),
                    "seed {}: {task} runs at {at} after its cancellation",
                    self.seed
                );
            }
        }
        let in_sequence = self.ran.is_sorted_by(|a, b| a < b);
        assert!(
            in_sequence,
            "seed {}: orders ran as {:?}",
            self.seed, self.ran
        );
    }
}

fn order_output() -> Output {
    output("bought")
}

fn number_of(worker: &id::Worker) -> usize {
    worker.as_str()["worker-".len()..].parse().unwrap()
}

fn entry_of(entry: &id::Entry) -> usize {
    entry.as_str()["entry-".len()..].parse().unwrap()
}

fn submit_all(simulation: &mut Simulation) {
    for number in 0..JOBS {
        submit(simulation, job(number));
    }
    for sequence in 1..=ORDERS {
        let mut spec = order(100 + sequence, sequence, &format!("k-{sequence}"));
        spec.expires_at = None;
        submit(simulation, spec);
    }
}

fn submit(simulation: &mut Simulation, spec: filbertbend_coordination::job::Spec) {
    let reply = Reply(0);
    let wall = simulation.wall();
    let call = Call::Submit(spec);
    simulation.step_owner(0, Event::Call { reply, wall, call });
    while !simulation.entries[0].writes.is_empty() {
        simulation.step();
    }
}

/// Runs one simulation and checks that every job and order has ended.
fn run(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    submit_all(&mut simulation);
    simulation.accepted = true;
    while simulation.now < END {
        simulation.step();
        let owner = &simulation.entries.last().unwrap().owner;
        let ended = owner.image().jobs().all(|(_, job)| job.end.is_some());
        if ended && simulation.now >= FAULTS_END {
            break;
        }
    }
    let owner = &simulation.entries.last().unwrap().owner;
    let accepted = owner.image().jobs().count() as u64;
    assert_eq!(accepted, JOBS + ORDERS, "seed {seed}: jobs are lost");
    for (id, job) in owner.image().jobs() {
        assert!(
            job.end.is_some(),
            "seed {seed}: {id} has not ended: {job:?}"
        );
    }
    simulation
}

#[test]
fn no_task_runs_in_two_places_and_no_order_twice_under_faults() {
    let mut owners = 0;
    let mut attempts = 0;
    for seed in 0..30 {
        let simulation = run(seed);
        owners += simulation.entries.len();
        let placed = simulation.journal.iter();
        attempts += placed
            .filter(|record| matches!(record, Record::Placed { .. }))
            .count();
    }

    // Without enough faults the checks above would prove nothing.
    assert!(owners > 60, "{owners} owners");
    assert!(attempts > 30 * (JOBS + ORDERS) as usize, "{attempts}");
}
