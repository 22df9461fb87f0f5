//! The state that a slice's records add up to, as the journal sees it.

use serde::{de::DeserializeOwned, Serialize};

/// The number of buckets that the state of a slice is divided into.
pub const BUCKETS: u8 = 16;

/// A part of the state of a slice, written as one unit by a compaction.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Bucket(u8);

impl Bucket {
    /// Returns the bucket that a hash of a record's key falls into.
    ///
    /// It uses the high bits, because the slice is chosen by the low ones and
    /// all keys of one slice would otherwise share a few buckets.
    pub fn of(hash: u64) -> Self {
        Self((hash >> 60) as u8)
    }

    /// Returns every bucket in order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..BUCKETS).map(Self)
    }

    /// Returns the number of the bucket, below [`BUCKETS`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    pub(super) fn number(self) -> u8 {
        self.0
    }
}

/// The bytes of a bucket could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the encoded state is malformed")]
pub struct Malformed;

impl From<postcard::Error> for Malformed {
    fn from(_: postcard::Error) -> Self {
        Self
    }
}

/// The state that records add up to.
///
/// The journal keeps one image of exactly the durable records, because a
/// compaction must not contain a record that may still be refused.
pub trait Image: Default {
    /// A change of the state. Its encoding takes at least one byte.
    type Record: Serialize + DeserializeOwned;

    /// Returns the one bucket that `record` changes.
    fn bucket(record: &Self::Record) -> Bucket;

    /// Applies a record. Records are applied in the order of their appends.
    fn apply(&mut self, record: &Self::Record);

    /// Encodes a bucket; an empty result stands for an empty bucket.
    fn encode(&self, bucket: Bucket) -> Vec<u8>;

    /// Fills an empty bucket from what [`Image::encode`] returned.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the bytes are not an encoded bucket.
    fn decode(&mut self, bucket: Bucket, bytes: &[u8]) -> Result<(), Malformed>;
}
