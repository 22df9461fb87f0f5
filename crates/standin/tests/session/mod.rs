//! Whole sessions in simulated time: entries, agents, workers, endpoints and
//! the store. Messages take a fixed time and pass in order unless the script
//! drops or holds one.

mod carry;
mod check;
mod entry;
mod node;
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
    node::Node,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, fmt::Write},
    text::time,
};

/// Time from one process to another.
const LINK_MS: u64 = 2;
/// Time that an endpoint takes for an order.
const ORDER_MS: u64 = 50;
/// Silence after which an agent is a suspect, and after which it is down.
const SUSPECT_MS: u64 = 2000;
const DOWN_MS: u64 = 5000;
const TICK_MS: u64 = 100;
const LOAD_INTERVAL_MS: u64 = 500;
/// Time until a caller of the store learns that an answer is lost.
const LOST_MS: u64 = 1000;

/// What the script does to a message or store call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fate {
    Pass,
    Drop,
    /// Arrives this many milliseconds later; other messages may overtake it.
    Hold(u64),
    /// A store call takes effect and its answer is lost.
    LoseAnswer,
}

/// Decides about a message by its sender, receiver and text.
pub(crate) type Rule = Box<dyn FnMut(Instant, &str, &str, &str) -> Fate>;

#[derive(Clone)]
pub(crate) struct Caller {
    entry: id::Entry,
    life: u64,
    /// The machine that made the call; none if nobody waits for the answer.
    source: Option<Source>,
}

enum Packet {
    ToAgent(id::Worker, executor::Event),
    ToEntry(id::Entry, executor::Action, id::Worker),
    Delivered(id::Worker, id::Incarnation, Attempt),
    Lost(Caller, Ticket),
}

struct Seat {
    life: u64,
    entry: Entry,
}

/// A call, and its answer if there is one.
pub(crate) struct Asked {
    pub(crate) call: Call,
    pub(crate) at: Instant,
    pub(crate) answer: Option<(Instant, Answer)>,
    name: String,
    /// The entry that has to answer; none if the connection was lost.
    pub(crate) entry: Option<(id::Entry, u64)>,
}

pub(crate) struct Session {
    pub(crate) now: Instant,
    pub(crate) rule: Rule,
    pub(crate) network: Network<Caller>,
    pub(crate) asked: BTreeMap<u64, Asked>,
    nodes: BTreeMap<id::Worker, Node>,
    seats: BTreeMap<id::Entry, Seat>,
    packets: BTreeMap<(Instant, u64), Packet>,
    snapshot: Snapshot,
    slices: u16,
    lives: u64,
    sent: u64,
    next_spec: u64,
    names: BTreeMap<String, String>,
    answers: String,
    messages: String,
    stored: BTreeMap<(String, String), u64>,
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

/// A worker of `size` with its agent and endpoint, in `data_centre`.
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

/// A job service that guarantees `quota` to `team`.
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
    /// Starts the agents; entries are started by the script.
    pub(crate) fn new(slices: u16, agents: Vec<Agent>, services: Vec<Declaration>) -> Self {
        let faults = Faults {
            latency_ms: 2 * LINK_MS,
            ..Faults::default()
        };
        let mut session = Self {
            now: Instant(1),
            rule: Box::new(|_, _, _, _| Fate::Pass),
            network: Network::new(faults, ChaCha8Rng::seed_from_u64(1)),
            asked: BTreeMap::new(),
            nodes: BTreeMap::new(),
            seats: BTreeMap::new(),
            packets: BTreeMap::new(),
            snapshot: Snapshot {
                revision: id::Revision(1),
                services,
                drains: Vec::new(),
            },
            slices,
            lives: 0,
            sent: 0,
            next_spec: 0,
            names: BTreeMap::new(),
            answers: String::new(),
            messages: String::new(),
            stored: BTreeMap::new(),
            counters: BTreeMap::new(),
        };
        for agent in agents {
            let worker = agent.worker.clone();
            let node = Node::new(session.now, agent, slices);
            session.nodes.insert(worker.clone(), node);
            session.start_agent(worker.as_str());
        }
        session
    }

