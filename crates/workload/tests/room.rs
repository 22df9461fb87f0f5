//! Leaders, agents and model workers whose room changes, under random faults:
//! no start exceeds a worker's room, no task runs twice, none is forgotten.

mod support;

use {
    filbertbend_state::{
        time::{Instant, Wall},
        unit::Millis,
    },
    filbertbend_workload::{
        agent::{self, Agent, Answer, Call, Refusal},
        id::{Epoch, Job, Link, Sequence, Task},
        job,
        message::Response,
        planner::{Action, Batch, Event, Planner, Write},
        record::Progress,
        worker::{Exit, Profile},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    support::{
        machine::Machine, node, profile, room, settings, single, two_queues, LESS_URGENT, QUEUE,
    },
};

const SEEDS: u64 = 100;
const WORKERS: usize = 3;
const STEP: Millis = Millis(20);
const HEARTBEAT_INTERVAL: Millis = Millis(1500);
const SERVICE_TIME: Millis = Millis(20_000);
/// The number of services beside which every gang fits.
const MAX_SERVICES: usize = 1;
const LINK_TIMEOUT: Millis = Millis(1600);
const CALL_TIMEOUT: Millis = Millis(700);
const BEGIN: Instant = Instant(1_000_000);
const FAULTS_END: Instant = Instant(1_015_000);
const LIMIT: Instant = Instant(1_060_000);

/// A generator of fixed pseudo-random sequences.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }

    fn span(&mut self, from: u64, to: u64) -> Millis {
        Millis(from + self.below(to - from))
    }

    fn once_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }
}

/// An agent process and its link to the leader.
#[derive(Default)]
struct Process {
    agent: Agent,
    /// Distinguishes the processes that follow one another.
    generation: u64,
    link: Option<Link>,
    connect_at: Instant,
    /// Until when the process is frozen or being restarted.
    away_until: Instant,
    next_heartbeat: Instant,
    /// When the last messages to the leader and to the agent arrive, which keep
    /// their order.
    arrivals: [Instant; 2],
}

enum Message {
    Leader(Epoch, Event),
    /// To the process of this generation, on this link if it is a message of the
    /// leader.
    Agent(usize, u64, Option<Link>, agent::Event),
    Worker(Request),
}

/// A call of a process to its worker.
struct Request {
    index: usize,
    generation: u64,
    /// The incarnation of the worker that it is meant for.
    started_ms: u64,
    call: Call,
    sent: Instant,
    delivery: Delivery,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Delivery {
    Answered,
    AnswerLost,
    Late,
}

struct World {
    seed: u64,
    now: Instant,
    random: Random,
    planner: Planner,
    epoch: Epoch,
    machines: Vec<Machine>,
    processes: Vec<Process>,
    messages: BTreeMap<(Instant, u64), Message>,
    messages_sent: u64,
    /// Messages to processes that are frozen, in the order of their arrival.
    held: Vec<Message>,
    links: u64,
    jobs: BTreeMap<Job, Arc<job::Job>>,
    stored: BTreeMap<Job, Progress>,
    /// The jobs whose tasks last.
    services: BTreeSet<Job>,
    store_slow_until: Instant,
    /// Since when the leader is frozen, and until when.
    leader_away: Option<(Instant, Instant)>,
    /// Ends as done, of workers and incarnations, after which the task was
    /// started again.
    repeated: BTreeSet<(usize, u64, Sequence)>,
    /// Tasks of which an end as done was acknowledged.
    done: BTreeSet<Task>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            seed,
            now: BEGIN,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            planner: Planner::new(settings(), Epoch(1), BEGIN),
            epoch: Epoch(0),
            machines: Vec::new(),
            processes: Vec::new(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            held: Vec::new(),
            links: 0,
            jobs: BTreeMap::new(),
            stored: BTreeMap::new(),
            services: BTreeSet::new(),
            store_slow_until: BEGIN,
            leader_away: None,
            repeated: BTreeSet::new(),
            done: BTreeSet::new(),
        };
        for _ in 0..WORKERS {
            let mut machine = Machine::default();
            machine.restart();
            world.machines.push(machine);
            world.processes.push(Process::default());
        }
        world.restore_rooms();
        world.change_leader();
        world
    }

