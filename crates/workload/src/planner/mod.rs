//! The leader's planner: assigns tasks to workers and tracks the state of jobs.
//!
//! - `registry` holds jobs with their occurrences, steps and tasks, and `recovery`
//!   translates between these and the stored progress.
//! - `fleet` holds the workers, and `worker` the reservations on each.
//! - `report` processes the reports of agents.
//! - `session` opens the sessions with agents and gives up lost runs.
//! - `place` selects workers for tasks, `ranking` for several like ones at once.
//! - `order` decides which steps come first when there is too little room.
//! - `preempt` makes room for urgent tasks, `gang` for whole gangs, and `hold`
//!   keeps it for tasks that need much, where it becomes free first according to
//!   `drain`.
//! - `refusal` keeps starts from workers that refuse them.
//! - `stop` stops runs and withdraws starts, `evacuation` in the data centres that
//!   operators have evacuated.
//! - `pass` holds what a placement pass has found out about the workers.
//! - `headroom` computes how much interference the services on a worker
//!   tolerate.
//! - `decision` describes decisions for the log, and `backlog` what is waited
//!   for.
//! - `timing` learns how long runs take.
//! - `suspicion` finds tasks that crash their workers.
//! - `persist` batches writes, so that progress is durable before it is acted
//!   on.
//!
//! A task is started again only after its previous run has certainly ended: the
//! worker listed its end or restarted, the agent confirmed that the start can
//! no longer take effect, or the lease, as measured here, has expired. A
//! placement is durable before the start is sent. A new leader therefore knows
//! which worker may run a task, and starts it elsewhere only after that worker
//! has reported otherwise or the last lease that a former leader can have
//! granted has expired.

mod backlog;
mod decision;
mod drain;
mod evacuation;
mod fleet;
mod gang;
mod headroom;
mod hold;
mod order;
mod pass;
mod persist;
mod place;
mod preempt;
mod ranking;
mod recovery;
mod refusal;
mod registry;
mod report;
mod session;
mod settings;
mod stop;
mod suspicion;
mod timing;
mod worker;

use {
    crate::{
        catalog::Catalog,
        id::{Epoch, Job, Link, Node, Run, Task},
        interference::Model,
        job,
        message::{Query, Reply, Report, Response},
        record::{Progress, State},
        run_time, urgency,
    },
    evacuation::Evacuations,
    filbertbend_state::{
        time::{Instant, Wall},
        unit::Millis,
    },
    fleet::Fleet,
    registry::{Claim, Registry},
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    worker::{Expiry, Worker},
};

pub use {
    decision::{Backlog, Blocked, Decision, Reason, Waiting},
    persist::{Batch, Write},
    settings::{Settings, FORMER_LEASE_BOUND},
};

/// The minimum time between two placement passes.
const PLACE_INTERVAL: Millis = Millis(15);
/// The pause after a placement pass, in multiples of its duration. Passes over
/// a backlog thus take at most a quarter of the leader's time, and links,
/// leases and reports get the rest.
const PAUSE_FACTOR: u64 = 3;
/// The maximum pause after a placement pass, which may have been long because
/// the process was suspended.
const MAX_PLACE_PAUSE: Millis = Millis(500);
/// How long the headroom of workers is reused before it is computed again;
/// readings arrive twice a second.
const HEADROOM_INTERVAL: Millis = Millis(250);
/// The time that a process needs to read what arrived during a delay, beyond
/// the delay itself.
const READ_TIME: Millis = Millis(300);
/// How long a new leader waits for workers to report before its first
/// placement.
const REPORT_WAIT: Millis = Millis(250);

/// An input of the planner.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Event {
    /// A configuration takes effect.
    Configured(Arc<Catalog>),
    /// A job was loaded from the store when the term began.
    Recovered(Job, Arc<job::Job>, Progress),
    /// All jobs have been loaded from the store.
    Loaded,
    /// The last leader has certainly granted no lease for this long, and the
    /// leases of earlier ones are over.
    FormerTermOver(Millis),
    /// A job was accepted during the term.
    Submitted(Job, Arc<job::Job>),
    /// Nothing may be started in these data centres, which replace those known
    /// before.
    Evacuated(BTreeSet<Arc<str>>),
    /// A caller has cancelled a job.
    Cancelled(Job),
    /// An agent has opened a session.
    Opened(Link, Node),
    /// An agent has sent a report.
    Report(Link, Box<Report>),
    /// A session has ended.
    Closed(Link),
    /// The batch with this number is durable.
    Persisted(u64),
    /// The process was paused, or an input has waited, for this long. What
    /// agents sent meanwhile may be unread.
    Delayed(Millis),
    /// The placement pass of the previous step has ended, and its actions have
    /// been carried out.
    Placed,
    /// The process is shutting down: pending changes are written without
    /// further delay.
    Shutdown,
    /// A periodic timer has fired.
    Tick,
}

