//! Entries of one zone, whose hubs confirm those about which nothing changes.

use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::fixture::{Entry, eventually, restart, zone};

/// More than one digest states one by one, as when all entries start together.
const MANY: u8 = 32;

fn ips(entries: &[Entry]) -> Vec<IpAddr> {
    entries.iter().map(|entry| entry.ip).collect()
}

fn all_know_all(entries: &[Entry]) -> bool {
    let count = entries.len() - 1;
    entries.iter().all(|entry| entry.alive().len() == count)
}

/// Guards against entries that lose sight of each other once digests leave them
/// out because nothing about them changes.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_do_not_change_stay_known() {
    let entries = zone(MANY);
    let ips = ips(&entries);
    eventually("all know all", || all_know_all(&entries)).await;
    // Beyond the time in which changes are repeated.
    tokio::time::sleep(Duration::from_secs(3)).await;

    let mut missed = 0;
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let prompt = entries.iter().filter(|entry| entry.finds_prompt(&ips));
        missed += entries.len() - prompt.count();
        assert!(all_know_all(&entries));
    }

    // A thread that ran late may cost one entry a look.
    assert!(missed <= 10, "{missed} of {} looks", 60 * entries.len());
}

/// Guards against a silent entry that hubs still confirm.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_entry_is_dropped_by_all() {
    let mut entries = zone(6);
    eventually("all know all", || all_know_all(&entries)).await;
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let gone = entries.pop().unwrap();
    let ip = gone.ip;
    drop(gone);

    // Callers are not sent there after 0.9 s without a word, and a digest later.
    tokio::time::sleep(Duration::from_millis(1400)).await;

    for entry in &entries {
        assert!(!entry.finds_prompt(&[ip]), "at {}", entry.ip);
    }
    eventually("all have dropped it", || {
        entries.iter().all(|entry| !entry.alive().contains(&ip))
    })
    .await;
}

/// Guards against a change that digests leave out: another process, or another
/// rate of requests, by which callers are steered.
#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_entries_that_are_no_hubs() {
    let mut entries = zone(6);
    eventually("all know all", || all_know_all(&entries)).await;
    tokio::time::sleep(Duration::from_millis(2500)).await;

    entries[4].state.rate.store(50, Ordering::SeqCst);
    let busy = entries[4].ip;
    eventually("the rate is known", || {
        entries[5].rate_of(busy) == Some(50) && entries[3].rate_of(busy) == Some(50)
    })
    .await;
    let old = entries.pop().unwrap();
    let ip = old.ip;
    drop(old);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let again = restart(ip, entries[0].ip);
    entries.push(again);

    eventually("the new process is known", || all_know_all(&entries)).await;
}
