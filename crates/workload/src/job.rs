//! Jobs as callers submit them: steps of identical tasks, which may depend on
//! earlier steps.

use {
    filbertbend_state::{room::Room, time::Wall, unit::Millis},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The maximum number of tasks of a job; a job with more is refused.
pub const TASK_LIMIT: usize = 10_000;

/// Why a job cannot be accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The job has no steps, or a step has no tasks.
    #[error("a job needs at least one step with at least one task")]
    Empty,
    /// The job has more than [`TASK_LIMIT`] tasks.
    #[error("a job may have at most {TASK_LIMIT} tasks")]
    TooLarge,
    /// The step with this index depends on itself or a later one.
    #[error("step {0} may only follow earlier steps")]
    Order(usize),
}

/// The specification of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that it was submitted to.
    pub queue: Arc<str>,
    /// The queue's policy at that time.
    pub policy: Policy,
    /// The instructions for every task; opaque to the scheduler.
    pub spec: Arc<str>,
    /// The steps, each after those that it depends on.
    pub steps: Vec<Step>,
    /// The time of acceptance.
    pub accepted: Wall,
    /// When the occurrences are due; `None` for a job that runs once at once.
    pub schedule: Option<Schedule>,
}

/// The policy of a queue for its jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The pool whose workers run the tasks.
    pub pool: Arc<str>,
    /// The priority of the jobs; 0 is the most urgent.
    pub priority: u8,
    /// The number of failures of a task, or of a gang, at which its job fails.
    pub attempts: u32,
}

/// When the occurrences of a recurring job are due.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due.
    pub first: Wall,
    /// The time between consecutive occurrences.
    pub interval: Millis,
    /// The number of occurrences.
    pub occurrences: u32,
}

impl Schedule {
    /// Returns the due time of an occurrence, counted from 0.
    pub fn due(&self, occurrence: u32) -> Wall {
        self.first + Millis(self.interval.0.saturating_mul(occurrence.into()))
    }
}

/// A step: identical tasks that may run in parallel.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub tasks: u16,
    /// The resources that each task uses.
    pub room: Room,
    /// The estimated run time of a task, which is often far off.
    pub estimate: Millis,
    /// The indices of the earlier steps that must complete first.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints from which they resume after a stop.
    pub checkpoints: bool,
    /// How the tasks are run.
    pub mode: Mode,
    /// The constraints and preferences on workers.
    pub placement: Placement,
    /// The image that the tasks run; interference is estimated by image.
    pub image: Option<Arc<str>>,
    /// The tail latency target of a task that serves users.
    pub latency_target: Option<Millis>,
    /// The number of tasks that may be unavailable at once because of the
    /// scheduler's orders.
    pub max_unavailable: Option<u16>,
}

/// How the tasks of a step are run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Mode {
    /// All tasks start and end together, since they make progress only while
    /// all are present.
    pub gang: bool,
    /// Several runs of one task may execute in parallel; the first to complete
    /// counts.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// The tasks are best-effort: they use idle processor time and reserve no
    /// cores.
    pub best_effort: bool,
}

/// The constraints and preferences of a step on workers.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// The label that a worker must have.
    pub label: Option<Arc<str>>,
    /// The rack that holds the data; tasks take longer on other racks.
    pub data_rack: Option<Arc<str>>,
    /// Whether the tasks should share a rack, because they take longer when
    /// spread over several.
    pub same_rack: bool,
    /// The maximum number of tasks of the step on one worker.
    pub most_per_worker: Option<u16>,
}

impl Step {
    /// Returns the resources that a task reserves; a best-effort task reserves
    /// no cores.
    pub fn reserved(&self) -> Room {
        let mut room = self.room;
        if self.mode.best_effort {
            room.cores = filbertbend_state::unit::Cores::ZERO;
        }
        room
    }
}

impl Job {
    /// Validates the steps of the job.
    pub fn check(&self) -> Result<(), Error> {
        if self.steps.is_empty() || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(Error::Empty);
        }
        if self.tasks() > TASK_LIMIT {
            return Err(Error::TooLarge);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step
                .after
                .iter()
                .any(|earlier| usize::from(*earlier) >= index)
            {
                return Err(Error::Order(index));
            }
        }
        Ok(())
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.tasks)).sum()
    }

    /// Returns the number of occurrences; 1 for a job without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }
}
