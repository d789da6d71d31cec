//! Tests of idempotency keys.

use std::time::Duration;

use carobdrift_test_support::target::{Faults, Reset};

use crate::fixture::{Entry, get, post};

const KEY: &str = "idempotency-key";

/// Guards against a second run, and against a response other than the recorded
/// one, when a caller repeats a request.
#[tokio::test]
async fn a_repeated_request_is_replayed() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let key = entry.key("book-7");

    let first = entry
        .send(post("first").with_header(KEY, &key))
        .await
        .expect("the entry responds");
    let again = entry
        .send(post("again").with_header(KEY, &key))
        .await
        .expect("the entry responds");

    assert!(first.echoes("first", "heat 7"));
    assert!(
        again.echoes("first", "heat 7"),
        "not the recorded response: {again:?}"
    );
    assert_eq!(again.header("carobdrift-replayed"), Some("1"));
    assert_eq!(again.summary(), (200, None, None));
    assert_eq!(entry.runs().len(), 1);
}

/// Guards against a second run with a key whose first attempt has an unknown
/// outcome or a response that was not recorded, and against a key that stays
/// claimed although its attempt was certainly not run.
#[tokio::test]
async fn repeats_after_a_failure() {
    let lost = Faults {
        reset: Some(Reset::AfterRunning),
        next: Some(1),
        ..Faults::default()
    };
    let refused = Faults {
        shed: true,
        next: Some(1),
        ..Faults::default()
    };
    let in_progress = (409, Some("unknown"), Some("in-progress"));
    let already_run = (409, Some("unknown"), Some("already-run"));
    let cases = [
        ("response lost", lost, "10", in_progress, 1),
        ("refused by contract", refused, "10", (200, None, None), 1),
        ("large response", Faults::default(), "20000", already_run, 1),
    ];
    for (name, faults, size, expected, runs) in cases {
        let entry = Entry::with_faults(&[faults]).await;
        let key = entry.key("book-7");
        let call = |token: &str| {
            post(token)
                .with_header(KEY, &key)
                .with_header("stand-in-bytes", size)
        };

        let first = entry.send(call("first")).await.expect("the entry responds");
        let again = entry.send(call("again")).await.expect("the entry responds");

        assert_eq!(
            again.summary(),
            expected,
            "{name}: first {:?}",
            first.summary()
        );
        assert_eq!(entry.runs().len(), runs, "{name}");
        let attempt = again.header("carobdrift-attempt");
        assert_eq!(attempt.is_some(), again.status == 409, "{name}");
    }
}

/// Guards against several runs when the repeats arrive concurrently.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_repeats_run_once() {
    let entry = Entry::with_faults(&[Faults {
        late_ms: 30,
        ..Faults::default()
    }])
    .await;
    let key = entry.key("book-7");
    let calls = (0..20).map(|n| entry.send(post(&format!("send-{n}")).with_header(KEY, &key)));

    let responses = futures_util::future::join_all(calls).await;

    assert_eq!(entry.runs().len(), 1);
    let (mut first, mut repeats) = (0, 0);
    for response in responses {
        let response = response.expect("the entry responds");
        // A repeat that arrives after the end of the first request is replayed.
        let replayed = response.header("carobdrift-replayed").is_some();
        match response.summary() {
            (200, None, None) if !replayed => first += 1,
            (200, None, None) | (409, Some("unknown"), Some("in-progress")) => repeats += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((first, repeats), (1, 19));
}

/// Guards against running requests whose keys cannot be decided on.
#[tokio::test]
async fn keys_that_cannot_be_decided_are_refused() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let used_key = entry.key("used");
    let first = entry
        .send(post("used").with_header(KEY, &used_key))
        .await
        .expect("the entry responds");
    assert_eq!(first.status, 200);
    let peer_key = used_key.replace("entry-1", "entry-2");
    let cases = [
        (
            "no prefix",
            "mine".to_owned(),
            "/seedings",
            (400, Some("not-run"), Some("malformed-key")),
        ),
        (
            "another path",
            used_key,
            "/seedings?heat=8",
            (422, Some("not-run"), Some("key-mismatch")),
        ),
        (
            "another entry",
            peer_key,
            "/seedings",
            (503, Some("unknown"), Some("decider-unreachable")),
        ),
    ];
    for (name, key, path, expected) in cases {
        let call = post("case").path(path).with_header(KEY, key);
        let response = entry.send(call).await.expect("the entry responds");
        assert_eq!(response.summary(), expected, "{name}");
        let not_run = response.header("carobdrift-attempt") == Some("not-run");
        assert_eq!(not_run, expected.1 == Some("unknown"), "{name}");
    }
    assert!(entry.runs_of("case").is_empty());
}

/// Guards against a claim that remains when its request is shed.
#[tokio::test]
async fn a_shed_request_releases_its_key() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let key = entry.key("book-7");
    let call = post("shed")
        .with_header(KEY, &key)
        .with_header("carobdrift-deadline-ms", "0");
    let shed = entry.send(call).await.expect("the entry responds");
    assert_eq!(shed.summary().1, Some("not-run"), "{shed:?}");

    let again = entry
        .send(post("again").with_header(KEY, &key))
        .await
        .expect("the entry responds");

    assert!(again.echoes("again", "heat 7"), "{again:?}");
}

/// Guards against claims for idempotent requests, which may run more than once.
#[tokio::test]
async fn idempotent_requests_claim_nothing() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    for number in 0..2 {
        let token = format!("view-{number}");
        let response = entry
            .send(get(&token).with_header(KEY, "mine"))
            .await
            .expect("the entry responds");
        assert!(response.echoes(&token, ""));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
