//! The encoding of journal entries, manifests and segments in the store.
//!
//! Every value starts with an envelope of a marker, a format version and a
//! checksum, so that a damaged value or one of another format is rejected before
//! its fields are decoded.

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

/// Upper bound on the bytes of the envelope and the header of a value.
pub(super) const OVERHEAD_BYTES: usize = 256;

/// Maximum number of parts of one bucket, which bounds the reads of a recovery.
pub(super) const PART_LIMIT: u16 = 1024;

/// The kind of a journal entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) enum Kind {
    /// Begins an ownership.
    Epoch,
    /// Holds this number of records, which follow the header.
    Records(u32),
    /// Ends an ownership. All leases that the owner knows of end within this
    /// time.
    Release(Millis),
}

/// The header of a journal entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Header {
    pub(super) slice: id::Slice,
    pub(super) seq: u64,
    pub(super) epoch: id::Epoch,
    pub(super) owner: id::Entry,
    pub(super) nonce: id::Nonce,
    pub(super) kind: Kind,
}

/// A reference to the immutable values that hold one bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Segment {
    /// The base of the compaction that wrote the segment.
    pub(super) seq: u64,
    /// The number of values that the segment consists of.
    pub(super) parts: u16,
}

/// Lists the segments and the base from which a recovery starts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Manifest {
    pub(super) slice: id::Slice,
    pub(super) epoch: id::Epoch,
    pub(super) owner: id::Entry,
    pub(super) nonce: id::Nonce,
    /// The sequence number of the last entry that the segments contain.
    pub(super) base: u64,
    pub(super) segments: [Option<Segment>; BUCKETS as usize],
    /// Sequence numbers of the `Epoch` entries up to the base that are kept to
    /// fence former owners; see [`super::Limits::fences`].
    pub(super) fences: Vec<u64>,
}

impl Manifest {
    /// Checks invariants that the encoding does not enforce.
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

/// Encodes `header`, followed by `rest`, which is already encoded.
fn encode_with_header(header: &impl Serialize, rest: &[u8]) -> Vec<u8> {
    let mut body = postcard::to_stdvec(header).unwrap_or_default();
    body.extend(rest);
    add_envelope(&body)
}

pub(super) fn encode_entry(header: &Header, records: &[u8]) -> Vec<u8> {
    encode_with_header(header, records)
}

/// Decodes a journal entry and checks that it belongs to its key.
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
    // Every record takes at least one byte, so an impossible count is rejected
    // before any memory is reserved for it.
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
