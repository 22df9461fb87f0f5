//! A planner with simulated agents, jobs and store in virtual time.

use {
    filbertbend_state::{
        room::Room,
        time::{Instant, Wall},
        unit::{Accelerators, Bytes, Cores, Millis},
    },
    filbertbend_workload::{
        catalog::{Catalog, Queue},
        id::{Epoch, Fence, Incarnation, Job, Link, Node, Run, Sequence, Task},
        interference::{Reading, Usage},
        job::{self, Mode, Policy, Step},
        message::{Inventory, Orders, Outcome, Report, Response, Role, StartStatus},
        planner::{Action, Event, Planner, Settings},
        worker::{End, Exit, Profile},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, sync::Arc},
};

const SEED: u64 = 3;
const POOL: &str = "pool";
const CHECKS: &str = "checks";
const LAYOUTS: &str = "layouts";
const SERVICES: &str = "services";
/// The number of workers whose load the rates below are for.
const REFERENCE_WORKERS: f64 = 240.0;
const CHECKS_PER_S: f64 = 19.2;
const LAYOUTS_PER_S: f64 = 6.4;
const SERVICE_JOBS: f64 = 47.0;
const SERVICE_IMAGES: u64 = 16;
const LAYOUT_IMAGES: u64 = 30;
/// The interval of the simulation.
const STEP: Millis = Millis(10);
/// The interval of readings and, at every second one, of lease renewals.
const READING_INTERVAL_MS: u64 = 500;
/// How long the store takes to make a batch durable.
const STORE_TIME: Millis = Millis(10);
/// The time from an order to the agent's report of its outcome.
const START_TIME: Millis = Millis(10);

/// What happens at a later time.
#[derive(Clone, Copy, Debug)]
enum Due {
    Persisted(u64),
    Started(u64, Task, Run),
    Ended(u64, Task, Run, Exit),
}

/// A worker and its agent.
#[derive(Default)]
struct Agent {
    fence: Fence,
    ends: u64,
    renewals: u64,
    running: BTreeMap<(Task, Run), Role>,
}

pub(crate) struct Simulation {
    planner: Planner,
    random: ChaCha8Rng,
    now: Instant,
    agents: Vec<Agent>,
    due: BTreeMap<(Instant, u64), Due>,
    sequence: u64,
    jobs: u64,
    work: BTreeMap<&'static str, (u64, f64)>,
    starts: u64,
}

impl Simulation {
    pub(crate) fn new(workers: u64) -> Self {
        let now = Instant(1_000_000);
        let settings = Settings {
            lease: Millis(5500),
            lease_limit: Millis(10_000),
            silence_limit: Millis(2200),
            job_retention: Millis(120_000),
            worker_retention: Millis(12_000),
        };
        let mut simulation = Self {
            planner: Planner::new(settings, Epoch(1), now),
            random: ChaCha8Rng::seed_from_u64(SEED),
            now,
            agents: (0..workers).map(|_| Agent::default()).collect(),
            due: BTreeMap::new(),
            sequence: 0,
            jobs: 0,
            work: BTreeMap::new(),
            starts: 0,
        };
        simulation.step(Event::Configured(Arc::new(catalog())));
        simulation.step(Event::Loaded);
        for number in 0..workers {
            simulation.step(Event::Opened(Link(number), node(number)));
            let report = Report {
                profile: Some(profile(number)),
                inventory: Some(Inventory {
                    incarnation: profile(number).incarnation,
                    restarted: None,
                    foreign_lease: None,
                    crash: None,
                    running: Vec::new(),
                }),
                ..Report::default()
            };
            simulation.report(number, report);
            simulation.renew(number);
        }
        let services = (SERVICE_JOBS * simulation.scale()) as u64;
        for _ in 0..services {
            let job = simulation.service();
            simulation.submit(job);
        }
        simulation
    }

