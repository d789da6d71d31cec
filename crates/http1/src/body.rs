//! Bodies of messages.

use bytes::{Bytes, BytesMut};

use crate::reader::ReadError;

/// Longest line that states the size of a chunk, extensions included, in bytes.
const MAX_CHUNK_LINE: usize = 1024;

/// Longest trailer section, in bytes.
const MAX_TRAILER: usize = 16 * 1024;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
    /// It ends with its connection.
    Close,
}

/// Collects a body from the bytes of a connection.
#[derive(Debug)]
pub(crate) struct Body {
    framing: Framing,
    limit: u64,
    collected: BytesMut,
    chunk: Chunk,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    /// The line with the size of the next chunk.
    Size,
    /// This many bytes of the chunk, and the line end after them.
    Bytes(usize),
    /// The line end after a chunk.
    End,
    /// The trailer section.
    Trailer,
}

impl Body {
    /// A body of at most `limit` bytes.
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
            chunk: Chunk::Size,
        })
    }

    /// Takes what belongs to the body; returns it once it is whole.
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ReadError> {
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
            Framing::Chunked => self.take_chunks(buffer),
            Framing::Close => {
                let part = buffer.split();
                self.append(&part)?;
                Ok(None)
            }
        }
    }

    /// The body when its connection ended; `None` when it is not whole.
    pub(crate) fn end(&mut self) -> Option<Bytes> {
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

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.chunk {
                Chunk::Size => {
                    let Some((line, size)) = parse_size(buffer)? else {
                        return Ok(None);
                    };
                    let _ = buffer.split_to(line);
                    self.chunk = if size == 0 {
                        Chunk::Trailer
                    } else {
                        Chunk::Bytes(size)
                    };
                }
                Chunk::Bytes(0) => self.chunk = Chunk::End,
                Chunk::Bytes(missing) => {
                    if buffer.is_empty() {
                        return Ok(None);
                    }
                    let part = buffer.split_to(missing.min(buffer.len()));
                    self.append(&part)?;
                    self.chunk = Chunk::Bytes(missing - part.len());
                }
                Chunk::End => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if buffer.split_to(2) != b"\r\n"[..] {
                        return Err(ReadError::Malformed("chunk"));
                    }
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        if buffer.len() > MAX_TRAILER {
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

/// Parses the line with the size of a chunk: bytes of the line, and the size.
fn parse_size(buffer: &[u8]) -> Result<Option<(usize, usize)>, ReadError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((line, size))) => {
            let size = usize::try_from(size).map_err(|_| ReadError::BodyTooLarge)?;
            Ok(Some((line, size)))
        }
        Ok(httparse::Status::Partial) if buffer.len() > MAX_CHUNK_LINE => {
            Err(ReadError::Malformed("chunk"))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ReadError::Malformed("chunk")),
    }
}