    fn restore_rooms(&mut self) {
        for machine in &mut self.machines {
            machine.resize(self.now, room(8, 32));
        }
    }

    fn post(&mut self, at: Instant, message: Message) {
        self.messages_sent += 1;
        self.messages.insert((at, self.messages_sent), message);
    }

    /// Returns when a message on a link arrives.
    fn arrival(&mut self, index: usize, direction: usize) -> Instant {
        let at = self.now + self.random.span(1, 12);
        let last = &mut self.processes[index].arrivals[direction];
        *last = at.max(*last);
        *last
    }

    fn change_leader(&mut self) {
        self.epoch.0 += 1;
        self.leader_away = None;
        self.planner = Planner::new(settings(), self.epoch, self.now);
        self.lead(Event::Configured(Arc::new(two_queues())));
        for (id, job) in self.jobs.clone() {
            let progress = self.stored.get(&id).cloned().unwrap_or_default();
            self.lead(Event::Recovered(id, job, progress));
        }
        self.lead(Event::Loaded);
        for index in 0..WORKERS {
            self.cut(index);
        }
    }

    /// Cuts the link of an agent, which connects again later.
    fn cut(&mut self, index: usize) {
        self.processes[index].connect_at = self.now + self.random.span(50, 2500);
        let generation = self.processes[index].generation;
        if let Some(link) = self.processes[index].link.take() {
            let (first, second) = (self.arrival(index, 0), self.arrival(index, 1));
            self.post(first, Message::Leader(self.epoch, Event::Closed(link)));
            let event = agent::Event::Disconnected;
            self.post(second, Message::Agent(index, generation, None, event));
        }
    }

