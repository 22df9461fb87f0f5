//! Sessions of entries, agents, workers, endpoints and the store in simulated
//! time. Messages take a fixed time and arrive in order, unless the test drops
//! or delays one.

mod actions;
mod check;
mod entry;
mod instance;
mod operators;
mod text;

pub(crate) use operators::Operators;

use {
    entry::{clock, Entry},
    filbertbend_coordination::{
        attempt::Attempt,
        executor,
        job::{Answer, Call, Order, Spec},
        membership::{Load, State},
        owner,
        placement::Agent,
        slices::Source,
        store::Ticket,
    },
    filbertbend_standin::store::network::{Faults, Network},
    filbertbend_state::{
        config::Snapshot,
        hash, id,
        room::Room,
        service::{Class, Declaration, Kind, Retry},
        time::Instant,
        unit::{Accelerators, Bytes, Cores, Millis, Share, Slots},
    },
    instance::Instance,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, fmt::Write},
    text::time,
};

/// Delay of a message from one process to another.
const LINK_MS: u64 = 2;
/// Service time of an order at an endpoint.
const ORDER_MS: u64 = 50;
/// Silence after which an agent is suspected, and after which it is down.
const SUSPECT_MS: u64 = 2000;
const DOWN_MS: u64 = 5000;
const TICK_MS: u64 = 100;
const LOAD_INTERVAL_MS: u64 = 500;
/// Time after which a store call without an answer is reported as lost.
const STORE_TIMEOUT_MS: u64 = 1000;

/// The fault that a test injects into a message or a store call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The message arrives, or the call is sent.
    None,
    /// The message is dropped, or the call is lost before it takes effect.
    Drop,
    /// The message arrives this many milliseconds later, and others may overtake
    /// it. A store call is not delayed.
    Hold(u64),
    /// The store call takes effect and its answer is lost. A message arrives.
    LoseAnswer,
}

/// Chooses the fault of a message by its time, sender, receiver and text.
pub(crate) type Rule = Box<dyn FnMut(Instant, &str, &str, &str) -> Fault>;

#[derive(Clone)]
pub(crate) struct Caller {
    entry: id::Entry,
    incarnation: u64,
    /// The state machine that made the call; none if nobody waits for the answer.
    source: Option<Source>,
}

enum Packet {
    ToAgent(id::Worker, executor::Event),
    ToEntry(id::Entry, executor::Action, id::Worker),
    OrderDone(id::Worker, id::Incarnation, Attempt),
    Lost(Caller, Ticket),
}

struct Process {
    incarnation: u64,
    entry: Entry,
}

/// A caller's call, and its answer if there is one.
pub(crate) struct Exchange {
    pub(crate) call: Call,
    pub(crate) at: Instant,
    pub(crate) answer: Option<(Instant, Answer)>,
    name: String,
    /// The entry process that must answer; none if the connection was lost.
    pub(crate) entry: Option<(id::Entry, u64)>,
}

pub(crate) struct Session {
    pub(crate) now: Instant,
    pub(crate) rule: Rule,
    pub(crate) store: Network<Caller>,
    pub(crate) exchanges: BTreeMap<u64, Exchange>,
    instances: BTreeMap<id::Worker, Instance>,
    processes: BTreeMap<id::Entry, Process>,
    packets: BTreeMap<(Instant, u64), Packet>,
    snapshot: Snapshot,
    slices: u16,
    incarnations: u64,
    sent: u64,
    next_spec: u64,
    titles: BTreeMap<String, String>,
    answers: String,
    messages: String,
    store_calls: BTreeMap<(String, String), u64>,
    counters: BTreeMap<String, u64>,
}

pub(crate) fn name<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().unwrap()
}

pub(crate) fn room(cores: u64, gib: u64) -> Room {
    Room {
        cores: Cores(cores * 1000),
        memory: Bytes(gib << 30),
        accelerators: Accelerators(0),
    }
}

/// Returns the agent of a worker of `size`, with an endpoint, in `data_centre`.
pub(crate) fn agent(worker: &str, data_centre: &str, services: &[&str], size: Room) -> Agent {
    Agent {
        worker: name(worker),
        endpoint: name(&format!("{worker}-endpoint")),
        incarnation: id::Incarnation(0),
        data_centre: name(data_centre),
        rack: name(&format!("{data_centre}-rack")),
        services: services.iter().map(|service| name(service)).collect(),
        slots: Slots(8),
        room: size,
    }
}

