//! What the slices of an entry ask for and tell.

use {
    crate::{
        attempt::{self, Attempt},
        job, journal, owner, ownership, store,
    },
    filbertbend_state::{id, time::Instant, unit::Millis},
    std::{fmt, sync::Arc},
};

/// Which machine made a store call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The registry of the entry.
    Registry,
    /// The journal of a slice.
    Journal(id::Slice),
    /// The owner of a slice, writing a chunk of a result.
    Chunk(id::Slice),
    /// The owner of a slice, reading a chunk of a result.
    Fetch(id::Slice),
}

/// Something that the slices ask the process for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Makes a store call.
    Store {
        /// Returned with the answer.
        source: Source,
        /// Returned with the answer.
        ticket: store::Ticket,
        /// The call.
        call: store::Call,
    },
    /// Creates a key that is never used for another value, trying again a few
    /// times while the answer is lost.
    StoreChunk {
        /// The slice, to be returned as [`Source::Chunk`].
        slice: id::Slice,
        /// Returned with the answer.
        ticket: store::Ticket,
        /// The key.
        key: Arc<str>,
        /// The value.
        value: Vec<u8>,
    },
    /// Deletes a key that nothing refers to any more.
    DeleteChunk {
        /// The key.
        key: Arc<str>,
    },
    /// Sends a command to the agent beside a worker.
    Command {
        /// The worker.
        worker: id::Worker,
        /// The slice that owns the task.
        slice: id::Slice,
        /// The ownership under which it is sent.
        epoch: id::Epoch,
        /// The attempt.
        attempt: Attempt,
        /// The command.
        command: attempt::Command,
    },
    /// Asks the agent beside a worker for its attempts of a slice.
    Adopt {
        /// The worker.
        worker: id::Worker,
        /// The slice.
        slice: id::Slice,
        /// The ownership.
        epoch: id::Epoch,
    },
    /// Answers a call.
    Answer {
        /// The call.
        reply: owner::Reply,
        /// The answer.
        answer: job::Answer,
    },
    /// The slice of a call has gone to another entry, which is to be asked.
    Redirect {
        /// The call.
        reply: owner::Reply,
    },
    /// Counts something.
    Count(owner::Counter),
    /// The live entries have changed.
    Roster(Vec<ownership::Member>),
    /// Tells operators something.
    Note(Note),
    /// Every slice is handed over.
    Left,
}

/// Something that operators may want to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Note {
    /// The entry has claimed a slice and recovers it.
    Claimed(id::Slice),
    /// The entry serves a slice.
    Owned {
        /// The slice.
        slice: id::Slice,
        /// The ownership.
        epoch: id::Epoch,
        /// Jobs and orders that are remembered.
        jobs: usize,
        /// How long leases of the former owner may last.
        former_lease_remaining: Millis,
    },
    /// The entry has handed a slice over.
    Released(id::Slice),
    /// Another entry has taken a slice.
    Lost(id::Slice),
    /// A slice is not served, because a value in the store is damaged.
    Damaged {
        /// The slice.
        slice: id::Slice,
        /// The value and its fault.
        error: journal::Error,
    },
    /// A value of the registry is damaged and passed over.
    MalformedValue(Arc<str>),
    /// A record was not written.
    NotWritten {
        /// The slice.
        slice: id::Slice,
        /// Why.
        reason: journal::Reason,
    },
    /// Another process has the same entry name.
    NameTaken,
    /// The store does not answer since this point in time.
    StoreStalled(Instant),
    /// The store answers again.
    StoreResumed,
}

impl Note {
    /// Tells whether an operator should look at it.
    pub fn is_warning(&self) -> bool {
        !matches!(
            self,
            Self::Claimed(_)
                | Self::Owned { .. }
                | Self::Released(_)
                | Self::Lost(_)
                | Self::StoreResumed
        )
    }
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Claimed(slice) => write!(f, "slice {slice} claimed"),
            Self::Owned {
                slice,
                epoch,
                jobs,
                former_lease_remaining,
            } => write!(
                f,
                "slice {slice} owned, epoch {epoch}, {jobs} jobs, former leases end in {former_lease_remaining}"
            ),
            Self::Released(slice) => write!(f, "slice {slice} released"),
            Self::Lost(slice) => write!(f, "slice {slice} lost to another entry"),
            Self::Damaged { slice, error } => write!(f, "slice {slice} not served: {error}"),
            Self::MalformedValue(key) => write!(f, "value at {key} is damaged"),
            Self::NotWritten { slice, reason } => {
                write!(f, "record of slice {slice} not written: {reason}")
            }
            Self::NameTaken => f.write_str("another process has the same entry name"),
            Self::StoreStalled(since) => write!(f, "store silent since {since}"),
            Self::StoreResumed => f.write_str("store answers again"),
        }
    }
}

/// A key that exists holds the same chunk, because keys of chunks are never
/// used for another value.
pub(super) fn chunk_stored(ticket: store::Ticket, answer: &store::Answer) -> owner::Event {
    let written = matches!(
        answer,
        store::Answer::Written(_) | store::Answer::Conflict(Some(_))
    );
    owner::Event::ChunkStored {
        ticket: owner::Ticket(ticket.0),
        written,
    }
}

pub(super) fn chunk_fetched(ticket: store::Ticket, answer: store::Answer) -> owner::Event {
    let value = match answer {
        store::Answer::Value(Some(pair)) => Some(pair.value),
        _ => None,
    };
    owner::Event::ChunkFetched {
        ticket: owner::Ticket(ticket.0),
        value,
    }
}
