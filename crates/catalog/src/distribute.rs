//! Distribution of accepted documents to peers.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_units::Revision;
use carobdrift_wire::{Answer, Query, Replica};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::catalog::Shared;
use crate::standing::Count;

/// Longest time for which an edit waits until a majority has the document in
/// force.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a document to every connected peer and waits until a majority of the
/// cell has it in force, or until [`TIMEOUT`]. Returns the number of entries that
/// have it in force at that time, including this entry, and the number of entries
/// of the cell. The queries to the other peers continue in the background.
pub(crate) async fn distribute(
    shared: &Arc<Shared>,
    replica: &Replica,
    revision: Revision,
) -> (usize, usize) {
    let deadline = Instant::now() + TIMEOUT;
    let (confirmed, mut confirmations) = mpsc::unbounded_channel();
    let peers = shared.links.peers();
    let all = Count::all(&peers, shared.links.cell_size());
    for peer in peers {
        if !peer.connected {
            continue;
        }
        let links = shared.links.clone();
        let confirmed = confirmed.clone();
        let query = Query::Adopt {
            copy: replica.clone(),
            revision,
        };
        tokio::spawn(async move {
            let answer = links.query(&peer.instance, query, TIMEOUT).await;
            match answer {
                Ok(Answer::Done) => {
                    // Fails if `distribute` has already returned.
                    let _ = confirmed.send(peer.member);
                }
                Ok(_) => {
                    log::warn!(target: "catalog", "{} can't put its copy of the document into force", peer.instance);
                }
                Err(error) => {
                    log::debug!(target: "catalog", "document could not be sent to a peer: {error}");
                }
            }
        });
    }
    drop(confirmed);
    let mut in_force = Count::SELF;
    while !in_force.is_majority_of(all) {
        match timeout_at(deadline, confirmations.recv()).await {
            Ok(Some(member)) => in_force.add(member),
            Ok(None) | Err(_) => break,
        }
    }
    (in_force.known, all.known)
}
