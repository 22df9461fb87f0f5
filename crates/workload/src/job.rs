//! Jobs as callers submit them: steps of equal tasks, one after another.

use {
    filbertbend_state::{room::Room, time::Wall, unit::Millis},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Most tasks of one job; a job with more is refused.
pub const TASK_LIMIT: usize = 10_000;

/// Why a job cannot be accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// There is nothing to run.
    #[error("a job needs at least one step with at least one task")]
    Empty,
    /// It is too large.
    #[error("a job may have at most {TASK_LIMIT} tasks")]
    TooLarge,
    /// A step follows itself or a later one.
    #[error("step {0} may only follow earlier steps")]
    Order(usize),
}

/// A job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that it was submitted to.
    pub queue: Arc<str>,
    /// The queue's terms at that time.
    pub policy: Policy,
    /// What every task is told to do; opaque to the scheduler.
    pub spec: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// When it was accepted.
    pub accepted: Wall,
    /// When its occurrences are due, if it is a timed job.
    pub schedule: Option<Schedule>,
}

/// What a queue lays down for its jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The pool whose workers run the tasks.
    pub pool: Arc<str>,
    /// How urgent the jobs are; 0 comes first.
    pub priority: u8,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
}

/// When the occurrences of a timed job are due.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first is due.
    pub first: Wall,
    /// The time from one to the next.
    pub interval: Millis,
    /// How many there are.
    pub occurrences: u32,
}

impl Schedule {
    /// Returns when an occurrence is due.
    pub fn due(&self, occurrence: u32) -> Wall {
        self.first + Millis(self.interval.0.saturating_mul(occurrence.into()))
    }
}

/// A step: equal tasks that may run side by side.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks there are.
    pub tasks: u16,
    /// What each task takes from its worker.
    pub room: Room,
    /// How long a task is thought to take; often far off.
    pub estimate: Millis,
    /// The earlier steps that must have completed.
    pub after: Vec<u16>,
    /// Whether a task's progress survives a stop.
    pub checkpoints: bool,
    /// How the tasks run.
    pub mode: Mode,
    /// Where the tasks may or should run.
    pub placement: Placement,
    /// What the tasks run, by which their interference is known.
    pub image: Option<Arc<str>>,
    /// The highest tail latency of a task that serves users.
    pub latency_target: Option<Millis>,
    /// How many tasks may be away at once because of the scheduler's orders.
    pub max_unavailable: Option<u16>,
}

/// How the tasks of a step run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Mode {
    /// They work only while all of them are present, and end together.
    pub gang: bool,
    /// Copies of one task may run side by side; the first to complete counts.
    pub speculative: bool,
    /// They run until the job is cancelled.
    pub long_running: bool,
    /// They use the processor time that others leave, and reserve none.
    pub best_effort: bool,
}

/// Where the tasks of a step may or should run.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// A label that the worker must have.
    pub label: Option<Arc<str>>,
    /// The rack that holds the data; elsewhere tasks take longer.
    pub data_rack: Option<Arc<str>>,
    /// Tasks take longer when they are spread over racks.
    pub same_rack: bool,
    /// Most tasks of the step on one worker.
    pub most_per_worker: Option<u16>,
}

impl Step {
    /// Returns what a task reserves on its worker.
    pub fn reserved(&self) -> Room {
        let mut room = self.room;
        if self.mode.best_effort {
            room.cores = filbertbend_state::unit::Cores::ZERO;
        }
        room
    }
}

impl Job {
    /// Checks that the job can be run at all.
    ///
    /// # Errors
    ///
    /// Returns the first [`Error`] found.
    pub fn check(&self) -> Result<(), Error> {
        if self.steps.is_empty() || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(Error::Empty);
        }
        let tasks: usize = self.steps.iter().map(|step| usize::from(step.tasks)).sum();
        if tasks > TASK_LIMIT {
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

    /// Returns how many occurrences there are; 1 for a job without times.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }
}
