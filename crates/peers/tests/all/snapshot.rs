//! Snapshots, which are encoded once for many requesters.

use std::sync::atomic::Ordering;

use carobdrift_peers::{Baseline, fetch};
use carobdrift_units::Version;

use crate::fixture::{all, zone};

fn baseline(targets: Option<u64>) -> Baseline {
    Baseline {
        state: Version::NONE,
        targets,
    }
}

/// Guards against encoding a snapshot for each of many entries that start
/// together, and against sending the kept snapshot after the data changed.
#[tokio::test(flavor = "multi_thread")]
async fn one_snapshot_serves_all_requesters() {
    let entry = zone(1).remove(0);
    entry.state.revision.store(7, Ordering::SeqCst);
    let address = entry.address();

    let fetched = all((0..20).map(|_| fetch(address, baseline(None)))).await;
    let snapshots = entry.state.snapshots.load(Ordering::SeqCst);
    entry.state.revision.store(8, Ordering::SeqCst);
    let newer = fetch(address, baseline(Some(7))).await.unwrap();

    for snapshot in fetched {
        assert_eq!(snapshot.unwrap().targets.unwrap().revision, 7);
    }
    assert_eq!(snapshots, 1);
    assert_eq!(newer.targets.unwrap().revision, 8);
}

/// Guards against sending targets to an entry that already has them.
#[tokio::test(flavor = "multi_thread")]
async fn data_that_the_requester_has_is_left_out() {
    let entry = zone(1).remove(0);
    entry.state.revision.store(7, Ordering::SeqCst);

    let outdated = fetch(entry.address(), baseline(Some(6))).await.unwrap();
    let current = fetch(entry.address(), baseline(Some(7))).await.unwrap();

    assert_eq!(outdated.targets.unwrap().revision, 7);
    assert_eq!(current.targets, None);
}