    fn lead(&mut self, event: Event) {
        let mut actions = Vec::new();
        let until = self.now + Millis(8000);
        let wall = Wall(self.now.0);
        self.planner
            .step(self.now, wall, until, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(link, response) => self.respond(link, response),
                Action::Persist(batch) => self.persist(batch),
                Action::Decided(_) => {}
            }
        }
    }

    fn respond(&mut self, link: Link, response: Response) {
        let event = match response {
            Response::Welcome {
                epoch,
                fence,
                profile,
            } => agent::Event::Welcome(epoch, fence, profile),
            Response::Orders(orders) => agent::Event::Orders(orders),
            _ => return,
        };
        let linked = |process: &Process| process.link == Some(link);
        if let Some(index) = self.processes.iter().position(linked) {
            let at = self.arrival(index, 1);
            let generation = self.processes[index].generation;
            self.post(at, Message::Agent(index, generation, Some(link), event));
        }
    }

    fn persist(&mut self, batch: Batch) {
        for write in batch.writes {
            match write {
                Write::Progress(id, progress) => self.stored.insert(id, progress),
                Write::Remove(id) => self.stored.remove(&id),
            };
        }
        let at = self
            .store_slow_until
            .max(self.now + self.random.span(4, 10));
        let persisted = Event::Persisted(batch.number);
        self.post(at, Message::Leader(self.epoch, persisted));
    }

    fn act(&mut self, index: usize, event: agent::Event) {
        let mut actions = Vec::new();
        let process = &mut self.processes[index];
        process.agent.step(self.now, event, &mut actions);
        let link = process.link;
        for action in actions {
            let event = match (action, link) {
                (agent::Action::Hello, Some(link)) => Event::Opened(link, node(index as u64)),
                (agent::Action::Send(report), Some(link)) => Event::Report(link, report),
                (agent::Action::Call(call), _) => {
                    self.call(index, call);
                    continue;
                }
                _ => continue,
            };
            let at = self.arrival(index, 0);
            self.post(at, Message::Leader(self.epoch, event));
        }
    }

    fn call(&mut self, index: usize, call: Call) {
        let generation = self.processes[index].generation;
        let sent = self.now;
        let faulty = self.now < FAULTS_END && self.random.once_in(12);
        let (delivery, delay) = match (faulty, call.is_order()) {
            (true, _) if self.random.once_in(2) => (Delivery::Late, self.random.span(700, 4000)),
            (true, _) => (Delivery::AnswerLost, self.random.span(1, 20)),
            (false, true) => (Delivery::Answered, self.random.span(1, 20)),
            (false, false) => (Delivery::Answered, self.random.span(30, 200)),
        };
        if delivery != Delivery::Answered {
            let event = agent::Event::Answered {
                call: call.clone(),
                sent,
                answer: Answer::Lost,
            };
            self.post(
                sent + CALL_TIMEOUT,
                Message::Agent(index, generation, None, event),
            );
        }
        let known = self.processes[index].agent.profile();
        let request = Request {
            index,
            generation,
            started_ms: known.map_or(0, |profile| profile.incarnation.started_ms),
            call,
            sent,
            delivery,
        };
        self.post(sent + delay, Message::Worker(request));
    }

    fn execute(&mut self, request: &Request) -> Answer {
        let (now, seed) = (self.now, self.seed);
        let (index, call) = (request.index, &request.call);
        if request.started_ms != self.machines[index].started_ms {
            return Answer::Refused(Refusal::Restarted);
        }
        if let Some(start) = self.machines[index].would_start(now, call) {
            let fits = self.machines[index].has_room(now, start);
            assert!(
                fits || request.delivery == Delivery::Late,
                "seed {seed}, {now:?}, worker {index}: {start:?} exceeds {:?}",
                self.machines[index]
            );
            let running = self.machines.iter().any(|machine| machine.runs(start.task));
            assert!(
                !running,
                "seed {seed}, {now:?}, worker {index}: {start:?} runs twice"
            );
            let done = self.done.contains(&start.task);
            assert!(
                !done,
                "seed {seed}, {now:?}, worker {index}: {start:?} was done"
            );
            for (number, machine) in self.machines.iter().enumerate() {
                let ends = machine.done().filter(|(task, _)| *task == start.task);
                self.repeated
                    .extend(ends.map(|(_, sequence)| (number, machine.started_ms, sequence)));
            }
        }
        if let Call::Poll { acknowledged, .. } = call {
            let ends = self.machines[index].done();
            for (task, sequence) in ends.filter(|(_, sequence)| sequence <= acknowledged) {
                let end = (index, request.started_ms, sequence);
                assert!(
                    !self.repeated.contains(&end),
                    "seed {seed}, {now:?}: {task} ran again after it was done"
                );
                self.done.insert(task);
            }
        }
        let lasts =
            matches!(call, Call::Start { start, .. } if self.services.contains(&start.task.job));
        let (span, exit) = match (lasts, self.random.once_in(30)) {
            (true, _) => (SERVICE_TIME, Exit::Failed),
            (false, true) => (self.random.span(200, 4000), Exit::Failed),
            (false, false) => (self.random.span(200, 4000), Exit::Done),
        };
        let until = now + span;
        self.machines[index].call(now, call, until, exit)
    }

    fn next_message(&mut self) -> Option<Message> {
        let next = self.messages.first_entry()?;
        (next.key().0 <= self.now).then(|| next.remove())
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Leader(epoch, _) if epoch != self.epoch => {}
            Message::Leader(epoch, event) => match self.leader_away {
                None => self.lead(event),
                Some(_) => self.held.push(Message::Leader(epoch, event)),
            },
            Message::Agent(index, generation, link, event) => {
                let process = &self.processes[index];
                if process.generation != generation || link.is_some_and(|_| process.link != link) {
                    return;
                }
                if self.now < process.away_until {
                    let held = Message::Agent(index, generation, link, event);
                    self.held.push(held);
                } else {
                    self.act(index, event);
                }
            }
            Message::Worker(request) => {
                let answer = self.execute(&request);
                if request.delivery == Delivery::Answered {
                    let event = agent::Event::Answered {
                        call: request.call,
                        sent: request.sent,
                        answer,
                    };
                    let answered = Message::Agent(request.index, request.generation, None, event);
                    self.post(self.now, answered);
                }
            }
        }
    }

    fn disturb(&mut self) {
        let index = self.random.below(WORKERS as u64) as usize;
        if self.random.once_in(50) {
            self.submit();
        }
        if self.random.once_in(150) {
            let changed = room(self.random.below(9), self.random.below(33));
            self.machines[index].resize(self.now, changed);
        }
        if self.random.once_in(500) {
            self.cut(index);
        }
        if self.random.once_in(700) {
            let until = self.now + self.random.span(500, 5200);
            let process = &mut self.processes[index];
            process.away_until = until.max(process.away_until);
        }
        if self.random.once_in(700) {
            self.cut(index);
            let generation = self.processes[index].generation + 1;
            let away_until = self.now + self.random.span(500, 6000);
            let connect_at = away_until;
            self.processes[index] = Process {
                generation,
                away_until,
                connect_at,
                ..Process::default()
            };
        }
        if self.random.once_in(600) {
            let leaves_at = self.now + self.random.span(0, 4000);
            self.machines[index].leaves_at = Some(leaves_at);
        }
        if self.random.once_in(500) {
            self.store_slow_until = self.now + self.random.span(500, 7500);
        }
        if self.random.once_in(700) && self.leader_away.is_none() {
            let span = self.random.span(300, 5000);
            self.leader_away = Some((self.now, self.now + span));
            if span > LINK_TIMEOUT {
                (0..WORKERS).for_each(|index| self.cut(index));
            }
        }
        if self.random.once_in(1000) {
            self.change_leader();
        }
    }

    fn submit(&mut self) {
        let id = Job(1 + self.jobs.len() as u64);
        let urgent = self.random.once_in(2);
        let need = room(1 + self.random.below(4), 1 + self.random.below(8));
        let mut job = (*single(if urgent { QUEUE } else { LESS_URGENT }, need)).clone();
        job.steps[0].tasks = 1 + self.random.below(4) as u16;
        job.steps[0].mode.best_effort = self.random.once_in(6);
        job.steps[0].mode.gang = self.random.once_in(6);
        if self.services.len() < MAX_SERVICES && self.random.once_in(4) {
            job.steps = vec![support::step(2)];
            job.steps[0].mode.long_running = true;
            self.services.insert(id);
        }
        let job = Arc::new(job);
        self.jobs.insert(id, job.clone());
        self.lead(Event::Submitted(id, job));
    }

    fn tick(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let heartbeat = self.now >= process.next_heartbeat;
        if heartbeat {
            process.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
        }
        if self.now < process.away_until {
            return;
        }
        if process.link.is_none() && self.now >= process.connect_at {
            self.links += 1;
            process.link = Some(Link(self.links));
            self.act(index, agent::Event::Connected);
        }
        if heartbeat {
            let machine = &self.machines[index];
            let mut profile = Profile {
                room: machine.room,
                draining: machine.leaves_at.is_some(),
                remaining_ms: machine.leaves_at.map(|at| at.since(self.now).0),
                ..profile(index as u64)
            };
            profile.incarnation.started_ms = machine.started_ms;
            self.act(index, agent::Event::Heartbeat(profile));
        }
        self.act(index, agent::Event::Tick);
    }

    /// Returns whether nothing waits: services run, and other jobs have ended.
    fn is_settled(&self) -> bool {
        let runs = |id: &Job| {
            let count = self.jobs[id].steps[0].tasks;
            let mut tasks = (0..count).map(|index| support::task(id.0, 0, index));
            tasks.all(|task| self.machines.iter().any(|machine| machine.runs(task)))
        };
        self.planner.size().0 == self.services.len() && self.services.iter().all(runs)
    }

    /// Runs until nothing waits, some time after the last fault.
    fn run(&mut self) {
        while self.now < FAULTS_END || !self.is_settled() {
            assert!(
                self.now < LIMIT,
                "seed {}: jobs are not completed",
                self.seed
            );
            self.now = self.now + STEP;
            for machine in &mut self.machines {
                machine.advance(self.now);
            }
            if let Some((since, until)) = self.leader_away.filter(|(_, until)| self.now >= *until) {
                self.leader_away = None;
                self.lead(Event::Delayed(until.since(since)));
            }
            for message in std::mem::take(&mut self.held) {
                self.deliver(message);
            }
            while let Some(message) = self.next_message() {
                self.deliver(message);
            }
            for index in 0..WORKERS {
                self.tick(index);
            }
            if self.leader_away.is_none() {
                self.lead(Event::Tick);
            }
            if self.now < FAULTS_END {
                self.disturb();
            } else if self.now < FAULTS_END + STEP {
                self.restore_rooms();
            }
        }
    }
}

/// Guards against starts that exceed the room of a worker that has shrunk,
/// against tasks that run twice and against tasks that are never started.
#[test]
fn starts_stay_within_rooms_that_change() {
    for seed in 1..=SEEDS {
        World::new(seed).run();
    }
}
