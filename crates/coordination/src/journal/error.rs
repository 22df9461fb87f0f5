//! Errors in stored values that stop a journal.

use {super::image::Malformed, filbertbend_state::id, std::sync::Arc};

/// What is wrong with a stored value.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// It does not start with the expected marker and format version.
    #[error("it is not in the journal's format, or of another version")]
    Format,
    /// Its bytes do not match its checksum.
    #[error("its checksum does not match")]
    Checksum,
    /// Its fields cannot be decoded.
    #[error("its fields cannot be decoded")]
    Fields,
    /// Its header names another key than the one it was read from.
    #[error("it belongs to another key")]
    Key,
    /// Its epoch cannot have written at this sequence number.
    #[error("it was written by an epoch that cannot have written there")]
    Epoch,
}

impl From<postcard::Error> for Fault {
    fn from(_: postcard::Error) -> Self {
        Self::Fields
    }
}

impl From<Malformed> for Fault {
    fn from(_: Malformed) -> Self {
        Self::Fields
    }
}

/// Why a journal stopped without changing the stored values of its slice.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A stored value cannot be decoded or contradicts its key.
    #[error("slice {slice}: the value at `{key}` is damaged: {fault}; the slice is left as it is until the value is repaired")]
    Damaged {
        /// The slice.
        slice: id::Slice,
        /// The key of the value.
        key: Arc<str>,
        /// What is wrong with it.
        fault: Fault,
    },
    /// A value that the manifest requires does not exist.
    #[error("slice {slice}: `{key}` is missing although the manifest requires it; the slice is left as it is until it is restored")]
    Missing {
        /// The slice.
        slice: id::Slice,
        /// The key of the value.
        key: Arc<str>,
    },
}
