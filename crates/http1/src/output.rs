//! Response that is being written to a connection.

use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use http::{Method, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use crate::body::Framing;
use crate::encode::{encode_chunk, encode_response};
use crate::message::{Response, Rest};

/// Time without progress after which a response is given up. A peer that does
/// not read would otherwise hold memory indefinitely.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Response that is being written. The next part of its body is requested only
/// when the connection took the part before, so that a slow peer holds one part.
#[derive(Debug)]
pub(crate) struct Output {
    /// Encoded bytes that were not written yet.
    encoded: Bytes,
    rest: Option<Rest>,
    framing: Framing,
    /// Time at which the connection last took bytes or had none to take.
    progress: Instant,
}

impl Output {
    pub(crate) fn new(mut response: Response, method: &Method, accepts_chunks: bool) -> Self {
        let bodiless = *method == Method::HEAD
            || response.status == StatusCode::NO_CONTENT
            || response.status == StatusCode::NOT_MODIFIED;
        if bodiless {
            response.rest = None;
        }
        let framing = match response.rest.as_ref().map_or(Some(0), |rest| rest.length) {
            Some(length) => Framing::Length(length),
            None if accepts_chunks => Framing::Chunked,
            None => Framing::Close,
        };
        response.keep_alive &= framing != Framing::Close;
        Self {
            encoded: encode_response(&response, method, framing).freeze(),
            framing,
            rest: response.rest,
            progress: Instant::now(),
        }
    }

    /// Returns the time by which the connection must take further bytes; `None`
    /// while the next part of the body is awaited.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        (!self.encoded.is_empty()).then(|| self.progress + WRITE_TIMEOUT)
    }

    /// Returns the framing of the body.
    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    /// Writes a part of the response, or waits for the next one; returns whether
    /// the response is complete. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the rest of the body breaks off.
    pub(crate) async fn advance(&mut self, writer: &mut OwnedWriteHalf) -> io::Result<bool> {
        if self.encoded.is_empty() {
            self.encode_next_part().await?;
        }
        if !self.encoded.is_empty() {
            let count = writer.write(&self.encoded).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.encoded.advance(count);
            self.progress = Instant::now();
        }
        Ok(self.encoded.is_empty() && self.rest.is_none())
    }

    async fn encode_next_part(&mut self) -> io::Result<()> {
        let Some(rest) = &mut self.rest else {
            return Ok(());
        };
        match rest.parts.next().await {
            Some(part) => {
                let part = part?;
                if let Some(length) = &mut rest.length {
                    let count = u64::try_from(part.len()).unwrap_or(u64::MAX);
                    // Surplus bytes would be read as the next response.
                    *length = length
                        .checked_sub(count)
                        .ok_or(io::ErrorKind::InvalidData)?;
                }
                self.encoded = if self.framing == Framing::Chunked {
                    let mut chunk = BytesMut::with_capacity(part.len() + 16);
                    encode_chunk(&mut chunk, &part);
                    chunk.freeze()
                } else {
                    part
                };
            }
            None if rest.length.is_some_and(|missing| missing > 0) => {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            None => {
                self.rest = None;
                if self.framing == Framing::Chunked {
                    self.encoded = Bytes::from_static(b"0\r\n\r\n");
                }
            }
        }
        self.progress = Instant::now();
        Ok(())
    }
}
