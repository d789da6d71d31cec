//! Guards against a wrong standing derived from the status of the peers while the
//! store can't be reached.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_membership::Confirmation;
use carobdrift_test_support::platform::Outage;
use carobdrift_test_support::relay::Relay;
use carobdrift_units::Revision;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fixture::{BOUND, list, set_down, stand_in, start_behind, start_fake_peer, until};

/// Case with the status that the two peers of an entry report while the entry
/// can't reach the store.
struct Case {
    name: &'static str,
    /// Whether the entry was confirmed before the store became unreachable.
    recovered: bool,
    first: Confirmation,
    second: Confirmation,
    /// Whether the peers keep reporting that they have just been confirmed.
    confirmed: bool,
    expected: &'static str,
}

fn cases() -> Vec<Case> {
    let outage = Confirmation {
        recovered: true,
        ..Confirmation::default()
    };
    let case = Case {
        name: "all report an outage",
        recovered: true,
        first: outage,
        second: outage,
        confirmed: false,
        expected: "outage",
    };
    let newer = Confirmation {
        revision: Revision(1),
        ..outage
    };
    let reachable = Confirmation {
        store_reachable: true,
        ..outage
    };
    let restarted = Confirmation::default();
    vec![
        Case {
            name: "one reaches the store",
            second: reachable,
            expected: "unconfirmed",
            ..case
        },
        Case {
            name: "one reports a newer revision",
            second: newer,
            expected: "unconfirmed",
            ..case
        },
        Case {
            name: "one has not recovered",
            second: restarted,
            ..case
        },
        Case {
            name: "both have not recovered",
            first: restarted,
            second: restarted,
            expected: "unconfirmed",
            ..case
        },
        Case {
            name: "the entry has not recovered",
            recovered: false,
            expected: "unconfirmed",
            ..case
        },
        Case {
            name: "confirmed at the same revision",
            confirmed: true,
            expected: "confirmed",
            ..case
        },
        Case {
            name: "confirmed at a newer revision",
            first: newer,
            second: newer,
            confirmed: true,
            expected: "unconfirmed",
            ..case
        },
        case,
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_decide_the_standing_without_the_store() {
    let mut checks = JoinSet::new();
    for case in cases() {
        checks.spawn(check_case(case));
    }
    checks.join_all().await;
}

async fn check_case(case: Case) {
    let stand_in = stand_in().await;
    let first = start_fake_peer(&stand_in, "first").await;
    let second = start_fake_peer(&stand_in, "second").await;
    let relay = Arc::new(Relay::bind().await.unwrap());
    list(&stand_in, "entry-0", &relay);
    until("both peers know the entry", BOUND, || {
        first.links.peers().len() == 2 && second.links.peers().len() == 2
    })
    .await;
    if !case.recovered {
        set_down(&stand_in, Outage::Refuse).await;
    }
    let node = start_behind(&stand_in, "entry-0", relay).await;
    let responding = || {
        let peers = node.links.peers();
        peers.iter().filter(|peer| peer.last_ack.is_some()).count()
    };
    until("both peers respond", BOUND, || responding() == 2).await;
    assert_eq!(node.links.cell_size(), 3);
    if case.recovered {
        until("the entry is confirmed", BOUND, || node.is_confirmed()).await;
        set_down(&stand_in, Outage::Refuse).await;
    }
    let publish = || {
        let at = case.confirmed.then(Instant::now);
        let pairs = [(&first, case.first), (&second, case.second)];
        for (peer, confirmation) in pairs {
            peer.links
                .publish_confirmation(Confirmation { at, ..confirmation });
        }
    };

    let start = Instant::now();
    while start.elapsed() < BOUND + Duration::from_secs(1) {
        publish();
        sleep(Duration::from_millis(50)).await;
    }

    let standing = node.catalog.standing();
    assert_eq!(standing.name(), case.expected, "{}", case.name);
}
