//! What an entry knows of its contact with the others.

use crate::fixture::{eventually, zone};

/// Guards against entries that grant tokens beside a majority that does too, and a
/// grantor that reserves nothing for lost entries.
#[tokio::test]
async fn an_entry_knows_whether_more_than_half_are_alive() {
    let mut entries = zone(5);
    let contact = |entry: &crate::fixture::Entry| entry.peers.contact(false);
    for entry in &entries {
        eventually("all know each other", || entry.alive().len() == 4).await;
    }
    let first = [entries[0].ip, entries[1].ip];
    let before = contact(&entries[4]);
    let lost: Vec<_> = entries.drain(..2).collect();
    let ips: Vec<_> = lost.iter().map(|entry| entry.ip).collect();

    drop(lost);
    eventually("two are lost", || contact(&entries[2]).lost.len() == 2).await;
    let after_two = contact(&entries[2]);
    drop(entries.drain(..1));
    eventually("three are lost", || contact(&entries[1]).lost.len() == 3).await;
    let after_three = contact(&entries[1]);

    assert_eq!(before.hubs, first);
    assert!(before.is_majority);
    assert!(before.lost.is_empty());
    assert!(after_two.is_majority);
    assert!(ips.iter().all(|ip| after_two.lost.contains(ip)));
    assert!(!after_two.hubs.contains(&ips[0]));
    assert!(!after_three.is_majority);
}

/// Guards against an entry that grants tokens although it hears nobody, and one that
/// names itself as a grantor while it leaves.
#[tokio::test]
async fn an_entry_out_of_contact_is_no_majority() {
    let mut entries = zone(2);
    eventually("both know each other", || entries[0].alive().len() == 1).await;
    let leaving = entries[0].peers.contact(true);

    drop(entries.pop());
    eventually("no majority", || {
        !entries[0].peers.contact(false).is_majority
    })
    .await;

    assert!(!leaving.hubs.contains(&entries[0].ip));
    // The other one still counts as alive.
    assert!(entries[0].peers.contact(false).lost.is_empty());
}
