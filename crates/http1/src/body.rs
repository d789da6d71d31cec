//! Decoding of message bodies.

use bytes::{Bytes, BytesMut};

use crate::lines;
use crate::reader::ReadError;
use crate::segments::Segments;

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

/// Decoder of one body from the bytes of a connection.
#[derive(Debug)]
pub(crate) struct Decoder {
    framing: Framing,
    /// Largest body, in bytes.
    limit: u64,
    /// Bytes of the body that were decoded, whether taken or not.
    decoded: u64,
    /// Decoded bytes that were not taken yet, unless they are collected in
    /// `segments`.
    collected: BytesMut,
    /// Decoded bytes of a body that is read completely before it is used.
    segments: Option<Segments>,
    expected: Element,
    /// Bytes of the trailer section so far.
    trailer: usize,
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
            decoded: 0,
            collected: BytesMut::new(),
            segments: None,
            expected: Element::Size,
            trailer: 0,
        })
    }

    /// Creates a decoder for a body that is read completely before it is used.
    pub(crate) fn complete(framing: Framing, limit: u64) -> Result<Self, ReadError> {
        let mut decoder = Self::new(framing, limit)?;
        decoder.segments = Some(Segments::default());
        Ok(decoder)
    }

    /// Returns the part that the next bytes of the connection belong to and the
    /// number of bytes that are missing, if they need not be decoded.
    pub(crate) fn undecoded(&mut self) -> Option<(&mut Segments, u64)> {
        let missing = self.remaining()?;
        Some((self.segments.as_mut()?, missing))
    }

    /// Records that bytes were read to the part that [`undecoded`](Self::undecoded)
    /// returned.
    pub(crate) fn record(&mut self, count: usize) {
        self.decoded += u64::try_from(count).unwrap_or(u64::MAX);
        if let Some(segments) = &mut self.segments {
            segments.record(count);
        }
    }

    /// Returns the body that was collected.
    pub(crate) fn segments(&self) -> Option<&Segments> {
        self.segments.as_ref()
    }

    /// Takes the body that was collected.
    pub(crate) fn take_segments(&mut self) -> Segments {
        self.segments.take().unwrap_or_default()
    }

    /// Consumes the bytes of the body from `buffer`; returns whether the body is
    /// complete.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<bool, ReadError> {
        match self.framing {
            Framing::Length(length) => {
                let missing = usize::try_from(length - self.decoded).unwrap_or(usize::MAX);
                let part = buffer.split_to(missing.min(buffer.len()));
                self.append(part)?;
                Ok(self.decoded == length)
            }
            Framing::Chunked => self.decode_chunked(buffer),
            Framing::Close => {
                self.append(buffer.split())?;
                Ok(false)
            }
        }
    }

    /// Returns whether the body is complete once the connection closed.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Close
    }

    /// Returns the number of decoded bytes that were not taken yet.
    pub(crate) fn collected(&self) -> usize {
        self.collected.len()
    }

    /// Takes the decoded bytes.
    pub(crate) fn take(&mut self) -> Bytes {
        self.collected.split().freeze()
    }

    /// Returns the number of bytes that are not decoded yet, if the framing
    /// states it.
    pub(crate) fn remaining(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(length) => Some(length - self.decoded),
            Framing::Chunked | Framing::Close => None,
        }
    }

    fn append(&mut self, part: BytesMut) -> Result<(), ReadError> {
        self.decoded += u64::try_from(part.len()).unwrap_or(u64::MAX);
        if self.decoded > self.limit {
            return Err(ReadError::BodyTooLarge);
        }
        let missing = self.remaining();
        if let Some(segments) = &mut self.segments {
            segments.extend(&part, missing);
        } else if self.collected.is_empty() {
            self.collected = part;
        } else {
            self.collected.extend_from_slice(&part);
        }
        Ok(())
    }

    fn decode_chunked(&mut self, buffer: &mut BytesMut) -> Result<bool, ReadError> {
        loop {
            match self.expected {
                Element::Size => {
                    let Some((line_length, size)) = parse_chunk_size_line(buffer)? else {
                        return Ok(false);
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
                        return Ok(false);
                    }
                    let part = buffer.split_to(missing.min(buffer.len()));
                    self.expected = Element::Data(missing - part.len());
                    self.append(part)?;
                }
                Element::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if buffer.split_to(2) != b"\r\n"[..] {
                        return Err(ReadError::Malformed("chunk"));
                    }
                    self.expected = Element::Size;
                }
                Element::Trailer => {
                    let end = buffer.windows(2).position(|pair| pair == b"\r\n");
                    let length = end.map_or(buffer.len(), |end| end + 2);
                    if self.trailer + length > MAX_TRAILER_BYTES {
                        return Err(ReadError::HeadTooLarge);
                    }
                    let Some(end) = end else {
                        return Ok(false);
                    };
                    self.trailer += length;
                    let line = buffer.split_to(length);
                    if end == 0 {
                        return Ok(true);
                    }
                    if !lines::is_field_line(&line[..end]) {
                        return Err(ReadError::Malformed("trailer"));
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
            let line = buffer.get(..line_length).unwrap_or_default();
            let line = line.strip_suffix(b"\r\n").unwrap_or_default();
            if line_length > MAX_CHUNK_LINE_BYTES || !lines::is_chunk_line(line) {
                return Err(ReadError::Malformed("chunk"));
            }
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
