use std::time::Duration;

use carobdrift_catalog::Standing;
use carobdrift_test_support::target::{Faults, Settings};
use serde_json::Value;

use crate::fixture::{Answer, Entry, document, get, target_with};

type Change = fn(&mut Value);

/// An entry whose target takes one request at a time, for 300 ms.
async fn busy() -> Entry {
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

/// The answer to a request that waits in the queue while `change` is made.
async fn queued(entry: &Entry, change: impl FnOnce()) -> Answer {
    let first = entry.ask(get("first"));
    let second = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        entry.ask(get("queued")).await
    };
    let change = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        change();
    };
    let (first, second, ()) = tokio::join!(first, second, change);
    let first = first.expect("the entry answers");
    assert!(first.is_own("first", ""), "{first:?}");
    second.expect("the entry answers")
}

/// Guards against a dispatch by a document that is not known to be the newest
/// any more: a request that waited is checked again before it is sent.
#[tokio::test]
async fn a_queued_request_needs_a_confirmation() {
    let entry = busy().await;

    let answer = queued(&entry, || entry.shelf.set_standing(Standing::Unconfirmed)).await;

    let expected = (503, Some("not-run"), Some("unconfirmed"));
    assert_eq!(answer.summary(), expected);
    assert!(entry.runs_of("queued").is_empty());
}

/// Guards against a dispatch by the document that was in force when a request
/// began to wait.
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
        let entry = busy().await;
        let mut next = document(&[entry.targets[0].address()]);
        one_slot(&mut next);
        change(&mut next);

        let answer = queued(&entry, || entry.shelf.put(&next)).await;

        assert_eq!(answer.summary(), expected, "{name}");
        let runs = usize::from(expected.0 == 200);
        assert_eq!(entry.runs_of("queued").len(), runs, "{name}");
    }
}
