//! Guards against edits that are lost, applied twice, late or undone.

use std::time::Duration;

use carobdrift_test_support::platform::{Fault, Loss, Outage};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::installation::{Installation, SERVICE};

/// Reads the version in force on every entry in a loop until `stop` is set, and
/// returns the number of reads. Panics when a version decreases.
async fn watch_versions(installation: &Installation, mut stop: watch::Receiver<bool>) -> usize {
    let mut highest = vec![0; installation.fleet.entries.len()];
    let mut reads = 0;
    while !*stop.borrow_and_update() {
        for (entry, highest) in highest.iter_mut().enumerate() {
            if let Some(version) = installation.version(entry, SERVICE).await {
                assert!(
                    version >= *highest,
                    "entry {entry}: {version} after {highest}"
                );
                *highest = version;
                reads += 1;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    reads
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_edits_is_accepted() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 3, 10.0).await;
    let (stop, stopped) = watch::channel(false);
    let race = async {
        let mut slowest = Duration::ZERO;
        for round in 1..=15 {
            let mut documents = [(); 2].map(|()| installation.document(SERVICE));
            documents[0]["retries"]["budget_percent"] = json!(1);
            documents[1]["retries"]["budget_percent"] = json!(2);
            let edit_ids = [format!("a-{round}"), format!("b-{round}")];
            let (first, second) = futures_util::join!(
                installation.put(0, SERVICE, round, &edit_ids[0], &documents[0]),
                installation.put(1, SERVICE, round, &edit_ids[1], &documents[1]),
            );

            let statuses = [first.0, second.0];
            let winner = statuses.iter().position(|status| *status == StatusCode::OK);
            let winner = winner.unwrap_or_else(|| panic!("no edit accepted: {first:?} {second:?}"));
            let loser = &[&first, &second][1 - winner];
            assert_eq!(loser.0, StatusCode::CONFLICT, "{first:?} {second:?}");
            assert_eq!(loser.1["error"], "conflict", "{loser:?}");
            assert_eq!(loser.1["current_version"], round + 1, "{loser:?}");
            let time = installation
                .wait_version(&[0, 1, 2], SERVICE, round + 1)
                .await;
            slowest = slowest.max(time);
            for entry in &installation.fleet.entries {
                let path = format!("/v1/documents/{SERVICE}");
                let request = installation
                    .fleet
                    .call_admin(entry.admin, Method::GET, &path, None);
                let current = request.await.unwrap().1;
                let percent = &current["document"]["retries"]["budget_percent"];
                assert_eq!(*percent, json!([1.0, 2.0][winner]), "{current}");
            }
        }
        stop.send_replace(true);
        slowest
    };

    let (slowest, reads) = futures_util::join!(race, watch_versions(&installation, stopped));

    assert!(reads > 50, "{reads} reads");
    println!("slowest edit in force on all entries after {slowest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_edit_id_gives_the_outcome_when_a_response_is_lost() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 3, 10.0).await;
    let document = installation.document(SERVICE);
    let (stop, stopped) = watch::channel(false);
    let edits = async {
        // The entry reads the outcome of the write from the store itself.
        let lose = Fault {
            response_loss: Loss::Next(1),
            ..Fault::default()
        };
        installation.fleet.platform.set_fault(&lose).await.unwrap();
        let (status, response) = installation.put(0, SERVICE, 1, "lost", &document).await;
        assert_eq!(
            (status, &response["version"]),
            (StatusCode::OK, &json!(2)),
            "{response}"
        );

        // The store goes down before the entry can read the outcome.
        let slow = Fault {
            delay_ms: 1500,
            ..Fault::default()
        };
        installation.fleet.platform.set_fault(&slow).await.unwrap();
        let edit = installation.put(1, SERVICE, 2, "slow", &document);
        let take_down = async {
            tokio::time::sleep(Duration::from_millis(2500)).await;
            let down = Fault {
                outage: Outage::Refuse,
                ..Fault::default()
            };
            installation.fleet.platform.set_fault(&down).await.unwrap();
        };
        let ((status, response), ()) = futures_util::join!(edit, take_down);
        let stated = (status, response["error"].as_str());
        let unwritten = stated == (StatusCode::SERVICE_UNAVAILABLE, Some("unavailable"));
        let unknown = stated == (StatusCode::GATEWAY_TIMEOUT, Some("unknown"));
        assert!(unwritten || unknown, "{status} {response}");
        installation.fleet.platform.clear_fault().await.unwrap();
        let outcome = outcome(&installation, "slow").await;
        if unwritten {
            assert_eq!(outcome, None);
        }

        // A repeat of the edit has the outcome of the first attempt, if there is
        // one, and takes effect once.
        for entry in [2, 0] {
            let (status, response) = installation.put(entry, SERVICE, 2, "slow", &document).await;
            assert_eq!(
                (status, &response["version"]),
                (StatusCode::OK, &json!(3)),
                "{response}"
            );
        }
        installation.wait_version(&[0, 1, 2], SERVICE, 3).await;
        stop.send_replace(true);
    };

    futures_util::join!(edits, watch_versions(&installation, stopped));
}

async fn outcome(installation: &Installation, edit: &str) -> Option<Value> {
    let path = format!("/v1/edits/{SERVICE}-{edit}");
    let admin = installation.fleet.entries[2].admin;
    let response = installation
        .fleet
        .call_admin(admin, Method::GET, &path, None)
        .await
        .unwrap();
    match response.0 {
        StatusCode::OK => Some(response.1),
        status => {
            assert_eq!(status, StatusCode::NOT_FOUND, "{}", response.1);
            None
        }
    }
}