/// An output of the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to an agent.
    Send(Link, Response),
    /// Makes changes durable atomically; answered by [`Event::Persisted`].
    Persist(Batch),
    /// Logs a decision.
    Decided(Decision),
}

/// Plans jobs for one term of leadership.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    epoch: Epoch,
    catalog: Arc<Catalog>,
    registry: Registry,
    fleet: Fleet,
    evacuations: Evacuations,
    model: Model,
    run_times: run_time::Model,
    persist: persist::Queue,
    sessions: u64,
    /// Sessions that agents requested before all jobs were loaded.
    waiting_sessions: Vec<(Link, Node)>,
    loaded: bool,
    /// Whether anything has changed that may allow a task to be placed.
    changed: bool,
    /// When all leases that former leaders have granted are over.
    former_leases_until: Instant,
    /// Whether a batch has become durable since orders were last taken.
    durability_changed: bool,
    last_placement: Instant,
    place_not_before: Instant,
    /// Until when expired leases are not acted on, because the process was
    /// behind.
    conclude_not_before: Instant,
    /// When the headroom of all workers was last invalidated.
    headroom_invalidated: Instant,
    /// When waiting work was last reported.
    backlog_reported: Instant,
    /// How often all workers were searched for a task.
    searches: Cell<u64>,
    /// How often a worker was examined during placement.
    examined: Cell<u64>,
    /// How often the run time of a step was estimated for the order of jobs.
    estimates: Cell<u64>,
    /// The number of placement passes.
    passes: u64,
    /// The requirements that no worker met in the last pass.
    rejections: Vec<pass::Rejection>,
    /// The turns of deferred jobs by queue.
    turns: BTreeMap<Arc<str>, urgency::Turns<order::Id>>,
    /// Steps with startable tasks, most urgent first.
    ready: BTreeSet<Rank>,
    now: Instant,
    wall: Wall,
}

/// The order in which steps are placed: by priority, then services that were
/// running, then by the time of acceptance. A step with both kinds of tasks has two
/// ranks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    priority: u8,
    claim: Claim,
    accepted: Wall,
    job: Job,
    occurrence: u32,
    step: u16,
}

impl Rank {
    /// Returns whether a task belongs to the step.
    fn is_of(&self, task: Task) -> bool {
        let step = (task.job, task.occurrence, task.step);
        step == (self.job, self.occurrence, self.step)
    }
}

impl Planner {
    /// Creates the planner of a term that began at `now`.
    pub fn new(settings: Settings, epoch: Epoch, now: Instant) -> Self {
        Self {
            settings,
            epoch,
            catalog: Arc::default(),
            registry: Registry::default(),
            fleet: Fleet::default(),
            evacuations: Evacuations::default(),
            model: Model::default(),
            run_times: run_time::Model::default(),
            persist: persist::Queue::default(),
            sessions: 0,
            waiting_sessions: Vec::new(),
            loaded: false,
            changed: false,
            former_leases_until: now + FORMER_LEASE_BOUND,
            durability_changed: false,
            last_placement: Instant::default(),
            place_not_before: Instant::default(),
            conclude_not_before: Instant::default(),
            headroom_invalidated: Instant::default(),
            backlog_reported: now,
            searches: Cell::new(0),
            examined: Cell::new(0),
            estimates: Cell::new(0),
            passes: 0,
            rejections: Vec::new(),
            turns: BTreeMap::new(),
            ready: BTreeSet::new(),
            now,
            wall: Wall::default(),
        }
    }

