//! Client connections that carry one exchange at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use crate::message::Response;
use crate::reader::{Limits, ReadError, Reader};
use crate::segments::Outgoing;

/// Time for which sent bytes may stay unacknowledged before the kernel closes
/// the connection. A network partition causes no other error.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which the kernel sends keep-alive probes.
const TCP_KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Largest head of a response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Failure to open a connection. No byte was sent. The text becomes part of
/// response bodies of the administration API.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The peer refused the connection or is unreachable.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer did not accept the connection within the time-out.
    #[error("the connection was not accepted in time")]
    TimedOut,
}

/// Failure of an exchange that got no complete response.
#[derive(Debug, Error)]
#[error("{cause} after {sent} bytes were sent")]
pub struct ExchangeError {
    /// Bytes of the request that were handed to the kernel. At 0, the peer
    /// cannot have received any part of the request.
    pub sent: usize,
    /// Underlying failure.
    #[source]
    pub cause: ReadError,
}

/// Open connection. Dropping the connection closes it, which cancels the
/// request in progress at the peer.
#[derive(Debug)]
pub struct Connection {
    reader: Reader,
    writer: OwnedWriteHalf,
    /// End of the last exchange; before the first exchange, the time at which
    /// the connection was opened.
    last_used: Instant,
    /// Time at which the peer will close the idle connection, if announced.
    expiry: Option<Instant>,
    reusable: bool,
    /// Part of the request that was not sent yet.
    unsent: Outgoing,
    /// What the peer stated about the connection in the response that is being
    /// read: whether it stays open, and for how long while it is idle.
    persistence: (bool, Option<Duration>),
}

