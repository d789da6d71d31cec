//! Snapshots, which are made once for many askers.

use std::sync::atomic::Ordering;

use carobdrift_peers::{Baseline, fetch};
use carobdrift_units::Version;

use crate::fixture::{all, zone};

fn known(targets: Option<u64>) -> Baseline {
    Baseline {
        state: Version::NONE,
        targets,
    }
}

/// Guards against a snapshot for each of the entries that start together, and
/// against an old snapshot once something has changed.
#[tokio::test(flavor = "multi_thread")]
async fn one_snapshot_serves_all_askers() {
    let entry = zone(1).remove(0);
    entry.state.revision.store(7, Ordering::SeqCst);
    let address = entry.address();

    let answers = all((0..20).map(|_| fetch(address, known(None)))).await;
    let made = entry.state.made.load(Ordering::SeqCst);
    entry.state.revision.store(8, Ordering::SeqCst);
    let newer = fetch(address, known(Some(7))).await.unwrap();

    for answer in answers {
        assert_eq!(answer.unwrap().targets.unwrap().revision, 7);
    }
    assert_eq!(made, 1);
    assert_eq!(newer.targets.unwrap().revision, 8);
}

/// Guards against targets that are sent to an entry that has them.
#[tokio::test(flavor = "multi_thread")]
async fn what_the_asker_knows_is_left_out() {
    let entry = zone(1).remove(0);
    entry.state.revision.store(7, Ordering::SeqCst);

    let lacking = fetch(entry.address(), known(Some(6))).await.unwrap();
    let current = fetch(entry.address(), known(Some(7))).await.unwrap();

    assert_eq!(lacking.targets.unwrap().revision, 7);
    assert_eq!(current.targets, None);
}
