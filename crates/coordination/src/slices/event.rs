//! The actions that the slices of an entry return and the notes for operators.

use {
    crate::{
        attempt::{self, Attempt},
        job, journal, owner, ownership, store,
    },
    filbertbend_state::{id, time::Instant, unit::Millis},
    std::{fmt, sync::Arc},
};

/// The state machine that made a store call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The ownership registry of the entry.
    Registry,
    /// The journal of a slice.
    Journal(id::Slice),
    /// The owner of a slice, to write a chunk of a result.
    Chunk(id::Slice),
    /// The owner of a slice, to read a chunk of a result.
    Fetch(id::Slice),
}

/// An output of [`Slices`](super::Slices) for the process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call to the store.
    Store {
        /// Passed back with the answer.
        source: Source,
        /// Passed back with the answer.
        ticket: store::Ticket,
        /// The call to send.
        call: store::Call,
    },
    /// Create a key that is never used for another value. If the answer is
    /// lost, the call is retried a few times.
    StoreChunk {
        /// The slice, passed back as [`Source::Chunk`].
        slice: id::Slice,
        /// Passed back with the answer.
        ticket: store::Ticket,
        /// The key to create.
        key: Arc<str>,
        /// The chunk.
        value: Vec<u8>,
    },
    /// Delete a key that is no longer referenced.
    DeleteChunk {
        /// The key to delete.
        key: Arc<str>,
    },
    /// Send a command to the agent of a worker.
    Command {
        /// The worker that the agent manages.
        worker: id::Worker,
        /// The slice that owns the task.
        slice: id::Slice,
        /// The epoch of the slice's owner.
        epoch: id::Epoch,
        /// The attempt that the command applies to.
        attempt: Attempt,
        /// The command to send.
        command: attempt::Command,
    },
    /// Request the list of a slice's attempts from the agent of a worker.
    Adopt {
        /// The worker that the agent manages.
        worker: id::Worker,
        /// The slice whose attempts are requested.
        slice: id::Slice,
        /// The epoch of the slice's owner.
        epoch: id::Epoch,
    },
    /// Answer a call.
    Answer {
        /// The call, as passed to [`Slices::call`](super::Slices::call).
        reply: owner::Reply,
        /// The answer for the caller.
        answer: job::Answer,
    },
    /// The slice has moved to another entry. The caller must repeat the call
    /// there.
    Redirect {
        /// The call, as passed to [`Slices::call`](super::Slices::call).
        reply: owner::Reply,
    },
    /// Increment a counter.
    Count(owner::Counter),
    /// The live entries or their published values have changed.
    Roster(Vec<ownership::Member>),
    /// Log a note for operators.
    Note(Note),
    /// All slices are handed over and the entry's registration has ended.
    Left,
}

/// A note for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Note {
    /// The entry has claimed a slice and begins its recovery.
    Claimed(id::Slice),
    /// The recovery of a slice is complete and the entry serves it.
    Owned {
        /// The slice that was recovered.
        slice: id::Slice,
        /// The epoch of this ownership.
        epoch: id::Epoch,
        /// The number of jobs and orders in the recovered state.
        jobs: usize,
        /// How long leases granted by a former owner may still last.
        former_lease_remaining: Millis,
    },
    /// The entry has handed a slice over.
    Released(id::Slice),
    /// The ownership of a slice has ended without a hand-over.
    Lost(id::Slice),
    /// A slice is not served, because a stored value of its journal is damaged
    /// or missing.
    Damaged {
        /// The slice that is not served.
        slice: id::Slice,
        /// The value and what is wrong with it.
        error: journal::Error,
    },
    /// The value at this key of the registry cannot be decoded and is ignored.
    MalformedValue(Arc<str>),
    /// A record was not written.
    NotWritten {
        /// The slice that the record belongs to.
        slice: id::Slice,
        /// Why it was not written.
        reason: journal::Reason,
    },
    /// Another process has registered the same entry name.
    NameTaken,
    /// The store has not answered since this time.
    StoreStalled(Instant),
    /// The store answers again.
    StoreResumed,
}

impl Note {
    /// Returns whether the note is a warning that an operator should look at.
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

/// Converts the answer to the write of a chunk. A key that exists already holds
/// the same chunk, because chunk keys are never reused for another value.
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
