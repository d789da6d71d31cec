//! Reading of messages from a connection.

mod budgeted;

use std::io;
use std::mem::MaybeUninit;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http::Method;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;

use crate::body::Decoder;
use crate::budget::Share;
use crate::head::{self, RequestHead};
use crate::message::{Request, Response};
use crate::response::ResponseDecoder;

/// Free capacity of the buffer before each read, in bytes.
const READ_CAPACITY_BYTES: usize = 8 * 1024;

/// Failure to read a complete message. The text becomes part of response bodies
/// of the administration API.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection closed within a message.
    #[error("the connection ended within a message")]
    Truncated,
    /// The bytes are not a valid message; names the malformed part.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// The head exceeds the size limit.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body exceeds the size limit.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The request was refused because the memory of the server is in use.
    #[error("the memory of the server is in use")]
    Overloaded,
}

/// Size limits of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: u64,
}

/// Reader of messages. Every read is cancel-safe: a cancelled read can be
/// resumed.
#[derive(Debug)]
pub struct Reader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
    limits: Limits,
    /// Time at which the reader began to decode the message that is being read.
    started_at: Option<Instant>,
    /// Time at which the last bytes were read from the connection.
    filled_at: Instant,
    /// Time at which the first byte of the request that is being read was read from
    /// the connection. Earlier than `started_at` if the request waited in the buffer.
    arrived_at: Option<Instant>,
    /// Head of the request that is being read, and its body.
    request: Option<(RequestHead, Decoder)>,
    responses: ResponseDecoder,
    /// First failure of the connection, in either direction.
    failure: Option<io::ErrorKind>,
    /// Share in the budget of the server, by which requests are read.
    share: Option<Arc<Share>>,
    /// Bytes of requests that were read since other tasks got their turn.
    unyielded: usize,
}

