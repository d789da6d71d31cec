//! The links as the claims see them.

use std::time::Duration;

use carobdrift_idempotency::{PeerError, Reply};
use carobdrift_membership::{Links, QueryError};
use carobdrift_units::Instance;
use carobdrift_wire::Query;

/// Links to the entries that decide on claims.
#[derive(Debug)]
pub(crate) struct Peers(pub(crate) Links);

impl carobdrift_idempotency::Peers for Peers {
    fn query(&self, peer: &Instance, query: Query, timeout: Duration) -> Reply {
        let links = self.0.clone();
        let peer = peer.clone();
        Box::pin(async move {
            links
                .query(&peer, query, timeout)
                .await
                .map_err(|error| match error {
                    QueryError::NotConnected(_)
                    | QueryError::QueueFull(_)
                    | QueryError::Encode(_) => PeerError::NotConnected,
                    QueryError::TimedOut(_) | QueryError::Closed(_) => PeerError::NoAnswer,
                })
        })
    }
}
