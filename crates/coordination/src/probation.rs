//! Detection of faulty workers and of jobs that always fail.
//!
//! A failure may be caused by the task or by the worker. It is attributed to the
//! worker if the same task succeeds elsewhere, and to the task if it fails on
//! several workers in good standing. Until one of the two is known, a worker on
//! which several jobs in a row failed is limited as well, because a worker that
//! fails everything quickly would otherwise attract the whole queue. See
//! `docs/design.md`, section 11.

use {
    filbertbend_state::{id, time::Instant, unit::Millis},
    std::collections::{BTreeMap, VecDeque},
};

/// Number of failures after which a worker gets only single trial tasks.
pub const FAILURES_TO_PROBATION: usize = 3;

/// Number of workers in good standing on which a task fails before its job is
/// parked.
pub const WORKERS_TO_PARK: usize = 3;

/// Number of outcomes kept for each worker.
const MAX_OUTCOMES: usize = 8;

/// Maximum number of failed tasks that are tracked until they succeed elsewhere.
const MAX_FAILED_TASKS: usize = 20_000;

/// At most one in this many workers may be suspected at a time. If tasks fail on
/// more workers, the tasks are more likely at fault than the workers.
const MAX_SUSPECTED_DIVISOR: usize = 5;

/// Backoff after the first failed trial; it doubles with each further one.
const TRIAL_BACKOFF: Millis = Millis(1000);

/// Maximum backoff between trials.
const MAX_TRIAL_BACKOFF: Millis = Millis::from_secs(60);

/// How the owner of a failed task must proceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureAction {
    /// Retry the task on another worker.
    Retry,
    /// Park its job, as the task failed on enough workers in good standing.
    Park,
}

/// Whether a worker gets any task or only trial tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// The worker gets any task.
    #[default]
    Good,
    /// Several jobs in a row failed on the worker, which may not be its fault.
    /// It gets single trial tasks.
    Suspected,
    /// The worker failed tasks that succeeded elsewhere. It gets single trial
    /// tasks.
    Probation,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Success,
    /// A failure that is not attributed to the task or the worker yet.
    Open(id::Task),
    /// A failure of a task that has succeeded elsewhere.
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

    /// Counts the jobs that failed since the last success.
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

/// Tracks successes and failures of tasks on all workers.
#[derive(Debug, Default)]
pub struct Tracker {
    histories: BTreeMap<id::Worker, History>,
    /// The workers on which a task failed, for tasks that have not succeeded
    /// since.
    failures: BTreeMap<id::Task, Vec<id::Worker>>,
}

impl Tracker {
    /// Returns the standing of `worker`; an unknown worker is in good standing.
    pub fn standing(&self, worker: &id::Worker) -> Standing {
        self.histories
            .get(worker)
            .map_or(Standing::Good, |history| history.standing)
    }

    /// Returns whether a trial task may be placed on `worker`, which is not in
    /// good standing.
    pub fn allows_trial(&self, now: Instant, worker: &id::Worker) -> bool {
        self.histories
            .get(worker)
            .is_some_and(|history| history.trial.is_none() && now >= history.next_trial_at)
    }

    /// Records that `task` is placed on `worker` as a trial.
    pub fn start_trial(&mut self, worker: &id::Worker, task: id::Task) {
        if let Some(history) = self.histories.get_mut(worker) {
            history.trial = Some(task);
        }
    }

    /// Records that a task left a worker without success or failure.
    pub fn removed(&mut self, worker: &id::Worker, task: id::Task) {
        if let Some(history) = self.histories.get_mut(worker) {
            if history.trial == Some(task) {
                history.trial = None;
            }
        }
    }

    /// Records that a task succeeded, and attributes its failures elsewhere to
    /// those workers. Returns `worker` and those workers, whose standing may
    /// have changed.
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

    /// Attributes the failure of `task` on `worker` to the worker.
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

    /// Records that a task failed on `worker`. `failed_on` lists the workers on
    /// which it has failed so far; `fleet` is the number of known workers.
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

    /// Removes the failures of a parked task from the histories of the workers.
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
