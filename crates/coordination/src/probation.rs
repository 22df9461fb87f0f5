//! Faulty workers, and jobs that can never run.
//!
//! A failure may be the fault of the task or of the worker. It is the worker's
//! if the same task succeeds elsewhere, and the task's if it fails on several
//! workers in good standing. Until one of them is known, a worker on which
//! several jobs in a row failed is limited as well, so that a worker that fails
//! everything quickly does not take the whole queue through its hands. See
//! `docs/design.md`, section 11.

use {
    filbertbend_state::{id, time::Instant, unit::Millis},
    std::collections::{BTreeMap, VecDeque},
};

/// Failures after which a worker gets single trial tasks.
pub const FAILURES_TO_PROBATION: usize = 3;

/// Workers in good standing on which a task fails before its job is parked.
pub const WORKERS_TO_PARK: usize = 3;

/// Newest outcomes that are remembered for each worker.
const MAX_OUTCOMES: usize = 8;

/// Most tasks whose failures wait for a success elsewhere.
const MAX_FAILED_TASKS: usize = 20_000;

/// Part of the fleet that may be limited without proof, one in this many. If
/// more workers fail, the tasks are more likely at fault than the workers.
const MAX_SUSPECTED_DIVISOR: usize = 5;

/// The pause between the first two trials; it doubles with each failed one.
const TRIAL_BACKOFF: Millis = Millis(1000);

/// The longest pause between trials.
const MAX_TRIAL_BACKOFF: Millis = Millis::from_secs(60);

/// What is to be done with a task that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureAction {
    /// Try it again, on another worker.
    Retry,
    /// Park its job: it failed on enough workers in good standing.
    Park,
}

/// How far a worker is trusted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// It takes any work.
    #[default]
    Good,
    /// Several jobs in a row failed on it, which may not be its fault. It gets
    /// single trial tasks.
    Suspected,
    /// It failed tasks that succeeded elsewhere. It gets single trial tasks.
    Probation,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Success,
    /// A failure that may be the task's fault.
    Open(id::Task),
    /// A failure of a task that succeeded elsewhere.
    WorkerFault,
}

#[derive(Debug, Default)]
struct History {
    outcomes: VecDeque<Outcome>,
    standing: Standing,
    trial: Option<id::Task>,
    failed_trials: u32,
    next_trial_at: Instant,
}

impl History {
    fn push(&mut self, outcome: Outcome) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(outcome);
    }

    fn worker_faults(&self) -> usize {
        let worker_faults = self.outcomes.iter();
        worker_faults
            .filter(|found| **found == Outcome::WorkerFault)
            .count()
    }

    /// Counts the jobs that failed since the newest success.
    fn failed_jobs(&self) -> usize {
        let mut jobs = Vec::new();
        for outcome in self.outcomes.iter().rev() {
            match outcome {
                Outcome::Success => break,
                Outcome::Open(task) if !jobs.contains(&Some(task.job)) => jobs.push(Some(task.job)),
                Outcome::Open(_) => {}
                Outcome::WorkerFault => jobs.push(None),
            }
        }
        jobs.len()
    }
}

/// The account of failures and successes of all workers.
#[derive(Debug, Default)]
pub struct Tracker {
    histories: BTreeMap<id::Worker, History>,
    /// Where tasks failed that have not succeeded since.
    failures: BTreeMap<id::Task, Vec<id::Worker>>,
}

impl Tracker {
    /// Returns how far `worker` is trusted.
    pub fn standing(&self, worker: &id::Worker) -> Standing {
        self.histories
            .get(worker)
            .map_or(Standing::Good, |history| history.standing)
    }

    /// Tells whether a trial task may be placed on `worker`, which is not in
    /// good standing.
    pub fn allows_trial(&self, now: Instant, worker: &id::Worker) -> bool {
        self.histories
            .get(worker)
            .is_some_and(|history| history.trial.is_none() && now >= history.next_trial_at)
    }

    /// Takes note of a trial task.
    pub fn start_trial(&mut self, worker: &id::Worker, task: id::Task) {
        if let Some(history) = self.histories.get_mut(worker) {
            history.trial = Some(task);
        }
    }

