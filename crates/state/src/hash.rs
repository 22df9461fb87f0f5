//! Stable hashes, which are the same in all processes and versions.

use {
    crate::id,
    ulid::Ulid,
    xxhash_rust::xxh3::{xxh3_128, xxh3_64, xxh3_64_with_seed},
};

/// Returns the 64-bit XXH3 hash of `bytes`, which is the same in every process.
pub fn of(bytes: impl AsRef<[u8]>) -> u64 {
    xxh3_64(bytes.as_ref())
}

/// Returns the slice of the job or customer that `bytes` identify.
///
/// `slices` is the number of slices in the settings and must be at least 1.
pub fn slice(bytes: impl AsRef<[u8]>, slices: u16) -> id::Slice {
    id::Slice((of(bytes) % u64::from(slices.max(1))) as u16)
}

/// Returns the slice of `job`. Entries route jobs by slice, and agents compute
/// the slice of each task that they find running, so both must agree.
pub fn job_slice(job: id::Job, slices: u16) -> id::Slice {
    slice(job.0.to_bytes(), slices)
}

/// Returns the weight of `member` for `slice` in rendezvous hashing.
///
/// The member with the highest weight is the preferred owner, so adding or
/// removing a member moves only the slices of that member.
pub fn weight(member: impl AsRef<[u8]>, slice: id::Slice) -> u64 {
    xxh3_64_with_seed(member.as_ref(), u64::from(slice.0))
}

/// Hashes bytes to an identifier, so that equal names get equal identifiers.
///
/// The timestamp part has its maximum value: the identifier does not state when
/// it was created, so it must never count as old.
pub fn ulid(bytes: impl AsRef<[u8]>) -> Ulid {
    Ulid::from_parts(u64::MAX >> 16, xxh3_128(bytes.as_ref()))
}
