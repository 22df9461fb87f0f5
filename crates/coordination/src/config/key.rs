//! The store keys of the configuration.

use {
    filbertbend_state::id,
    std::{str::FromStr, sync::Arc},
};

/// The key of the manifest. Replacing its value publishes a revision.
pub const MANIFEST: &str = "config/manifest";

/// The prefix of the immutable values that hold one declaration each.
pub const SEGMENT_PREFIX: &str = "config/segment/";

/// The prefix of the immutable values that hold older audit entries.
pub const AUDIT_PREFIX: &str = "config/audit/";

/// Returns the key of a segment that a publish of `revision` writes.
///
/// The nonce makes the key unique, so a key is never written twice with
/// different contents, and a delayed delete cannot remove the value of another
/// publish.
pub fn segment(revision: id::Revision, nonce: id::Nonce) -> Arc<str> {
    format!(
        "{SEGMENT_PREFIX}{revision:020}-{nonce:016x}",
        nonce = nonce.0
    )
    .into()
}

/// Returns the key of the audit value that a publish of `revision` writes.
pub fn audit(revision: id::Revision, nonce: id::Nonce) -> Arc<str> {
    format!("{AUDIT_PREFIX}{revision:020}-{nonce:016x}", nonce = nonce.0).into()
}

/// Returns the revision whose publish wrote the segment at `key`.
pub fn revision(key: impl AsRef<str>) -> Option<id::Revision> {
    let name = key.as_ref().strip_prefix(SEGMENT_PREFIX)?;
    let (revision, _nonce) = name.split_once('-')?;
    id::Revision::from_str(revision).ok()
}

/// Returns the `key` of a segment or audit value with its nonce replaced.
pub fn with_nonce(key: impl AsRef<str>, nonce: id::Nonce) -> Arc<str> {
    let key = key.as_ref();
    let stem = key.rsplit_once('-').map_or(key, |(stem, _)| stem);
    format!("{stem}-{:016x}", nonce.0).into()
}
