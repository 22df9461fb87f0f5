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
const OUTCOMES_LIMIT: usize = 8;

/// Most tasks whose failures wait for a success elsewhere.
const PENDING_LIMIT: usize = 20_000;

/// Part of the fleet that may be limited without proof, one in this many. If
/// more workers fail, the tasks are more likely at fault than the workers.
const LIMITED_ONE_IN: usize = 5;

/// The pause between the first two trials; it doubles with each failed one.
const TRIAL_PAUSE: Millis = Millis(1000);

/// The longest pause between trials.
const TRIAL_PAUSE_LIMIT: Millis = Millis::from_secs(60);

/// What is to be done with a task that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
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
    Proven,
}

#[derive(Debug, Default)]
struct Account {
    outcomes: VecDeque<Outcome>,
    standing: Standing,
    trial: Option<id::Task>,
    failed_trials: u32,
    next_trial_at: Instant,
}

impl Account {
    fn push(&mut self, outcome: Outcome) {
        if self.outcomes.len() == OUTCOMES_LIMIT {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(outcome);
    }

    fn proven(&self) -> usize {
        let proven = self.outcomes.iter();
        proven.filter(|found| **found == Outcome::Proven).count()
    }

    /// Counts the jobs that failed since the newest success.
    fn failed_jobs(&self) -> usize {
        let mut jobs = Vec::new();
        for outcome in self.outcomes.iter().rev() {
            match outcome {
                Outcome::Success => break,
                Outcome::Open(task) if !jobs.contains(&Some(task.job)) => jobs.push(Some(task.job)),
                Outcome::Open(_) => {}
                Outcome::Proven => jobs.push(None),
            }
        }
        jobs.len()
    }
}

/// The account of failures and successes of all workers.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<id::Worker, Account>,
    /// Where tasks failed that have not succeeded since.
    failures: BTreeMap<id::Task, Vec<id::Worker>>,
}

impl Ledger {
    /// Returns how far `worker` is trusted.
    pub fn standing(&self, worker: &id::Worker) -> Standing {
        self.accounts
            .get(worker)
            .map_or(Standing::Good, |account| account.standing)
    }

    /// Tells whether a trial task may be placed on `worker`, which is not in
    /// good standing.
    pub fn may_try(&self, now: Instant, worker: &id::Worker) -> bool {
        self.accounts
            .get(worker)
            .is_some_and(|account| account.trial.is_none() && now >= account.next_trial_at)
    }

    /// Takes note of a trial task.
    pub fn trial(&mut self, worker: &id::Worker, task: id::Task) {
        if let Some(account) = self.accounts.get_mut(worker) {
            account.trial = Some(task);
        }
    }

    /// Takes note that a task left a worker without success or failure.
    pub fn left(&mut self, worker: &id::Worker, task: id::Task) {
        if let Some(account) = self.accounts.get_mut(worker) {
            if account.trial == Some(task) {
                account.trial = None;
            }
        }
    }

    /// Takes note that a task succeeded. Its failures elsewhere are then the
    /// fault of those workers; they are returned, as their standing may have
    /// changed, with `worker` itself.
    pub fn succeeded(&mut self, task: id::Task, worker: &id::Worker) -> Vec<id::Worker> {
        let account = self.accounts.entry(worker.clone()).or_default();
        if account.standing != Standing::Good {
            account.outcomes.clear();
            account.standing = Standing::Good;
            account.failed_trials = 0;
        }
        account.trial = None;
        account.push(Outcome::Success);
        let mut changed = vec![worker.clone()];
        for failed in self.failures.remove(&task).unwrap_or_default() {
            if failed != *worker {
                self.prove(task, &failed);
                changed.push(failed);
            }
        }
        changed
    }

    /// Turns the failure of `task` on `worker` into the worker's fault.
    fn prove(&mut self, task: id::Task, worker: &id::Worker) {
        let Some(account) = self.accounts.get_mut(worker) else {
            return;
        };
        for outcome in &mut account.outcomes {
            if *outcome == Outcome::Open(task) {
                *outcome = Outcome::Proven;
            }
        }
        let most = account.proven() * 2 > account.outcomes.len();
        if account.proven() >= FAILURES_TO_PROBATION && most {
            account.standing = Standing::Probation;
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
    ) -> Verdict {
        self.note_failure(now, task, worker);
        let limited = self.limited();
        let account = self.accounts.entry(worker.clone()).or_default();
        let many = account.failed_jobs() >= FAILURES_TO_PROBATION;
        let few_limited = (limited + 1) * LIMITED_ONE_IN <= fleet.max(LIMITED_ONE_IN);
        if account.standing == Standing::Good && many && few_limited {
            account.standing = Standing::Suspected;
        }
        let good = |worker: &&id::Worker| self.standing(worker) == Standing::Good;
        if failed_on.iter().filter(good).count() >= WORKERS_TO_PARK {
            self.absolve(task);
            return Verdict::Park;
        }
        Verdict::Retry
    }

    fn note_failure(&mut self, now: Instant, task: id::Task, worker: &id::Worker) {
        let account = self.accounts.entry(worker.clone()).or_default();
        account.push(Outcome::Open(task));
        if account.standing != Standing::Good {
            account.trial = None;
            let doubled = TRIAL_PAUSE.0 << account.failed_trials.min(16);
            account.failed_trials += 1;
            account.next_trial_at = now + Millis(doubled).min(TRIAL_PAUSE_LIMIT);
        }
        let failures = self.failures.entry(task).or_default();
        if !failures.contains(worker) {
            failures.push(worker.clone());
        }
        if self.failures.len() > PENDING_LIMIT {
            self.failures.pop_first();
        }
    }

    /// Clears the workers of the failures of a task that can never run.
    fn absolve(&mut self, task: id::Task) {
        for worker in self.failures.remove(&task).unwrap_or_default() {
            let Some(account) = self.accounts.get_mut(&worker) else {
                continue;
            };
            account
                .outcomes
                .retain(|found| *found != Outcome::Open(task));
            let few = account.failed_jobs() < FAILURES_TO_PROBATION;
            if account.standing == Standing::Suspected && few {
                account.standing = Standing::Good;
                account.failed_trials = 0;
            }
        }
    }

    fn limited(&self) -> usize {
        self.accounts
            .values()
            .filter(|account| account.standing == Standing::Suspected)
            .count()
    }
}
