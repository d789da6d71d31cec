//! Interface to the connections between entries.

use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use carobdrift_membership::{Links, QueryError};
use carobdrift_units::Instance;
use carobdrift_wire::{Answer, Query};
use thiserror::Error;

/// Future of the answer to a query.
pub type Reply = Pin<Box<dyn Future<Output = Result<Answer, PeerError>> + Send>>;

/// Error of a query to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No link to the peer is open, or the query could not be queued or encoded;
    /// the query was not sent.
    #[error("no link to the peer")]
    NotConnected,
    /// The link closed or the timeout expired; the peer may have received the
    /// query.
    #[error("no answer from the peer")]
    NoAnswer,
}

/// Links to the other entries of a cell.
pub trait Peers: fmt::Debug + Send + Sync {
    /// Sends a query to a peer and waits at most `timeout` for the answer.
    fn query(&self, peer: &Instance, query: Query, timeout: Duration) -> Reply;
}

impl Peers for Links {
    fn query(&self, peer: &Instance, query: Query, timeout: Duration) -> Reply {
        let links = self.clone();
        let peer = peer.clone();
        Box::pin(async move {
            let answer = Self::query(&links, &peer, query, timeout).await;
            answer.map_err(|error| match error {
                QueryError::NotConnected(_) | QueryError::QueueFull(_) | QueryError::Encode(_) => {
                    PeerError::NotConnected
                }
                QueryError::TimedOut(_) | QueryError::Closed(_) => PeerError::NoAnswer,
            })
        })
    }
}
