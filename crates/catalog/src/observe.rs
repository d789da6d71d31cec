//! Judgement of the own standing from what peers state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_membership::Peer;
use tokio::time::sleep;

use crate::catalog::Shared;
use crate::standing::{Standing, VALIDITY, outage_until};

/// Longest time between two judgements.
const TICK: Duration = Duration::from_millis(100);

/// Time for which a peer may state a newer revision before the change log is
/// polled. The document usually arrives from a peer within it.
const BEHIND: Duration = Duration::from_millis(300);

/// Judges the standing after every pong.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut heartbeats = shared.links.heartbeats();
    let mut behind: Option<Instant> = None;
    let mut last = Standing::Unconfirmed;
    loop {
        tokio::select! {
            beat = heartbeats.changed() => if beat.is_err() { return },
            () = sleep(TICK) => {}
            () = shared.stopped.cancelled() => return,
        }
        let peers = shared.links.peers();
        judge(&shared, &peers);
        if is_behind(&shared, &peers) {
            let since = *behind.get_or_insert_with(Instant::now);
            if since.elapsed() >= BEHIND {
                behind = None;
                shared.demand.notify_one();
            }
        } else {
            behind = None;
        }
        let standing = shared.state.standing();
        let age = shared.state.confirmed().map(|at| at.elapsed());
        shared.metrics.show_standing(standing, age);
        if standing.name() != last.name() {
            log::info!(target: "catalog", "standing changed from {} to {}", last.name(), standing.name());
        }
        last = standing;
    }
}

fn judge(shared: &Shared, peers: &[Peer]) {
    for peer in peers {
        let (Some(sent), Some(status)) = (peer.last_ack, &peer.status) else {
            continue;
        };
        // From the moment our ping was sent: the pong may have waited on the
        // way or here, and says nothing about that time.
        let moment = status
            .confirmed
            .and_then(|age| sent.checked_sub(age.duration()));
        if let Some(moment) = moment {
            shared.state.confirm(moment, status.revision);
        }
    }
    let until = outage_until(
        shared.state.own(),
        peers,
        shared.links.cell_size(),
        Instant::now(),
    );
    shared.state.set_outage(until);
}

fn is_behind(shared: &Shared, peers: &[Peer]) -> bool {
    let own = shared.state.own().revision;
    let now = Instant::now();
    peers
        .iter()
        .any(|peer| peer.received_within(VALIDITY, now) && peer.revision > own)
}
