//! The materialized state of a slice, as the journal stores it.

use serde::{de::DeserializeOwned, Serialize};

/// The number of buckets that the state of a slice is divided into.
pub const BUCKETS: u8 = 16;

/// A partition of the state of a slice; a compaction rewrites only buckets that
/// have changed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Bucket(u8);

impl Bucket {
    /// Returns the bucket for the hash of a record's key.
    ///
    /// It uses the high bits, because the low bits select the slice and all keys
    /// of one slice would otherwise share a few buckets.
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

/// The encoded bytes of a bucket could not be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the encoded state is malformed")]
pub struct Malformed;

impl From<postcard::Error> for Malformed {
    fn from(_: postcard::Error) -> Self {
        Self
    }
}

/// The state that results from applying records in order.
///
/// The journal keeps an image of the durable records only, because a compaction
/// must not contain a record that may still be refused.
pub trait Image: Default {
    /// A change to the state. Its encoding must take at least one byte.
    type Record: Serialize + DeserializeOwned;

    /// Returns the only bucket that `record` changes.
    fn bucket(record: &Self::Record) -> Bucket;

    /// Applies a record. Records are applied in append order.
    fn apply(&mut self, record: &Self::Record);

    /// Encodes a bucket. An empty result means that the bucket is empty.
    fn encode(&self, bucket: Bucket) -> Vec<u8>;

    /// Fills an empty bucket from the bytes that [`Image::encode`] returned.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the bytes are not an encoded bucket.
    fn decode(&mut self, bucket: Bucket, bytes: &[u8]) -> Result<(), Malformed>;
}