impl Connection {
    /// Opens a connection within `timeout`. Response bodies are limited to
    /// `max_body` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the peer is unreachable, refuses the connection, or does not
    /// accept it within `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        max_body: u64,
    ) -> Result<Self, OpenError> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| OpenError::TimedOut)??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(TCP_KEEPALIVE_IDLE))?;
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let (reader, writer) = stream.into_split();
        let limits = Limits {
            head: MAX_RESPONSE_HEAD_BYTES,
            body: max_body,
        };
        Ok(Self {
            reader: Reader::new(reader, limits),
            writer,
            last_used: Instant::now(),
            expiry: None,
            reusable: true,
            unsent: Outgoing::default(),
            persistence: (false, None),
        })
    }

    /// Limits the bytes that the kernel receives ahead of the reader. The kernel
    /// counts twice as much memory.
    ///
    /// # Errors
    ///
    /// Fails when the connection has ended.
    pub fn limit_receive_buffer(&self, bytes: usize) -> io::Result<()> {
        let stream: &TcpStream = self.writer.as_ref();
        SockRef::from(stream).set_recv_buffer_size(bytes)
    }

    /// Returns the time since the last exchange ended, or since the connection
    /// was opened.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Returns whether another exchange may begin: the last exchange ended
    /// cleanly, no byte arrived since, and the peer's announced idle time-out
    /// is more than `margin` away.
    #[must_use]
    pub fn is_reusable(&mut self, margin: Duration) -> bool {
        let expired = self
            .expiry
            .is_some_and(|expiry| Instant::now() + margin >= expiry);
        self.reusable && !expired && !self.reader.is_stale()
    }

    /// Sends an encoded request and reads the complete response. When the
    /// response arrives before the request was sent completely, the rest of the
    /// request is not sent and the connection cannot be reused. `sent` counts
    /// the bytes of the request that were handed to the kernel.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives; the error states whether the
    /// request can have reached the peer.
    pub async fn exchange(
        &mut self,
        method: &Method,
        request: &[u8],
        sent: &mut usize,
    ) -> Result<Response, ExchangeError> {
        let request = Bytes::copy_from_slice(request);
        self.start(method, request, usize::MAX, sent).await
    }

    /// Sends an encoded request like [`exchange`](Self::exchange), and reads the
    /// response until it is complete or `window` bytes of its body were read.
    /// [`next_part`](Self::next_part) reads the rest.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before that; the error states whether the
    /// request can have reached the peer.
    pub async fn start(
        &mut self,
        method: &Method,
        request: impl Into<Outgoing>,
        window: usize,
        sent: &mut usize,
    ) -> Result<Response, ExchangeError> {
        self.reusable = false;
        self.unsent = request.into();
        *sent = 0;
        let response = self.read_response(method, window, sent).await?;
        if !self.is_within_response() {
            self.finish();
        }
        Ok(response)
    }

    /// Skips the response that was started, because it belongs to an earlier
    /// exchange, and reads the next one like [`start`](Self::start). The
    /// connection cannot be reused afterwards.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before that; the error states whether the
    /// request can have reached the peer.
    pub async fn skip_response(
        &mut self,
        method: &Method,
        window: usize,
        sent: &mut usize,
    ) -> Result<Response, ExchangeError> {
        self.reusable = false;
        while let Some(part) = self.reader.response_part().await.transpose() {
            part.map_err(|cause| ExchangeError { sent: *sent, cause })?;
        }
        let response = self.read_response(method, window, sent).await?;
        self.persistence = (false, None);
        if !self.is_within_response() {
            self.finish();
        }
        Ok(response)
    }

    /// Sends what is unsent of the request and reads the next response until it
    /// is complete or `window` bytes of its body were read.
    async fn read_response(
        &mut self,
        method: &Method,
        window: usize,
        sent: &mut usize,
    ) -> Result<Response, ExchangeError> {
        let response = loop {
            let read = self.reader.response(method, window);
            tokio::select! {
                biased;
                written = self.writer.write(self.unsent.chunk()), if !self.unsent.is_empty() => {
                    *sent += self.end_write(written);
                }
                response = read => {
                    break response.map_err(|cause| ExchangeError { sent: *sent, cause })?;
                }
            }
        };
        self.persistence = (response.keep_alive, response.idle_timeout);
        Ok(response)
    }

    /// Accounts for a write and returns the number of bytes that were handed to the
    /// kernel. After a failure nothing more is sent, but the peer may have sent a
    /// response before it closed the connection.
    fn end_write(&mut self, written: io::Result<usize>) -> usize {
        let failure = match written {
            Ok(count) if count > 0 => {
                self.unsent.advance(count);
                return count;
            }
            Ok(_) => io::ErrorKind::WriteZero,
            Err(error) => error.kind(),
        };
        self.unsent.clear();
        self.reader.record_failure(failure);
        0
    }

    /// Reads the next part of the body of a response that was started; returns
    /// `None` once the body is complete. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the body is complete, or its framing
    /// is not valid.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, ReadError> {
        loop {
            let read = self.reader.response_part();
            tokio::select! {
                biased;
                written = self.writer.write(self.unsent.chunk()), if !self.unsent.is_empty() => {
                    self.end_write(written);
                }
                part = read => {
                    let part = part?;
                    if !self.is_within_response() {
                        self.finish();
                    }
                    return Ok(part);
                }
            }
        }
    }

    /// Returns whether a response was started and its body is incomplete.
    #[must_use]
    pub fn is_within_response(&self) -> bool {
        self.reader.is_within_response()
    }

    /// Returns the number of bytes that are missing of the body of the response,
    /// if it states its length.
    #[must_use]
    pub fn remaining(&self) -> Option<u64> {
        self.reader.response_remaining()
    }

    /// Ends an exchange whose response is complete. The connection cannot be
    /// reused if a part of the request was not sent, or a write failed.
    fn finish(&mut self) {
        let (keep_alive, idle_timeout) = self.persistence;
        self.last_used = Instant::now();
        self.expiry = idle_timeout.map(|timeout| self.last_used + timeout);
        self.reusable = keep_alive && self.unsent.is_empty() && !self.reader.has_failed();
    }
}
