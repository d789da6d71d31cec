//! Guards against two accepted edits of the same version, and against a result
//! that does not match what was written.

use std::time::{Duration, Instant};

use carobdrift_catalog::EditError;
use carobdrift_test_support::platform::{Fault, Loss, Outage};
use carobdrift_test_support::relay::{Flow, Flows};
use carobdrift_units::{Revision, Service, Version};

use crate::fixture::{
    BOUND, accept, cell, client, cut_peers, edit, set_down, sheets, stand_in, start, until,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_concurrent_edits_wins() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    for round in 0..20 {
        let first = edit(&format!("first-{round}"), &sheets(), round);
        let second = edit(&format!("second-{round}"), &sheets(), round);

        let (first, second) =
            tokio::join!(nodes[0].catalog.edit(first), nodes[1].catalog.edit(second));

        let (accepted, rejected) = match (first, second) {
            (Ok(accepted), Err(rejected)) | (Err(rejected), Ok(accepted)) => (accepted, rejected),
            (first, second) => panic!("round {round}: {first:?} and {second:?}"),
        };
        assert_eq!(accepted.outcome.version, Version(round + 1));
        let EditError::Conflict { current, .. } = rejected else {
            panic!("round {round}: {rejected}")
        };
        assert_eq!(current, Version(round + 1));
        until("the accepted edit is in force", BOUND, || {
            nodes.iter().all(|node| {
                let edition = node.catalog.edition(&sheets()).unwrap();
                let path = edition.document.routes[0].path.clone();
                path == format!("/{}/*", accepted.outcome.edit)
            })
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn edits_of_different_services_are_all_accepted() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;

    let mut edits = tokio::task::JoinSet::new();
    for number in 0..12 {
        let catalog = nodes[number % 3].catalog.clone();
        let service: Service = format!("service-{number}").parse().unwrap();
        let edit = edit(&format!("edit-{number}"), &service, 0);
        edits.spawn(async move { catalog.edit(edit).await.unwrap() });
    }
    let mut revisions: Vec<_> = edits
        .join_all()
        .await
        .iter()
        .map(|accepted| accepted.outcome.revision)
        .collect();

    revisions.sort();
    assert_eq!(revisions, (1..=12).map(Revision).collect::<Vec<_>>());
    until("all are in force", BOUND, || {
        nodes.iter().all(|node| {
            node.catalog.documents().len() == 12 && node.catalog.versions().0 == Revision(12)
        })
    })
    .await;
}

/// Result that the operator receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reported {
    Accepted,
    Unavailable,
    Unknown,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn results_match_what_was_written() {
    let fault = Fault::default;
    let cases = [
        ("no fault", fault(), Reported::Accepted, true),
        (
            "one response lost",
            Fault {
                response_loss: Loss::Next(1),
                ..fault()
            },
            Reported::Accepted,
            true,
        ),
        (
            "all responses of writes lost",
            Fault {
                response_loss: Loss::All,
                ..fault()
            },
            Reported::Accepted,
            true,
        ),
        (
            "slow",
            Fault {
                delay_ms: 300,
                ..fault()
            },
            Reported::Accepted,
            true,
        ),
        (
            "refuses connections",
            Fault {
                outage: Outage::Refuse,
                ..fault()
            },
            Reported::Unavailable,
            false,
        ),
        (
            "answers 503",
            Fault {
                outage: Outage::Fail,
                ..fault()
            },
            Reported::Unavailable,
            false,
        ),
        (
            "does not answer",
            Fault {
                outage: Outage::Hang,
                ..fault()
            },
            Reported::Unavailable,
            false,
        ),
    ];
    for (name, fault, expected, written) in cases {
        let stand_in = stand_in().await;
        let nodes = cell(&stand_in, 3).await;
        stand_in.set_fault(fault).await;
        let start = Instant::now();

        let result = nodes[0].catalog.edit(edit("once", &sheets(), 0)).await;

        let reported = match &result {
            Ok(_) => Reported::Accepted,
            Err(EditError::Unavailable(_)) => Reported::Unavailable,
            Err(EditError::Unknown { .. }) => Reported::Unknown,
            Err(error) => panic!("{name}: {error}"),
        };
        assert_eq!(reported, expected, "{name}");
        assert_eq!(
            stand_in.row("documents/sheets").is_some(),
            written,
            "{name}"
        );
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(8), "{name}: {elapsed:?}");
        if let Ok(accepted) = result {
            assert_eq!(accepted.outcome.version, Version(1), "{name}");
            assert_eq!(stand_in.row("documents/sheets").unwrap().version, 1);
            assert!(accepted.in_force >= 2, "{name}: {}", accepted.in_force);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unknown_outcome_can_be_queried_later() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    stand_in
        .set_fault(Fault {
            response_loss: Loss::All,
            ..Fault::default()
        })
        .await;
    let catalog = nodes[0].catalog.clone();
    let running = tokio::spawn(async move { catalog.edit(edit("once", &sheets(), 0)).await });
    until("the write took effect", BOUND, || {
        stand_in.row("edits/once").is_some()
    })
    .await;
    set_down(&stand_in, Outage::Hang).await;

    let result = running.await.unwrap();

    // The entry may have read the row of the edit before the outage began.
    if let Err(error) = &result {
        assert!(matches!(error, EditError::Unknown { .. }), "{error}");
    }
    let id = "once".parse().unwrap();
    assert!(nodes[1].catalog.edit_outcome(&id).await.is_err());
    set_down(&stand_in, Outage::None).await;
    let outcome = nodes[1].catalog.edit_outcome(&id).await.unwrap().unwrap();
    assert_eq!(outcome.version, Version(1));
    let repeated = accept(&nodes[2], edit("once", &sheets(), 0)).await;
    assert_eq!(repeated.outcome, outcome);
    assert_eq!(stand_in.row("documents/sheets").unwrap().version, 1);
    until("it is in force", BOUND, || {
        nodes
            .iter()
            .all(|node| node.version(&sheets()) == Version(1))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_edits_are_rejected_and_write_nothing() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    let foreign = {
        let mut edit = edit("foreign", &sheets(), 1);
        edit.owner = Some("another-team".parse().unwrap());
        edit
    };
    let cases = [
        ("outdated version", edit("late", &sheets(), 0), "conflict"),
        (
            "version that does not exist",
            edit("early", &sheets(), 7),
            "conflict",
        ),
        (
            "new service with a version",
            edit("new", &"draws".parse().unwrap(), 1),
            "conflict",
        ),
        (
            "id of another document",
            edit("first", &"draws".parse().unwrap(), 0),
            "reused",
        ),
        ("other team", foreign, "owner"),
    ];
    for (name, edit, expected) in cases {
        let error = nodes[1].catalog.edit(edit).await.unwrap_err();

        let found = match error {
            EditError::Conflict { .. } => "conflict",
            EditError::IdReused(_) => "reused",
            EditError::NotOwner { .. } => "owner",
            _ => "another error",
        };
        assert_eq!(found, expected, "{name}");
    }
    assert_eq!(stand_in.row("changes/main").unwrap().version, 1);
    assert!(stand_in.row("documents/draws").is_none());

    // An entry that is cut off from its peers must not accept an edit, because no
    // other entry would know of it.
    cut_peers(&nodes, 0);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let result = nodes[0].catalog.edit(edit("alone", &sheets(), 1)).await;
    assert!(
        matches!(
            result,
            Err(EditError::NoQuorum {
                responding: 1,
                cell_size: 3
            })
        ),
        "{result:?}"
    );
    assert_eq!(stand_in.row("changes/main").unwrap().version, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_alone_on_a_stale_list_is_no_majority() {
    let stand_in = stand_in().await;
    let mut nodes = vec![start(&stand_in, "entry-0").await];
    let fault = Fault {
        stale_instances: true,
        ..Fault::default()
    };
    stand_in.set_fault(fault).await;
    for name in ["entry-1", "entry-2"] {
        nodes.push(start(&stand_in, name).await);
    }
    until("entry-0 receives pongs from the others", BOUND, || {
        nodes[0]
            .links
            .peers()
            .iter()
            .filter(|peer| peer.last_ack.is_some())
            .count()
            == 2
    })
    .await;
    assert_eq!(nodes[0].links.cell_size(), 1);

    let accepted = accept(&nodes[0], edit("first", &sheets(), 0)).await;
    assert!(accepted.in_force >= 2 && accepted.cell_size == 3);

    cut_peers(&nodes, 0);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let result = nodes[0].catalog.edit(edit("alone", &sheets(), 1)).await;
    let refused = matches!(
        result,
        Err(EditError::NoQuorum {
            responding: 1,
            cell_size: 3
        })
    );
    assert!(refused, "{result:?}");

    // It must not serve alone either when it has also lost the platform, and with
    // it the store and the instance list.
    nodes[0].cut_store();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(13) {
        let permits_calls = nodes[0].catalog.standing().permits_calls();
        assert!(!permits_calls || start.elapsed() < BOUND + Duration::from_millis(150));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn past_versions_can_be_read_on_every_entry() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    for (version, id) in ["first", "second", "third"].into_iter().enumerate() {
        accept(&nodes[version], edit(id, &sheets(), version as u64)).await;
    }
    until("third is in force", BOUND, || {
        nodes[2].version(&sheets()) == Version(3)
    })
    .await;

    let versions = nodes[2].catalog.history(&sheets());
    assert_eq!(versions, [Version(1), Version(2), Version(3)]);
    for (version, id) in versions.into_iter().zip(["first", "second", "third"]) {
        let body = nodes[2].catalog.body(&sheets(), version).await.unwrap();
        let path = format!("/{id}/*");
        assert!(body.is_some_and(|body| body.contains(&path)), "{version}");
    }
    let absent = nodes[2].catalog.body(&sheets(), Version(4)).await.unwrap();
    assert_eq!(absent, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_is_written_after_an_outage_of_the_object_store() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    // With 400 ms per call, the edit makes two reads in a row and then sends its
    // transaction, which takes from 800 to 1,200 ms after the start.
    let fault = Fault {
        delay_ms: 400,
        ..Fault::default()
    };
    stand_in.set_fault(fault).await;
    let catalog = nodes[0].catalog.clone();
    let running = tokio::spawn(async move { catalog.edit(edit("first", &sheets(), 0)).await });
    tokio::time::sleep(Duration::from_secs(1)).await;

    // The platform has received the transaction, and its response passes. The
    // body, which is written next, does not arrive.
    nodes[0].store.set_flows(Flows {
        to_target: Flow::Discard,
        to_client: Flow::Forward,
    });
    running.await.unwrap().unwrap();
    let client = client(&stand_in);
    let body = client.get_object("history/sheets/1").await.unwrap();
    assert_eq!(body, None);

    nodes[0].store.set_flows(Flows::default());
    let deadline = Instant::now() + Duration::from_secs(8);
    while client
        .get_object("history/sheets/1")
        .await
        .unwrap()
        .is_none()
    {
        assert!(Instant::now() < deadline, "the body is lost");
    }
}
