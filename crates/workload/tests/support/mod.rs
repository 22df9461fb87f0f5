//! A planner with a scripted clock, and reports of simulated agents.

// Each test file uses some of the fixtures.
#![allow(dead_code)]

pub(crate) mod machine;

use {
    filbertbend_state::{
        room::Room,
        time::{Instant, Wall},
        unit::{Accelerators, Bytes, Cores, Millis},
    },
    filbertbend_workload::{
        catalog::{Catalog, Queue},
        id::{Epoch, Fence, Incarnation, Job, Link, Node, Run, Sequence, Task},
        interference::{Reading, Weight},
        job::{self, Policy, Step},
        message::{Inventory, Orders, Outcome, Report, Response, Start, StartStatus},
        planner::{Action, Batch, Decision, Event, Planner, Settings, Write},
        record::{Occurrence, Progress, State, Unfinished},
        worker::{End, Exit, Profile, Running},
    },
    std::{collections::BTreeMap, sync::Arc},
};

pub(crate) const QUEUE: &str = "checks";
pub(crate) const POOL: &str = "pool";
/// The queue of [`two_queues`] with the lower priority.
pub(crate) const LESS_URGENT: &str = "batches";

pub(crate) fn settings() -> Settings {
    Settings {
        lease: Millis(6000),
        lease_limit: Millis(10_000),
        silence_limit: Millis(2200),
        job_retention: Millis(120_000),
        worker_retention: Millis(12_000),
    }
}

pub(crate) fn catalog(priority: u8, attempts: u32) -> Catalog {
    let queue = Queue {
        name: QUEUE.into(),
        host: "host".into(),
        prefix: "/p/".into(),
        pool: POOL.into(),
        priority,
        attempts,
        objective: None,
        timeout: Millis(3000),
    };
    Catalog {
        version: 1,
        queues: [(queue.name.clone(), queue)].into(),
        ..Catalog::default()
    }
}

/// Creates the catalog of an urgent and a less urgent queue.
pub(crate) fn two_queues() -> Catalog {
    let mut two = catalog(0, 2);
    two.version = 2;
    let mut less_urgent = two.queues[QUEUE].clone();
    less_urgent.name = LESS_URGENT.into();
    less_urgent.priority = 1;
    two.queues.insert(less_urgent.name.clone(), less_urgent);
    two
}

pub(crate) fn room(cores: u64, gib: u64) -> Room {
    Room {
        cores: Cores(cores * 1000),
        memory: Bytes(gib << 30),
        accelerators: Accelerators(0),
    }
}

pub(crate) fn step(tasks: u16) -> Step {
    Step {
        tasks,
        room: room(1, 1),
        estimate: Millis(1000),
        ..Step::default()
    }
}

/// Returns a step of one task that serves users, with a target of 50 ms.
pub(crate) fn service() -> Step {
    let mut service = step(1);
    service.mode.long_running = true;
    service.latency_target = Some(Millis(50));
    service.image = Some("service".into());
    service
}

pub(crate) fn job(steps: Vec<Step>) -> Arc<job::Job> {
    Arc::new(job::Job {
        queue: QUEUE.into(),
        policy: Policy {
            pool: POOL.into(),
            priority: 0,
            attempts: 2,
        },
        spec: "work".into(),
        steps,
        accepted: Wall(0),
        schedule: None,
    })
}

/// Creates a job of one task.
pub(crate) fn single(queue: &str, room: Room) -> Arc<job::Job> {
    let mut one = step(1);
    one.room = room;
    let mut submitted = (*job(vec![one])).clone();
    submitted.queue = queue.into();
    Arc::new(submitted)
}

pub(crate) fn incarnation(node: u64) -> Incarnation {
    Incarnation {
        worker: format!("w-{node}").into(),
        started_ms: 1,
    }
}

pub(crate) fn profile(node: u64) -> Profile {
    Profile {
        incarnation: incarnation(node),
        pool: POOL.into(),
        data_centre: "xela".into(),
        room: room(8, 32),
        labels: vec!["a".into(), format!("r-{node}").into()],
        draining: false,
        remaining_ms: None,
    }
}

pub(crate) fn node(number: u64) -> Node {
    Node(format!("side-{number}").into())
}

/// A planner under test with the orders, decisions and batches it has emitted.
pub(crate) struct Harness {
    pub(crate) planner: Planner,
    pub(crate) now: Instant,
    pub(crate) until: Instant,
    pub(crate) orders: BTreeMap<Link, Orders>,
    pub(crate) welcomed: Vec<Link>,
    /// The fence of the newest session of each link.
    pub(crate) fences: BTreeMap<Link, Fence>,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) batches: Vec<Batch>,
    /// The size of the largest message, in bytes.
    pub(crate) largest_message: usize,
    reading: Option<Reading>,
}

