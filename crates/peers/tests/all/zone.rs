//! Membership of one zone, whose hubs summarise the entries that do not change.

use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::fixture::{Entry, eventually, restart, zone, zone_of};

/// Entries of a zone that need more than one digest to be listed individually,
/// as when all entries start together.
const LARGE_ZONE: u8 = 32;

fn ips(entries: &[Entry]) -> Vec<IpAddr> {
    entries.iter().map(|entry| entry.ip).collect()
}

fn are_fully_connected(entries: &[Entry]) -> bool {
    let count = entries.len() - 1;
    entries.iter().all(|entry| entry.alive().len() == count)
}

/// Guards against entries that drop each other once digests only summarise
/// them, because nothing about them changes.
#[tokio::test(flavor = "multi_thread")]
async fn unchanged_entries_stay_known() {
    let entries = zone(LARGE_ZONE);
    let ips = ips(&entries);
    eventually("full membership", || are_fully_connected(&entries)).await;
    // Longer than digests repeat a change.
    tokio::time::sleep(Duration::from_secs(3)).await;

    let mut missed = 0;
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let responsive = entries.iter().filter(|entry| entry.sees_responsive(&ips));
        missed += entries.len() - responsive.count();
        assert!(are_fully_connected(&entries));
    }

    // A thread that was scheduled late may make a sample of one entry fail.
    assert!(missed <= 10, "{missed} of {} samples", 60 * entries.len());
}

/// Guards against hubs whose summaries keep a silent entry alive.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_entry_is_dropped_by_all() {
    let mut entries = zone(6);
    eventually("full membership", || are_fully_connected(&entries)).await;
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let stopped = entries.pop().unwrap();
    let ip = stopped.ip;
    drop(stopped);

    // Callers are no longer directed to the entry 0.9 s after its last
    // heartbeat, and one digest interval later at entries that are not hubs.
    tokio::time::sleep(Duration::from_millis(1400)).await;

    for entry in &entries {
        assert!(!entry.sees_responsive(&[ip]), "at {}", entry.ip);
    }
    eventually("all entries have dropped it", || {
        entries.iter().all(|entry| !entry.alive().contains(&ip))
    })
    .await;
}

/// Guards against digests that leave out a change: another process, or another
/// request rate, which decides where callers are directed.
#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_entries_that_are_not_hubs() {
    let mut entries = zone(6);
    eventually("full membership", || are_fully_connected(&entries)).await;
    tokio::time::sleep(Duration::from_millis(2500)).await;

    entries[4].state.rate.store(50, Ordering::SeqCst);
    let busy = entries[4].ip;
    eventually("the rate is known", || {
        entries[5].rate_of(busy) == Some(50) && entries[3].rate_of(busy) == Some(50)
    })
    .await;
    let stopped = entries.pop().unwrap();
    let ip = stopped.ip;
    drop(stopped);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let restarted = restart(ip, entries[0].ip);
    entries.push(restarted);

    eventually("the new process is known", || are_fully_connected(&entries)).await;
}

/// Guards against entries that no longer know each other after all of them were
/// silent at once, or after groups of them were cut from each other.
#[tokio::test]
async fn entries_that_lost_each_other_meet_again() {
    let entries = zone(4);
    let ips: Vec<IpAddr> = entries.iter().map(|entry| entry.ip).collect();
    eventually("all see each other", || {
        entries.iter().all(|entry| entry.sees_responsive(&ips))
    })
    .await;

    for entry in &entries {
        entry.freeze(Duration::from_secs(3));
    }
    tokio::time::sleep(Duration::from_millis(3100)).await;

    eventually("all see each other again", || {
        entries.iter().all(|entry| entry.sees_responsive(&ips))
    })
    .await;
}

fn hubs(entries: &[Entry]) -> Vec<usize> {
    let hubs = entries.iter().enumerate();
    hubs.filter(|(_, entry)| entry.peers.is_hub())
        .map(|(index, _)| index)
        .collect()
}

/// Guards against hubs on the smallest machines of a zone, whose links are the
/// narrowest.
#[tokio::test(flavor = "multi_thread")]
async fn the_largest_entries_are_hubs() {
    let entries = zone_of(&[100, 100, 500, 100, 500, 100]);

    eventually("the large entries are the hubs", || {
        hubs(&entries) == [2, 4]
    })
    .await;
}

/// Guards against a zone without hubs for most of the time in which a change must be
/// in force.
#[tokio::test(flavor = "multi_thread")]
async fn lost_hubs_are_replaced_within_1300_ms() {
    let mut entries = zone(6);
    eventually("full membership", || are_fully_connected(&entries)).await;
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let lost: Vec<Entry> = entries.drain(..2).collect();
    drop(lost);

    tokio::time::sleep(Duration::from_millis(1300)).await;

    assert_eq!(hubs(&entries), [0, 1]);
}