    /// Takes note that a task left a worker without success or failure.
    pub fn removed(&mut self, worker: &id::Worker, task: id::Task) {
        if let Some(history) = self.histories.get_mut(worker) {
            if history.trial == Some(task) {
                history.trial = None;
            }
        }
    }

    /// Takes note that a task succeeded. Its failures elsewhere are then the
    /// fault of those workers; they are returned, as their standing may have
    /// changed, with `worker` itself.
    pub fn succeeded(&mut self, task: id::Task, worker: &id::Worker) -> Vec<id::Worker> {
        let history = self.histories.entry(worker.clone()).or_default();
        if history.standing != Standing::Good {
            history.outcomes.clear();
            history.standing = Standing::Good;
            history.failed_trials = 0;
        }
        history.trial = None;
        history.push(Outcome::Success);
        let mut changed = vec![worker.clone()];
        for failed in self.failures.remove(&task).unwrap_or_default() {
            if failed != *worker {
                self.attribute_to_worker(task, &failed);
                changed.push(failed);
            }
        }
        changed
    }

    /// Turns the failure of `task` on `worker` into the worker's fault.
    fn attribute_to_worker(&mut self, task: id::Task, worker: &id::Worker) {
        let Some(history) = self.histories.get_mut(worker) else {
            return;
        };
        for outcome in &mut history.outcomes {
            if *outcome == Outcome::Open(task) {
                *outcome = Outcome::WorkerFault;
            }
        }
        let is_majority = history.worker_faults() * 2 > history.outcomes.len();
        if history.worker_faults() >= FAILURES_TO_PROBATION && is_majority {
            history.standing = Standing::Probation;
        }
    }

    /// Takes note that a task failed on `worker`. `failed_on` are the workers
    /// on which it failed so far, and `fleet` is the number of known workers.
    pub fn failed(
        &mut self,
        now: Instant,
        task: id::Task,
        worker: &id::Worker,
        failed_on: &[id::Worker],
        fleet: usize,
    ) -> FailureAction {
        self.record_failure(now, task, worker);
        let suspected_workers = self.suspected_workers();
        let history = self.histories.entry(worker.clone()).or_default();
        let has_failure_run = history.failed_jobs() >= FAILURES_TO_PROBATION;
        let below_limit =
            (suspected_workers + 1) * MAX_SUSPECTED_DIVISOR <= fleet.max(MAX_SUSPECTED_DIVISOR);
        if history.standing == Standing::Good && has_failure_run && below_limit {
            history.standing = Standing::Suspected;
        }
        let good = |worker: &&id::Worker| self.standing(worker) == Standing::Good;
        if failed_on.iter().filter(good).count() >= WORKERS_TO_PARK {
            self.clear_failures(task);
            return FailureAction::Park;
        }
        FailureAction::Retry
    }

    fn record_failure(&mut self, now: Instant, task: id::Task, worker: &id::Worker) {
        let history = self.histories.entry(worker.clone()).or_default();
        history.push(Outcome::Open(task));
        if history.standing != Standing::Good {
            history.trial = None;
            let doubled = TRIAL_BACKOFF.0 << history.failed_trials.min(16);
            history.failed_trials += 1;
            history.next_trial_at = now + Millis(doubled).min(MAX_TRIAL_BACKOFF);
        }
        let failures = self.failures.entry(task).or_default();
        if !failures.contains(worker) {
            failures.push(worker.clone());
        }
        if self.failures.len() > MAX_FAILED_TASKS {
            self.failures.pop_first();
        }
    }

    /// Clears the workers of the failures of a task that can never run.
    fn clear_failures(&mut self, task: id::Task) {
        for worker in self.failures.remove(&task).unwrap_or_default() {
            let Some(history) = self.histories.get_mut(&worker) else {
                continue;
            };
            history
                .outcomes
                .retain(|found| *found != Outcome::Open(task));
            let has_few_failures = history.failed_jobs() < FAILURES_TO_PROBATION;
            if history.standing == Standing::Suspected && has_few_failures {
                history.standing = Standing::Good;
                history.failed_trials = 0;
            }
        }
    }

    fn suspected_workers(&self) -> usize {
        self.histories
            .values()
            .filter(|history| history.standing == Standing::Suspected)
            .count()
    }
}
