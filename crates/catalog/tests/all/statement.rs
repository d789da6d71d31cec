//! Guards against a wrong judgement of what peers state while the store can't
//! be reached.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_membership::Confirmation;
use carobdrift_test_support::platform::Outage;
use carobdrift_test_support::relay::Relay;
use carobdrift_units::Revision;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fixture::{BOUND, list, set_down, stand_in, start_behind, start_puppet, until};

/// What the two peers of an entry state while it can't reach the store.
struct Statement {
    name: &'static str,
    /// Whether the entry was confirmed before the store became unreachable.
    recovered: bool,
    first: Confirmation,
    second: Confirmation,
    /// Whether the peers keep stating that they were just confirmed.
    confirmed: bool,
    expected: &'static str,
}

fn statements() -> Vec<Statement> {
    let outage = Confirmation {
        recovered: true,
        ..Confirmation::default()
    };
    let case = Statement {
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
    let fresh = Confirmation::default();
    vec![
        Statement {
            name: "one reaches the store",
            second: reachable,
            expected: "unconfirmed",
            ..case
        },
        Statement {
            name: "one knows a newer document",
            second: newer,
            expected: "unconfirmed",
            ..case
        },
        Statement {
            name: "one is fresh",
            second: fresh,
            ..case
        },
        Statement {
            name: "both are fresh",
            first: fresh,
            second: fresh,
            expected: "unconfirmed",
            ..case
        },
        Statement {
            name: "the entry is fresh",
            recovered: false,
            expected: "unconfirmed",
            ..case
        },
        Statement {
            name: "confirmed with the same document",
            confirmed: true,
            expected: "confirmed",
            ..case
        },
        Statement {
            name: "confirmed with a newer document",
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
async fn statements_of_peers_decide_the_standing_without_the_store() {
    let mut checks = JoinSet::new();
    for case in statements() {
        checks.spawn(check_statement(case));
    }
    checks.join_all().await;
}

async fn check_statement(case: Statement) {
    let stand_in = stand_in().await;
    let first = start_puppet(&stand_in, "first").await;
    let second = start_puppet(&stand_in, "second").await;
    let relay = Arc::new(Relay::bind().await.unwrap());
    list(&stand_in, "entry-0", &relay);
    until("both dial it", BOUND, || {
        first.links.peers().len() == 2 && second.links.peers().len() == 2
    })
    .await;
    if !case.recovered {
        set_down(&stand_in, Outage::Refuse).await;
    }
    let node = start_behind(&stand_in, "entry-0", relay).await;
    let heard = || {
        let peers = node.links.peers();
        peers.iter().filter(|peer| peer.last_ack.is_some()).count()
    };
    until("it hears both", BOUND, || heard() == 2).await;
    assert_eq!(node.links.cell_size(), 3);
    if case.recovered {
        until("it is confirmed", BOUND, || node.is_confirmed()).await;
        set_down(&stand_in, Outage::Refuse).await;
    }
    let state = || {
        let at = case.confirmed.then(Instant::now);
        let pairs = [(&first, case.first), (&second, case.second)];
        for (puppet, confirmation) in pairs {
            puppet
                .links
                .publish_confirmation(Confirmation { at, ..confirmation });
        }
    };

    let start = Instant::now();
    while start.elapsed() < BOUND + Duration::from_secs(1) {
        state();
        sleep(Duration::from_millis(50)).await;
    }

    let standing = node.catalog.standing();
    assert_eq!(standing.name(), case.expected, "{}", case.name);
}
