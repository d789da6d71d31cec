//! Errors of the links.

use std::net::SocketAddr;

use carobdrift_units::Instance;
use carobdrift_wire::{DecodeError, EncodeError, Refusal};
use thiserror::Error;
use tokio_tungstenite::tungstenite;

/// Error of the start of the links.
#[derive(Debug, Error)]
pub enum Error {
    /// The peer listener could not be opened.
    #[error("peer listener can't listen on {address}: {cause}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        cause: std::io::Error,
    },
    /// The peer secret contains characters that are not allowed in a header value.
    #[error("the peer secret holds characters other than visible ASCII")]
    Secret,
}

/// Error of a query that was not answered.
#[derive(Debug, Error)]
pub enum QueryError {
    /// No link to the peer is open; the query was not sent.
    #[error("no link to {0} is open")]
    NotConnected(Instance),
    /// The queue of the link is full; the query was not sent and the link is
    /// closed.
    #[error("the queue of the link to {0} is full")]
    QueueFull(Instance),
    /// The query can't be encoded; it was not sent.
    #[error("the query can't be sent: {0}")]
    Encode(#[from] EncodeError),
    /// No answer arrived within the timeout; the peer may have processed the query.
    #[error("{0} did not answer in time")]
    TimedOut(Instance),
    /// The link closed before the answer arrived; the peer may have processed the
    /// query.
    #[error("the link to {0} closed before the answer")]
    Closed(Instance),
}

/// Error that ended a connection to or from a peer.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    #[error("can't connect: {0}")]
    Connect(#[source] std::io::Error),
    #[error("handshake timed out")]
    HandshakeTimeout,
    #[error("WebSocket: {0}")]
    Socket(#[from] tungstenite::Error),
    #[error("connection closed")]
    Closed,
    #[error("malformed frame: {0}")]
    Decode(#[from] DecodeError),
    #[error("frame can't be encoded: {0}")]
    Encode(#[from] EncodeError),
    #[error("unexpected frame")]
    Unexpected,
    #[error("refused: {0}")]
    Refused(Refusal),
    #[error("instance {found} answered instead of {expected}")]
    OtherInstance { expected: Instance, found: Instance },
    #[error("no pong for {0} ms")]
    Silent(u128),
    #[error("outbound queue is full")]
    QueueFull,
    #[error("address or incarnation of the peer changed")]
    Replaced,
}

impl LinkError {
    /// Returns the label of the error in metrics.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::Connect(_) => "connect",
            Self::HandshakeTimeout => "handshake-timeout",
            Self::Socket(_) => "socket",
            Self::Closed => "closed",
            Self::Decode(_) | Self::Encode(_) => "codec",
            Self::Unexpected => "unexpected",
            Self::Refused(_) => "refused",
            Self::OtherInstance { .. } => "other-instance",
            Self::Silent(_) => "silent",
            Self::QueueFull => "queue-full",
            Self::Replaced => "replaced",
        }
    }
}
