//! The worker's tasks and rules, without I/O.

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

/// How many events are kept for readers that start again.
const EVENT_LIMIT: usize = 10_000;

/// Faults of the worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every task fails as soon as it starts.
    pub fail_all: bool,
    /// Every start is refused.
    pub refuse_all: bool,
    /// No checkpoint ever completes.
    pub no_checkpoints: bool,
    /// The server answers every request with an error; tasks continue.
    pub unreachable: bool,
}

/// The settings of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The worker's name, for the trace.
    pub worker: id::Worker,
    /// How long a checkpoint takes.
    pub checkpoint_time: Millis,
    /// The length of the intervals over which usage is reported.
    pub usage_interval: Millis,
    /// How long after the end of its interval usage is reported.
    pub usage_lag: Millis,
}

impl Settings {
    /// Returns the default settings of a worker.
    pub fn new(worker: id::Worker) -> Self {
        Self {
            worker,
            checkpoint_time: Millis(200),
            usage_interval: Millis::from_secs(1),
            usage_lag: Millis::from_secs(10),
        }
    }
}

/// The events after the sequence number that a reader asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The sequence number to ask for next.
    pub next: u64,
    /// The events.
    pub events: Vec<Event>,
}

/// A worker without I/O, driven by the caller's clock.
pub struct Model {
    settings: Settings,
    faults: Faults,
    now: Instant,
    tasks: BTreeMap<Attempt, Task>,
    /// Attempts that were stopped, ended or refused on this worker.
    ended: BTreeSet<Attempt>,
    events: VecDeque<Event>,
    discarded: u64,
    usage_from: Instant,
    delayed_usage: VecDeque<(Instant, Vec<Usage>)>,
    trace: Trace,
}

impl Model {
    /// Creates an idle worker at `now`.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            faults: Faults::default(),
            now,
            tasks: BTreeMap::new(),
            ended: BTreeSet::new(),
            events: VecDeque::new(),
            discarded: 0,
            usage_from: now,
            delayed_usage: VecDeque::new(),
            trace: Trace::default(),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.faults
    }

    /// Returns the trace of all runs, for tests only.
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

    /// Returns each running task's service and the fraction of `cores` that it
    /// uses.
    pub fn usage(&self, cores: Cores) -> Vec<(id::Service, f64)> {
        self.tasks
            .values()
            .map(|task| {
                let fraction = task.size.cores.0 as f64 / cores.0.max(1) as f64;
                (task.service.clone(), fraction * task.throttle.fraction())
            })
            .collect()
    }

    /// Returns the events after `seq` that are still kept.
    pub fn events(&mut self, now: Instant, seq: u64) -> Page {
        self.advance(now);
        let skip = seq.saturating_sub(self.discarded) as usize;
        Page {
            next: self.discarded + self.events.len() as u64,
            events: self.events.iter().skip(skip).cloned().collect(),
        }
    }

    /// Executes one command.
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
        if self.faults.refuse_all || lease_end <= self.now || self.ended.contains(&attempt) {
            self.ended.insert(attempt);
            self.emit(Event::Refused(attempt));
            return;
        }
        self.trace.start(&self.settings.worker, attempt, self.now);
        self.emit(Event::Started(attempt));
        let task = Task::new(attempt, work, size, lease_end);
        let task = match task {
            Ok(_) if self.faults.fail_all => Err("the worker fails every task".to_owned()),
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
                self.trace.record_room(used);
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
        if !self.ended.contains(&attempt) {
            self.end(attempt, Event::Stopped(attempt));
        }
    }

    fn end(&mut self, attempt: Attempt, event: Event) {
        self.tasks.remove(&attempt);
        self.ended.insert(attempt);
        self.trace.end(attempt, self.now);
        self.emit(event);
    }

    fn emit(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
            self.discarded += 1;
        }
    }

    /// Returns the time of the next event that needs no command.
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
        let delayed_usage = self.delayed_usage.front().map(|(at, _)| *at);
        tasks.chain([usage, delayed_usage]).flatten().min()
    }

    /// Advances the worker to `now`, processing each event at the time it is due.
    pub fn advance(&mut self, now: Instant) {
        while let Some(due) = self.next_due().filter(|due| *due <= now) {
            self.run_tasks_until(due.max(self.now));
            self.process_due();
        }
        self.run_tasks_until(now.max(self.now));
    }

    fn run_tasks_until(&mut self, at: Instant) {
        let span = at.since(self.now);
        for task in self.tasks.values_mut() {
            task.run(span);
        }
        self.now = at;
    }

    /// Processes everything that is due at the current time. If a lease ends and
    /// the task completes at the same time, the lease end takes precedence,
    /// because a worker may not run a task any longer than its lease.
    fn process_due(&mut self) {
        let now = self.now;
        self.report_usage();
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
                    Event::Failed(attempt, "the task body requested a failure".into())
                } else {
                    Event::Completed(attempt, task.output())
                };
                self.end(attempt, event);
            }
        }
    }

    /// Closes usage intervals and emits the usage whose lag has passed.
    fn report_usage(&mut self) {
        while self
            .delayed_usage
            .front()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            if let Some((_, usage)) = self.delayed_usage.pop_front() {
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
            self.delayed_usage
                .push_back((end + self.settings.usage_lag, usage));
        }
        self.usage_from = if self.tasks.is_empty() { self.now } else { end };
    }
}
