//! The store keys of one slice.
//!
//! Numbers are zero-padded so that the store lists them in numeric order.

use {super::image::Bucket, filbertbend_state::id, std::sync::Arc};

/// Returns the key of the manifest.
pub fn manifest(slice: id::Slice) -> Arc<str> {
    format!("slice/{slice}/manifest").into()
}

/// Returns the prefix of the journal entries.
pub fn journal(slice: id::Slice) -> Arc<str> {
    format!("slice/{slice}/journal/").into()
}

/// Returns the key of one journal entry.
pub fn entry(slice: id::Slice, seq: u64) -> Arc<str> {
    format!("slice/{slice}/journal/{seq:020}").into()
}

/// Returns the prefix of the segments.
pub fn segments(slice: id::Slice) -> Arc<str> {
    format!("slice/{slice}/segment/").into()
}

/// Returns the key of one part of a segment.
pub fn segment(slice: id::Slice, bucket: Bucket, seq: u64, part: u16) -> Arc<str> {
    let bucket = bucket.number();
    format!("slice/{slice}/segment/{bucket:02}-{seq:020}-{part:05}").into()
}

/// Reads the sequence number from the key of a journal entry.
pub(super) fn entry_seq(slice: id::Slice, key: &str) -> Option<u64> {
    key.strip_prefix(&*journal(slice))?.parse().ok()
}

/// Reads the sequence number from the key of a segment's part.
pub(super) fn segment_seq(slice: id::Slice, key: &str) -> Option<u64> {
    let name = key.strip_prefix(&*segments(slice))?;
    name.split('-').nth(1)?.parse().ok()
}