    pub(crate) fn start_agent(&mut self, worker: &str) {
        let worker: id::Worker = name(worker);
        let now = self.now;
        let actions = self.node(&worker).start(now);
        let incarnation = self.node(&worker).agent.incarnation;
        self.say(&format!("{worker}: agent starts, life {incarnation}"));
        self.act_on_agent(&worker, actions);
    }

    pub(crate) fn kill_agent(&mut self, worker: &str) {
        let now = self.now;
        self.say(&format!("{worker}: agent dies"));
        self.node(&name(worker)).kill(now);
    }

    pub(crate) fn has_agent(&mut self, worker: &str) -> bool {
        self.node(&name(worker)).executor.is_some()
    }

    pub(crate) fn has_entry(&self, entry: &str) -> bool {
        self.seats.contains_key(&name::<id::Entry>(entry))
    }

    fn node(&mut self, worker: &id::Worker) -> &mut Node {
        self.nodes.get_mut(worker).unwrap()
    }

    pub(crate) fn start_entry(&mut self, entry: &str, data_centre: &str) {
        let id: id::Entry = name(entry);
        self.lives += 1;
        self.say(&format!("{entry}: starts"));
        let mut made = Entry::new(id.clone(), self.lives, name(data_centre), self.slices);
        made.slices.configure(&self.snapshot);
        let now = self.now;
        made.step(|slices, actions| slices.tick(clock(now), actions));
        let seat = Seat {
            life: self.lives,
            entry: made,
        };
        self.seats.insert(id.clone(), seat);
        self.flush(&id);
    }

    pub(crate) fn leave_entry(&mut self, entry: &str) {
        self.say(&format!("{entry}: told to leave"));
        let now = self.now;
        self.with(&name(entry), |entry| {
            entry.step(|slices, actions| slices.leave(clock(now), actions));
        });
    }

    /// Ends an entry process; callers that wait lose their connections.
    pub(crate) fn kill_entry(&mut self, entry: &str) {
        self.end_entry(&name(entry), "dies");
    }

    fn end_entry(&mut self, entry: &id::Entry, how: &str) {
        self.say(&format!("{entry}: {how}"));
        let Some(seat) = self.seats.remove(entry) else {
            return;
        };
        self.cut_off(entry, seat.life);
    }

    /// Notes that the callers of an entry that ends lose their connections.
    fn cut_off(&mut self, entry: &id::Entry, life: u64) {
        let served_here = Some((entry.clone(), life));
        let numbers: Vec<u64> = self.asked.keys().copied().collect();
        for number in numbers {
            if self.asked[&number].entry == served_here {
                self.dropped(number);
            }
        }
    }

    /// Notes that a caller has to ask another entry.
    fn dropped(&mut self, number: u64) {
        let Some(asked) = self.asked.get_mut(&number) else {
            return;
        };
        if asked.answer.is_some() || asked.entry.take().is_none() {
            return;
        }
        let name = &asked.name;
        writeln!(self.answers, "{} {name}: connection lost", time(self.now)).unwrap();
    }

    fn with(&mut self, entry: &id::Entry, step: impl FnOnce(&mut Entry)) {
        if let Some(seat) = self.seats.get_mut(entry) {
            step(&mut seat.entry);
            self.flush(entry);
        }
    }

