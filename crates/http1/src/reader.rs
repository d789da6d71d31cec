//! Reading whole messages from a connection.

use std::io;

use bytes::BytesMut;
use http::Method;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;

use crate::body::Body;
use crate::head::{self, RequestHead, ResponseHead};
use crate::message::{Request, Response};

/// Room made in the buffer before each read, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// Why no whole message could be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection ended within a message.
    #[error("the connection ended within a message")]
    Truncated,
    /// The bytes are no message.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// The head is larger than permitted.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body is larger than permitted.
    #[error("the body is too large")]
    BodyTooLarge,
}

/// Sizes that a message may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Head, in bytes.
    pub head: usize,
    /// Body, in bytes.
    pub body: u64,
}

/// Reads messages. Every read may be cancelled and resumed.
#[derive(Debug)]
pub struct Reader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
    limits: Limits,
    /// When the first byte of the message that is being read arrived.
    begun: Option<Instant>,
    request: Option<(RequestHead, Body, Instant)>,
    response: Option<(ResponseHead, Body)>,
}

impl Reader {
    /// Reads from a stream.
    #[must_use]
    pub fn new(stream: OwnedReadHalf, limits: Limits) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            limits,
            begun: None,
            request: None,
            response: None,
        }
    }

    /// Replaces the limits, from the next message on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Whether a part of a message has been read.
    #[must_use]
    pub fn is_within_message(&self) -> bool {
        !self.buffer.is_empty() || self.request.is_some() || self.response.is_some()
    }

    /// When the first byte of the message that is being read arrived.
    #[must_use]
    pub fn started_at(&self) -> Option<Instant> {
        self.begun.filter(|_| self.is_within_message())
    }

    /// Whether the head of a request was read and its body is due.
    #[must_use]
    pub fn is_within_body(&self) -> bool {
        self.request.is_some()
    }

    /// Reads the next request; `None` when the connection ended before it.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends within a request, or when the bytes are
    /// not a request within the limits.
    pub async fn request(&mut self) -> Result<Option<Request>, ReadError> {
        loop {
            if let Some(request) = self.take_request()? {
                return Ok(Some(request));
            }
            if self.fill().await? == 0 {
                let within = self.is_within_message();
                return if within {
                    Err(ReadError::Truncated)
                } else {
                    Ok(None)
                };
            }
        }
    }

    /// Reads the response to a request of the given method, past all
    /// informational ones.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the response is whole, or when
    /// the bytes are not a response within the limits.
    pub async fn response(&mut self, method: &Method) -> Result<Response, ReadError> {
        loop {
            if let Some(response) = self.take_response(method)? {
                return Ok(response);
            }
            if self.fill().await? == 0 {
                return self.end_response().ok_or(ReadError::Truncated);
            }
        }
    }

    /// Whether the connection holds bytes that belong to no exchange, or has
    /// ended. Does not wait.
    #[must_use]
    pub fn is_stale(&mut self) -> bool {
        if self.is_within_message() {
            return true;
        }
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Discards what arrives until the connection ends.
    pub async fn discard(&mut self) {
        loop {
            self.buffer.clear();
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return;
            }
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_SIZE);
        self.stream.read_buf(&mut self.buffer).await
    }

    fn take_request(&mut self) -> Result<Option<Request>, ReadError> {
        if self.begun.is_none() && !self.buffer.is_empty() {
            self.begun = Some(Instant::now());
        }
        if self.request.is_none() {
            // Some clients send an empty line after a body.
            while self.buffer.starts_with(b"\r\n") {
                let _ = self.buffer.split_to(2);
            }
            let Some((length, head)) = head::parse_request(&self.buffer)? else {
                return self.check_head();
            };
            if length > self.limits.head {
                return Err(ReadError::HeadTooLarge);
            }
            let _ = self.buffer.split_to(length);
            let body = Body::new(head.framing, self.limits.body)?;
            self.request = Some((head, body, Instant::now()));
        }
        let Some((_, body, _)) = &mut self.request else {
            return Ok(None);
        };
        let Some(body) = body.take(&mut self.buffer)? else {
            return Ok(None);
        };
        self.begun = None;
        Ok(self.request.take().map(|(head, _, received)| Request {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body,
            keep_alive: head.keep_alive,
            received,
        }))
    }

    fn take_response(&mut self, method: &Method) -> Result<Option<Response>, ReadError> {
        while self.response.is_none() {
            let Some((length, head)) = head::parse_response(&self.buffer, method)? else {
                return self.check_head();
            };
            let _ = self.buffer.split_to(length);
            if head.status.is_informational() {
                continue;
            }
            let body = Body::new(head.framing, self.limits.body)?;
            self.response = Some((head, body));
        }
        let Some((_, body)) = &mut self.response else {
            return Ok(None);
        };
        let whole = body.take(&mut self.buffer)?;
        Ok(whole.and_then(|body| self.finish_response(body)))
    }

    fn end_response(&mut self) -> Option<Response> {
        let body = self.response.as_mut()?.1.end()?;
        self.finish_response(body)
    }

    fn finish_response(&mut self, body: bytes::Bytes) -> Option<Response> {
        self.response.take().map(|(head, _)| Response {
            status: head.status,
            headers: head.headers,
            body,
            keep_alive: head.keep_alive,
            idle_timeout: head.idle_timeout,
        })
    }

    fn check_head<T>(&self) -> Result<Option<T>, ReadError> {
        if self.buffer.len() > self.limits.head {
            return Err(ReadError::HeadTooLarge);
        }
        Ok(None)
    }
}
