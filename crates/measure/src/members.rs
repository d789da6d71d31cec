//! Live entries of the cell, by which leases are spread.

use carobdrift_membership::Links;
use carobdrift_units::Instance;
use tokio::sync::watch;

/// Follows the entries of the cell that are listed or connected, and not
/// leaving; this entry itself is not among them. Listed ones count before their
/// links are open, so that entries that start together spread the leases. Ends
/// when the receiver is dropped.
#[must_use]
pub fn watch_members(links: &Links) -> watch::Receiver<Vec<Instance>> {
    let (sender, receiver) = watch::channel(list(links));
    let mut heartbeats = links.heartbeats();
    let links = links.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                changed = heartbeats.changed() => if changed.is_err() {
                    return;
                },
                () = sender.closed() => return,
            }
            let members = list(&links);
            sender.send_if_modified(|known| {
                let changed = *known != members;
                *known = members;
                changed
            });
        }
    });
    receiver
}

fn list(links: &Links) -> Vec<Instance> {
    let peers = links.peers().into_iter();
    peers
        .filter(|peer| (peer.member || peer.connected) && !peer.leaving)
        .map(|peer| peer.instance)
        .collect()
}
