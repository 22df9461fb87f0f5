//! Identifiers of jobs, tasks and their runs.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, sync::Arc},
};

/// Digits of a job's identifier.
const JOB_DIGITS: usize = 16;

/// An identifier that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A job's identifier has another form.
    #[error("`{0}` is not a job id: expected 16 hexadecimal digits")]
    Job(Arc<str>),
    /// A task's name has another form.
    #[error("`{0}` is not a task: expected JOB.OCCURRENCE.STEP.INDEX")]
    Task(Arc<str>),
}

fn excerpt(text: &str) -> Arc<str> {
    text.chars().take(64).collect::<String>().into()
}

/// A job, as its caller named it.
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

/// One task of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Task {
    /// The job.
    pub job: Job,
    /// Which of the job's occurrences, from 0.
    pub occurrence: u32,
    /// Which of the job's steps, from 0.
    pub step: u16,
    /// Which of the step's tasks, from 0.
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
    /// The number of a start of a task; later starts have higher numbers.
    Run;
    /// A term of leadership; each new leader has a higher one.
    Epoch;
    /// What a worker compares orders by; it ignores those with a lower fence
    /// than it has seen.
    Fence;
    /// The number of an end in the list of one life of a worker.
    Sequence;
    /// The number of a link within one process.
    Link;
}

/// Sessions with agents that one leader can open: the fence holds the epoch
/// above this many bits.
const SESSION_BITS: u32 = 24;

impl Fence {
    /// Returns the fence of a leader's session with one agent.
    pub fn new(epoch: Epoch, session: u64) -> Self {
        Self(epoch.0 << SESSION_BITS | session & ((1 << SESSION_BITS) - 1))
    }
}

/// The instance that an agent runs on, which keeps its name over restarts.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Node(pub Arc<str>);

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of a worker: what ran in an earlier life has ended with it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Incarnation {
    /// The worker's own name.
    pub worker: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.worker, self.started_ms)
    }
}
