//! The encoding of the values in the store.
//!
//! Every value starts with a marker, a version and a checksum, so that a
//! damaged or foreign value is recognised before any field is used.

use {
    super::{
        error::Fault,
        image::{Bucket, BUCKETS},
    },
    filbertbend_state::{hash, id, unit::Millis},
    serde::{de::DeserializeOwned, Deserialize, Serialize},
};

const MARKER: u8 = 0xfb;
const VERSION: u8 = 1;
const ENVELOPE_BYTES: usize = 10;

/// The most bytes that the envelope and the header of a value take.
pub(super) const OVERHEAD_BYTES: usize = 256;

/// Most parts that one bucket may have, which bounds what a recovery reads.
pub(super) const PART_LIMIT: u16 = 1024;

/// What a journal entry holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) enum Kind {
    /// The beginning of an ownership.
    Epoch,
    /// So many records, which follow the header.
    Records(u32),
    /// The end of an ownership; all leases that it knows of end within the
    /// given time.
    Release(Millis),
}

/// The fields in front of the records of a journal entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Header {
    pub(super) slice: id::Slice,
    pub(super) seq: u64,
    pub(super) epoch: id::Epoch,
    pub(super) owner: id::Entry,
    pub(super) nonce: id::Nonce,
    pub(super) kind: Kind,
}

/// The immutable values that hold one bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Segment {
    /// The base of the compaction that wrote it.
    pub(super) seq: u64,
    /// The number of its values.
    pub(super) parts: u16,
}

/// The value that names what a recovery reads.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Manifest {
    pub(super) slice: id::Slice,
    pub(super) epoch: id::Epoch,
    pub(super) owner: id::Entry,
    pub(super) nonce: id::Nonce,
    /// The last entry that the segments contain.
    pub(super) base: u64,
    pub(super) segments: [Option<Segment>; BUCKETS as usize],
    /// Epoch entries up to the base that are kept; see [`super::Journal`].
    pub(super) fences: Vec<u64>,
}

impl Manifest {
    /// Checks what the encoding alone does not ensure.
    fn check(&self, slice: id::Slice) -> Result<(), Fault> {
        if self.slice != slice {
            return Err(Fault::Key);
        }
        let mut segments = self.segments.iter().flatten();
        if segments.any(|s| s.seq > self.base || s.parts == 0 || s.parts > PART_LIMIT) {
            return Err(Fault::Fields);
        }
        if self.epoch.0 > self.base {
            return Err(Fault::Epoch);
        }
        Ok(())
    }
}

#[derive(Serialize, Deserialize)]
struct PartHeader {
    slice: id::Slice,
    bucket: u8,
    seq: u64,
    part: u16,
}

fn add_envelope(body: &[u8]) -> Vec<u8> {
    let mut value = Vec::with_capacity(ENVELOPE_BYTES + body.len());
    value.extend([MARKER, VERSION]);
    value.extend(hash::of(body).to_le_bytes());
    value.extend(body);
    value
}

fn strip_envelope(value: &[u8]) -> Result<&[u8], Fault> {
    let (envelope, body) = value
        .split_at_checked(ENVELOPE_BYTES)
        .ok_or(Fault::Format)?;
    if envelope[..2] != [MARKER, VERSION] {
        return Err(Fault::Format);
    }
    if envelope[2..] != hash::of(body).to_le_bytes() {
        return Err(Fault::Checksum);
    }
    Ok(body)
}

/// Encodes `header`, followed by records that are already encoded.
fn encode_with_header(header: &impl Serialize, rest: &[u8]) -> Vec<u8> {
    let mut body = postcard::to_stdvec(header).unwrap_or_default();
    body.extend(rest);
    add_envelope(&body)
}

pub(super) fn encode_entry(header: &Header, records: &[u8]) -> Vec<u8> {
    encode_with_header(header, records)
}

/// Reads a journal entry and checks that it belongs to its key.
pub(super) fn decode_entry<R: DeserializeOwned>(
    slice: id::Slice,
    seq: u64,
    value: &[u8],
) -> Result<(Header, Vec<R>), Fault> {
    let (header, mut rest): (Header, _) = postcard::take_from_bytes(strip_envelope(value)?)?;
    if header.slice != slice || header.seq != seq {
        return Err(Fault::Key);
    }
    let is_epoch = header.kind == Kind::Epoch;
    if header.epoch.0 > seq || is_epoch != (header.epoch.0 == seq) {
        return Err(Fault::Epoch);
    }
    let count = match header.kind {
        Kind::Records(count) => count as usize,
        Kind::Epoch | Kind::Release(_) => 0,
    };
    // Every record takes at least one byte, so a hostile count is refused here.
    if count > rest.len() {
        return Err(Fault::Fields);
    }
    let mut records = Vec::with_capacity(count.min(1024));
    for _ in 0..count {
        let (record, left) = postcard::take_from_bytes(rest)?;
        records.push(record);
        rest = left;
    }
    if rest.is_empty() {
        Ok((header, records))
    } else {
        Err(Fault::Fields)
    }
}

pub(super) fn encode_manifest(manifest: &Manifest) -> Vec<u8> {
    encode_with_header(manifest, &[])
}

pub(super) fn decode_manifest(slice: id::Slice, value: &[u8]) -> Result<Manifest, Fault> {
    let (manifest, rest): (Manifest, _) = postcard::take_from_bytes(strip_envelope(value)?)?;
    if !rest.is_empty() {
        return Err(Fault::Fields);
    }
    manifest.check(slice)?;
    Ok(manifest)
}

pub(super) fn encode_part(
    slice: id::Slice,
    bucket: Bucket,
    seq: u64,
    part: u16,
    bytes: &[u8],
) -> Vec<u8> {
    let bucket = bucket.number();
    let header = PartHeader {
        slice,
        bucket,
        seq,
        part,
    };
    encode_with_header(&header, bytes)
}

pub(super) fn decode_part(
    slice: id::Slice,
    bucket: Bucket,
    seq: u64,
    part: u16,
    value: &[u8],
) -> Result<&[u8], Fault> {
    let (header, bytes): (PartHeader, _) = postcard::take_from_bytes(strip_envelope(value)?)?;
    let found = (header.slice, header.bucket, header.seq, header.part);
    if found == (slice, bucket.number(), seq, part) {
        Ok(bytes)
    } else {
        Err(Fault::Key)
    }
}
