//! The worker's tasks and rules, without a network.

use {
    super::{task::Task, trace::Trace},
    filbertbend_coordination::{
        attempt::{Attempt, Work},
        worker::{Command, Event, Running, Usage},
    },
    filbertbend_state::{
        id,
        room::Room,
        time::Instant,
        unit::{Cores, Millis},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Events that are kept for a reader that starts again.
const EVENT_LIMIT: usize = 10_000;

/// What goes wrong on the worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every task fails as soon as it starts.
    pub fail_all: bool,
    /// Every start is refused.
    pub refuse_all: bool,
    /// No checkpoint ever completes.
    pub no_checkpoints: bool,
    /// The server answers nothing but errors; the tasks go on.
    pub unreachable: bool,
}

/// Sizes and times of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The worker's name, for the trace.
    pub worker: id::Worker,
    /// How long a checkpoint takes.
    pub checkpoint_time: Millis,
    /// The length of the intervals over which usage is reported.
    pub usage_interval: Millis,
    /// How much later than its interval usage is reported.
    pub usage_lag: Millis,
}

impl Settings {
    /// Returns the settings of an ordinary worker.
    pub fn new(worker: id::Worker) -> Self {
        Self {
            worker,
            checkpoint_time: Millis(200),
            usage_interval: Millis::from_secs(1),
            usage_lag: Millis::from_secs(10),
        }
    }
}

/// Events after the sequence number that a reader gave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The number to ask after next.
    pub next: u64,
    /// The events.
    pub events: Vec<Event>,
}

/// A worker, driven by the caller's clock.
pub struct Model {
    settings: Settings,
    faults: Faults,
    now: Instant,
    tasks: BTreeMap<Attempt, Task>,
    /// Attempts that have been stopped, ended or refused here.
    over: BTreeSet<Attempt>,
    events: VecDeque<Event>,
    dropped: u64,
    usage_from: Instant,
    late: VecDeque<(Instant, Vec<Usage>)>,
    trace: Trace,
}

