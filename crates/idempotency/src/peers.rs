//! Interface to the links between entries.

use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use carobdrift_membership::{Links, QueryError};
use carobdrift_units::Instance;
use carobdrift_wire::{Answer, Query};
use thiserror::Error;

/// Reply to a query, once it arrives.
pub type Reply = Pin<Box<dyn Future<Output = Result<Answer, PeerError>> + Send>>;

/// Why a peer gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No link to the peer is open; the query was not sent.
    #[error("no link to the peer")]
    NotConnected,
    /// The link closed or the time ran out; the peer may have got the query.
    #[error("no answer from the peer")]
    NoAnswer,
}

/// Links to the other entries of the cell.
pub trait Peers: fmt::Debug + Send + Sync {
    /// Sends a query to a peer and waits at most `timeout` for its answer.
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
