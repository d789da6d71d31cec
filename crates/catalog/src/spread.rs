//! Hand-over of accepted documents to peers.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_units::Revision;
use carobdrift_wire::{Answer, Query, Replica};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::catalog::Shared;
use crate::standing::Count;

/// Longest time for which an operator waits for a majority.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Hands a document to every peer. Returns the number of entries, itself
/// included, that have it in force once they are a majority of the cell, or
/// after [`TIMEOUT`], and the number of entries of the cell. The hand-over goes
/// on for the rest.
pub(crate) async fn spread(
    shared: &Arc<Shared>,
    copy: &Replica,
    revision: Revision,
) -> (usize, usize) {
    let deadline = Instant::now() + TIMEOUT;
    let (done, mut results) = mpsc::unbounded_channel();
    let peers = shared.links.peers();
    let all = Count::all(&peers, shared.links.cell_size());
    for peer in peers {
        if !peer.connected {
            continue;
        }
        let links = shared.links.clone();
        let done = done.clone();
        let query = Query::Adopt {
            copy: copy.clone(),
            revision,
        };
        tokio::spawn(async move {
            let answer = links.query(&peer.instance, query, TIMEOUT).await;
            match answer {
                Ok(Answer::Done) => {
                    // Fails when the operator has its answer already.
                    let _ = done.send(peer.member);
                }
                Ok(_) => {
                    log::warn!(target: "catalog", "{} can't bring its copy into force", peer.instance);
                }
                Err(error) => {
                    log::debug!(target: "catalog", "document not handed over: {error}");
                }
            }
        });
    }
    drop(done);
    let mut in_force = Count::SELF;
    while !in_force.is_majority_of(all) {
        match timeout_at(deadline, results.recv()).await {
            Ok(Some(member)) => in_force.add(member),
            Ok(None) | Err(_) => break,
        }
    }
    (in_force.known, all.known)
}
