//! Declarations of services, validated and with defaults filled in.

use {
    crate::{
        id,
        room::Room,
        unit::{Millis, Share},
    },
    serde::{Deserialize, Serialize},
    strum::{Display, EnumIter, EnumString, IntoStaticStr},
};

/// How urgent the requests or tasks of a service are.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// Starts first and may evict batch work.
    Urgent,
    /// A person waits for the answer.
    Interactive,
    /// Only throughput matters.
    Batch,
}

/// How a call of a service is run.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A request that an endpoint answers while the caller waits.
    Check,
    /// A batch job whose tasks run on workers and can be checkpointed.
    Job,
    /// A non-idempotent request that runs at most once, in sequence.
    Order,
}

/// How often a request may be tried.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Retry {
    /// Maximum number of tries, including the first.
    pub tries: u8,
    /// Whether a second try may be sent while the first still runs.
    pub hedge: bool,
}

/// The declaration of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// The service's name, unique in the configuration.
    pub name: id::Service,
    /// The team whose quota and share its use counts against.
    pub team: id::Team,
    /// How its calls are run.
    pub kind: Kind,
    /// How urgent its calls are.
    pub class: Class,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// The default deadline, for calls that state none.
    pub deadline: Millis,
    /// The room that one task takes; for a check or order, that of one slot.
    pub size: Room,
    /// How long one task or request is expected to run.
    pub run_time: Millis,
    /// The fraction of the capacity guaranteed to the service's team and class.
    pub share: Share,
    /// The room guaranteed to the team for its jobs, which may borrow more
    /// while other room is idle.
    pub quota: Room,
    /// How often a request may be tried.
    pub retry: Retry,
    /// The data centres where its work may run; empty means all of them.
    pub data_centres: Vec<id::DataCentre>,
}

impl Declaration {
    /// Returns whether the service's work may run in `data_centre`.
    pub fn allows(&self, data_centre: &id::DataCentre) -> bool {
        self.data_centres.is_empty() || self.data_centres.contains(data_centre)
    }
}
