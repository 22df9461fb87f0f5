//! A test harness that drives an executor and a stand-in worker step by step.

use {
    filbertbend_coordination::{
        attempt::{Attempt, Command, Report, Work},
        executor::{Action, Check, Delivery, Event, Executor, Settings},
        worker,
    },
    filbertbend_standin::worker::{Faults, Model, Settings as WorkerSettings},
    filbertbend_state::{
        hash, id,
        room::Room,
        time::Instant,
        unit::{Bytes, Connections, Cores, Millis, Slots},
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
};

pub(crate) const SLICES: u16 = 4;

pub(crate) fn entry(name: &str) -> id::Entry {
    id::Entry::new(name).unwrap()
}

pub(crate) fn service(name: &str) -> id::Service {
    id::Service::new(name).unwrap()
}

pub(crate) fn attempt(job: u8, number: u32) -> Attempt {
    let text = format!("01J000000000000000000000{job:02}");
    let job = text.parse().unwrap();
    Attempt {
        task: id::Task { job, index: 0 },
        number: id::Attempt(number),
    }
}

pub(crate) fn slice(attempt: Attempt) -> id::Slice {
    hash::slice(attempt.task.job.0.to_bytes(), SLICES)
}

pub(crate) fn cores(count: u64) -> Room {
    Room {
        cores: Cores(count * 1000),
        memory: Bytes(count << 30),
        ..Room::NONE
    }
}

pub(crate) fn batch(work_ms: u64) -> Work {
    Work::Batch {
        service: service("plan"),
        body: format!("{{\"work_ms\":{work_ms}}}").into_bytes(),
        resume: None,
    }
}

pub(crate) fn order() -> Work {
    Work::Order {
        service: service("bundle"),
        customer: id::Customer::new("rua").unwrap(),
        key: id::Key::new("key-1").unwrap(),
        body: b"{}".to_vec(),
    }
}

pub(crate) fn start(work: Work) -> Command {
    Command::Start {
        size: cores(1),
        work,
    }
}

/// One agent with its worker, and all actions that the executor has returned.
pub(crate) struct Agent {
    pub(crate) now: Instant,
    pub(crate) executor: Executor,
    pub(crate) model: Model,
    pub(crate) sent: Vec<Action>,
    pub(crate) settings: Settings,
    seen: u64,
}

impl Agent {
    /// Creates an agent with two cores and two slots that has read an empty
    /// task list and has run for longer than a lease.
    pub(crate) fn new() -> Self {
        Self::with_settings(settings())
    }

    pub(crate) fn with_settings(settings: Settings) -> Self {
        let mut agent = Self::without_task_list(settings);
        agent.read_tasks();
        agent.advance(Millis::from_secs(20));
        agent.sent.clear();
        agent
    }

    pub(crate) fn without_task_list(settings: Settings) -> Self {
        let now = Instant(1_000_000);
        let worker = WorkerSettings::new(id::Worker::new("w1").unwrap());
        Self {
            now,
            executor: Executor::new(settings.clone(), ChaCha8Rng::seed_from_u64(1)),
            model: Model::new(worker, now),
            sent: Vec::new(),
            settings,
            seen: 0,
        }
    }

    /// Replaces the agent's process; the worker keeps running.
    pub(crate) fn restart(&mut self) {
        let rng = ChaCha8Rng::seed_from_u64(self.now.0);
        self.executor = Executor::new(self.settings.clone(), rng);
        self.seen = 0;
        self.sent.clear();
    }

    /// Passes an event to the executor. The worker does not receive the
    /// resulting commands yet.
    pub(crate) fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.executor.step(self.now, event, &mut actions);
        self.sent.extend(actions.iter().cloned());
        actions
    }

    /// Passes an event to the executor and executes the resulting commands on
    /// the worker.
    pub(crate) fn handle(&mut self, event: Event) {
        let actions = self.step(event);
        self.execute(actions);
    }

    pub(crate) fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Worker(command) => self.model.command(self.now, command),
                Action::ReadTasks => self.read_tasks(),
                _ => {}
            }
        }
        self.read_events();
    }

    /// Returns the worker's events that the agent has not read.
    pub(crate) fn new_events(&mut self, now: Instant) -> Vec<worker::Event> {
        let page = self.model.events(now, self.seen);
        self.seen = page.next;
        page.events
    }

    pub(crate) fn read_events(&mut self) {
        for event in self.new_events(self.now) {
            self.handle(Event::Worker(event));
        }
    }

    pub(crate) fn read_tasks(&mut self) {
        let list = self.model.running(self.now);
        self.handle(Event::Tasks(list));
    }

    /// Advances the time in ticks of 100 ms.
    pub(crate) fn advance(&mut self, span: Millis) {
        for _ in 0..span.0 / 100 {
            self.now = self.now + Millis(100);
            self.handle(Event::Tick);
        }
    }

    /// Advances the time while the agent's process is frozen.
    pub(crate) fn freeze(&mut self, span: Millis) {
        self.now = self.now + span;
    }

    pub(crate) fn command(&mut self, attempt: Attempt, command: Command) -> Vec<Action> {
        self.command_from("e1", 1, attempt, command)
    }

    pub(crate) fn command_from(
        &mut self,
        from: &str,
        epoch: u64,
        attempt: Attempt,
        command: Command,
    ) -> Vec<Action> {
        let event = Event::Command {
            from: entry(from),
            slice: slice(attempt),
            epoch: id::Epoch(epoch),
            attempt,
            command,
        };
        let actions = self.step(event);
        self.execute(actions.clone());
        actions
    }

    /// Returns the nonce of the attempt's newest claim or renewal.
    pub(crate) fn nonce(&self, attempt: Attempt) -> id::Nonce {
        self.reports(attempt)
            .into_iter()
            .rev()
            .find_map(|report| match report {
                Report::Claim { nonce } | Report::Renew { nonce } => Some(nonce),
                _ => None,
            })
            .expect("no claim or renewal was sent")
    }

    pub(crate) fn grant(&mut self, attempt: Attempt) -> Vec<Action> {
        let nonce = self.nonce(attempt);
        let lease = Millis::from_secs(15);
        self.command(attempt, Command::Grant { nonce, lease })
    }

    /// Starts and grants a batch task of the given length.
    pub(crate) fn run(&mut self, attempt: Attempt, work_ms: u64) {
        self.command(attempt, start(batch(work_ms)));
        self.grant(attempt);
        assert!(self
            .model
            .running(self.now)
            .iter()
            .any(|r| r.attempt == attempt));
    }

    pub(crate) fn adopt(&mut self, from: &str, epoch: u64, slice: id::Slice) {
        let event = Event::Adopt {
            from: entry(from),
            slice,
            epoch: id::Epoch(epoch),
        };
        self.handle(event);
    }

    pub(crate) fn request_check(&mut self, check: u64) {
        let remaining = Millis::from_secs(2);
        let check = Check(check);
        self.handle(Event::CheckArrived { check, remaining });
    }

    pub(crate) fn deliver(&mut self, attempt: Attempt, delivery: Delivery) {
        self.handle(Event::Order { attempt, delivery });
    }

    /// Returns all reports on the attempt so far, oldest first.
    pub(crate) fn reports(&self, wanted: Attempt) -> Vec<Report> {
        self.sent
            .iter()
            .filter_map(|action| match action {
                Action::Report {
                    attempt, report, ..
                } if *attempt == wanted => Some(report.clone()),
                _ => None,
            })
            .collect()
    }

    pub(crate) fn last_report(&self, attempt: Attempt) -> Option<Report> {
        self.reports(attempt).pop()
    }

    /// Counts the commands to the worker that match `wanted`.
    pub(crate) fn count_commands(&self, wanted: impl Fn(&worker::Command) -> bool) -> usize {
        self.sent
            .iter()
            .filter(|action| matches!(action, Action::Worker(command) if wanted(command)))
            .count()
    }

    pub(crate) fn inventories(
        &self,
    ) -> Vec<Vec<(Attempt, filbertbend_coordination::attempt::Phase)>> {
        self.sent
            .iter()
            .filter_map(|action| match action {
                Action::Inventory { attempts, .. } => Some(attempts.clone()),
                _ => None,
            })
            .collect()
    }

    pub(crate) fn orders_sent(&self) -> usize {
        self.sent
            .iter()
            .filter(|action| matches!(action, Action::SendOrder { .. }))
            .count()
    }

    pub(crate) fn with_faults(mut self, faults: Faults) -> Self {
        self.model.set_faults(faults);
        self
    }
}

pub(crate) fn settings() -> Settings {
    Settings::new(cores(2), Slots(2), Connections(4), SLICES)
}
