//! CBOR encoding of frames.

use thiserror::Error;

use crate::frame::Frame;

/// Largest encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame could not be encoded.
#[derive(Debug, Error)]
pub enum EncodeError {
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[error("frame has {0} bytes, more than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The serializer failed.
    #[error("frame can't be encoded: {0}")]
    Codec(#[from] ciborium::ser::Error<std::io::Error>),
}

/// Why bytes could not be decoded as a frame.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The message exceeds [`MAX_FRAME_BYTES`].
    #[error("message has {0} bytes, more than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The bytes are not a frame.
    #[error("message is not a frame: {0}")]
    Codec(#[from] ciborium::de::Error<std::io::Error>),
    /// Bytes follow the frame.
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

/// Encodes a frame.
///
/// # Errors
///
/// Fails when the frame is too large.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(EncodeError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a frame that fills the whole message.
///
/// # Errors
///
/// Fails when the message is too large, is not a frame, or holds more than one.
pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let frame = ciborium::from_reader(&mut rest)?;
    if rest.is_empty() {
        Ok(frame)
    } else {
        Err(DecodeError::Trailing(rest.len()))
    }
}
