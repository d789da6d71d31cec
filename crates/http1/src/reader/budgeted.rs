//! Reading of requests within the budget of a server.

use std::io;

use bytes::BytesMut;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;

use super::{READ_CAPACITY_BYTES, ReadError, Reader};
use crate::segments::Segments;

/// Memory of a header field in bytes, in addition to the largest head that counts
/// while it is read.
const FIELD_BYTES: usize = 256;

/// Bytes that a connection reads before other connections get their turn.
const YIELD_BYTES: usize = 256 * 1024;

impl Reader {
    /// Reads bytes of a request within the budget. An idle connection holds no
    /// buffer.
    pub(super) async fn fill_request(&mut self) -> Result<usize, ReadError> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        loop {
            // Reading without waiting does not yield by itself.
            if self.unyielded >= YIELD_BYTES {
                self.unyielded = 0;
                tokio::task::yield_now().await;
            }
            tokio::task::coop::consume_budget().await;
            self.stream.readable().await?;
            if let Some(share) = &self.share {
                let request = self.request.as_ref();
                let missing = request.and_then(|(_, decoder)| decoder.remaining());
                share.reserve(self.held() + self.growth(), missing).await?;
            }
            let read = match &mut self.request {
                Some((_, decoder)) if self.buffer.is_empty() => match decoder.undecoded() {
                    Some((segments, missing)) => {
                        let read = self.stream.try_read_buf(&mut segments.room(missing));
                        decoder.record(*read.as_ref().unwrap_or(&0));
                        read
                    }
                    None => try_fill(&self.stream, &mut self.buffer),
                },
                _ => try_fill(&self.stream, &mut self.buffer),
            };
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.settle(0),
                Err(error) => return Err(error.into()),
                Ok(count) => {
                    self.filled_at = Instant::now();
                    self.unyielded += count;
                    self.settle(count);
                    return Ok(count);
                }
            }
        }
    }

    /// Returns the memory of the request that is being read, in bytes.
    fn held(&self) -> usize {
        let buffer = match self.buffer.len() {
            0 => 0,
            // The start of the buffer may belong to bytes that were decoded.
            _ => self.buffer.capacity().max(READ_CAPACITY_BYTES),
        };
        let request = self.request.as_ref().map_or(0, |(head, decoder)| {
            let segments = decoder.segments().map_or(0, Segments::capacity);
            segments + head.target.len() + head.headers.len() * FIELD_BYTES
        });
        buffer + request
    }

    /// Returns the largest number of bytes by which the next read increases the
    /// memory of the request.
    fn growth(&self) -> usize {
        let Some((_, decoder)) = &self.request else {
            return READ_CAPACITY_BYTES;
        };
        let missing = decoder.remaining();
        let body = decoder.segments().map_or(0, |body| body.growth(missing));
        if missing.is_some() && self.buffer.is_empty() {
            body
        } else {
            READ_CAPACITY_BYTES + body
        }
    }

    /// Counts the memory of the request towards the budget, after bytes were
    /// received.
    pub(super) fn settle(&self, received: usize) {
        if let Some(share) = &self.share {
            share.settle(self.held(), received);
        }
    }

    /// Gives up the request that is being read and its memory.
    pub(crate) fn release(&mut self) {
        self.buffer = BytesMut::new();
        self.request = None;
        self.settle(0);
    }
}

/// Reads available bytes to the end of a buffer.
fn try_fill(stream: &OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<usize> {
    buffer.reserve(READ_CAPACITY_BYTES);
    stream.try_read_buf(buffer)
}
