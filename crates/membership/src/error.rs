//! Failures of the links.

use std::net::SocketAddr;

use carobdrift_units::Instance;
use carobdrift_wire::{DecodeError, EncodeError, Refusal};
use thiserror::Error;
use tokio_tungstenite::tungstenite;

/// Why the links could not be started.
#[derive(Debug, Error)]
pub enum Error {
    /// The peer listener could not be opened.
    #[error("peer listener can't listen on {address}: {cause}")]
    Listen {
        /// Address that was asked for.
        address: SocketAddr,
        /// What the operating system reported.
        #[source]
        cause: std::io::Error,
    },
    /// The peer secret holds characters that a header field can't carry.
    #[error("the peer secret holds characters other than visible ASCII")]
    Secret,
}

/// Why a query was not answered.
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
    /// No answer within the timeout; the peer may have acted on the query.
    #[error("{0} did not answer in time")]
    TimedOut(Instance),
    /// The link closed before the answer; the peer may have acted on the query.
    #[error("the link to {0} closed before the answer")]
    Closed(Instance),
}

/// Why a connection to or from a peer ended.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    #[error("can't connect: {0}")]
    Connect(#[source] std::io::Error),
    #[error("no handshake within the timeout")]
    HandshakeTimeout,
    #[error("WebSocket: {0}")]
    Socket(#[from] tungstenite::Error),
    #[error("closed by the other side")]
    Closed,
    #[error("malformed frame: {0}")]
    Decode(#[from] DecodeError),
    #[error("frame can't be encoded: {0}")]
    Encode(#[from] EncodeError),
    #[error("unexpected frame")]
    Unexpected,
    #[error("refused: {0}")]
    Refused(Refusal),
    #[error("{found} answered in place of {expected}")]
    OtherInstance { expected: Instance, found: Instance },
    #[error("no pong for {0} ms")]
    Silent(u128),
    #[error("queue is full")]
    QueueFull,
    #[error("replaced after a change of address or incarnation")]
    Replaced,
}

impl LinkError {
    /// Label of the failure in metrics.
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
