//! Identifiers of jobs, tasks and their runs.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, sync::Arc},
};

/// The number of hexadecimal digits of a job's identifier.
const JOB_DIGITS: usize = 16;

/// An identifier that cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a job's identifier.
    #[error("`{0}` is not a job id: expected 16 hexadecimal digits")]
    Job(Arc<str>),
    /// The text is not a task's identifier.
    #[error("`{0}` is not a task: expected JOB.OCCURRENCE.STEP.INDEX")]
    Task(Arc<str>),
}

fn excerpt(text: &str) -> Arc<str> {
    text.chars().take(64).collect::<String>().into()
}

/// The identifier of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Job(pub u64);

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Job {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let lower = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_DIGITS || !text.bytes().all(lower) {
            return Err(Error::Job(excerpt(text)));
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| Error::Job(excerpt(text)))
    }
}

/// The identifier of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Task {
    /// The job.
    pub job: Job,
    /// The occurrence of the job, from 0.
    pub occurrence: u32,
    /// The step of the job, from 0.
    pub step: u16,
    /// The index of the task within the step, from 0.
    pub index: u16,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for Task {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = || Error::Task(excerpt(text));
        let number = |_: ParseIntError| wrong();
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(wrong);
        let task = Self {
            job: next()?.parse()?,
            occurrence: next()?.parse().map_err(number)?,
            step: next()?.parse().map_err(number)?,
            index: next()?.parse().map_err(number)?,
        };
        match parts.next() {
            None => Ok(task),
            Some(_) => Err(wrong()),
        }
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

counters! {
    /// The number of a run of a task; later runs have higher numbers.
    Run;
    /// A term of leadership; each new leader has a higher one.
    Epoch;
    /// A fencing token: a worker refuses orders with a lower fence than it has
    /// seen.
    Fence;
    /// The number of an end within one incarnation of a worker.
    Sequence;
    /// The number of a link within one process.
    Link;
}

/// The number of low bits of a fence that hold the session; the bits above hold
/// the epoch.
const SESSION_BITS: u32 = 24;

impl Epoch {
    /// The highest epoch that a fence can hold and that leaves room for another.
    pub const MAX: Self = Self((1 << (u64::BITS - SESSION_BITS)) - 2);

    /// Returns the epoch of the next leader.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.min(Self::MAX.0) + 1)
    }
}

impl Fence {
    /// Returns the fence of a leader's session with one agent.
    pub fn new(epoch: Epoch, session: u64) -> Self {
        Self(epoch.0 << SESSION_BITS | session & ((1 << SESSION_BITS) - 1))
    }
}

/// The name of the instance that an agent or an entry runs on; it survives
/// restarts.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Node(pub Arc<str>);

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One incarnation of a worker, from its start to its exit. All runs of an
/// earlier incarnation have ended.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Incarnation {
    /// The worker's name, which may be used again.
    pub worker: Arc<str>,
    /// The worker's start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.worker, self.started_ms)
    }
}
