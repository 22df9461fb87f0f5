//! Hashes that all processes and versions agree on.

use {
    crate::id,
    ulid::Ulid,
    xxhash_rust::xxh3::{xxh3_128, xxh3_64, xxh3_64_with_seed},
};

/// Hashes bytes to 64 bits, the same in every process.
pub fn of(bytes: impl AsRef<[u8]>) -> u64 {
    xxh3_64(bytes.as_ref())
}

/// Returns the slice that owns `bytes`, which name a job or a customer.
///
/// `slices` is the number of slices in the settings and must be at least 1.
pub fn slice(bytes: impl AsRef<[u8]>, slices: u16) -> id::Slice {
    id::Slice((of(bytes) % u64::from(slices.max(1))) as u16)
}

/// Returns the slice that owns `job`. Entries route by it, and agents derive
/// the slice of a task that they find running from it, so both must agree.
pub fn job_slice(job: id::Job, slices: u16) -> id::Slice {
    slice(job.0.to_bytes(), slices)
}

/// Returns the weight of `member` for `slice` in rendezvous hashing; the
/// member with the highest weight is the preferred one, so a change of members
/// moves only the slices of the member that came or went.
pub fn weight(member: impl AsRef<[u8]>, slice: id::Slice) -> u64 {
    xxh3_64_with_seed(member.as_ref(), u64::from(slice.0))
}

/// Hashes bytes to an identifier, so that equal names get equal identifiers.
///
/// Its time part is the latest possible one: nobody can tell from the
/// identifier when it was made, so nobody may take it as old.
pub fn ulid(bytes: impl AsRef<[u8]>) -> Ulid {
    Ulid::from_parts(u64::MAX >> 16, xxh3_128(bytes.as_ref()))
}
