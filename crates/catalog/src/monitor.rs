//! Evaluation of the local standing from the status of the peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_membership::Peer;
use tokio::time::sleep;

use crate::catalog::Shared;
use crate::standing::{CONFIRMATION_VALIDITY, Standing, outage_until};

/// Longest time between two evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a peer may report a newer revision before this entry polls the
/// change log. The document usually arrives from a peer within that time.
const MAX_LAG: Duration = Duration::from_millis(300);

/// Evaluates the standing after every pong, and at least once in every
/// [`EVALUATION_INTERVAL`].
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut heartbeats = shared.links.heartbeats();
    let mut behind_since: Option<Instant> = None;
    let mut last = Standing::Unconfirmed;
    loop {
        tokio::select! {
            changed = heartbeats.changed() => if changed.is_err() { return },
            () = sleep(EVALUATION_INTERVAL) => {}
            () = shared.stopped.cancelled() => return,
        }
        let peers = shared.links.peers();
        evaluate(&shared, &peers);
        if is_behind(&shared, &peers) {
            let since = *behind_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= MAX_LAG {
                behind_since = None;
                shared.poll_request.notify_one();
            }
        } else {
            behind_since = None;
        }
        let standing = shared.state.standing();
        let age = shared.state.confirmed().map(|at| at.elapsed());
        shared.metrics.set_standing(standing, age);
        if standing.name() != last.name() {
            log::info!(target: "catalog", "standing changed from {} to {}", last.name(), standing.name());
        }
        last = standing;
    }
}

/// Updates the confirmation and the outage from the status of the peers.
fn evaluate(shared: &Shared, peers: &[Peer]) {
    for peer in peers {
        let (Some(sent), Some(status)) = (peer.last_ack, &peer.status) else {
            continue;
        };
        // Counted from the sending of the ping, because the pong may have been
        // delayed and does not cover the time after it was built.
        let confirmed_at = status
            .confirmed
            .and_then(|age| sent.checked_sub(age.duration()));
        if let Some(confirmed_at) = confirmed_at {
            shared.state.confirm(confirmed_at, status.revision);
        }
    }
    let until = outage_until(
        shared.state.snapshot(),
        peers,
        shared.links.cell_size(),
        Instant::now(),
    );
    shared.state.set_outage(until);
}

/// Returns whether a peer has reported a newer revision than the one in force.
fn is_behind(shared: &Shared, peers: &[Peer]) -> bool {
    let revision = shared.state.snapshot().revision;
    let now = Instant::now();
    peers
        .iter()
        .any(|peer| peer.received_within(CONFIRMATION_VALIDITY, now) && peer.revision > revision)
}
