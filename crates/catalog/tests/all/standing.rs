//! Guards against entries that serve with possibly outdated documents, and against
//! entries that refuse calls although their documents are up to date.

use std::time::{Duration, Instant};

use carobdrift_catalog::Standing;
use carobdrift_test_support::platform::{Fault, Outage};
use carobdrift_test_support::relay::{Flow, Flows};
use carobdrift_units::Version;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fixture::{
    BOUND, Node, accept, cell, cut_peers, edit, set_down, sheets, stand_in, until,
};

/// Tolerance for scheduling delays.
const SLACK: Duration = Duration::from_millis(150);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_off_entry_does_not_serve_outdated_documents() {
    let cases = [
        ("from the store", true, false, "confirmed"),
        ("from its peers", false, true, "confirmed"),
        ("from both", true, true, "unconfirmed"),
    ];
    for (name, store, peers, expected) in cases {
        let stand_in = stand_in().await;
        let nodes = cell(&stand_in, 3).await;
        accept(&nodes[0], edit("first", &sheets(), 0)).await;
        let last = nodes.len() - 1;
        until("first is in force", BOUND, || {
            nodes[last].version(&sheets()) == Version(1)
        })
        .await;

        if store {
            nodes[last].cut_store();
        }
        if peers {
            cut_peers(&nodes, last);
        }
        let cut = Instant::now();
        sleep(Duration::from_millis(300)).await;
        accept(&nodes[0], edit("second", &sheets(), 1)).await;
        let accepted = Instant::now();

        while cut.elapsed() < Duration::from_secs(8) {
            let standing = nodes[last].catalog.standing();
            let outdated = nodes[last].version(&sheets()) < Version(2);
            let since = accepted.elapsed();
            assert!(
                !(standing.permits_calls() && outdated && since > BOUND + SLACK),
                "{name}: serves version 1 {since:?} after version 2 was accepted"
            );
            sleep(Duration::from_millis(10)).await;
        }
        let standing = nodes[last].catalog.standing();
        assert_eq!(standing.name(), expected, "cut off {name}");
        assert!(nodes[0].is_confirmed() && nodes[1].is_confirmed(), "{name}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_entry_is_unconfirmed_within_the_bound_and_returns() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    nodes[2].cut_store();
    cut_peers(&nodes, 2);

    let time = until("it is unconfirmed", BOUND + SLACK, || {
        !nodes[2].catalog.standing().permits_calls()
    })
    .await;

    assert!(time > Duration::from_secs(2), "{time:?}");
    let start = Instant::now();
    let wait = Duration::from_millis(200);
    let standing = nodes[2].catalog.wait_for_confirmation(wait).await;
    assert_eq!(standing, Standing::Unconfirmed);
    assert!(start.elapsed() < wait + SLACK);

    nodes[2].store.set_flows(Flows::default());
    until("it is confirmed again", Duration::from_secs(4), || {
        nodes[2].is_confirmed()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_stops_no_entry() {
    let mut checks = JoinSet::new();
    for down in [Outage::Refuse, Outage::Fail, Outage::Hang] {
        checks.spawn(check_outage(down));
    }
    checks.join_all().await;
}

async fn check_outage(down: Outage) {
    let stand_in = stand_in().await;
    // Enough entries for the last ranks to have the longest poll delay.
    let nodes = cell(&stand_in, 13).await;
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    set_down(&stand_in, down).await;
    let start = Instant::now();

    while start.elapsed() < Duration::from_secs(9) {
        for node in &nodes {
            let elapsed = start.elapsed();
            assert!(
                node.catalog.standing().permits_calls(),
                "{down:?}: {} refuses after {elapsed:?}",
                node.name
            );
        }
        sleep(Duration::from_millis(5)).await;
    }
    assert!(
        nodes
            .iter()
            .all(|node| node.catalog.standing() == Standing::Outage),
        "{down:?}"
    );

    set_down(&stand_in, Outage::None).await;
    until("all are confirmed", Duration::from_secs(4), || {
        nodes.iter().all(Node::is_confirmed)
    })
    .await;
    let accepted = accept(&nodes[1], edit("second", &sheets(), 1)).await;
    assert_eq!(accepted.outcome.version, Version(2), "{down:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_minority_refuses_during_an_outage_of_the_store() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 5).await;
    set_down(&stand_in, Outage::Refuse).await;
    until(
        "all have detected the outage",
        Duration::from_secs(8),
        || {
            nodes
                .iter()
                .all(|node| node.catalog.standing() == Standing::Outage)
        },
    )
    .await;

    // Entries 3 and 4 are connected only to each other.
    for minority in [3, 4] {
        for majority in 0..3 {
            nodes[minority]
                .peers
                .set_instance_flows(&nodes[majority].name, Flows::DISCARD);
            nodes[majority]
                .peers
                .set_instance_flows(&nodes[minority].name, Flows::DISCARD);
        }
    }
    sleep(BOUND + SLACK).await;

    for node in &nodes[..3] {
        assert_eq!(node.catalog.standing(), Standing::Outage, "{}", node.name);
    }
    for node in &nodes[3..] {
        assert_eq!(
            node.catalog.standing(),
            Standing::Unconfirmed,
            "{}",
            node.name
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delayed_pongs_confirm_as_of_their_ping() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    nodes[2].cut_store();
    sleep(Duration::from_millis(1_200)).await;
    assert!(nodes[2].is_confirmed());
    let set = |to_target, to_client| {
        for node in &nodes[..2] {
            node.peers.set_instance_flows(
                &nodes[2].name,
                Flows {
                    to_target,
                    to_client,
                },
            );
        }
    };

    // Pings are answered, but the pongs are delayed.
    set(Flow::Forward, Flow::Stall);
    sleep(Duration::from_millis(700)).await;
    // From now on, no ping arrives.
    set(Flow::Discard, Flow::Stall);
    let last_ping = Instant::now();
    sleep(Duration::from_millis(900)).await;
    set(Flow::Discard, Flow::Forward);

    while last_ping.elapsed() < BOUND + SLACK {
        if let Standing::Confirmed { age } = nodes[2].catalog.standing() {
            let since = last_ping.elapsed();
            assert!(
                age + SLACK >= since,
                "{age:?} old, {since:?} after the last ping"
            );
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert!(!nodes[2].catalog.standing().permits_calls());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_entry_resumes_unconfirmed() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    until("first is in force", BOUND, || {
        nodes[2].version(&sheets()) == Version(1)
    })
    .await;
    nodes[2].pause(Duration::from_secs(7));
    let start = Instant::now();
    sleep(Duration::from_millis(100)).await;
    let accepted = accept(&nodes[0], edit("second", &sheets(), 1)).await;
    assert_eq!(accepted.in_force, 2);

    let mut unconfirmed = false;
    while start.elapsed() < Duration::from_secs(9) {
        let standing = nodes[2].catalog.standing();
        let version = nodes[2].version(&sheets());
        let since = start.elapsed();
        unconfirmed |= !standing.permits_calls();
        assert!(
            !(standing.permits_calls() && version < Version(2) && since > BOUND + SLACK),
            "serves version 1 at {since:?}"
        );
        sleep(Duration::from_millis(1)).await;
    }
    assert!(unconfirmed);
    assert!(nodes[2].is_confirmed());
    assert_eq!(nodes[2].version(&sheets()), Version(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_was_paused_is_confirmed_within_200_ms() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    nodes[2].pause(Duration::from_secs(6));
    sleep(Duration::from_millis(5_900)).await;
    assert!(!nodes[2].catalog.standing().permits_calls());
    sleep(Duration::from_millis(100)).await;

    let standing = nodes[2]
        .catalog
        .wait_for_confirmation(Duration::from_millis(200))
        .await;

    assert!(standing.permits_calls());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_poll_confirms_as_of_its_sending() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 1).await;
    let delay = Duration::from_millis(600);
    let fault = Fault {
        delay_ms: 600,
        ..Fault::default()
    };
    stand_in.set_fault(fault).await;
    sleep(Duration::from_millis(1_200)).await;

    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let standing = nodes[0].catalog.standing();
        let Standing::Confirmed { age } = standing else {
            panic!("{standing:?}")
        };
        assert!(age >= delay, "{age:?} old after a poll that took {delay:?}");
        sleep(Duration::from_millis(5)).await;
    }
}
