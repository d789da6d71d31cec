//! Hand-over of accepted documents to peers.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_units::Revision;
use carobdrift_wire::{Answer, Copy, Query};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::catalog::Shared;
use crate::standing::majority;

/// Longest time for which an operator waits for a majority.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Hands a document to every peer. Returns the number of entries, itself
/// included, that have it in force once they are a majority of the cell, or
/// after [`TIMEOUT`]. The hand-over goes on for the rest.
pub(crate) async fn spread(shared: &Arc<Shared>, copy: &Copy, revision: Revision) -> usize {
    let deadline = Instant::now() + TIMEOUT;
    let (done, mut results) = mpsc::unbounded_channel();
    for peer in shared.links.peers() {
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
    let needed = majority(shared.links.cell_size());
    let mut members = 1;
    let mut in_force = 1;
    while members < needed {
        match timeout_at(deadline, results.recv()).await {
            Ok(Some(member)) => {
                in_force += 1;
                members += usize::from(member);
            }
            Ok(None) | Err(_) => break,
        }
    }
    in_force
}
