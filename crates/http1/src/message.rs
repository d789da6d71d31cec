//! Messages.

use std::fmt;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};
use tokio::time::Instant;

use crate::segments::Body;

/// Request that was read completely.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Request target: path and query as they were sent.
    pub target: String,
    /// Header fields, without those that frame the message.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
    /// Whether the sender understands the chunked transfer coding.
    pub accepts_chunks: bool,
    /// Time at which the first byte was read from the connection.
    pub received: Instant,
}

/// Response to send, or one that was read.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields, without those that frame the message.
    pub headers: HeaderMap,
    /// Body, or its first part.
    pub body: Bytes,
    /// Rest of the body of a response to send, if there is any.
    pub rest: Option<Rest>,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
    /// Time for which the sender keeps an idle connection open, if announced.
    pub idle_timeout: Option<Duration>,
}

/// Rest of a body, which is sent as it arrives.
pub struct Rest {
    /// Number of bytes, if known.
    pub length: Option<u64>,
    /// Parts of the rest. After an error the response is broken off, so that its
    /// receiver notices that it is incomplete.
    pub parts: BoxStream<'static, io::Result<Bytes>>,
}

impl fmt::Debug for Rest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Rest")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

impl Request {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }

    /// Returns the query without the question mark; empty when there is none.
    #[must_use]
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }
}

impl Response {
    /// Creates a response without header fields that keeps the connection open.
    #[must_use]
    pub fn new(status: StatusCode, body: Bytes) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body,
            rest: None,
            keep_alive: true,
            idle_timeout: None,
        }
    }
}