impl Reader {
    /// Creates a reader for a stream.
    #[must_use]
    pub fn new(stream: OwnedReadHalf, limits: Limits) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            limits,
            started_at: None,
            filled_at: Instant::now(),
            arrived_at: None,
            request: None,
            responses: ResponseDecoder::new(limits),
            failure: None,
            share: None,
            unyielded: 0,
        }
    }

    /// Counts requests towards a budget.
    pub(crate) fn set_share(&mut self, share: Option<Arc<Share>>) {
        self.share = share;
    }

    /// Replaces the limits. The new limits apply to messages whose head has not
    /// been read yet.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.responses.set_limits(limits);
    }

    /// Returns whether a part of a message has been read.
    #[must_use]
    pub fn is_within_message(&self) -> bool {
        !self.buffer.is_empty() || self.request.is_some() || self.is_within_response()
    }

    /// Returns the arrival time of the first byte of the message that is being
    /// read.
    #[must_use]
    pub fn started_at(&self) -> Option<Instant> {
        self.started_at.filter(|_| self.is_within_message())
    }

    /// Returns whether the head of a request was read and its body is
    /// incomplete.
    #[must_use]
    pub fn is_within_body(&self) -> bool {
        self.request.is_some()
    }

    /// Reads the next request; returns `None` when the connection closed
    /// between requests.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes within a request, and when the bytes
    /// are not a valid request within the limits.
    pub async fn request(&mut self) -> Result<Option<Request>, ReadError> {
        loop {
            if let Some(request) = self.decode_request()? {
                return Ok(Some(request));
            }
            if self.fill_request().await? == 0 {
                let truncated = self.is_within_message();
                return if truncated {
                    Err(ReadError::Truncated)
                } else {
                    Ok(None)
                };
            }
        }
    }

    /// Reads the final response to a request with the given method;
    /// informational responses are skipped. Returns as soon as the body is
    /// complete or `window` bytes of it were read.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes before that, and when the bytes are not
    /// a valid response within the limits.
    pub(crate) async fn response(
        &mut self,
        method: &Method,
        window: usize,
    ) -> Result<Response, ReadError> {
        loop {
            let complete = self.responses.decode(&mut self.buffer, method)?;
            if let Some(response) = self.responses.take(complete, window) {
                return Ok(response);
            }
            if self.fill().await? == 0 {
                self.check_end()?;
                return self.responses.take(true, 0).ok_or(ReadError::Truncated);
            }
        }
    }

    /// Reads the next part of the body of a response whose first part was read;
    /// returns `None` once the body is complete.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes before the body is complete, and when the
    /// bytes are not a valid body.
    pub(crate) async fn response_part(&mut self) -> Result<Option<Bytes>, ReadError> {
        loop {
            let (part, complete) = self.responses.decode_part(&mut self.buffer)?;
            if complete || !part.is_empty() {
                return Ok((!part.is_empty()).then_some(part));
            }
            if self.fill().await? == 0 {
                self.check_end()?;
                self.responses.end();
                return Ok(None);
            }
        }
    }

    /// Records that a write to the connection failed. The connection is broken then,
    /// although what arrived before can still be read.
    pub(crate) fn record_failure(&mut self, failure: io::ErrorKind) {
        self.failure.get_or_insert(failure);
    }

    /// Returns whether the connection failed, in either direction.
    pub(crate) fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Decides on the response at the end of the stream.
    fn check_end(&mut self) -> Result<(), ReadError> {
        // A reset after an orderly close is an error of the socket that no read reports.
        let stream: &TcpStream = self.stream.as_ref();
        if let Ok(Some(error)) = SockRef::from(stream).take_error() {
            self.record_failure(error.kind());
        }
        self.responses.check_end(self.failure)
    }

    /// Returns whether the first part of a response was read, but not the rest.
    pub(crate) fn is_within_response(&self) -> bool {
        self.responses.is_within_response()
    }

    /// Returns the number of bytes of the response's body that are missing, if it
    /// states its length.
    pub(crate) fn response_remaining(&self) -> Option<u64> {
        self.responses.remaining()
    }

    /// Returns whether the idle connection is unusable: it received bytes that
    /// belong to no exchange, or it closed or failed. Does not block.
    #[must_use]
    pub fn is_stale(&mut self) -> bool {
        if self.is_within_message() {
            return true;
        }
        // The runtime learns of received bytes only when it next polls for
        // events, so the socket itself is asked.
        let stream: &TcpStream = self.stream.as_ref();
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Returns whether the peer closed or reset the connection, also if unread bytes
    /// precede the end. Does not block.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        let stream: &TcpStream = self.stream.as_ref();
        let ready = stream.ready(Interest::READABLE).now_or_never();
        if matches!(ready, Some(Ok(ready)) if ready.is_read_closed()) {
            return true;
        }
        // The runtime may not know of the end yet. The socket states it if no unread
        // bytes precede it.
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(count) => count == 0,
        }
    }

    /// Discards received bytes until the connection closes.
    pub async fn discard(&mut self) {
        loop {
            self.buffer.clear();
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return;
            }
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_CAPACITY_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await;
        match &read {
            Ok(_) => self.filled_at = Instant::now(),
            Err(error) => self.record_failure(error.kind()),
        }
        read
    }

    fn decode_request(&mut self) -> Result<Option<Request>, ReadError> {
        if self.started_at.is_none() && !self.buffer.is_empty() {
            self.started_at = Some(Instant::now());
        }
        if self.request.is_none() {
            // Some clients send an empty line after a body, outside the
            // framing.
            while self.buffer.starts_with(b"\r\n") {
                let _ = self.buffer.split_to(2);
                self.arrived_at = None;
            }
            if !self.buffer.is_empty() {
                self.arrived_at.get_or_insert(self.filled_at);
            }
            let Some((length, head)) = head::parse_request(&self.buffer)? else {
                return self.check_head_size();
            };
            if length > self.limits.head {
                return Err(ReadError::HeadTooLarge);
            }
            let _ = self.buffer.split_to(length);
            let decoder = Decoder::complete(head.framing, self.limits.body)?;
            self.request = Some((head, decoder));
        }
        let Some((_, decoder)) = &mut self.request else {
            return Ok(None);
        };
        if !decoder.decode(&mut self.buffer)? {
            return Ok(None);
        }
        self.started_at = None;
        self.settle(0);
        let hold = self.share.as_ref().map(|share| share.complete());
        let received = self.arrived_at.take().unwrap_or(self.filled_at);
        let request = self.request.take();
        Ok(request.map(|(head, mut decoder)| Request {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: decoder.take_segments().into_body(hold),
            keep_alive: head.keep_alive,
            accepts_chunks: head.http11,
            received,
        }))
    }

    fn check_head_size<T>(&self) -> Result<Option<T>, ReadError> {
        if self.buffer.len() > self.limits.head {
            return Err(ReadError::HeadTooLarge);
        }
        Ok(None)
    }
}