impl Model {
    /// Makes an idle worker at `now`.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            faults: Faults::default(),
            now,
            tasks: BTreeMap::new(),
            over: BTreeSet::new(),
            events: VecDeque::new(),
            dropped: 0,
            usage_from: now,
            late: VecDeque::new(),
            trace: Trace::default(),
        }
    }

    /// Changes what goes wrong from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns what goes wrong.
    pub fn faults(&self) -> Faults {
        self.faults
    }

    /// Returns what ran when, for tests only.
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Lists the running tasks.
    pub fn running(&mut self, now: Instant) -> Vec<Running> {
        self.advance(now);
        self.tasks
            .values()
            .map(|task| Running {
                attempt: task.attempt,
                service: task.service.clone(),
                size: task.size,
                lease_end: task.lease_end,
            })
            .collect()
    }

    /// Returns each running task's kind and the part of `cores` that it uses.
    pub fn usage(&self, cores: Cores) -> Vec<(id::Service, f64)> {
        self.tasks
            .values()
            .map(|task| {
                let part = task.size.cores.0 as f64 / cores.0.max(1) as f64;
                (task.service.clone(), part * task.throttle.fraction())
            })
            .collect()
    }

    /// Returns the events after `seq`, of those that are still kept.
    pub fn events(&mut self, now: Instant, seq: u64) -> Page {
        self.advance(now);
        let skip = seq.saturating_sub(self.dropped) as usize;
        Page {
            next: self.dropped + self.events.len() as u64,
            events: self.events.iter().skip(skip).cloned().collect(),
        }
    }

    /// Carries out one command.
    pub fn command(&mut self, now: Instant, command: Command) {
        self.advance(now);
        match command {
            Command::Start {
                attempt,
                work,
                size,
                lease_end,
            } => self.start(attempt, work, size, lease_end),
            Command::Extend { attempt, lease_end } => {
                if let Some(task) = self.tasks.get_mut(&attempt) {
                    task.lease_end = task.lease_end.max(lease_end);
                }
            }
            Command::Throttle { attempt, share } => {
                if let Some(task) = self.tasks.get_mut(&attempt) {
                    task.throttle = share;
                }
            }
            Command::Checkpoint { attempt } => self.checkpoint(attempt),
            Command::Stop { attempt } => self.stop(attempt),
        }
        self.advance(now);
    }

    fn start(&mut self, attempt: Attempt, work: Work, size: Room, lease_end: Instant) {
        if self.tasks.contains_key(&attempt) {
            self.emit(Event::Started(attempt));
            return;
        }
        if self.faults.refuse_all || lease_end <= self.now || self.over.contains(&attempt) {
            self.over.insert(attempt);
            self.emit(Event::Refused(attempt));
            return;
        }
        self.trace.start(&self.settings.worker, attempt, self.now);
        self.emit(Event::Started(attempt));
        let task = Task::new(attempt, work, size, lease_end);
        let task = match task {
            Ok(_) if self.faults.fail_all => Err("the worker is faulty".to_owned()),
            task => task,
        };
        match task {
            Ok(task) => {
                if self.tasks.is_empty() {
                    self.usage_from = self.now;
                }
                self.tasks.insert(attempt, task);
                let used = self
                    .tasks
                    .values()
                    .fold(Room::NONE, |sum, task| sum + task.size);
                self.trace.use_room(used);
            }
            Err(reason) => self.end(attempt, Event::Failed(attempt, reason.into())),
        }
    }

    fn checkpoint(&mut self, attempt: Attempt) {
        let at = self.now + self.settings.checkpoint_time;
        if self.faults.no_checkpoints {
            return;
        }
        if let Some(task) = self.tasks.get_mut(&attempt) {
            let number = task.done();
            task.checkpoint.get_or_insert((at, number));
        }
    }

    fn stop(&mut self, attempt: Attempt) {
        if !self.over.contains(&attempt) {
            self.end(attempt, Event::Stopped(attempt));
        }
    }

    fn end(&mut self, attempt: Attempt, event: Event) {
        self.tasks.remove(&attempt);
        self.over.insert(attempt);
        self.trace.end(attempt, self.now);
        self.emit(event);
    }

    fn emit(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns when something next happens by itself.
    pub fn next_due(&self) -> Option<Instant> {
        let tasks = self.tasks.values().flat_map(|task| {
            [
                Some(task.lease_end),
                task.completes_at(self.now),
                task.checkpoint.map(|(at, _)| at),
            ]
        });
        let usage =
            (!self.tasks.is_empty()).then(|| self.usage_from + self.settings.usage_interval);
        let late = self.late.front().map(|(at, _)| *at);
        tasks.chain([usage, late]).flatten().min()
    }

    /// Brings the worker to `now`; everything happens at its own time.
    pub fn advance(&mut self, now: Instant) {
        while let Some(due) = self.next_due().filter(|due| *due <= now) {
            self.run_to(due.max(self.now));
            self.settle();
        }
        self.run_to(now.max(self.now));
    }

    fn run_to(&mut self, at: Instant) {
        let span = at.since(self.now);
        for task in self.tasks.values_mut() {
            task.run(span);
        }
        self.now = at;
    }

    /// Carries out what is due at the present time. A lease that ends goes
    /// before a completion at the same time, as a worker cannot rely on more.
    fn settle(&mut self) {
        let now = self.now;
        self.measure();
        let attempts: Vec<Attempt> = self.tasks.keys().copied().collect();
        for attempt in attempts {
            let Some(task) = self.tasks.get_mut(&attempt) else {
                continue;
            };
            if let Some((_, number)) = task.checkpoint.take_if(|(at, _)| *at <= now) {
                self.emit(Event::Checkpointed(attempt, number));
            }
            let Some(task) = self.tasks.get(&attempt) else {
                continue;
            };
            if task.lease_end <= now {
                self.end(attempt, Event::Stopped(attempt));
            } else if task.completes_at(now).is_some_and(|at| at <= now) {
                let event = if task.fails() {
                    Event::Failed(attempt, "the task asked to fail".into())
                } else {
                    Event::Completed(attempt, task.output())
                };
                self.end(attempt, event);
            }
        }
    }

    /// Closes usage intervals and emits the usage whose lag has passed.
    fn measure(&mut self) {
        while self.late.front().is_some_and(|(at, _)| *at <= self.now) {
            if let Some((_, usage)) = self.late.pop_front() {
                self.emit(Event::Usage(usage));
            }
        }
        let end = self.usage_from + self.settings.usage_interval;
        if end > self.now {
            return;
        }
        let usage: Vec<Usage> = self
            .tasks
            .values()
            .map(|task| Usage {
                attempt: task.attempt,
                from: self.usage_from,
                span: self.settings.usage_interval,
                peak: task.size,
                speed: task.throttle,
            })
            .collect();
        if !usage.is_empty() {
            self.late.push_back((end + self.settings.usage_lag, usage));
        }
        self.usage_from = if self.tasks.is_empty() { self.now } else { end };
    }
}
