//! Framing and encoding of messages.

use {
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde::{de::DeserializeOwned, Serialize},
};

/// The protocol version of this build; frames of other versions are rejected.
pub const VERSION: u8 = 1;
/// Maximum length of a frame's body, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 4 << 20;
/// Maximum chunk of a request or answer body in one frame, in bytes.
pub const CHUNK_LIMIT_BYTES: usize = 64 << 10;
/// Length of a frame's header, in bytes: a 32-bit length and the version.
pub const HEADER_BYTES: usize = 5;

/// A frame that could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer uses another protocol version.
    #[error("frame has protocol version {0}; this process supports only {VERSION}")]
    Version(u8),
    /// The body is longer than [`FRAME_LIMIT_BYTES`].
    #[error("frame of {0} bytes exceeds the limit of {FRAME_LIMIT_BYTES} bytes")]
    TooLarge(usize),
    /// The body does not decode as the expected message.
    #[error("frame cannot be decoded: {0}")]
    Body(#[from] postcard::Error),
    /// The body has bytes left over after its message.
    #[error("frame has {0} trailing bytes after its message")]
    Trailing(usize),
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// Length of the body, in bytes.
    pub length: usize,
}

impl Header {
    /// Decodes a header.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Version`] or [`Error::TooLarge`]. The start of the next
    /// frame is then unknown, so nothing more can be read from the stream.
    pub fn decode(bytes: [u8; HEADER_BYTES]) -> Result<Self, Error> {
        let mut reader = &bytes[..];
        let length = reader.get_u32() as usize;
        let version = reader.get_u8();
        if version != VERSION {
            return Err(Error::Version(version));
        }
        if length > FRAME_LIMIT_BYTES {
            return Err(Error::TooLarge(length));
        }
        Ok(Self { length })
    }
}

/// Encodes `message` as a complete frame.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the body is over [`FRAME_LIMIT_BYTES`].
pub fn encode(message: &impl Serialize) -> Result<Bytes, Error> {
    let body = postcard::to_stdvec(message)?;
    if body.len() > FRAME_LIMIT_BYTES {
        return Err(Error::TooLarge(body.len()));
    }
    let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
    frame.put_u32(body.len() as u32);
    frame.put_u8(VERSION);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// Returns [`Error::Body`] or [`Error::Trailing`] if the body is not exactly
/// one message.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    let (message, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Error::Trailing(rest.len()))
    }
}
