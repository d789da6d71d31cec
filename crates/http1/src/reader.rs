//! Reading of messages from a connection.

mod budgeted;

use std::io;
use std::mem::MaybeUninit;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::Method;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;

use crate::body::Decoder;
use crate::budget::Share;
use crate::head::{self, RequestHead, ResponseHead};
use crate::message::{Request, Response};

/// Largest number of informational responses before a final one.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

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
    /// Arrival time of the first byte of the message that is being read.
    started_at: Option<Instant>,
    /// Head of the request that is being read, its body, and the time at which
    /// the head was completely read.
    request: Option<(RequestHead, Decoder, Instant)>,
    response: Option<Incoming>,
    /// Informational responses since the last final one.
    informational: usize,
    /// Share in the budget of the server, by which requests are read.
    share: Option<Arc<Share>>,
    /// Bytes of requests that were read since other tasks got their turn.
    unyielded: usize,
}

/// Response that is being read.
#[derive(Debug)]
struct Incoming {
    /// Head, until it is returned with the first part of the body.
    head: Option<ResponseHead>,
    body: Decoder,
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
            request: None,
            response: None,
            informational: 0,
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
    }

    /// Returns whether a part of a message has been read.
    #[must_use]
    pub fn is_within_message(&self) -> bool {
        !self.buffer.is_empty() || self.request.is_some() || self.response.is_some()
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
            let complete = self.decode_response(method)?;
            if let Some(response) = self.take_response(complete, window) {
                return Ok(response);
            }
            if self.fill().await? == 0 {
                return self.close_response().ok_or(ReadError::Truncated);
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
            let Some(incoming) = &mut self.response else {
                return Ok(None);
            };
            let complete = incoming.body.decode(&mut self.buffer)?;
            let part = incoming.body.take();
            if complete {
                self.response = None;
            }
            if complete || !part.is_empty() {
                return Ok((!part.is_empty()).then_some(part));
            }
            if self.fill().await? == 0 {
                return match self.response.take() {
                    Some(incoming) if incoming.body.ends_with_connection() => Ok(None),
                    _ => Err(ReadError::Truncated),
                };
            }
        }
    }

    /// Returns whether the first part of a response was read, but not the rest.
    pub(crate) fn is_within_response(&self) -> bool {
        self.response.is_some()
    }

    /// Returns the number of bytes of the response's body that are missing, if it
    /// states its length.
    pub(crate) fn response_remaining(&self) -> Option<u64> {
        self.response.as_ref()?.body.remaining()
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
        self.stream.read_buf(&mut self.buffer).await
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
            }
            let Some((length, head)) = head::parse_request(&self.buffer)? else {
                return self.check_head_size();
            };
            if length > self.limits.head {
                return Err(ReadError::HeadTooLarge);
            }
            let _ = self.buffer.split_to(length);
            let decoder = Decoder::complete(head.framing, self.limits.body)?;
            self.request = Some((head, decoder, Instant::now()));
        }
        let Some((_, decoder, _)) = &mut self.request else {
            return Ok(None);
        };
        if !decoder.decode(&mut self.buffer)? {
            return Ok(None);
        }
        self.started_at = None;
        self.settle(0);
        let hold = self.share.as_ref().map(|share| share.complete());
        let request = self.request.take();
        Ok(request.map(|(head, mut decoder, received)| Request {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: decoder.take_segments().into_body(hold),
            keep_alive: head.keep_alive,
            accepts_chunks: head.http11,
            received,
        }))
    }

    /// Decodes the response as far as it was received; returns whether it is
    /// complete.
    fn decode_response(&mut self, method: &Method) -> Result<bool, ReadError> {
        while self.response.is_none() {
            let Some((length, head)) = head::parse_response(&self.buffer, method)? else {
                self.check_head_size::<()>()?;
                return Ok(false);
            };
            let _ = self.buffer.split_to(length);
            if head.status.is_informational() {
                self.informational += 1;
                if self.informational > MAX_INFORMATIONAL_RESPONSES {
                    return Err(ReadError::Malformed("sequence of informational responses"));
                }
                continue;
            }
            self.informational = 0;
            let body = Decoder::new(head.framing, self.limits.body)?;
            let head = Some(head);
            self.response = Some(Incoming { head, body });
        }
        match &mut self.response {
            Some(incoming) => incoming.body.decode(&mut self.buffer),
            None => Ok(false),
        }
    }

    /// Takes the head of the response and what is there of its body, if the
    /// response is complete or `window` bytes of the body were read.
    fn take_response(&mut self, complete: bool, window: usize) -> Option<Response> {
        let incoming = self.response.as_mut()?;
        if !complete && incoming.body.collected() < window {
            return None;
        }
        let head = incoming.head.take()?;
        let body = incoming.body.take();
        if complete {
            self.response = None;
        }
        Some(Response {
            status: head.status,
            headers: head.headers,
            body,
            rest: None,
            keep_alive: head.keep_alive,
            idle_timeout: head.idle_timeout,
        })
    }

    /// Takes a response whose body ends with the connection.
    fn close_response(&mut self) -> Option<Response> {
        let ends = self.response.as_ref()?.body.ends_with_connection();
        ends.then(|| self.take_response(true, 0))?
    }

    fn check_head_size<T>(&self) -> Result<Option<T>, ReadError> {
        if self.buffer.len() > self.limits.head {
            return Err(ReadError::HeadTooLarge);
        }
        Ok(None)
    }
}
