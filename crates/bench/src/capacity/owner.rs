//! Processor time, memory and journal size of the owner of a slice, by number of
//! tasks.

use {
    crate::{regression::Series, usage},
    filbertbend_coordination::{
        attempt::{Attempt, Command, End, Output, Report},
        job::{Call, Spec},
        owner::{Action, Authority, Event, Image, Owner, Record, Recovery, Reply, Ticket},
        placement::{Agent, Planner, Settings},
    },
    filbertbend_state::{
        id,
        room::Room,
        service::Class,
        time::{Instant, Wall},
        unit::{Bytes, Cores, Millis, Slots},
    },
    std::{collections::VecDeque, hint::black_box, time::Instant as Clock},
    ulid::Ulid,
};

const NOW: Instant = Instant(1_000_000);
const WALL: Wall = Wall(1_800_000_000_000);
const FAR_FUTURE: Instant = Instant(u64::MAX / 2);
const SLICE: id::Slice = id::Slice(0);
/// Most placement decisions that are requested from the planner at once.
const DECISION_BATCH: usize = 1024;

/// The state up to which the driver takes each task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Goal {
    Running,
    Completed,
}

/// An owner and its planner with a simulated store and agents that answer
/// immediately.
struct Driver {
    owner: Owner,
    planner: Planner,
    goal: Goal,
    journal_bytes: usize,
    records: Vec<Record>,
}

impl Driver {
    fn new(tasks: usize, goal: Goal) -> Self {
        let mut planner = planner();
        let workers = tasks / 16 + 1;
        for index in 0..workers {
            planner.register_agent(NOW, agent(index));
        }
        let mut driver = Self {
            owner: Owner::new(SLICE, WALL, authority()),
            planner,
            goal,
            journal_bytes: 0,
            records: Vec::new(),
        };
        for index in 0..workers {
            let agent = agent(index);
            driver.step(Event::AgentConnected {
                worker: agent.worker.clone(),
                incarnation: agent.incarnation,
            });
            driver.step(Event::Inventory {
                worker: agent.worker,
                attempts: Vec::new(),
            });
        }
        driver
    }

    fn submit(&mut self, tasks: usize) {
        for index in 0..tasks {
            self.step(Event::Call {
                reply: Reply(index as u64),
                wall: WALL,
                call: Call::Submit(spec(index)),
            });
        }
        loop {
            let mut decisions = Vec::new();
            self.planner.decide(NOW, DECISION_BATCH, &mut decisions);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                self.step(Event::Decision(decision));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.owner.step(NOW, event, &mut self.planner, &mut actions);
            for action in actions {
                events.extend(self.answer(action));
            }
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Append { ticket, records } => Some(self.append(ticket, records)),
            Action::Send {
                worker,
                attempt,
                command,
            } => self.report(worker, attempt, command),
            _ => None,
        }
    }

    fn append(&mut self, ticket: Ticket, records: Vec<Record>) -> Event {
        for record in records {
            let encoded = postcard::to_stdvec(&record).expect("a record is plain data");
            self.journal_bytes += encoded.len();
            self.records.push(record);
        }
        Event::Durable(ticket)
    }

    fn report(&self, worker: id::Worker, attempt: Attempt, command: Command) -> Option<Event> {
        let report = match command {
            Command::Start { .. } => Report::Claim {
                nonce: id::Nonce(1),
            },
            Command::Grant { .. } if self.goal == Goal::Completed => {
                Report::Ended(End::Completed(Output {
                    status: 200,
                    content_type: "application/json".into(),
                    body: vec![b'x'; 64],
                }))
            }
            _ => return None,
        };
        Some(Event::Report {
            worker,
            attempt,
            report,
        })
    }
}

fn authority() -> Authority {
    Authority {
        first_grants_until: FAR_FUTURE,
        renewals_until: FAR_FUTURE,
    }
}

fn planner() -> Planner {
    Planner::new(Settings {
        local: "dc-1".parse().expect("the name is valid"),
        remote_cost: Millis(500),
        slices_owned: 1,
        slices: 1,
    })
}

