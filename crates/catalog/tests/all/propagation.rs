//! Guards against an accepted document that does not come into force at some
//! entry, and against an older version that replaces a newer one.

use std::time::Duration;

use carobdrift_test_support::relay::Flows;
use carobdrift_units::{Revision, Version};
use carobdrift_wire::{Answer, Frame, Query, Replica};

use crate::fixture::{
    BOUND, Node, accept, cell, cut_peers, document, edit, id, sheets, stand_in, until,
};

/// Obstacle between the entry that accepts an edit and the last entry.
#[derive(Debug, Clone, Copy)]
enum Obstacle {
    None,
    /// The accepting entry can't reach the last entry; the other entries can.
    LinkFromAccepting,
    /// The last entry is cut off from all entries and can only reach the store.
    AllLinks,
    /// The last entry can't reach the store.
    Store,
    /// The last entry can't reach the store, and the accepting entry can't reach
    /// the last entry.
    StoreAndLinkFromAccepting,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn documents_are_in_force_everywhere_within_the_bound() {
    let obstacles = [
        Obstacle::None,
        Obstacle::LinkFromAccepting,
        Obstacle::AllLinks,
        Obstacle::Store,
        Obstacle::StoreAndLinkFromAccepting,
    ];
    for obstacle in obstacles {
        let stand_in = stand_in().await;
        let nodes = cell(&stand_in, 5).await;
        let last = nodes.len() - 1;
        match obstacle {
            Obstacle::None => {}
            Obstacle::LinkFromAccepting => cut_link(&nodes, 0, last),
            Obstacle::AllLinks => cut_peers(&nodes, last),
            Obstacle::Store => nodes[last].cut_store(),
            Obstacle::StoreAndLinkFromAccepting => {
                nodes[last].cut_store();
                cut_link(&nodes, 0, last);
            }
        }
        for number in 0..3 {
            accept(
                &nodes[0],
                edit(&format!("edit-{number}"), &sheets(), number),
            )
            .await;

            let time = until("in force everywhere", BOUND, || {
                nodes
                    .iter()
                    .all(|node| node.version(&sheets()) == Version(number + 1))
            })
            .await;

            println!("{obstacle:?}: in force at all entries {time:?} after the edit returned");
        }
        until("all entries have reached the revision", BOUND, || {
            nodes
                .iter()
                .all(|node| node.catalog.versions().0 == Revision(3))
        })
        .await;
    }
}

fn cut_link(nodes: &[Node], from: usize, to: usize) {
    nodes[to]
        .peers
        .set_instance_flows(&nodes[from].name, Flows::DISCARD);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_versions_are_ignored() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    accept(&nodes[0], edit("second", &sheets(), 1)).await;
    until("second is in force", BOUND, || {
        nodes
            .iter()
            .all(|node| node.version(&sheets()) == Version(2))
    })
    .await;
    let catalog = &nodes[1].catalog;
    let outdated = Replica {
        service: sheets(),
        version: Version(1),
        body: document(&sheets(), "/old").to_string(),
    };

    let answer = catalog.answer(
        &id("entry-0"),
        &Query::Adopt {
            copy: outdated,
            revision: Revision(1),
        },
    );
    catalog.handle_frame(
        &id("entry-0"),
        &Frame::Announce {
            service: sheets(),
            version: Version(1),
            revision: Revision(1),
        },
    );
    assert_eq!(nodes[1].version(&sheets()), Version(2));
    // The change log is older than the documents in force, as after the restore of
    // a backup.
    let row = stand_in.row("changes/main").unwrap();
    stand_in.put_row(
        "changes/main",
        &serde_json::json!({"revision": 1, "changes": [[1, "sheets", 1]], "transaction": "t"}),
    );
    tokio::time::sleep(Duration::from_millis(2_500)).await;

    assert_eq!(answer, Some(Answer::Done));
    for node in &nodes {
        assert_eq!(node.version(&sheets()), Version(2));
        assert_eq!(node.catalog.versions().0, Revision(2));
        let edition = node.catalog.edition(&sheets()).unwrap();
        assert_eq!(edition.document.routes[0].path, "/second/*");
    }
    assert!(row.version >= 2);
}