    /// Processes one event and appends the resulting actions to `actions`. The
    /// leadership certainly lasts until `until`; no lease extends beyond it.
    pub fn step(
        &mut self,
        now: Instant,
        wall: Wall,
        until: Instant,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        self.now = now;
        self.wall = wall;
        match event {
            Event::Configured(catalog) => self.configure(catalog, actions),
            Event::Recovered(id, job, progress) => self.recover(id, job, progress),
            Event::Loaded => self.load(actions),
            Event::FormerTermOver(age) => self.end_former_term(age),
            Event::Submitted(id, job) => {
                self.changed = true;
                self.submit(id, job, actions);
            }
            Event::Evacuated(found) => self.set_evacuated(found, actions),
            Event::Cancelled(id) => self.cancel(id, actions),
            Event::Opened(link, node) => self.open(link, node, actions),
            Event::Report(link, report) => self.report(until, link, *report, actions),
            Event::Closed(link) => {
                self.waiting_sessions
                    .retain(|(waiting_sessions, _)| *waiting_sessions != link);
                self.fleet.close(link);
            }
            Event::Persisted(number) => self.persisted(number),
            Event::Placed => {
                let pause = Millis(now.since(self.last_placement).0 * PAUSE_FACTOR);
                self.place_not_before = self.place_not_before.max(now + pause.min(MAX_PLACE_PAUSE));
            }
            Event::Delayed(delay) => {
                let until = now + delay + READ_TIME;
                self.conclude_not_before = self.conclude_not_before.max(until);
            }
            Event::Shutdown => self.persist.flush_now(),
            Event::Tick => {
                // The requirements of steps relax with waiting time.
                self.changed = true;
                self.tick(actions);
                self.report_backlog(actions);
            }
        }
        if self.may_place(until) {
            self.changed = false;
            self.last_placement = now;
            self.passes += 1;
            self.place(actions);
        }
        self.flush(actions);
    }

    /// Returns whether to run a placement pass. A pass costs time for every
    /// waiting step, so changes are batched for [`PLACE_INTERVAL`]. After a
    /// change of leader, placement waits until workers have reported; otherwise
    /// the first to report would get all tasks. It also waits
    /// until the pause after the last pass is over, and until the evacuated data
    /// centres are known.
    fn may_place(&self, until: Instant) -> bool {
        self.loaded
            && self.changed
            && !self.evacuations.are_awaited()
            && self.now < until
            && self.now >= self.last_placement + PLACE_INTERVAL
            && self.now >= self.place_not_before
    }

    /// Returns whether all changes of progress are durable.
    pub fn is_durable(&self) -> bool {
        self.persist.is_idle()
    }

    /// Answers a query on behalf of a caller.
    pub fn answer(&self, query: &Query) -> Reply {
        if !self.loaded {
            return Reply::NotReady;
        }
        match query {
            Query::Retired(..) => Reply::Noted,
            Query::State(id) => Reply::State(self.registry.get(*id).map(|entry| entry.visible)),
            Query::Pending(queue) => Reply::Pending(self.registry.pending(queue)),
        }
    }

    /// Returns the number of jobs that have not ended and the number of workers
    /// that may be given tasks.
    pub fn size(&self) -> (usize, usize) {
        let available = |(_, worker): &(&Node, &Worker)| self.is_available(worker);
        (
            self.registry.live(),
            self.fleet.iter().filter(available).count(),
        )
    }

    /// Returns how often all workers were searched for a task, which is most of
    /// the cost of a placement pass.
    pub fn searches(&self) -> u64 {
        self.searches.get()
    }

    /// Returns how often a worker was examined for a task or for the use of its
    /// pool, which unlike the time of a pass does not depend on the machine.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// Returns how often the run time of a step was estimated for the order of jobs.
    pub fn estimates(&self) -> u64 {
        self.estimates.get()
    }

    /// Returns the number of placement passes.
    pub fn passes(&self) -> u64 {
        self.passes
    }

    fn configure(&mut self, catalog: Arc<Catalog>, actions: &mut Vec<Action>) {
        if catalog.version < self.catalog.version {
            return;
        }
        self.catalog = catalog;
        let queues = &self.catalog.queues;
        self.turns.retain(|queue, _| queues.contains_key(queue));
        self.ready.clear();
        for id in self.registry.ids() {
            self.refresh(id, actions);
        }
    }

    fn submit(&mut self, id: Job, job: Arc<job::Job>, actions: &mut Vec<Action>) {
        if self.registry.insert(id, job) {
            self.refresh(id, actions);
        }
    }

    fn recover(&mut self, id: Job, job: Arc<job::Job>, progress: Progress) {
        if !self.registry.insert(id, job) {
            return;
        }
        let Some(entry) = self.registry.get_mut(id) else {
            return;
        };
        entry.restore(self.now, &progress);
        let until = self.former_leases_until;
        for (task, execution) in entry.executions(id) {
            if let Some(reservation) = self.reservation(task) {
                let run = (task, execution.run);
                self.fleet
                    .reserve_until(self.now, &execution.node, run, until, reservation);
            }
        }
        self.refresh(id, &mut Vec::new());
    }

    /// Shortens the wait for workers whose agents have not opened a session in this
    /// term. Those that have are waited for as long as their leases last.
    fn end_former_term(&mut self, age: Millis) {
        let until = self.now + self.settings.lease_bound() - age;
        self.former_leases_until = self.former_leases_until.min(until);
        self.fleet.end_former_leases(self.former_leases_until);
    }

