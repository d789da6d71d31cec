//! Complete messages, with their bodies in memory.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use tokio::time::Instant;

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
    pub body: Bytes,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
    /// Time at which the head was completely read.
    pub received: Instant,
}

/// Response to send, or a response that was read completely.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields, without those that frame the message.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
    /// Time for which the sender keeps an idle connection open, if announced.
    pub idle_timeout: Option<Duration>,
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
            keep_alive: true,
            idle_timeout: None,
        }
    }
}