/// Declares a job service that guarantees `quota` to `team`.
pub(crate) fn service(service: &str, team: &str, quota: Room) -> Declaration {
    Declaration {
        name: name(service),
        team: name(team),
        kind: Kind::Job,
        class: Class::Batch,
        idempotent: true,
        deadline: Millis::from_secs(60),
        size: room(1, 1),
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

impl Session {
    /// Creates a session and starts the agents. The test starts the entries.
    pub(crate) fn new(slices: u16, agents: Vec<Agent>, services: Vec<Declaration>) -> Self {
        let faults = Faults {
            latency_ms: 2 * LINK_MS,
            ..Faults::default()
        };
        let mut session = Self {
            now: Instant(1),
            rule: Box::new(|_, _, _, _| Fault::None),
            store: Network::new(faults, ChaCha8Rng::seed_from_u64(1)),
            exchanges: BTreeMap::new(),
            instances: BTreeMap::new(),
            processes: BTreeMap::new(),
            packets: BTreeMap::new(),
            snapshot: Snapshot {
                revision: id::Revision(1),
                services,
                drains: Vec::new(),
            },
            slices,
            incarnations: 0,
            sent: 0,
            next_spec: 0,
            titles: BTreeMap::new(),
            answers: String::new(),
            messages: String::new(),
            store_calls: BTreeMap::new(),
            counters: BTreeMap::new(),
        };
        for agent in agents {
            let worker = agent.worker.clone();
            let instance = Instance::new(session.now, agent, slices);
            session.instances.insert(worker.clone(), instance);
            session.start_agent(worker.as_str());
        }
        session
    }

    pub(crate) fn start_agent(&mut self, worker: &str) {
        let worker: id::Worker = name(worker);
        let now = self.now;
        let actions = self.instance(&worker).start(now);
        let incarnation = self.instance(&worker).agent.incarnation;
        self.log(&format!("{worker}: agent starts, life {incarnation}"));
        self.apply_agent_actions(&worker, actions);
    }

    pub(crate) fn kill_agent(&mut self, worker: &str) {
        let now = self.now;
        self.log(&format!("{worker}: agent dies"));
        self.instance(&name(worker)).kill(now);
    }

    pub(crate) fn has_agent(&mut self, worker: &str) -> bool {
        self.instance(&name(worker)).executor.is_some()
    }

    pub(crate) fn has_entry(&self, entry: &str) -> bool {
        self.processes.contains_key(&name::<id::Entry>(entry))
    }

    fn instance(&mut self, worker: &id::Worker) -> &mut Instance {
        self.instances.get_mut(worker).unwrap()
    }

    pub(crate) fn start_entry(&mut self, entry: &str, data_centre: &str) {
        let id: id::Entry = name(entry);
        self.incarnations += 1;
        self.log(&format!("{entry}: starts"));
        let mut started = Entry::new(
            id.clone(),
            self.incarnations,
            name(data_centre),
            self.slices,
        );
        started.slices.configure(&self.snapshot);
        let now = self.now;
        started.step(|slices, actions| slices.tick(clock(now), actions));
        let process = Process {
            incarnation: self.incarnations,
            entry: started,
        };
        self.processes.insert(id.clone(), process);
        self.flush(&id);
    }

    pub(crate) fn leave_entry(&mut self, entry: &str) {
        self.log(&format!("{entry}: told to leave"));
        let now = self.now;
        self.with_entry(&name(entry), |entry| {
            entry.step(|slices, actions| slices.leave(clock(now), actions));
        });
    }

    /// Kills an entry process. Its waiting callers lose their connections.
    pub(crate) fn kill_entry(&mut self, entry: &str) {
        self.end_entry(&name(entry), "dies");
    }

    fn end_entry(&mut self, entry: &id::Entry, how: &str) {
        self.log(&format!("{entry}: {how}"));
        let Some(process) = self.processes.remove(entry) else {
            return;
        };
        self.drop_connections(entry, process.incarnation);
    }

    /// Drops the connections of all callers that wait for an ended entry process.
    fn drop_connections(&mut self, entry: &id::Entry, incarnation: u64) {
        let served_here = Some((entry.clone(), incarnation));
        let numbers: Vec<u64> = self.exchanges.keys().copied().collect();
        for number in numbers {
            if self.exchanges[&number].entry == served_here {
                self.connection_lost(number);
            }
        }
    }

    /// Records that a caller lost its connection, unless it was answered.
    fn connection_lost(&mut self, number: u64) {
        let Some(exchange) = self.exchanges.get_mut(&number) else {
            return;
        };
        if exchange.answer.is_some() || exchange.entry.take().is_none() {
            return;
        }
        let name = &exchange.name;
        writeln!(self.answers, "{} {name}: connection lost", time(self.now)).unwrap();
    }

    fn with_entry(&mut self, entry: &id::Entry, step: impl FnOnce(&mut Entry)) {
        if let Some(process) = self.processes.get_mut(entry) {
            step(&mut process.entry);
            self.flush(entry);
        }
    }

    /// Returns a job whose body is for the worker model.
    pub(crate) fn job(
        &mut self,
        title: &str,
        service: &str,
        team: &str,
        size: Room,
        work_ms: u64,
    ) -> Spec {
        let id = id::Job(hash::ulid(format!("{title}/{}", self.next_spec)));
        self.next_spec += 1;
        self.titles.insert(id.to_string(), title.to_owned());
        Spec {
            id,
            service: name(service),
            team: name(team),
            class: Class::Batch,
            size,
            tasks: 1,
            run_time: Millis(work_ms),
            expires_at: None,
            data_centres: Vec::new(),
            body: format!("{{\"work_ms\":{work_ms},\"echo\":\"{title}\"}}").into_bytes(),
            order: None,
        }
    }

    pub(crate) fn order(
        &mut self,
        service: &str,
        customer: &str,
        sequence: u64,
        key: &str,
    ) -> Spec {
        let spec = self.job(
            &format!("{customer}/{key}"),
            service,
            "desk",
            room(1, 1),
            ORDER_MS,
        );
        Spec {
            expires_at: Some(clock(self.now).wall + Millis::from_secs(30)),
            body: format!("{customer} orders {key}").into_bytes(),
            order: Some(Order {
                customer: name(customer),
                sequence,
                key: name(key),
            }),
            ..spec
        }
    }

    pub(crate) fn submit(&mut self, spec: Spec) -> u64 {
        let title = self.titles[&spec.id.to_string()].clone();
        self.call(&format!("submit {title}"), Call::Submit(spec))
    }

    /// Sends a call to the entry that serves its slice.
    pub(crate) fn call(&mut self, title: &str, call: Call) -> u64 {
        let number = self.exchanges.len() as u64 + 1;
        let label = format!("call {number}");
        writeln!(self.answers, "{} {label}: {title}", time(self.now)).unwrap();
        let slice = slice_of(&call, self.slices);
        let serving = self
            .processes
            .iter()
            .find(|(_, process)| process.entry.slices.serves(slice));
        let serving = serving.map(|(entry, process)| (entry.clone(), process.incarnation));
        let exchange = Exchange {
            call: call.clone(),
            at: self.now,
            answer: None,
            name: label.clone(),
            entry: serving.clone(),
        };
        self.exchanges.insert(number, exchange);
        let Some((entry, _)) = serving else {
            writeln!(self.answers, "{} {label}: no owner", time(self.now)).unwrap();
            return number;
        };
        let now = self.now;
        let reply = owner::Reply(number);
        self.with_entry(&entry, |entry| {
            entry.step(|slices, actions| slices.call(clock(now), slice, reply, call, actions));
        });
        number
    }

    /// Runs the session for `ms` of simulated time.
    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now + Millis(ms);
        while self.now < end {
            let tick = Instant((self.now.0 / TICK_MS + 1) * TICK_MS);
            let packet = self.packets.keys().next().map(|(at, _)| *at);
            let wakes = self
                .processes
                .values()
                .filter_map(|process| process.entry.slices.wake());
            let due = self
                .instances
                .values()
                .filter_map(|instance| instance.model.next_due());
            let next = wakes.chain(due).chain(packet).chain(self.store.next_at());
            let next = next.fold(tick.min(end), Instant::min);
            self.now = next.max(Instant(self.now.0 + 1));
            self.process_due(self.now == tick);
        }
    }

    fn process_due(&mut self, tick: bool) {
        let now = self.now;
        while let Some((caller, ticket, answer)) = self.store.receive(now) {
            self.answer_store(caller, ticket, answer);
        }
        while let Some(first) = self
            .packets
            .first_entry()
            .filter(|first| first.key().0 <= now)
        {
            let packet = first.remove();
            self.deliver(packet);
        }
        let workers: Vec<_> = self.instances.keys().cloned().collect();
        let entries: Vec<_> = self.processes.keys().cloned().collect();
        for worker in &workers {
            let actions = self.instance(worker).poll(now);
            self.apply_agent_actions(worker, actions);
            if tick {
                self.step_agent(worker, executor::Event::Tick);
            }
        }
        for entry in &entries {
            if tick {
                self.report_agents(entry, &workers);
            }
            self.with_entry(entry, |entry| {
                entry.step(|slices, actions| slices.tick(clock(now), actions));
            });
        }
    }

    /// Reports the state and load of the agents to an entry.
    fn report_agents(&mut self, entry: &id::Entry, workers: &[id::Worker]) {
        let now = self.now;
        for worker in workers {
            let instance = self.instance(worker);
            let agent = instance.agent.clone();
            let load = instance.executor.as_ref().map(executor::Executor::load);
            let silent = instance.dead_since.map_or(0, |since| now.since(since).0);
            let state = match silent {
                DOWN_MS.. => State::Down,
                SUSPECT_MS.. => State::Suspect,
                _ => State::Alive,
            };
            self.with_entry(entry, |entry| {
                entry.agent(now, &agent, state);
                if let Some(load) = load.filter(|_| now.0.is_multiple_of(LOAD_INTERVAL_MS)) {
                    let load = Load {
                        free: load.free,
                        slots_used: load.slots,
                        leaving: load.leaving,
                        ..Load::default()
                    };
                    entry.slices.update_load(worker, load);
                }
            });
        }
    }

    /// Checks all invariants and renders the session for the golden file.
    pub(crate) fn finish(self) -> String {
        let violations = self.violations();
        assert!(violations.is_empty(), "{}", violations.join("\n"));
        self.render()
    }

    /// Returns descriptions of all violated invariants.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        check::spans(self.instances.values(), &mut violations);
        check::orders(self.instances.values(), &self.exchanges, &mut violations);
        check::not_run(self.instances.values(), &self.exchanges, &mut violations);
        check::answered(&self.exchanges, &mut violations);
        violations
            .iter()
            .map(|violation| self.replace_ids(violation))
            .collect()
    }

    /// Replaces the ids of jobs with their titles.
    fn replace_ids(&self, text: &str) -> String {
        let replace_ids = |text: String, (id, title): (&String, &String)| text.replace(id, title);
        self.titles.iter().fold(text.to_owned(), replace_ids)
    }

    fn render(&self) -> String {
        let mut text = format!(
            "== answers\n{}\n== messages\n{}",
            self.answers, self.messages
        );
        text += "\n== runs on workers\n";
        for instance in self.instances.values() {
            for span in &instance.model.trace().spans {
                let to = span.to.map_or_else(|| "still runs".to_owned(), time);
                writeln!(
                    text,
                    "{} {} to {to}: {}",
                    span.worker,
                    time(span.from),
                    span.attempt
                )
                .unwrap();
            }
        }
        text += "\n== orders at endpoints\n";
        for run in self.instances.values().flat_map(|instance| &instance.runs) {
            writeln!(
                text,
                "{} {}: {}/{}",
                run.worker,
                time(run.at),
                run.customer,
                run.key
            )
            .unwrap();
        }
        text += "\n== store calls\n";
        for ((entry, call), count) in &self.store_calls {
            writeln!(text, "{entry} {count:>4} {call}").unwrap();
        }
        text += "\n== counters\n";
        for (counter, count) in &self.counters {
            writeln!(text, "{counter} {count}").unwrap();
        }
        self.replace_ids(&text)
    }
}

fn slice_of(call: &Call, slices: u16) -> id::Slice {
    match call {
        Call::Submit(Spec {
            order: Some(order), ..
        }) => hash::slice(order.customer.as_str(), slices),
        Call::Order { customer, .. } => hash::slice(customer.as_str(), slices),
        Call::Submit(Spec { id, .. }) | Call::Status(id) | Call::Result(id) | Call::Cancel(id) => {
            hash::job_slice(*id, slices)
        }
    }
}
