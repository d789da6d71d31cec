//! Guards against two accepted edits of one version, and against an operator
//! who is told something else than what happened.

use std::time::{Duration, Instant};

use carobdrift_catalog::EditError;
use carobdrift_test_support::platform::{Down, Fault, Lose};
use carobdrift_test_support::relay::{Flow, Flows};
use carobdrift_units::{Revision, Service, Version};

use crate::fixture::{
    BOUND, accept, cell, client, cut_peers, edit, set_down, sheets, stand_in, start, until,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_operators_wins() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    for round in 0..20 {
        let first = edit(&format!("first-{round}"), &sheets(), round);
        let second = edit(&format!("second-{round}"), &sheets(), round);

        let (first, second) =
            tokio::join!(nodes[0].catalog.edit(first), nodes[1].catalog.edit(second));

        let (won, lost) = match (first, second) {
            (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
            (first, second) => panic!("round {round}: {first:?} and {second:?}"),
        };
        assert_eq!(won.outcome.version, Version(round + 1));
        let EditError::Conflict { current, .. } = lost else {
            panic!("round {round}: {lost}")
        };
        assert_eq!(current, Version(round + 1));
        until("the winner is in force", BOUND, || {
            nodes.iter().all(|node| {
                let held = node.catalog.edition(&sheets()).unwrap();
                let path = held.document.routes[0].path.clone();
                path == format!("/{}/*", won.outcome.edit)
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

/// What the operator is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Accepted,
    Unavailable,
    Unknown,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_are_told_what_happened() {
    let fault = Fault::default;
    let cases = [
        ("no fault", fault(), Told::Accepted, true),
        (
            "one response lost",
            Fault {
                lose_writes: Lose::Next(1),
                ..fault()
            },
            Told::Accepted,
            true,
        ),
        (
            "all responses of writes lost",
            Fault {
                lose_writes: Lose::All,
                ..fault()
            },
            Told::Accepted,
            true,
        ),
        (
            "slow",
            Fault {
                slow_ms: 300,
                ..fault()
            },
            Told::Accepted,
            true,
        ),
        (
            "refuses connections",
            Fault {
                down: Down::Refuse,
                ..fault()
            },
            Told::Unavailable,
            false,
        ),
        (
            "answers 503",
            Fault {
                down: Down::Fail,
                ..fault()
            },
            Told::Unavailable,
            false,
        ),
        (
            "does not answer",
            Fault {
                down: Down::Hang,
                ..fault()
            },
            Told::Unavailable,
            false,
        ),
    ];
    for (name, fault, told, written) in cases {
        let stand_in = stand_in().await;
        let nodes = cell(&stand_in, 3).await;
        stand_in.set_fault(fault).await;
        let start = Instant::now();

        let result = nodes[0].catalog.edit(edit("once", &sheets(), 0)).await;

        let heard = match &result {
            Ok(_) => Told::Accepted,
            Err(EditError::Unavailable(_)) => Told::Unavailable,
            Err(EditError::Unknown { .. }) => Told::Unknown,
            Err(error) => panic!("{name}: {error}"),
        };
        assert_eq!(heard, told, "{name}");
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
            lose_writes: Lose::All,
            ..Fault::default()
        })
        .await;
    let catalog = nodes[0].catalog.clone();
    let running = tokio::spawn(async move { catalog.edit(edit("once", &sheets(), 0)).await });
    until("the write took effect", BOUND, || {
        stand_in.row("edits/once").is_some()
    })
    .await;
    set_down(&stand_in, Down::Hang).await;

    let told = running.await.unwrap();

    // The read-back may have been faster than the outage.
    if let Err(error) = &told {
        assert!(matches!(error, EditError::Unknown { .. }), "{error}");
    }
    let id = "once".parse().unwrap();
    assert!(nodes[1].catalog.edit_outcome(&id).await.is_err());
    set_down(&stand_in, Down::No).await;
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
async fn unfit_edits_are_rejected_and_write_nothing() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    accept(&nodes[0], edit("first", &sheets(), 0)).await;
    let foreign = {
        let mut edit = edit("foreign", &sheets(), 1);
        edit.owner = Some("another-team".parse().unwrap());
        edit
    };
    let cases = [
        ("stale version", edit("late", &sheets(), 0), "conflict"),
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

    // Cut off from its peers, an entry can't promise that others will know.
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
async fn a_list_that_lags_makes_no_majority_of_one() {
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
    until("entry-0 hears the others", BOUND, || {
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

    // Nor does it serve alone once it has lost the store and its list as well.
    nodes[0].cut_store();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(13) {
        let serves = nodes[0].catalog.standing().permits_calls();
        assert!(!serves || start.elapsed() < BOUND + Duration::from_millis(150));
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
async fn a_body_outlasts_an_outage_of_the_object_store() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, 3).await;
    // Two reads in a row, then the transaction from 800 to 1,200 ms.
    let fault = Fault {
        slow_ms: 400,
        ..Fault::default()
    };
    stand_in.set_fault(fault).await;
    let catalog = nodes[0].catalog.clone();
    let running = tokio::spawn(async move { catalog.edit(edit("first", &sheets(), 0)).await });
    tokio::time::sleep(Duration::from_secs(1)).await;

    // The transaction was received and its response passes; the object that
    // is written next does not arrive.
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
