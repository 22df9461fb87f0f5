//! The events that an owner handles and the actions that it returns.

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

/// Identifies the call that an answer belongs to. The entry process assigns it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Reply(pub u64);

/// Identifies an append, a chunk write or a chunk read, so that its outcome can
/// be matched. Unique within one owner.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Time limits on the grants of an owner. The ownership registry supplies both,
/// counted from before the store call that confirmed the ownership.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Authority {
    /// The first grant of an attempt must happen before this time, which is the
    /// end of the entry's own store lease.
    pub first_grants_until: Instant,
    /// No lease extends past this time, the ownership horizon.
    pub renewals_until: Instant,
}

/// An input of [`Owner::step`](super::Owner::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits, queries or cancels a job or order.
    Call {
        /// Identifies the call in [`Action::Answer`].
        reply: Reply,
        /// The current wall-clock time.
        wall: Wall,
        /// The operation requested.
        call: job::Call,
    },
    /// An agent reports on an attempt.
    Report {
        /// The worker that the agent manages.
        worker: id::Worker,
        /// The attempt that the report is about.
        attempt: Attempt,
        /// What happened to the attempt.
        report: attempt::Report,
    },
    /// An agent answers [`Action::Adopt`] under this owner's epoch.
    Inventory {
        /// The worker that the agent manages.
        worker: id::Worker,
        /// The attempts of this slice that the agent holds.
        attempts: Vec<(Attempt, attempt::Phase)>,
    },
    /// The planner decided to place or evict a task of this slice.
    Decision(placement::Decision),
    /// The records of an [`Action::Append`] are durable. Reported in the order of
    /// the appends.
    Durable(Ticket),
    /// The records of an [`Action::Append`] were not written and will not be,
    /// although the slice is still owned.
    NotWritten(Ticket),
    /// Another entry has taken over the slice.
    OwnershipLost {
        /// Appends that are known not to have been written.
        not_written: Vec<Ticket>,
        /// Appends that may have been written. Appends in neither list are
        /// treated as unknown too.
        unknown: Vec<Ticket>,
    },
    /// The store has become available or unavailable for writes.
    StoreAvailability {
        /// False during an outage.
        available: bool,
    },
    /// The write of an [`Action::StoreChunk`] succeeded or failed.
    ChunkStored {
        /// The ticket of the action.
        ticket: Ticket,
        /// Whether the chunk is known to be written.
        written: bool,
    },
    /// The read of an [`Action::FetchChunk`] finished.
    ChunkFetched {
        /// The ticket of the action.
        ticket: Ticket,
        /// The chunk, or `None` if it does not exist or could not be read.
        value: Option<Vec<u8>>,
    },
    /// An agent connected for the first time or after a restart.
    AgentConnected {
        /// The worker that the agent manages.
        worker: id::Worker,
        /// The incarnation of the agent process, new after each restart.
        incarnation: id::Incarnation,
    },
    /// The failure detector considers an agent down.
    AgentDown {
        /// The worker that the agent manages.
        worker: id::Worker,
    },
    /// The time limits on grants have changed.
    Authority(Authority),
    /// Runs the timers that are due. Sent about every 100 ms.
    Tick {
        /// The current wall-clock time.
        wall: Wall,
    },
}

/// An event that the entry process counts under its name in snake case.
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
    /// Attempts that ended without an output at the owner's request: abandoned
    /// before their grant, withdrawn, or stopped.
    Abandoned,
    /// Leases that expired.
    LeaseExpired,
    /// Evictions requested from agents.
    Evicted,
    /// Jobs cancelled.
    Cancelled,
    /// Jobs parked after failing on several workers.
    Parked,
    /// Orders with an unknown outcome.
    Unknown,
    /// Claims and renewals denied.
    Denied,
    /// Attempts of a former owner that an agent still holds and that go on.
    Adopted,
}

/// An output of [`Owner::step`](super::Owner::step) for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make these records durable as one write, after those of earlier appends.
    Append {
        /// Identifies the append in its outcome.
        ticket: Ticket,
        /// The records, in the order in which they apply.
        records: Vec<Record>,
    },
    /// Send a command to the agent of a worker.
    Send {
        /// The worker whose agent receives the command.
        worker: id::Worker,
        /// The attempt that the command is about.
        attempt: Attempt,
        /// The command to send.
        command: attempt::Command,
    },
    /// Ask the agent of a worker for the attempts of this slice that it holds.
    Adopt {
        /// The worker whose agent is asked.
        worker: id::Worker,
    },
    /// Answer a call.
    Answer {
        /// The `reply` of the [`Event::Call`] that is answered.
        reply: Reply,
        /// The answer for the caller.
        answer: job::Answer,
    },
    /// Write a chunk of a large result. A key is never reused for another value,
    /// so a key that already exists counts as written.
    StoreChunk {
        /// Identifies the write in its outcome.
        ticket: Ticket,
        /// The store key of the chunk.
        key: Arc<str>,
        /// The bytes of the chunk.
        value: Vec<u8>,
    },
    /// Read a chunk of a large result.
    FetchChunk {
        /// Identifies the read in its outcome.
        ticket: Ticket,
        /// The store key of the chunk.
        key: Arc<str>,
    },
    /// Delete a chunk of a large result that is no longer referenced.
    DeleteChunk {
        /// The store key of the chunk.
        key: Arc<str>,
    },
    /// Increment a counter.
    Count(Counter),
}
