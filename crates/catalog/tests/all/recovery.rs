//! Guards against entries that start or reconnect without all accepted documents,
//! or that consider themselves up to date without a confirmation.

use std::time::Duration;

use carobdrift_catalog::Standing;
use carobdrift_membership::Confirmation;
use carobdrift_test_support::platform::{Outage, StandIn};
use carobdrift_units::{Revision, Service, Version};
use carobdrift_wire::{Answer, Query, Replica};
use serde_json::json;

use crate::fixture::{
    BOUND, Node, accept, cell, document, edit, id, set_down, sheets, stand_in, start, start_behind,
    start_fake_peer, until,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_starts_during_an_outage_fetches_documents_from_peers() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, 3).await;
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    accept(&nodes[0], edit("other", &"draws".parse().unwrap(), 0)).await;
    until("both are in force", BOUND, || {
        nodes.iter().all(|node| node.catalog.documents().len() == 2)
    })
    .await;
    let stopped = nodes.pop().unwrap();
    let name = stopped.name.clone();
    let relay = stopped.stop();
    set_down(&stand_in, Outage::Refuse).await;

    let started = start_behind(&stand_in, &name, relay).await;
    assert_eq!(started.catalog.standing(), Standing::Unconfirmed);
    let time = until("it serves", Duration::from_secs(5), || {
        started.catalog.standing().permits_calls()
    })
    .await;

    println!("serves {time:?} after its start");
    assert_eq!(started.catalog.documents().len(), 2);
    assert_eq!(started.catalog.versions().0, Revision(2));
    until("the outage is detected", Duration::from_secs(6), || {
        started.catalog.standing() == Standing::Outage
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_entries_do_not_confirm_each_other() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, 3).await;
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    set_down(&stand_in, Outage::Refuse).await;
    // All entries that have the document stop. The restarted entries are a
    // majority, but none of them has the document.
    let mut stopped = Vec::new();
    for node in nodes.drain(..) {
        let name = node.name.clone();
        stopped.push((name, node.stop()));
    }
    let mut restarted = Vec::new();
    for (name, relay) in stopped {
        restarted.push(start_behind(&stand_in, &name, relay).await);
    }

    tokio::time::sleep(Duration::from_secs(6)).await;

    for node in &restarted {
        assert_eq!(node.catalog.standing(), Standing::Unconfirmed);
    }
    set_down(&stand_in, Outage::None).await;
    until("all have the document", BOUND, || {
        restarted
            .iter()
            .all(|node| node.is_confirmed() && node.version(&sheets()) == Version(1))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_that_only_a_peer_has_is_fetched_during_an_outage() {
    let stand_in = stand_in().await;
    let peer = start_fake_peer(&stand_in, "peer").await;
    let node = start(&stand_in, "entry-0").await;
    let publish = |revision| {
        peer.links.publish_confirmation(Confirmation {
            revision: Revision(revision),
            recovered: true,
            ..Confirmation::default()
        });
    };
    publish(0);
    until("the entry is confirmed", BOUND, || node.is_confirmed()).await;
    set_down(&stand_in, Outage::Refuse).await;
    until(
        "the entry has detected the outage",
        Duration::from_secs(8),
        || node.catalog.standing() == Standing::Outage,
    )
    .await;

    for revision in 1..=4 {
        *peer.replica.lock().unwrap() = Some(Replica {
            service: sheets(),
            version: Version(revision),
            body: document(&sheets(), "/a").to_string(),
        });
        publish(revision);

        // The new revision arrives with a pong within 500 ms, and the document soon
        // after. Failed polls also trigger a recovery from peers, but are up to
        // 2.4 s apart in a long outage.
        let limit = Duration::from_millis(1_400);
        until("the document is fetched", limit, || {
            node.version(&sheets()) == Version(revision)
        })
        .await;
        until("the entry serves again", limit, || {
            node.catalog.standing() == Standing::Outage
        })
        .await;
        tokio::time::sleep(Duration::from_millis(300 * revision)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gap_in_the_change_log_is_closed_by_a_scan() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    let services: Vec<Service> = (0..450)
        .map(|number| format!("service-{number:03}").parse().unwrap())
        .collect();
    for service in &services {
        put_document(&stand_in, service, 1, &document(service, "/a").to_string());
    }

    // The change log contains only the last change.
    put_log(&stand_in, 451, &[(451, "service-449", 1)]);

    until("all documents are in force", BOUND, || {
        nodes.iter().all(|node| {
            node.catalog.documents().len() == 451 && node.catalog.versions().0 == Revision(451)
        })
    })
    .await;
    let late = start(&stand_in, "late").await;
    until("a new entry has them too", BOUND, || {
        late.is_confirmed() && late.catalog.documents().len() == 451
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_in_a_newer_format_is_kept_but_not_served() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    let draws: Service = "draws".parse().unwrap();
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    accept(&nodes[0], edit("other", &draws, 0)).await;
    let mut newer = document(&sheets(), "/a");
    newer["invented_later"] = json!({"a": 1.50});
    put_document(&stand_in, &sheets(), 2, &newer.to_string());

    put_log(
        &stand_in,
        3,
        &[(1, "sheets", 1), (2, "draws", 1), (3, "sheets", 2)],
    );
    until("the new version is known", BOUND, || {
        nodes
            .iter()
            .all(|node| node.catalog.is_unreadable(&sheets()))
    })
    .await;

    for node in &nodes {
        assert!(node.catalog.edition(&sheets()).is_none(), "{}", node.name);
        assert_eq!(node.version(&draws), Version(1));
        assert!(node.catalog.standing().permits_calls());
        let answer = node
            .catalog
            .answer(&id("x"), &Query::Document { service: sheets() });
        let Some(Answer::Document(Some(replica))) = answer else {
            panic!("{answer:?}")
        };
        assert_eq!(
            (replica.version, replica.body),
            (Version(2), newer.to_string())
        );
    }
    // An operator replaces the document, and its body stays in the history.
    accept(&nodes[1], edit("third", &sheets(), 2)).await;
    until("the replacement is in force", BOUND, || {
        nodes
            .iter()
            .all(|node| node.version(&sheets()) == Version(3))
    })
    .await;
    until_body(&nodes[2], Version(2), &newer.to_string()).await;
}

async fn until_body(node: &Node, version: Version, expected: &str) {
    for _ in 0..100 {
        if let Ok(Some(body)) = node.catalog.body(&sheets(), version).await {
            assert_eq!(body, expected);
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("version {version} is not in the history");
}

fn put_document(stand_in: &StandIn, service: &Service, version: u64, body: &str) {
    let value = json!({"version": version, "body": body, "edit": "by-hand", "team": "lanemark-meets",
                       "cell": "main", "transaction": "t"});
    stand_in.put_row(&format!("documents/{service}"), &value);
}

fn put_log(stand_in: &StandIn, revision: u64, changes: &[(u64, &str, u64)]) {
    let value = json!({"revision": revision, "changes": changes, "transaction": "t"});
    stand_in.put_row("changes/main", &value);
}
