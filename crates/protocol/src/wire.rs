//! Framing and encoding of messages.

use {
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde::{de::DeserializeOwned, Serialize},
};

/// The version that this build speaks; a peer with another one is refused.
pub const VERSION: u8 = 1;
/// Largest body of a control frame, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 4 << 20;
/// Largest body chunk of a request or answer, in bytes.
pub const CHUNK_LIMIT_BYTES: usize = 64 << 10;
/// Length of a frame's header, in bytes: a 32-bit length and the version.
pub const HEADER_BYTES: usize = 5;

/// A frame that could not be written or read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer speaks another version.
    #[error("frame has protocol version {0}; this process speaks {VERSION}")]
    Version(u8),
    /// The frame is larger than the limit.
    #[error("frame of {0} bytes is over the limit of {FRAME_LIMIT_BYTES}")]
    TooLarge(usize),
    /// The body is not the expected message.
    #[error("frame cannot be decoded: {0}")]
    Body(#[from] postcard::Error),
    /// The body holds more than one message.
    #[error("frame has {0} bytes after its message")]
    Trailing(usize),
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// Length of the body, in bytes.
    pub length: usize,
}

impl Header {
    /// Reads a header.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Version`] or [`Error::TooLarge`], after which the
    /// stream cannot be read further.
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

/// Encodes `message` as a whole frame.
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
