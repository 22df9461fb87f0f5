//! The order of jobs for which there is too little room at once.
//!
//! A job loses most of its use to its caller when it ends after its objective, and
//! all of it some time later. If arriving work exceeds the room, the order of
//! arrival makes nearly every job late: each waits for those that are late
//! already. So what has begun is finished first, then jobs begin that can still be
//! in time, and the others use the room that these leave. See
//! `docs/design/urgency.md`.

use {
    crate::{catalog::Objective, job::Job, job::Step},
    filbertbend_state::{
        time::Instant,
        unit::{Cores, Millis},
    },
    std::{cmp::Reverse, fmt},
};

/// After this many times its objective a job is of no use to its caller any more;
/// the users' terms for jobs.
const USEFUL_FACTOR: u64 = 3;
/// The reciprocal of the part of its slack that a job must have when it begins. When
/// there is little room, the tasks of a step start one after the other, and this
/// takes the rest.
const BEGIN_SLACK_DIVISOR: u64 = 2;
/// How many jobs of a queue end for each deferred one that takes a turn, so that
/// turns delay one job in this many at most.
const JOBS_PER_TURN: u32 = 8;

/// How a job stands to its objective, the most urgent first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// It can meet its objective.
    #[default]
    InTime,
    /// It cannot meet its objective, but its caller still has some use of it.
    Late,
    /// It ends too late to be of use.
    Overdue,
}

/// The work of all tasks that a job has left.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Work {
    /// Thousandths of a core, times milliseconds.
    millicore_ms: u64,
}

impl Work {
    /// Returns the work of tasks that use `cores` each for as long as `time`.
    pub fn of(tasks: usize, cores: Cores, time: Millis) -> Self {
        let each = cores.0.saturating_mul(time.0);
        Self {
            millicore_ms: each.saturating_mul(tasks as u64),
        }
    }

    /// Returns the work of both.
    pub fn with(self, other: Self) -> Self {
        Self {
            millicore_ms: self.millicore_ms.saturating_add(other.millicore_ms),
        }
    }

    /// Returns the work in thousandths of a core, times seconds.
    pub fn millicore_seconds(self) -> u64 {
        self.millicore_ms / 1000
    }
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} mcore s", self.millicore_seconds())
    }
}

/// What is known about a job that waits for room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outlook {
    /// How long ago the job was accepted or its occurrence was due.
    pub age: Millis,
    /// The age at which the job should have ended.
    pub objective: Millis,
    /// The longest chain of tasks that is left.
    pub chain: Millis,
    /// The work of all tasks that are left.
    pub work: Work,
    /// Whether a task of the job has been placed.
    pub begun: bool,
}

/// The place of a job in the order, the first to be placed first. Jobs of the same
/// place keep the order of arrival.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// It was deferred, and it is its turn.
    Turn,
    /// It has begun and can be in time, or it has no objective and must not fall behind
    /// younger jobs that have one.
    #[default]
    Begun,
    /// It has begun and will be late: to begin others first would waste its work, and
    /// room that is spread over many jobs makes all of them late.
    BegunLate,
    /// It has not begun and can be in time.
    New,
    /// It has not begun and will be late.
    NewLate,
    /// It ends too late to be of use.
    Overdue,
}

impl Outlook {
    /// Returns how the job stands to its objective.
    pub fn standing(&self) -> Standing {
        let end = self.age.0.saturating_add(self.chain.0);
        let slack = self.objective.0.saturating_sub(self.chain.0);
        let may_begin = self.begun || self.age.0 <= slack / BEGIN_SLACK_DIVISOR;
        if may_begin && end <= self.objective.0 {
            Standing::InTime
        } else if end <= self.objective.0.saturating_mul(USEFUL_FACTOR) {
            Standing::Late
        } else {
            Standing::Overdue
        }
    }

    /// Returns the place of the job in the order.
    pub fn urgency(&self) -> Urgency {
        match (self.standing(), self.begun) {
            (Standing::InTime, true) => Urgency::Begun,
            (Standing::InTime, false) => Urgency::New,
            (Standing::Late, true) => Urgency::BegunLate,
            (Standing::Late, false) => Urgency::NewLate,
            (Standing::Overdue, _) => Urgency::Overdue,
        }
    }

    /// Returns whether the job may take a turn, because its objective has passed.
    fn may_take_turn(&self) -> bool {
        self.age >= self.objective
    }
}

impl Objective {
    /// Returns the age at which a job should have ended whose longest chain of
    /// tasks takes `chain`.
    pub fn age(&self, chain: Millis) -> Millis {
        let stretched = scale(chain, self.stretch);
        Millis(stretched.0.saturating_add(self.allowance.0))
    }
}

/// The turns of the deferred jobs of one queue. One job at a time comes before the
/// others of its priority, so that jobs of every size end under lasting overload.
#[derive(Clone, Debug)]
pub struct Turns<I> {
    /// The jobs that have ended since the last turn.
    ended: u32,
    holder: Option<(I, Instant)>,
}

impl<I> Default for Turns<I> {
    fn default() -> Self {
        Self {
            ended: 0,
            holder: None,
        }
    }
}

impl<I: Copy + Ord> Turns<I> {
    /// Counts a job of the queue that has ended, which ends its turn as well.
    pub fn job_ended(&mut self, is_of_job: impl Fn(I) -> bool) {
        self.ended = self.ended.saturating_add(1);
        self.holder.take_if(|(holder, _)| is_of_job(*holder));
    }

    /// Returns the job whose turn it is, given those that wait: first those that
    /// have begun, whose work would be wasted, then the oldest. A turn lasts for the
    /// job's objective, since the job may find no room at all.
    pub fn holder(
        &mut self,
        now: Instant,
        waiting: impl IntoIterator<Item = (I, Outlook)>,
    ) -> Option<I> {
        if let Some((holder, until)) = self.holder {
            if now < until {
                return Some(holder);
            }
            self.holder = None;
        }
        if self.ended < JOBS_PER_TURN {
            return None;
        }
        let (holder, outlook) = waiting
            .into_iter()
            .filter(|(_, outlook)| outlook.may_take_turn())
            .max_by_key(|(id, outlook)| (outlook.begun, outlook.age, Reverse(*id)))?;
        self.ended = 0;
        self.holder = Some((holder, now + outlook.objective));
        Some(holder)
    }
}

/// Returns how long the longest chain of steps takes, each after those that it
/// depends on.
pub fn longest_chain(job: &Job, mut time: impl FnMut(usize, &Step) -> Millis) -> Millis {
    let mut ends: Vec<Millis> = Vec::with_capacity(job.steps.len());
    for (index, step) in job.steps.iter().enumerate() {
        let begin = step
            .after
            .iter()
            .filter_map(|earlier| ends.get(usize::from(*earlier)))
            .max()
            .copied()
            .unwrap_or(Millis::ZERO);
        ends.push(begin + time(index, step));
    }
    ends.into_iter().max().unwrap_or(Millis::ZERO)
}

/// Multiplies a time; the result is limited, as factors come from operators.
fn scale(time: Millis, factor: f64) -> Millis {
    // The conversion saturates.
    Millis((time.0 as f64 * factor) as u64)
}
