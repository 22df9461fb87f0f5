//! The encoding of the configuration's values in the store.
//!
//! A value starts with a byte that names its format, so that a process of an
//! older version rejects a newer value instead of misreading it.

use {
    crate::store::VALUE_LIMIT_BYTES,
    filbertbend_state::config::Change,
    serde::{de::DeserializeOwned, Deserialize, Serialize},
    std::sync::Arc,
};

/// The format that this version writes and reads.
const FORMAT: u8 = 1;

/// Why a value could not be encoded or decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The encoded value exceeds [`VALUE_LIMIT_BYTES`].
    #[error(
        "the value takes {0} bytes, more than the {VALUE_LIMIT_BYTES} bytes that the store holds"
    )]
    TooLarge(usize),
    /// The value is of a format that this version does not read.
    #[error(
        "the value has format {0}, but this version reads format {FORMAT}; upgrade filbertbend"
    )]
    Format(u8),
    /// The value is damaged.
    #[error("the value is damaged")]
    Damaged,
}

/// Older audit entries, moved out of the manifest to keep it small.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Archive {
    /// Keys of archives that are older than this one, oldest first. It is set
    /// when the manifest's own list grew too long and moved here.
    pub older: Vec<Arc<str>>,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// Encodes a manifest, a declaration or an [`Archive`].
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the store would not take the value.
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
/// Returns [`Error::Format`] or [`Error::Damaged`] if `bytes` cannot be read.
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
