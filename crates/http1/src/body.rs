//! Decoding of message bodies.

use bytes::{Bytes, BytesMut};

use crate::reader::ReadError;

/// Longest chunk-size line, chunk extensions included, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Longest trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Framing that delimits a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body has the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    Close,
}

/// Decoder that collects one body from the bytes of a connection.
#[derive(Debug)]
pub(crate) struct Decoder {
    framing: Framing,
    limit: u64,
    collected: BytesMut,
    expected: Element,
}

/// Element of a chunked body that is expected next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Element {
    /// The chunk-size line of the next chunk.
    Size,
    /// This many bytes of the chunk, then the line end.
    Data(usize),
    /// The line end after a chunk.
    DataEnd,
    /// The trailer section.
    Trailer,
}

impl Decoder {
    /// Creates a decoder for a body of at most `limit` bytes.
    pub(crate) fn new(framing: Framing, limit: u64) -> Result<Self, ReadError> {
        if let Framing::Length(length) = framing
            && length > limit
        {
            return Err(ReadError::BodyTooLarge);
        }
        Ok(Self {
            framing,
            limit,
            collected: BytesMut::new(),
            expected: Element::Size,
        })
    }

    /// Consumes the bytes of the body from `buffer`; returns the body once it
    /// is complete.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ReadError> {
        match self.framing {
            Framing::Length(length) => {
                let length = usize::try_from(length).map_err(|_| ReadError::BodyTooLarge)?;
                if self.collected.is_empty() && buffer.len() >= length {
                    return Ok(Some(buffer.split_to(length).freeze()));
                }
                let missing = length - self.collected.len();
                let part = buffer.split_to(missing.min(buffer.len()));
                self.collected.extend_from_slice(&part);
                Ok((self.collected.len() == length).then(|| self.finish()))
            }
            Framing::Chunked => self.decode_chunked(buffer),
            Framing::Close => {
                let part = buffer.split();
                self.append(&part)?;
                Ok(None)
            }
        }
    }

    /// Returns the body after the connection closed; `None` when the body is
    /// incomplete.
    pub(crate) fn close(&mut self) -> Option<Bytes> {
        (self.framing == Framing::Close).then(|| self.finish())
    }

    fn finish(&mut self) -> Bytes {
        self.collected.split().freeze()
    }

    fn append(&mut self, part: &[u8]) -> Result<(), ReadError> {
        let length = self.collected.len() + part.len();
        if u64::try_from(length).unwrap_or(u64::MAX) > self.limit {
            return Err(ReadError::BodyTooLarge);
        }
        self.collected.extend_from_slice(part);
        Ok(())
    }

    fn decode_chunked(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.expected {
                Element::Size => {
                    let Some((line_length, size)) = parse_chunk_size_line(buffer)? else {
                        return Ok(None);
                    };
                    let _ = buffer.split_to(line_length);
                    self.expected = if size == 0 {
                        Element::Trailer
                    } else {
                        Element::Data(size)
                    };
                }
                Element::Data(0) => self.expected = Element::DataEnd,
                Element::Data(missing) => {
                    if buffer.is_empty() {
                        return Ok(None);
                    }
                    let part = buffer.split_to(missing.min(buffer.len()));
                    self.append(&part)?;
                    self.expected = Element::Data(missing - part.len());
                }
                Element::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if buffer.split_to(2) != b"\r\n"[..] {
                        return Err(ReadError::Malformed("chunk"));
                    }
                    self.expected = Element::Size;
                }
                Element::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_TRAILER_BYTES {
                            return Err(ReadError::HeadTooLarge);
                        }
                        return Ok(None);
                    };
                    let _ = buffer.split_to(end + 2);
                    if end == 0 {
                        return Ok(Some(self.finish()));
                    }
                }
            }
        }
    }
}

/// Parses a chunk-size line; returns the length of the line and the size of the
/// chunk, both in bytes.
fn parse_chunk_size_line(buffer: &[u8]) -> Result<Option<(usize, usize)>, ReadError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((line_length, size))) => {
            let size = usize::try_from(size).map_err(|_| ReadError::BodyTooLarge)?;
            Ok(Some((line_length, size)))
        }
        Ok(httparse::Status::Partial) if buffer.len() > MAX_CHUNK_LINE_BYTES => {
            Err(ReadError::Malformed("chunk"))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ReadError::Malformed("chunk")),
    }
}
