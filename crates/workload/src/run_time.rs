//! Predicts how long tasks run.
//!
//! A declared estimate is often far off, and by about the same factor for all tasks
//! of a step. [`Model`] therefore learns for each queue how the run times relate to
//! the estimates, and how widely those of one step differ. Once tasks of a step have
//! completed, their times say more than its estimate: see [`Siblings`].
//!
//! Best-effort tasks are throttled at times. Their run times include that, because
//! it is when they end that matters, and are learned separately from those of other
//! tasks of the queue.

mod histogram;
mod history;

use {
    crate::job::Step,
    filbertbend_state::unit::Millis,
    history::History,
    std::{collections::BTreeMap, sync::Arc},
};

/// The maximum number of queues that are learned from, above the 880 teams with
/// quotas of `docs/design.md`. One takes about 2.3 KB.
const QUEUE_LIMIT: usize = 1000;
/// Run times and estimates are limited to a year, so that sums stay finite.
const LONGEST: Millis = Millis::from_secs(365 * 24 * 3600);

/// The run time of a task beside what was known before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// The estimate that the job declared.
    pub estimate: Millis,
    /// What the model expected when the worker accepted the start.
    pub expected: Millis,
    /// How long the task ran.
    pub took: Millis,
}

/// The run times of the tasks of one step that have completed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Siblings {
    count: u32,
    /// The mean of the logarithms of their run times.
    mean: f64,
}

impl Siblings {
    fn add(&mut self, log: f64) {
        self.count = self.count.saturating_add(1);
        self.mean += (log - self.mean) / f64::from(self.count);
    }
}

/// What is known about the run times of the tasks of each queue.
#[derive(Debug, Default)]
pub struct Model {
    queues: BTreeMap<Arc<str>, Queue>,
    /// The number of observations.
    observations: u64,
}

/// What is known about the tasks of one queue.
#[derive(Debug, Default)]
struct Queue {
    best_effort: History,
    others: History,
    /// The number of the last observation.
    observed: u64,
}

impl Queue {
    fn of(&self, step: &Step) -> &History {
        if step.mode.best_effort {
            &self.best_effort
        } else {
            &self.others
        }
    }

    fn of_mut(&mut self, step: &Step) -> &mut History {
        if step.mode.best_effort {
            &mut self.best_effort
        } else {
            &mut self.others
        }
    }
}

impl Model {
    /// Learns from a task of `step` that has completed after it ran for `took`.
    pub fn observe(&mut self, queue: &Arc<str>, step: &Step, took: Millis) {
        self.observe_beside(queue, step, &mut Siblings::default(), took);
    }

    /// Learns from a task of `step`, as [`Model::observe`] does, and adds it to the
    /// completed tasks of its step.
    pub fn observe_beside(
        &mut self,
        queue: &Arc<str>,
        step: &Step,
        siblings: &mut Siblings,
        took: Millis,
    ) {
        if !self.queues.contains_key(queue) {
            self.make_room();
        }
        self.observations += 1;
        let known = self.queues.entry(queue.clone()).or_default();
        known.observed = self.observations;
        let log = log(took);
        let weight = if step.mode.gang {
            1.0
        } else {
            1.0 / f64::from(step.tasks.max(1))
        };
        let history = known.of_mut(step);
        history.observe(log_estimate(step), siblings, log, weight);
        siblings.add(log);
    }

    /// Removes the queue that was not learned from for the longest time if there is
    /// no room for another.
    fn make_room(&mut self) {
        if self.queues.len() < QUEUE_LIMIT {
            return;
        }
        let oldest = self
            .queues
            .iter()
            .min_by_key(|(_, queue)| queue.observed)
            .map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.queues.remove(&oldest);
        }
    }

    /// Returns how long a task of `step` is expected to run.
    pub fn expected(&self, queue: &str, step: &Step) -> Millis {
        self.expected_beside(queue, step, &Siblings::default())
    }

    /// Returns how long a task of `step` is expected to run beside those that have
    /// completed.
    pub fn expected_beside(&self, queue: &str, step: &Step, siblings: &Siblings) -> Millis {
        self.remaining_beside(queue, step, siblings, Millis::ZERO)
    }

    /// Returns how long the slowest of `count` tasks of `step` is expected to run,
    /// which decides when the step completes if all of them start together.
    pub fn expected_slowest(
        &self,
        queue: &str,
        step: &Step,
        siblings: &Siblings,
        count: usize,
    ) -> Millis {
        let expected = self.expected_beside(queue, step, siblings);
        let known = self.queues.get(queue);
        let excess = known.map_or(1.0, |queue| queue.of(step).excess(count));
        Millis((expected.0 as f64 * excess).round() as u64).min(LONGEST)
    }

    /// Returns how much longer a task of `step` is expected to run that has run for
    /// `elapsed`.
    pub fn remaining(&self, queue: &str, step: &Step, elapsed: Millis) -> Millis {
        self.remaining_beside(queue, step, &Siblings::default(), elapsed)
    }

    /// Returns how much longer a task of `step` is expected to run, beside those
    /// that have completed.
    pub fn remaining_beside(
        &self,
        queue: &str,
        step: &Step,
        siblings: &Siblings,
        elapsed: Millis,
    ) -> Millis {
        let estimate = log_estimate(step);
        let elapsed = elapsed.min(LONGEST).0 as f64;
        let left = match self.queues.get(queue) {
            Some(known) => known.of(step).remaining(estimate, siblings, elapsed),
            None => History::default().remaining(estimate, siblings, elapsed),
        };
        Millis(left.round() as u64).min(LONGEST)
    }
}

fn log_estimate(step: &Step) -> f64 {
    log(step.estimate)
}

/// Returns the logarithm of a time in milliseconds.
fn log(time: Millis) -> f64 {
    (time.clamp(Millis(1), LONGEST).0 as f64).ln()
}
