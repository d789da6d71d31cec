//! Whole messages.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use tokio::time::Instant;

/// A request that was read to its end.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query as they were sent.
    pub target: String,
    /// Header fields, without those that frame the message.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the sender keeps the connection open.
    pub keep_alive: bool,
    /// When the last byte of the head was read.
    pub received: Instant,
}

/// A response to send, or one that was read to its end.
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
    /// Time for which the sender keeps an idle connection, when stated.
    pub idle_timeout: Option<Duration>,
}

impl Request {
    /// Path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }

    /// Query without the question mark; empty when there is none.
    #[must_use]
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }
}

impl Response {
    /// A response without header fields that keeps the connection open.
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
