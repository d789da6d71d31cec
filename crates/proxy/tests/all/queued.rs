//! Tests of requests that wait while documents or the standing change.

use std::time::Duration;

use carobdrift_catalog::Standing;
use carobdrift_test_support::target::{Faults, Settings};
use serde_json::Value;

use crate::fixture::{Entry, Response, document, get, target_with};

type Change = fn(&mut Value);

/// Starts an entry whose target serves one request at a time, in 300 ms.
async fn single_slot_entry() -> Entry {
    let settings = Settings {
        slots: 1,
        faults: Faults {
            late_ms: 300,
            ..Faults::default()
        },
        ..Settings::default()
    };
    Entry::with_targets(vec![target_with(settings).await], one_slot).await
}

fn one_slot(document: &mut Value) {
    document["targets"][0]["slots"] = 1.into();
    document["balancing"]["policy"] = "adaptive".into();
}

/// Returns the response to a request that waits in the queue while `change` is
/// made.
async fn send_queued(entry: &Entry, change: impl FnOnce()) -> Response {
    let first = entry.send(get("first"));
    let second = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        entry.send(get("queued")).await
    };
    let change = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        change();
    };
    let (first, second, ()) = tokio::join!(first, second, change);
    let first = first.expect("the entry responds");
    assert!(first.echoes("first", ""), "{first:?}");
    second.expect("the entry responds")
}

/// Guards against a dispatch by a document that is no longer known to be the
/// newest: a request that waited is checked again before it is sent.
#[tokio::test]
async fn a_queued_request_needs_a_confirmation() {
    let entry = single_slot_entry().await;

    let response = send_queued(&entry, || {
        entry.documents.set_standing(Standing::Unconfirmed);
    })
    .await;

    let expected = (503, Some("not-run"), Some("unconfirmed"));
    assert_eq!(response.summary(), expected);
    assert!(entry.runs_of("queued").is_empty());
}

/// Guards against a dispatch by the document that was in force when the request
/// began to wait, instead of the document in force now.
#[tokio::test]
async fn a_queued_request_follows_the_new_document() {
    let cases: [(&str, Change, _); 3] = [
        ("same route", |_| {}, (200, None, None)),
        (
            "route removed",
            |document| document["routes"][0]["path"] = "/lanes/*".into(),
            (404, Some("not-run"), Some("no-route")),
        ),
        (
            "kind changed",
            |document| document["routes"][0]["kind"] = "non-idempotent".into(),
            (503, Some("not-run"), Some("document-changed")),
        ),
    ];
    for (name, change, expected) in cases {
        let entry = single_slot_entry().await;
        let mut next = document(&[entry.targets[0].address()]);
        one_slot(&mut next);
        change(&mut next);

        let response = send_queued(&entry, || entry.documents.put(&next)).await;

        assert_eq!(response.summary(), expected, "{name}");
        let runs = usize::from(expected.0 == 200);
        assert_eq!(entry.runs_of("queued").len(), runs, "{name}");
    }
}