    /// Makes a job; `body` is for the worker model.
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
        self.names.insert(id.to_string(), title.to_owned());
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
        let title = self.names[&spec.id.to_string()].clone();
        self.call(&format!("submit {title}"), Call::Submit(spec))
    }

    /// Passes a call to the entry that serves its slice.
    pub(crate) fn call(&mut self, title: &str, call: Call) -> u64 {
        let number = self.asked.len() as u64 + 1;
        let label = format!("call {number}");
        writeln!(self.answers, "{} {label}: {title}", time(self.now)).unwrap();
        let slice = slice_of(&call, self.slices);
        let serving = self
            .seats
            .iter()
            .find(|(_, seat)| seat.entry.slices.serves(slice));
        let serving = serving.map(|(entry, seat)| (entry.clone(), seat.life));
        let asked = Asked {
            call: call.clone(),
            at: self.now,
            answer: None,
            name: label.clone(),
            entry: serving.clone(),
        };
        self.asked.insert(number, asked);
        let Some((entry, _)) = serving else {
            writeln!(self.answers, "{} {label}: no owner", time(self.now)).unwrap();
            return number;
        };
        let now = self.now;
        let reply = owner::Reply(number);
        self.with(&entry, |entry| {
            entry.step(|slices, actions| slices.call(clock(now), slice, reply, call, actions));
        });
        number
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, ms: u64) {
        let end = self.now + Millis(ms);
        while self.now < end {
            let tick = Instant((self.now.0 / TICK_MS + 1) * TICK_MS);
            let packet = self.packets.keys().next().map(|(at, _)| *at);
            let wakes = self
                .seats
                .values()
                .filter_map(|seat| seat.entry.slices.wake());
            let due = self.nodes.values().filter_map(|node| node.model.next_due());
            let next = wakes.chain(due).chain(packet).chain(self.network.next_at());
            let next = next.fold(tick.min(end), Instant::min);
            self.now = next.max(Instant(self.now.0 + 1));
            self.turn(self.now == tick);
        }
    }

    fn turn(&mut self, tick: bool) {
        let now = self.now;
        while let Some((caller, ticket, answer)) = self.network.receive(now) {
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
        let workers: Vec<_> = self.nodes.keys().cloned().collect();
        let entries: Vec<_> = self.seats.keys().cloned().collect();
        for worker in &workers {
            let actions = self.node(worker).poll(now);
            self.act_on_agent(worker, actions);
            if tick {
                self.step_agent(worker, executor::Event::Tick);
            }
        }
        for entry in &entries {
            if tick {
                self.watch_agents(entry, &workers);
            }
            self.with(entry, |entry| {
                entry.step(|slices, actions| slices.tick(clock(now), actions));
            });
        }
    }

    /// Tells an entry how the agents are.
    fn watch_agents(&mut self, entry: &id::Entry, workers: &[id::Worker]) {
        let now = self.now;
        for worker in workers {
            let node = self.node(worker);
            let agent = node.agent.clone();
            let load = node.executor.as_ref().map(executor::Executor::load);
            let silent = node.dead_since.map_or(0, |since| now.since(since).0);
            let state = match silent {
                DOWN_MS.. => State::Down,
                SUSPECT_MS.. => State::Suspect,
                _ => State::Alive,
            };
            self.with(entry, |entry| {
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

    /// Checks the session and returns everything that happened in it.
    pub(crate) fn finish(self) -> String {
        let faults = self.faults();
        assert!(faults.is_empty(), "{}", faults.join("\n"));
        self.render()
    }

    /// Returns everything that must not have happened.
    pub(crate) fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        check::spans(self.nodes.values(), &mut faults);
        check::orders(self.nodes.values(), &self.asked, &mut faults);
        check::not_run(self.nodes.values(), &self.asked, &mut faults);
        check::answered(&self.asked, &mut faults);
        faults.iter().map(|fault| self.rename(fault)).collect()
    }

    /// Replaces the ids of jobs by their titles.
    fn rename(&self, text: &str) -> String {
        let rename = |text: String, (id, title): (&String, &String)| text.replace(id, title);
        self.names.iter().fold(text.to_owned(), rename)
    }

    fn render(&self) -> String {
        let mut text = format!(
            "== answers\n{}\n== messages\n{}",
            self.answers, self.messages
        );
        text += "\n== runs on workers\n";
        for node in self.nodes.values() {
            for span in &node.model.trace().spans {
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
        for run in self.nodes.values().flat_map(|node| &node.runs) {
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
        for ((entry, call), count) in &self.stored {
            writeln!(text, "{entry} {count:>4} {call}").unwrap();
        }
        text += "\n== counters\n";
        for (counter, count) in &self.counters {
            writeln!(text, "{counter} {count}").unwrap();
        }
        self.rename(&text)
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