impl Harness {
    /// Creates a planner that has not loaded any jobs.
    pub(crate) fn new(epoch: u64) -> Self {
        let now = Instant(1_000_000);
        Self {
            planner: Planner::new(settings(), Epoch(epoch), now),
            now,
            until: now + Millis(1_000_000),
            orders: BTreeMap::new(),
            welcomed: Vec::new(),
            fences: BTreeMap::new(),
            decisions: Vec::new(),
            batches: Vec::new(),
            largest_message: 0,
            reading: None,
        }
    }

    /// Creates a planner of the first term with `workers` idle workers.
    pub(crate) fn with_workers(workers: u64) -> Self {
        let mut harness = Self::new(1);
        harness.step(Event::Configured(Arc::new(catalog(0, 2))));
        harness.step(Event::Loaded);
        for number in 0..workers {
            harness.join(number, Vec::new());
        }
        harness
    }

    pub(crate) fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        let wall = Wall(self.now.0);
        self.planner
            .step(self.now, wall, self.until, event, &mut actions);
        for action in actions {
            if let Action::Send(_, response) = &action {
                let encoded = postcard::to_allocvec(response).expect("a message is encoded");
                self.largest_message = self.largest_message.max(encoded.len());
            }
            match action {
                Action::Send(link, Response::Orders(orders)) => self.keep(link, orders),
                Action::Send(link, Response::Welcome { fence, .. }) => {
                    self.welcomed.push(link);
                    self.fences.insert(link, fence);
                }
                Action::Send(..) => {}
                Action::Persist(batch) => self.batches.push(batch),
                Action::Decided(decision) => self.decisions.push(decision),
            }
        }
    }

    /// Delivers a report in the newest session, or in the one that the report
    /// names.
    pub(crate) fn report(&mut self, number: u64, mut report: Report) {
        if report.fence == Fence::default() {
            let fence = self.fences.get(&Link(number)).copied();
            report.fence = fence.unwrap_or_default();
        }
        self.step(Event::Report(Link(number), Box::new(report)));
    }

    fn keep(&mut self, link: Link, orders: Orders) {
        let kept = self.orders.entry(link).or_default();
        kept.starts.extend(orders.starts);
        kept.stops.extend(orders.stops);
        kept.acknowledged = kept.acknowledged.max(orders.acknowledged);
        kept.lease = orders.lease.or(kept.lease);
        kept.probe = orders.probe.or(kept.probe);
    }

    /// Opens a session, reports an inventory and requests a lease.
    pub(crate) fn join(&mut self, number: u64, running: Vec<Running>) {
        self.step(Event::Opened(Link(number), node(number)));
        self.inventory(number, running, Vec::new());
        self.commit();
    }

    pub(crate) fn inventory(&mut self, number: u64, running: Vec<Running>, ends: Vec<End>) {
        let report = Report {
            profile: Some(profile(number)),
            inventory: Some(Inventory {
                incarnation: incarnation(number),
                restarted: None,
                foreign_lease: None,
                running,
                crash: None,
            }),
            ends,
            renew: Some(1),
            ..Report::default()
        };
        self.report(number, report);
    }

    /// Runs a placement pass whose decisions are not durable yet.
    pub(crate) fn place(&mut self) {
        self.now = self.now + Millis(20);
        self.step(Event::Tick);
    }

    /// Runs a placement pass and makes every batch durable, including those
    /// that follow.
    pub(crate) fn commit(&mut self) -> Vec<Batch> {
        self.now = self.now + Millis(20);
        self.step(Event::Tick);
        let mut all = Vec::new();
        while let Some(batch) = self.batches.pop() {
            self.step(Event::Persisted(batch.number));
            all.push(batch);
        }
        all
    }

    /// Advances the clock while the workers in `alive` keep reporting.
    pub(crate) fn pass(&mut self, span: Millis, alive: &[u64]) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(100).min(end.since(self.now));
            for number in alive {
                let report = Report {
                    renew: Some(2),
                    reading: self.reading.clone(),
                    ..Report::default()
                };
                self.report(*number, report);
            }
            self.step(Event::Tick);
        }
    }

    /// Reports a reading of a worker now and whenever the clock advances.
    pub(crate) fn report_reading(&mut self, number: u64, reading: Reading) {
        self.reading = Some(reading.clone());
        let report = Report {
            reading: Some(reading),
            ..Report::default()
        };
        self.report(number, report);
    }

    /// Reports that a worker is draining.
    pub(crate) fn drain(&mut self, number: u64) {
        let report = Report {
            profile: Some(Profile {
                draining: true,
                remaining_ms: Some(5000),
                ..profile(number)
            }),
            ..Report::default()
        };
        self.report(number, report);
    }

    /// Reports that the total resources of a worker have changed.
    pub(crate) fn resize(&mut self, number: u64, room: Room) {
        let report = Report {
            profile: Some(Profile {
                room,
                ..profile(number)
            }),
            ..Report::default()
        };
        self.report(number, report);
    }

    /// Reports the interference weights that a worker's agent has learned.
    pub(crate) fn weights(&mut self, number: u64, weights: Vec<Weight>) {
        let report = Report {
            weights,
            ..Report::default()
        };
        self.report(number, report);
    }

    pub(crate) fn submit(&mut self, id: u64, job: Arc<job::Job>) {
        self.step(Event::Submitted(Job(id), job));
        self.commit();
    }

    /// Takes the starts that a worker has been ordered since the last call.
    pub(crate) fn starts(&mut self, number: u64) -> Vec<Start> {
        let orders = self.orders.entry(Link(number)).or_default();
        std::mem::take(&mut orders.starts)
    }

    /// Takes all starts with the workers that they went to.
    pub(crate) fn all_starts(&mut self) -> Vec<(u64, Start)> {
        let links: Vec<Link> = self.orders.keys().copied().collect();
        links
            .into_iter()
            .flat_map(|link| {
                let starts = self.starts(link.0);
                starts.into_iter().map(move |start| (link.0, start))
            })
            .collect()
    }

    pub(crate) fn stops(&mut self, number: u64) -> Vec<(Task, Run)> {
        let orders = self.orders.entry(Link(number)).or_default();
        std::mem::take(&mut orders.stops)
    }

    pub(crate) fn acknowledged(&self, number: u64) -> Option<Sequence> {
        self.orders.get(&Link(number))?.acknowledged
    }

    /// Takes the probe that a worker's agent has been sent since the last call.
    pub(crate) fn probe(&mut self, number: u64) -> Option<u64> {
        self.orders.entry(Link(number)).or_default().probe.take()
    }

    /// Advances the clock without reports.
    pub(crate) fn idle(&mut self, span: Millis) {
        self.pass(span, &[]);
    }

    pub(crate) fn started(&mut self, number: u64, start: &Start) {
        self.outcome(number, start, StartStatus::Started);
    }

    /// Reports the outcome of a start.
    pub(crate) fn outcome(&mut self, number: u64, start: &Start, status: StartStatus) {
        let outcome = Outcome {
            task: start.task,
            run: start.run,
            status,
        };
        let report = Report {
            outcomes: vec![outcome],
            ..Report::default()
        };
        self.report(number, report);
    }

    pub(crate) fn end(&mut self, number: u64, sequence: u64, start: &Start, exit: Exit) {
        let report = Report {
            ends: vec![end(sequence, start.task, start.run, exit)],
            ..Report::default()
        };
        self.report(number, report);
    }
}

