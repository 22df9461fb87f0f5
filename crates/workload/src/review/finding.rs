//! What can be wrong with a configuration, and how to mend it.

use {
    super::{MIN_BODY_BYTES, MIN_HEADER_BYTES, MIN_TIMEOUT},
    filbertbend_state::unit::Millis,
    std::{fmt, sync::Arc},
    strum::{Display, IntoStaticStr},
};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// Something in the configuration cannot work as written.
    Error,
    /// Something works, but hardly as its author meant it.
    Warning,
}

/// The part of a configuration that a finding concerns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The queue with this name.
    Queue(Arc<str>),
    /// The pool with this name.
    Pool(Arc<str>),
    /// The limits for all callers.
    Limits,
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Queue(name) => write!(f, "queue {name}"),
            Self::Pool(name) => write!(f, "pool {name}"),
            Self::Limits => f.write_str("limits"),
        }
    }
}

/// One fault of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The part that it concerns.
    pub subject: Subject,
    /// What is wrong with it.
    pub problem: Problem,
}

/// What is wrong with a part of a configuration. The names are printed as codes for
/// scripts.
#[derive(Clone, Debug, IntoStaticStr, PartialEq, thiserror::Error)]
#[strum(serialize_all = "kebab-case")]
pub enum Problem {
    /// Only one of several queues with a name can be in force.
    #[error("{count} queues have this name, and only one of them would be in force")]
    DuplicateName {
        /// The number of queues with the name.
        count: usize,
    },
    /// Another queue takes all requests of this one.
    #[error("never matches a request: queue {other} has the same host and prefix")]
    SameRoute {
        /// The other queue.
        other: Arc<str>,
    },
    /// No path begins with the prefix.
    #[error("never matches a request: no path begins with {prefix:?}")]
    ImpossiblePrefix {
        /// The prefix.
        prefix: Arc<str>,
    },
    /// No request names the host.
    #[error("never matches a request: {host:?} cannot be the host of a request without its port")]
    ImpossibleHost {
        /// The host.
        host: Arc<str>,
    },
    /// The jobs with some identifiers cannot be addressed.
    #[error(
        "misses the jobs whose identifiers begin with {digits}: their requests go to queue {other}"
    )]
    PartlyHidden {
        /// The queue with the longer prefix.
        other: Arc<str>,
        /// The digits by which that prefix is longer.
        digits: Arc<str>,
    },
    /// No worker runs the jobs.
    #[error("its jobs are accepted and never run: there is no pool {pool}")]
    UnknownPool {
        /// The name of the pool.
        pool: Arc<str>,
    },
    /// No job reaches the pool.
    #[error("no queue uses it")]
    UnusedPool,
    /// Every job is refused.
    #[error("every job is refused: a timeout of {timeout} leaves no time to store it")]
    TimeoutTooShort {
        /// The timeout.
        timeout: Millis,
    },
    /// Jobs fail without having run.
    #[error("its jobs have no attempt")]
    NoAttempts,
    /// The priority cannot be represented.
    #[error("the priority {priority} is larger than 255")]
    PriorityTooLarge {
        /// The priority.
        priority: u64,
    },
    /// The factor is not a usable number.
    #[error("a job cannot take {stretch} times as long as its tasks")]
    InvalidStretch {
        /// The factor.
        stretch: f64,
    },
    /// No job can be in time.
    #[error("no job can be in time: {stretch} times its longest chain of tasks is allowed")]
    UnreachableObjective {
        /// The factor.
        stretch: f64,
    },
    /// No request fits the limit.
    #[error("every request is refused: no head fits into {bytes} bytes")]
    HeaderLimitTooSmall {
        /// The limit.
        bytes: u64,
    },
    /// No job fits the limit.
    #[error("every job is refused: none fits into {bytes} bytes")]
    BodyLimitTooSmall {
        /// The limit.
        bytes: u64,
    },
    /// Every connection is closed before its first request.
    #[error("callers have no time to send a head")]
    NoHeaderTime,
    /// Connections are closed while a head may still arrive in time.
    #[error(
        "a connection is closed after {idle} without a request, although a head may take {header}"
    )]
    IdleBeforeHeader {
        /// How long a head may take.
        header: Millis,
        /// How long a connection without a request stays open.
        idle: Millis,
    },
}

impl Problem {
    /// Returns how serious the problem is.
    pub fn severity(&self) -> Severity {
        match self {
            Self::UnusedPool
            | Self::PartlyHidden { .. }
            | Self::UnreachableObjective { .. }
            | Self::IdleBeforeHeader { .. } => Severity::Warning,
            _ => Severity::Error,
        }
    }

    /// Returns what mends the problem.
    pub fn fix(&self) -> String {
        match self {
            Self::DuplicateName { .. } => "give each queue a name of its own".to_owned(),
            Self::SameRoute { .. } => "change the host or the prefix of one of them".to_owned(),
            Self::ImpossiblePrefix { .. } => {
                "begin the prefix with / and leave out blanks, ? and #".to_owned()
            }
            Self::ImpossibleHost { .. } => "write the bare name of the host".to_owned(),
            Self::PartlyHidden { .. } => "end prefixes with /".to_owned(),
            Self::UnknownPool { .. } => "add the pool, or name another one".to_owned(),
            Self::UnusedPool => "remove it, or add a queue that uses it".to_owned(),
            Self::TimeoutTooShort { .. } => format!("allow at least {MIN_TIMEOUT}"),
            Self::NoAttempts => "allow at least 1 attempt".to_owned(),
            Self::PriorityTooLarge { .. } => "use a priority from 0 to 255".to_owned(),
            Self::InvalidStretch { .. } => "use a factor of 1 or more".to_owned(),
            Self::UnreachableObjective { .. } => {
                "raise the factor to 1, or add time to the objective".to_owned()
            }
            Self::HeaderLimitTooSmall { .. } => format!("allow at least {MIN_HEADER_BYTES} bytes"),
            Self::BodyLimitTooSmall { .. } => format!("allow at least {MIN_BODY_BYTES} bytes"),
            Self::NoHeaderTime => "allow more than zero".to_owned(),
            Self::IdleBeforeHeader { .. } => {
                "let an idle connection stay open at least as long as a head may take".to_owned()
            }
        }
    }
}
