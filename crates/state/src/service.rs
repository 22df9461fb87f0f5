//! What operators declare about a service, checked and resolved.

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

/// What one call of a service is.
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

/// When another try of a request is allowed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Retry {
    /// Tries in all, including the first.
    pub tries: u8,
    /// Whether a second try may be sent while the first still runs.
    pub hedge: bool,
}

/// The declaration of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// The service's name, unique in the configuration.
    pub name: id::Service,
    /// The team that its use counts against.
    pub team: id::Team,
    /// What one call is.
    pub kind: Kind,
    /// How urgent it is.
    pub class: Class,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// The deadline of a call that states none.
    pub deadline: Millis,
    /// The room that one task takes; for a check or order, one slot's share.
    pub size: Room,
    /// How long one task or request is expected to run.
    pub run_time: Millis,
    /// The part of the capacity guaranteed to the service's team and class.
    pub share: Share,
    /// The room guaranteed to the team for its jobs; more is lent when idle.
    pub quota: Room,
    /// When another try is allowed.
    pub retry: Retry,
    /// Where its work may run; empty means everywhere.
    pub data_centres: Vec<id::DataCentre>,
}

impl Declaration {
    /// Tells whether the service's work may run in `data_centre`.
    pub fn allows(&self, data_centre: &id::DataCentre) -> bool {
        self.data_centres.is_empty() || self.data_centres.contains(data_centre)
    }
}