    pub(crate) fn work(&self) -> &BTreeMap<&'static str, (u64, f64)> {
        &self.work
    }

    pub(crate) fn starts(&self) -> u64 {
        self.starts
    }

    pub(crate) fn reset(&mut self) {
        self.work.clear();
        self.starts = 0;
    }

    /// Simulates a number of seconds.
    pub(crate) fn run(&mut self, seconds: u64) {
        let end = self.now + Millis(seconds * 1000);
        while self.now < end {
            self.now = self.now + STEP;
            self.arrivals();
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let due = entry.remove();
                self.happen(due);
            }
            for number in 0..self.agents.len() as u64 {
                // Agents report at different times.
                let phase = number * 37 % READING_INTERVAL_MS / STEP.0 * STEP.0;
                if self.now.0 % READING_INTERVAL_MS == phase {
                    self.read(number);
                }
            }
            if self.now.0.is_multiple_of(50) {
                self.step(Event::Tick);
            }
        }
    }

    fn scale(&self) -> f64 {
        self.agents.len() as f64 / REFERENCE_WORKERS
    }

    fn arrivals(&mut self) {
        let seconds = STEP.0 as f64 / 1000.0;
        if self
            .random
            .random_bool((CHECKS_PER_S * self.scale() * seconds).min(1.0))
        {
            let job = self.check();
            self.submit(job);
        }
        if self
            .random
            .random_bool((LAYOUTS_PER_S * self.scale() * seconds).min(1.0))
        {
            let job = self.layout();
            self.submit(job);
        }
    }

    fn submit(&mut self, job: job::Job) {
        self.jobs += 1;
        self.step(Event::Submitted(Job(self.jobs), Arc::new(job)));
    }

    fn check(&mut self) -> job::Job {
        let step = Step {
            tasks: self.random.random_range(4..23),
            room: room(2800, 5600),
            estimate: Millis(800),
            ..Step::default()
        };
        job(CHECKS, 0, self.wall(), vec![step])
    }

    fn layout(&mut self) -> job::Job {
        let step = |tasks, after, image| Step {
            tasks,
            room: room(7000, 13_000),
            estimate: Millis(1700),
            after,
            checkpoints: true,
            mode: Mode {
                best_effort: true,
                ..Mode::default()
            },
            image: Some(image),
            ..Step::default()
        };
        let tasks = self.random.random_range(15..65);
        let image: Arc<str> =
            format!("layout-{}", self.random.random_range(0..LAYOUT_IMAGES)).into();
        let steps = vec![
            step(tasks, vec![], image.clone()),
            step(tasks, vec![0], image),
        ];
        job(LAYOUTS, 2, self.wall(), steps)
    }

    fn service(&mut self) -> job::Job {
        let image = format!("service-{}", self.random.random_range(0..SERVICE_IMAGES));
        let step = Step {
            tasks: self.random.random_range(14..34),
            room: room(13_000, 26_000),
            mode: Mode {
                long_running: true,
                ..Mode::default()
            },
            image: Some(image.into()),
            latency_target: Some(Millis(50)),
            ..Step::default()
        };
        job(SERVICES, 0, self.wall(), vec![step])
    }

    fn wall(&self) -> Wall {
        Wall(self.now.0)
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Persisted(number) => self.step(Event::Persisted(number)),
            Due::Started(number, task, run) => {
                let outcome = Outcome {
                    task,
                    run,
                    status: StartStatus::Started,
                };
                let report = Report {
                    outcomes: vec![outcome],
                    ..Report::default()
                };
                self.report(number, report);
            }
            Due::Ended(number, task, run, exit) => {
                let agent = &mut self.agents[number as usize];
                if agent.running.remove(&(task, run)).is_none() {
                    return;
                }
                agent.ends += 1;
                let end = End {
                    sequence: Sequence(agent.ends),
                    task,
                    run,
                    exit,
                    checkpoint: None,
                };
                let report = Report {
                    ends: vec![end],
                    ..Report::default()
                };
                self.report(number, report);
            }
        }
    }

    fn read(&mut self, number: u64) {
        let agent = &self.agents[number as usize];
        let mut usage = Usage::new();
        let mut latencies = Vec::new();
        for ((task, _), role) in &agent.running {
            if role.latency_target.is_some() {
                latencies.push((*task, Millis(18 + task.job.0 % 9)));
            } else if let Some(image) = role.image.clone().filter(|_| role.best_effort) {
                *usage.entry(image).or_insert(0.0) += 0.1;
            }
        }
        let report = Report {
            reading: (!latencies.is_empty()).then_some(Reading { latencies, usage }),
            ..Report::default()
        };
        self.report(number, report);
        if (self.now.0 / READING_INTERVAL_MS).is_multiple_of(2) {
            self.renew(number);
        }
    }

    fn renew(&mut self, number: u64) {
        let agent = &mut self.agents[number as usize];
        agent.renewals += 1;
        let report = Report {
            renew: Some(agent.renewals),
            ..Report::default()
        };
        self.report(number, report);
    }

    fn report(&mut self, number: u64, mut report: Report) {
        report.fence = self.agents[number as usize].fence;
        self.step(Event::Report(Link(number), Box::new(report)));
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        let mut kind: &'static str = (&event).into();
        let passes = self.planner.passes();
        let until = self.now + Millis(8000);
        let began = std::time::Instant::now();
        self.planner
            .step(self.now, self.wall(), until, event, &mut actions);
        let micros = began.elapsed().as_secs_f64() * 1e6;
        let placed = self.planner.passes() > passes;
        if placed {
            kind = "placement";
        }
        let (steps, total) = self.work.entry(kind).or_default();
        *steps += 1;
        *total += micros;
        for action in actions {
            match action {
                Action::Send(link, Response::Welcome { fence, .. }) => {
                    self.agents[link.0 as usize].fence = fence;
                }
                Action::Send(link, Response::Orders(orders)) => self.order(link.0, orders),
                Action::Persist(batch) => self.schedule(STORE_TIME, Due::Persisted(batch.number)),
                Action::Send(..) | Action::Decided(_) => {}
            }
        }
        if placed {
            self.step(Event::Placed);
        }
    }

    fn order(&mut self, number: u64, orders: Orders) {
        for start in orders.starts {
            self.starts += 1;
            let (task, run) = (start.task, start.run);
            self.schedule(START_TIME, Due::Started(number, task, run));
            if start.role.latency_target.is_none() {
                let time = self.random.random_range(300..2500);
                self.schedule(Millis(time), Due::Ended(number, task, run, Exit::Done));
            }
            let agent = &mut self.agents[number as usize];
            agent.running.insert((task, run), start.role);
        }
        for (task, run) in orders.stops {
            self.schedule(START_TIME, Due::Ended(number, task, run, Exit::Stopped));
        }
    }

    fn schedule(&mut self, after: Millis, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + after, self.sequence), due);
    }
}

