//! Live entries of the cell, over which the leases are distributed.

use carobdrift_membership::Links;
use carobdrift_units::Instance;
use tokio::sync::watch;

/// Watches the entries of the cell that are listed or connected, and not
/// leaving. This entry is not included. Listed entries count before their links
/// are open, so that entries that start together distribute the leases. The
/// watch ends when the receiver is dropped.
#[must_use]
pub fn watch_members(links: &Links) -> watch::Receiver<Vec<Instance>> {
    let (sender, receiver) = watch::channel(list_members(links));
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
            let members = list_members(&links);
            sender.send_if_modified(|known| {
                let changed = *known != members;
                *known = members;
                changed
            });
        }
    });
    receiver
}

fn list_members(links: &Links) -> Vec<Instance> {
    let peers = links.peers().into_iter();
    peers
        .filter(|peer| (peer.member || peer.connected) && !peer.leaving)
        .map(|peer| peer.instance)
        .collect()
}