    fn cancel(&mut self, id: Job, actions: &mut Vec<Action>) {
        let Some(entry) = self.registry.get_mut(id) else {
            return;
        };
        if !entry.state.is_final() {
            self.end_job(id, State::Cancelled, actions);
        }
    }

    /// Moves a job to a final state and stops its remaining runs.
    fn end_job(&mut self, id: Job, state: State, actions: &mut Vec<Action>) {
        let Some(entry) = self.registry.get_mut(id) else {
            return;
        };
        entry.finish(state, self.now, self.wall);
        if state == State::Cancelled {
            // The cancellation is already durable; other final states become
            // visible once they are.
            entry.visible = state;
        }
        actions.push(Action::Decided(Decision::Job { job: id, state }));
        let executions = entry.executions(id);
        for (task, execution) in executions {
            self.stop(
                task,
                execution.run,
                &execution.node,
                Reason::NotWanted,
                actions,
            );
        }
        self.persist.mark_dirty(self.now, id, true);
        self.count_ended(id);
        self.refresh(id, actions);
    }

    /// Removes a run that has certainly ended, so that its task may be placed
    /// again. This is persisted; otherwise a later leader would wait until the
    /// last lease that the worker can hold has expired.
    fn remove_execution(&mut self, task: Task, run: Run, actions: &mut Vec<Action>) {
        self.registry.remove_execution(task, run, self.now);
        let live = self.registry.get_mut(task.job);
        if let Some(entry) = live.filter(|entry| !entry.state.is_final()) {
            entry.version += 1;
            self.persist.mark_dirty(self.now, task.job, false);
        }
        self.refresh(task.job, actions);
    }

    /// Opens the due steps of a job, updates its entries in the list of ready
    /// steps and completes the job if all occurrences have completed.
    fn refresh(&mut self, id: Job, actions: &mut Vec<Action>) {
        let Some(entry) = self.registry.get_mut(id) else {
            return;
        };
        entry.open_due(self.now, self.wall);
        let priority = policy(&self.catalog, &entry.job).priority;
        let accepted = entry.job.accepted;
        for (occurrence, step, claim, startable) in entry.startable() {
            let rank = Rank {
                priority,
                claim,
                accepted,
                job: id,
                occurrence,
                step,
            };
            if startable {
                self.ready.insert(rank);
            } else {
                self.ready.remove(&rank);
            }
        }
        if entry.is_complete() && !entry.state.is_final() {
            self.end_job(id, State::Complete, actions);
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.model.remove_stale_loads(self.now);
        if self.now >= self.headroom_invalidated + HEADROOM_INTERVAL {
            self.headroom_invalidated = self.now;
            self.fleet.invalidate_headroom();
        }
        self.store_begun();
        self.fleet.send_weights(&self.model.changed_weights());
        let is_behind = self.now < self.conclude_not_before;
        for (node, expiry) in self.fleet.expired_leases(self.now, is_behind) {
            match expiry {
                Expiry::Certain => self.abandon(&node, actions),
                Expiry::Probed => actions.push(Action::Decided(Decision::Probed {
                    silent: self.silence(&node),
                    node,
                })),
            }
        }
        for node in self.fleet.leaving() {
            self.evacuate(&node, actions);
        }
        self.fleet
            .remove_gone(self.now, self.settings.worker_retention);
        for id in self.registry.scheduled() {
            self.refresh(id, actions);
        }
        for id in self.registry.expired(self.now, self.settings.job_retention) {
            self.registry.remove(id);
            self.persist.remove_job(self.now, id);
        }
    }

    /// Returns the next run number of a task, higher than those of earlier
    /// terms.
    fn next_run(&self, last: Run) -> Run {
        let first = self.epoch.0.saturating_sub(1) << RUN_BITS;
        Run(last.0.max(first).saturating_add(1))
    }

    /// Starts planning once all jobs have been loaded from the store.
    fn load(&mut self, actions: &mut Vec<Action>) {
        self.loaded = true;
        if self.registry.live() > 0 {
            self.place_not_before = self.now + REPORT_WAIT;
        }
        for (link, node) in std::mem::take(&mut self.waiting_sessions) {
            self.open(link, node, actions);
        }
    }
}

/// Returns the policy of a job: that of its queue, or the one it was accepted
/// under if the queue no longer exists.
fn policy(catalog: &Catalog, job: &job::Job) -> job::Policy {
    match catalog.queues.get(&job.queue) {
        Some(queue) => job::Policy {
            pool: queue.pool.clone(),
            priority: queue.priority,
            attempts: queue.attempts,
        },
        None => job.policy.clone(),
    }
}

/// The number of low bits that count the runs of a task within one term; the
/// bits above hold the term.
const RUN_BITS: u32 = 16;
