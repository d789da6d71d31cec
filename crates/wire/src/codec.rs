//! CBOR encoding of frames.

use thiserror::Error;

use crate::frame::Frame;

/// Largest size of an encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Error of an encoding.
#[derive(Debug, Error)]
pub enum EncodeError {
    /// The encoded frame exceeds [`MAX_FRAME_BYTES`]; the value is its size in bytes.
    #[error("frame has {0} bytes, more than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The serializer failed.
    #[error("frame can't be encoded: {0}")]
    Codec(#[from] ciborium::ser::Error<std::io::Error>),
}

/// Error of a decoding.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The message exceeds [`MAX_FRAME_BYTES`]; the value is its size in bytes.
    #[error("message has {0} bytes, more than {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The message does not start with a valid frame.
    #[error("message is not a frame: {0}")]
    Codec(#[from] ciborium::de::Error<std::io::Error>),
    /// The message contains further bytes after the frame; the value is their number.
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

/// Encodes a frame.
///
/// # Errors
///
/// Fails if the frame can't be serialized or its encoding is too large.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(EncodeError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message that consists of exactly one frame.
///
/// # Errors
///
/// Fails if the message is too large, is not a valid frame, or contains further
/// bytes after the frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLarge(bytes.len()));
    }
    let mut remaining = bytes;
    let frame = ciborium::from_reader(&mut remaining)?;
    if remaining.is_empty() {
        Ok(frame)
    } else {
        Err(DecodeError::Trailing(remaining.len()))
    }
}