fn agent(index: usize) -> Agent {
    Agent {
        worker: format!("worker-{index}")
            .parse()
            .expect("the name is valid"),
        endpoint: format!("runner-{index}")
            .parse()
            .expect("the name is valid"),
        incarnation: id::Incarnation(1),
        data_centre: "dc-1".parse().expect("the name is valid"),
        rack: format!("rack-{}", index / 20)
            .parse()
            .expect("the name is valid"),
        services: Vec::new(),
        slots: Slots(8),
        room: Room {
            cores: Cores(64_000),
            memory: Bytes(256 << 30),
            ..Room::NONE
        },
    }
}

fn spec(index: usize) -> Spec {
    Spec {
        id: id::Job(Ulid::from_parts(WALL.0, index as u128 + 1)),
        service: "layout".parse().expect("the name is valid"),
        team: "installers".parse().expect("the name is valid"),
        class: Class::Batch,
        size: Room {
            cores: Cores(4000),
            memory: Bytes(8 << 30),
            ..Room::NONE
        },
        tasks: 1,
        run_time: Millis::from_secs(60),
        expires_at: None,
        data_centres: Vec::new(),
        body: vec![b'x'; 256],
        order: None,
    }
}

/// Costs of the owner at several numbers of tasks.
pub struct Costs {
    /// Processor time of submitting, placing, granting and completing tasks.
    pub processor_time: Series,
    /// Bytes of the journal records that these steps write.
    pub journal_size: Series,
    /// Resident memory of an owner with running tasks.
    pub memory: Series,
    /// Processor time of rebuilding the owner from its journal records.
    pub recovery_time: Series,
}

/// Measures an owner at each number of tasks in `sizes`.
pub fn measure(sizes: &[usize]) -> Costs {
    let mut costs = Costs {
        processor_time: series("owner.start.time", "task", "us"),
        journal_size: series("owner.start.journal", "task", "B"),
        memory: series("owner.task.memory", "task", "B"),
        recovery_time: series("owner.recovery.time", "task", "us"),
    };
    for &tasks in sizes {
        let size = tasks as f64;
        let (micros, bytes) = run_to_completion(tasks);
        costs.processor_time.points.push((size, micros));
        costs.journal_size.points.push((size, bytes));
        let before = usage::resident_bytes(std::process::id()).unwrap_or_default();
        let mut driver = Driver::new(tasks, Goal::Running);
        driver.submit(tasks);
        let after = usage::resident_bytes(std::process::id()).unwrap_or_default();
        let growth = after.saturating_sub(before) as f64;
        costs.memory.points.push((size, growth));
        costs.recovery_time.points.push((size, recover(&driver)));
    }
    costs
}

fn series(name: &'static str, per: &'static str, unit: &'static str) -> Series {
    Series {
        name,
        per,
        unit,
        points: Vec::new(),
    }
}

fn run_to_completion(tasks: usize) -> (f64, f64) {
    let mut driver = Driver::new(tasks, Goal::Completed);
    let start = Clock::now();
    driver.submit(tasks);
    let micros = start.elapsed().as_secs_f64() * 1e6;
    (micros, driver.journal_bytes as f64)
}

/// Applies every record and rebuilds the owner, as a recovery does once it has
/// read the store; returns the time in microseconds.
fn recover(driver: &Driver) -> f64 {
    let start = Clock::now();
    let mut image = Image::default();
    for record in &driver.records {
        image.apply(record);
    }
    let recovery = Recovery {
        slice: SLICE,
        image,
        wall: WALL,
        authority: authority(),
        claimed_at: NOW,
        former_lease_remaining: Millis::from_secs(600),
    };
    let mut planner = planner();
    let owner = Owner::recover(NOW, recovery, &mut planner, &mut Vec::new());
    let micros = start.elapsed().as_secs_f64() * 1e6;
    black_box(owner);
    micros
}
