//! The failures of commands, with their help texts and exit codes.

use {
    super::audit::AuditRecord,
    filbertbend_coordination::config::codec,
    filbertbend_state::id,
    filbertbend_yaml::Fault,
    miette::Diagnostic,
    std::{io, net::SocketAddr, process::ExitCode, sync::Arc},
};

/// Exit code of a command; `docs/operators.md` lists them.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason that has no exit code of its own.
    Failed = 1,
    /// The arguments are wrong, or a file has faults.
    Usage = 2,
    /// Another operator published a revision first; nothing was published.
    LostRace = 3,
    /// The store stopped answering during the publish, so it is not known
    /// whether the change is in force.
    Unknown = 4,
    /// The store did not answer; nothing changed.
    Unavailable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(super) enum Failure {
    /// A settings file has faults.
    #[error("the settings file has {}", count(.0.len(), "fault"))]
    #[diagnostic(help("correct the faults above"))]
    Settings(Vec<Fault>),
    /// Scheduling files have faults.
    #[error("the scheduling files have {}", count(.0.len(), "fault"))]
    #[diagnostic(help("correct the faults above; nothing was published"))]
    Files(Vec<Fault>),
    /// There is neither `--author` nor a valid user name in the environment.
    #[error("the author of the change is not known")]
    #[diagnostic(help("add --author NAME"))]
    UnknownAuthor,
    /// The asynchronous runtime cannot start.
    #[error("the process cannot start: {0}")]
    #[diagnostic(help("check the limits of the instance"))]
    Runtime(#[source] io::Error),
    /// Another operator published a revision first.
    #[error("{}", lost_race(*.base, .winner.as_ref()))]
    #[diagnostic(help("nothing was published; review the newer revision and publish again"))]
    LostRace {
        base: id::Revision,
        winner: Option<AuditRecord>,
    },
    /// It is not known whether the publish is in force.
    #[error(
        "it is not known whether revision {revision} is in force: the store stopped answering"
    )]
    #[diagnostic(help(
        "run `filbertbend audit --format json` when the store answers; nonce {nonce} marks this change"
    ))]
    UnknownOutcome {
        revision: id::Revision,
        nonce: id::Nonce,
    },
    /// The store did not answer.
    #[error("the store is unavailable")]
    #[diagnostic(help("nothing changed; check the address, or try again when the store answers"))]
    Unavailable,
    /// A value in the store cannot be decoded.
    #[error("the value at `{key}` cannot be used: {error}")]
    #[diagnostic(help("nothing changed; use the version of filbertbend that the entries run"))]
    InvalidValue { key: Arc<str>, error: codec::Error },
    /// The manifest refers to a value that is not in the store.
    #[error("the value at `{0}` is missing")]
    #[diagnostic(help("run the command again; a publish may have replaced it"))]
    MissingValue(Arc<str>),
    /// The entry did not answer, or its response is not a result.
    #[error("the entry at {address} does not answer: {reason}")]
    #[diagnostic(help("name the operators' address of a running entry with --entry ADDRESS"))]
    EntryRequest { address: SocketAddr, reason: String },
    /// The entry does not know the job.
    #[error("the job {0} is not known")]
    #[diagnostic(help(
        "check the id; ended jobs are kept for a limited time, and each region has its own jobs"
    ))]
    UnknownJob(id::Job),
}

impl Failure {
    /// Returns the exit code of the command that failed.
    pub(super) fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::Files(_) | Self::UnknownAuthor => Exit::Usage,
            Self::LostRace { .. } => Exit::LostRace,
            Self::UnknownOutcome { .. } => Exit::Unknown,
            Self::Unavailable => Exit::Unavailable,
            Self::Runtime(_)
            | Self::InvalidValue { .. }
            | Self::MissingValue(_)
            | Self::EntryRequest { .. }
            | Self::UnknownJob(_) => Exit::Failed,
        }
    }

    /// Returns the faults of the files, each of which is reported separately.
    pub(super) fn faults(&self) -> &[Fault] {
        match self {
            Self::Settings(faults) | Self::Files(faults) => faults,
            _ => &[],
        }
    }

    /// Returns the change that won a lost race, if it is known.
    pub(super) fn winner(&self) -> Option<&AuditRecord> {
        match self {
            Self::LostRace { winner, .. } => winner.as_ref(),
            _ => None,
        }
    }
}

/// Formats a count with its noun, in the plural unless the count is 1.
pub(super) fn count(number: usize, noun: &str) -> String {
    match number {
        1 => format!("1 {noun}"),
        _ => format!("{number} {noun}s"),
    }
}

fn lost_race(base: id::Revision, winner: Option<&AuditRecord>) -> String {
    let who = match winner {
        Some(winner) => format!("{} published revision {}", winner.author, winner.to),
        None => "another operator published".to_owned(),
    };
    format!("revision {base} is no longer in force: {who} first")
}
