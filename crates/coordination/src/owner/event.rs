//! What an owner is told and what it asks for.

use {
    super::record::Record,
    crate::{
        attempt::{self, Attempt},
        job, placement,
    },
    filbertbend_state::{
        id,
        time::{Instant, Wall},
    },
    std::sync::Arc,
};

/// Ties an answer to the call of one caller, drawn by the entry process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Reply(pub u64);

/// Ties a durable write, a stored chunk or a read to its outcome; unique
/// within one owner.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Until when an owner may grant; both points come from the ownership
/// registry, timed from before the store was asked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Authority {
    /// First grants are given before this point only: the end of the entry's
    /// own store lease.
    pub first_grants_until: Instant,
    /// No lease extends past this point: the ownership horizon.
    pub renewals_until: Instant,
}

/// What an owner is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks.
    Call {
        /// Where the answer goes.
        reply: Reply,
        /// The wall clock.
        wall: Wall,
        /// The call.
        call: job::Call,
    },
    /// An agent reports on an attempt.
    Report {
        /// The agent's worker.
        worker: id::Worker,
        /// The attempt.
        attempt: Attempt,
        /// The report.
        report: attempt::Report,
    },
    /// An agent answers [`Action::Adopt`] under this owner's epoch.
    Inventory {
        /// The agent's worker.
        worker: id::Worker,
        /// The attempts that it holds.
        attempts: Vec<(Attempt, attempt::Phase)>,
    },
    /// The planner decided about a task of this slice.
    Decision(placement::Decision),
    /// The records of [`Action::Append`] are durable; reported in the order of
    /// the appends.
    Durable(Ticket),
    /// The records of [`Action::Append`] were certainly not written and will
    /// not be, although the slice is still owned.
    NotWritten(Ticket),
    /// The slice is owned by another entry.
    OwnershipLost {
        /// Appends that were certainly not written.
        not_written: Vec<Ticket>,
        /// Appends that may have been written; every other one counts as
        /// unknown too.
        unknown: Vec<Ticket>,
    },
    /// Whether the store takes writes at the moment.
    StoreAvailability {
        /// False during an outage.
        available: bool,
    },
    /// A chunk of [`Action::StoreChunk`] was written, or failed.
    ChunkStored {
        /// The ticket of the action.
        ticket: Ticket,
        /// Whether it is certainly written.
        written: bool,
    },
    /// The answer to [`Action::FetchChunk`].
    ChunkFetched {
        /// The ticket of the action.
        ticket: Ticket,
        /// The value, or `None` if it does not exist or could not be read.
        value: Option<Vec<u8>>,
    },
    /// An agent appeared or restarted.
    AgentConnected {
        /// Its worker.
        worker: id::Worker,
        /// The life of its process.
        incarnation: id::Incarnation,
    },
    /// An agent is down.
    AgentDown {
        /// Its worker.
        worker: id::Worker,
    },
    /// Until when the owner may grant.
    Authority(Authority),
    /// Time passes; sent about every 100 ms.
    Tick {
        /// The wall clock.
        wall: Wall,
    },
}

/// Things that an owner counts.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Jobs and orders accepted.
    Accepted,
    /// First grants given.
    Started,
    /// Attempts that completed.
    Completed,
    /// Attempts that failed.
    Failed,
    /// Attempts refused by agents.
    Refused,
    /// Attempts that ended without an output on request: abandoned before their
    /// grant, withdrawn, or stopped.
    Abandoned,
    /// Leases that expired.
    LeaseExpired,
    /// Evictions asked for.
    Evicted,
    /// Jobs cancelled.
    Cancelled,
    /// Jobs parked after failing on several workers.
    Parked,
    /// Orders with an unknown outcome.
    Unknown,
    /// Claims and renewals denied.
    Denied,
    /// Attempts taken over from a former owner.
    Adopted,
}

/// What an owner asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make these records durable together, after those of earlier appends.
    Append {
        /// Ties the outcome to the append.
        ticket: Ticket,
        /// The records.
        records: Vec<Record>,
    },
    /// Send a command to the agent beside a worker.
    Send {
        /// The worker.
        worker: id::Worker,
        /// The attempt.
        attempt: Attempt,
        /// The command.
        command: attempt::Command,
    },
    /// Ask the agent beside a worker for its attempts of this slice.
    Adopt {
        /// The worker.
        worker: id::Worker,
    },
    /// Answer a call.
    Answer {
        /// The call.
        reply: Reply,
        /// The answer.
        answer: job::Answer,
    },
    /// Write a chunk of a large result. The key is never used for another
    /// value, so a key that exists already counts as written.
    StoreChunk {
        /// Ties the outcome to the write.
        ticket: Ticket,
        /// The key.
        key: Arc<str>,
        /// The chunk.
        value: Vec<u8>,
    },
    /// Read a chunk of a large result.
    FetchChunk {
        /// Ties the value to the read.
        ticket: Ticket,
        /// The key.
        key: Arc<str>,
    },
    /// Delete a chunk of a large result that nothing refers to any more.
    DeleteChunk {
        /// The key.
        key: Arc<str>,
    },
    /// Count something.
    Count(Counter),
}