pub(crate) fn end(sequence: u64, task: Task, run: Run, exit: Exit) -> End {
    End {
        sequence: Sequence(sequence),
        task,
        run,
        exit,
        checkpoint: None,
    }
}

pub(crate) fn running(task: Task, run: Run) -> Running {
    Running {
        task,
        run,
        checkpoint: None,
        percent: 0,
        measurement: 0,
    }
}

pub(crate) fn task(job: u64, step: u16, index: u16) -> Task {
    Task {
        job: Job(job),
        occurrence: 0,
        step,
        index,
    }
}

/// Returns the progress of a job whose only task runs on a worker.
pub(crate) fn placed(number: u64, run: Run) -> Progress {
    let mark = Unfinished {
        runs: vec![(node(number), run)],
        ..Unfinished::default()
    };
    let occurrence = Occurrence {
        unfinished: vec![mark],
        done: vec![vec![0]],
        ..Occurrence::default()
    };
    Progress {
        state: State::Running,
        occurrences: vec![occurrence],
        ..Progress::default()
    }
}

/// Returns the last progress of a job in a series of batches.
pub(crate) fn progress(batches: &[Batch], id: u64) -> Option<Progress> {
    batches
        .iter()
        .flat_map(|batch| &batch.writes)
        .filter_map(|write| match write {
            Write::Progress(job, progress) if *job == Job(id) => Some(progress.clone()),
            _ => None,
        })
        .next_back()
}