fn room(milli_cores: u64, megabytes: u64) -> Room {
    Room {
        cores: Cores(milli_cores),
        memory: Bytes(megabytes << 20),
        accelerators: Accelerators(0),
    }
}

fn job(queue: &str, priority: u8, accepted: Wall, steps: Vec<Step>) -> job::Job {
    job::Job {
        queue: queue.into(),
        policy: Policy {
            pool: POOL.into(),
            priority,
            attempts: 3,
        },
        spec: "work".into(),
        steps,
        accepted,
        schedule: None,
    }
}

fn catalog() -> Catalog {
    let queue = |(name, priority): (&str, u8)| Queue {
        name: name.into(),
        host: "host".into(),
        prefix: "/".into(),
        pool: POOL.into(),
        priority,
        attempts: 3,
        objective: None,
        timeout: Millis(3000),
    };
    let queues = [(CHECKS, 0), (LAYOUTS, 2), (SERVICES, 0)].map(queue);
    Catalog {
        version: 1,
        queues: queues.map(|queue| (queue.name.clone(), queue)).into(),
        ..Catalog::default()
    }
}

fn node(number: u64) -> Node {
    Node(format!("side-{number}").into())
}

fn profile(number: u64) -> Profile {
    Profile {
        incarnation: Incarnation {
            worker: format!("w-{number}").into(),
            started_ms: 1,
        },
        pool: POOL.into(),
        data_centre: "xela".into(),
        room: room(64_000, 250_000),
        labels: vec!["a".into(), format!("r-{}", number / 8).into()],
        draining: false,
        remaining_ms: None,
    }
}
