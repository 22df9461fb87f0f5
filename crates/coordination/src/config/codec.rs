//! The encoding of configuration values in the store.
//!
//! The first byte of a value is its format version, so that an older process
//! rejects a newer value instead of decoding it incorrectly.

use {
    crate::store::VALUE_LIMIT_BYTES,
    filbertbend_state::config::Change,
    serde::{de::DeserializeOwned, Deserialize, Serialize},
    std::sync::Arc,
};

/// The format version that this code writes and reads.
const FORMAT: u8 = 1;

/// Why a value could not be encoded or decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The encoded value exceeds [`VALUE_LIMIT_BYTES`].
    #[error(
        "the value takes {0} bytes, more than the {VALUE_LIMIT_BYTES} bytes that the store holds"
    )]
    TooLarge(usize),
    /// The value has a format version that this code does not support.
    #[error(
        "the value has format {0}, but this version reads format {FORMAT}; upgrade filbertbend"
    )]
    Format(u8),
    /// The value cannot be encoded or decoded.
    #[error("the value is damaged")]
    Damaged,
}

/// Older audit entries that were moved out of the manifest to keep it small.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Archive {
    /// Keys of archives that are older than this one, oldest first. Not empty
    /// only if the list in the manifest was full and was moved here.
    pub older: Vec<Arc<str>>,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// Encodes a manifest, a declaration or an [`Archive`].
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the value exceeds the limit of the store.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_extend(value, vec![FORMAT]).map_err(|_| Error::Damaged)?;
    if bytes.len() > VALUE_LIMIT_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a manifest, a declaration or an [`Archive`].
///
/// # Errors
///
/// Returns [`Error::Format`] or [`Error::Damaged`] if `bytes` cannot be decoded.
pub fn decode<T: DeserializeOwned>(bytes: impl AsRef<[u8]>) -> Result<T, Error> {
    match bytes.as_ref().split_first() {
        Some((&FORMAT, body)) => match postcard::take_from_bytes(body) {
            Ok((value, [])) => Ok(value),
            _ => Err(Error::Damaged),
        },
        Some((&format, _)) => Err(Error::Format(format)),
        None => Err(Error::Damaged),
    }
}
