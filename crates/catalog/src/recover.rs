//! Recovery of documents from peers while the store can't be reached.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use carobdrift_membership::{Peer, QueryError};
use carobdrift_units::{Instance, Service, Version};
use carobdrift_wire::{Answer, Query, Replica};
use futures_util::{StreamExt, stream};

use crate::catalog::Shared;
use crate::standing::CONFIRMATION_VALIDITY;

/// Timeout of a query to a peer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of peers queried in one recovery.
const MAX_PEERS: usize = 3;

/// Number of documents requested from a peer at the same time.
const CONCURRENT_QUERIES: usize = 8;

/// Fetches documents from peers if this entry has not recovered since its start,
/// or if a peer reports a newer revision.
pub(crate) async fn recover(shared: &Shared) {
    let local = shared.state.snapshot();
    let now = Instant::now();
    let mut sources: Vec<Peer> = shared.links.peers();
    sources.retain(|peer| {
        peer.connected
            && peer.acked_within(CONFIRMATION_VALIDITY, now)
            && (!local.recovered || peer.revision > local.revision)
    });
    sources.sort_by_key(|peer| {
        let recovered = peer.status.as_ref().is_some_and(|s| s.recovered);
        Reverse((recovered, peer.revision, peer.last_ack))
    });
    for peer in sources.into_iter().take(MAX_PEERS) {
        match catch_up(shared, &peer.instance).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                log::debug!(target: "catalog", "can't catch up from {}: {error}", peer.instance);
            }
        }
    }
}

/// Fetches all documents of which the peer has a newer version. Returns whether
/// the peer reported that its versions are the newest ones.
async fn catch_up(shared: &Shared, peer: &Instance) -> Result<bool, QueryError> {
    let answer = shared
        .links
        .query(peer, Query::Versions, QUERY_TIMEOUT)
        .await?;
    let Answer::Versions {
        revision,
        versions,
        current,
        ..
    } = answer
    else {
        return Ok(false);
    };
    let outdated: Vec<_> = versions
        .into_iter()
        .filter(|(service, version)| shared.state.version(service) < *version)
        .collect();
    let fetched: Vec<_> = stream::iter(outdated)
        .map(|(service, version)| fetch(shared, peer, service, version))
        .buffer_unordered(CONCURRENT_QUERIES)
        .collect()
        .await;
    if fetched.iter().any(|up_to_date| !up_to_date) {
        return Ok(false);
    }
    shared.state.advance_to(revision);
    // Only a peer that is itself up to date knows all accepted edits; others may
    // have lost the last ones in a restart.
    if current {
        shared.state.set_recovered();
        log::info!(target: "catalog", "caught up to revision {revision} from {peer}");
    }
    Ok(current)
}

/// Fetches the document of a service from a peer. Returns whether the newest
/// version known afterwards is at least `version`.
pub(crate) async fn fetch(
    shared: &Shared,
    peer: &Instance,
    service: Service,
    version: Version,
) -> bool {
    let query = Query::Document {
        service: service.clone(),
    };
    match shared.links.query(peer, query, QUERY_TIMEOUT).await {
        Ok(Answer::Document(Some(replica))) if replica.service == service => {
            adopt(shared, replica, "peer");
        }
        Ok(_) => {}
        Err(error) => {
            log::debug!(target: "catalog", "can't fetch the document of {service}: {error}");
        }
    }
    shared.state.version(&service) >= version
}

fn adopt(shared: &Shared, replica: Replica, source: &str) {
    shared.state.adopt(vec![replica], source);
}
