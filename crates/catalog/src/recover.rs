//! Catching up from peers while the store can't be reached.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use carobdrift_membership::{Peer, QueryError};
use carobdrift_units::{Instance, Service, Version};
use carobdrift_wire::{Answer, Query, Replica};
use futures_util::{StreamExt, stream};

use crate::catalog::Shared;
use crate::standing::VALIDITY;

/// Time within which a peer must answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Peers that are asked in one round.
const PEERS: usize = 3;

/// Documents asked for at the same time.
const CONCURRENT_QUERIES: usize = 8;

/// Takes documents from peers if this entry has not recovered since its start,
/// or if a peer states a newer revision.
pub(crate) async fn recover(shared: &Shared) {
    let own = shared.state.own();
    let now = Instant::now();
    let mut sources: Vec<Peer> = shared.links.peers();
    sources.retain(|peer| {
        peer.connected
            && peer.acked_within(VALIDITY, now)
            && (!own.recovered || peer.revision > own.revision)
    });
    sources.sort_by_key(|peer| {
        let recovered = peer.status.as_ref().is_some_and(|s| s.recovered);
        Reverse((recovered, peer.revision, peer.last_ack))
    });
    for peer in sources.into_iter().take(PEERS) {
        match catch_up(shared, &peer.instance).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                log::debug!(target: "catalog", "can't catch up from {}: {error}", peer.instance);
            }
        }
    }
}

/// Takes all documents of a peer that are newer here. Returns whether the peer
/// vouched that they are the newest ones.
async fn catch_up(shared: &Shared, peer: &Instance) -> Result<bool, QueryError> {
    let answer = shared.links.query(peer, Query::Versions, TIMEOUT).await?;
    let Answer::Versions {
        revision,
        versions,
        current,
        ..
    } = answer
    else {
        return Ok(false);
    };
    let lacking: Vec<_> = versions
        .into_iter()
        .filter(|(service, version)| shared.state.version(service) < *version)
        .collect();
    let fetched: Vec<_> = stream::iter(lacking)
        .map(|(service, version)| fetch(shared, peer, service, version))
        .buffer_unordered(CONCURRENT_QUERIES)
        .collect()
        .await;
    if fetched.iter().any(|done| !done) {
        return Ok(false);
    }
    shared.state.reach(revision);
    // Only a peer that is up to date itself vouches for what was accepted. The
    // memory of others may not reach back to the last edit.
    if current {
        shared.state.set_recovered();
        log::info!(target: "catalog", "caught up to revision {revision} from {peer}");
    }
    Ok(current)
}

/// Takes the document of a service from a peer. Returns whether a version of at
/// least `version` is in force afterwards.
pub(crate) async fn fetch(
    shared: &Shared,
    peer: &Instance,
    service: Service,
    version: Version,
) -> bool {
    let query = Query::Document {
        service: service.clone(),
    };
    match shared.links.query(peer, query, TIMEOUT).await {
        Ok(Answer::Document(Some(copy))) if copy.service == service => {
            adopt(shared, copy, "peer");
        }
        Ok(_) => {}
        Err(error) => {
            log::debug!(target: "catalog", "can't fetch the document of {service}: {error}");
        }
    }
    shared.state.version(&service) >= version
}

fn adopt(shared: &Shared, copy: Replica, source: &str) {
    shared.state.adopt(vec![copy], source);
}
