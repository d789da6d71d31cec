use std::time::Duration;

use carobdrift_test_support::target::{Faults, Reset};

use crate::fixture::{Entry, get, post};

const KEY: &str = "idempotency-key";

/// Guards against a second run, and against an answer that is not the recorded
/// one, when a caller repeats a request.
#[tokio::test]
async fn a_repeat_is_replayed() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let key = entry.key("book-7");

    let first = entry
        .ask(post("first").with(KEY, &key))
        .await
        .expect("answers");
    let again = entry
        .ask(post("again").with(KEY, &key))
        .await
        .expect("answers");

    assert!(first.is_own("first", "heat 7"));
    assert!(
        again.is_own("first", "heat 7"),
        "the recorded response: {again:?}"
    );
    assert_eq!(again.header("carobdrift-replayed"), Some("1"));
    assert_eq!(again.summary(), (200, None, None));
    assert_eq!(entry.runs().len(), 1);
}

/// Guards against a second run of a key whose first attempt has an unknown
/// outcome or a response that was not kept, and against a key that is lost
/// although its attempt truly did not run.
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
        ("answer lost", lost, "10", in_progress, 1),
        ("refused by contract", refused, "10", (200, None, None), 1),
        ("large response", Faults::default(), "20000", already_run, 1),
    ];
    for (name, faults, size, expected, runs) in cases {
        let entry = Entry::with_faults(&[faults]).await;
        let key = entry.key("book-7");
        let ask = |token: &str| post(token).with(KEY, &key).with("stand-in-bytes", size);

        let first = entry.ask(ask("first")).await.expect("the entry answers");
        let again = entry.ask(ask("again")).await.expect("the entry answers");

        assert_eq!(
            again.summary(),
            expected,
            "{name}: first {:?}",
            first.summary()
        );
        assert_eq!(entry.runs().len(), runs, "{name}");
        let stated = again.header("carobdrift-attempt");
        assert_eq!(stated.is_some(), again.status == 409, "{name}");
    }
}

/// Guards against two runs when the repeats arrive together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_repeats_run_once() {
    let entry = Entry::with_faults(&[Faults {
        late_ms: 30,
        ..Faults::default()
    }])
    .await;
    let key = entry.key("book-7");
    let asks = (0..20).map(|n| entry.ask(post(&format!("send-{n}")).with(KEY, &key)));

    let answers = futures_util::future::join_all(asks).await;

    assert_eq!(entry.runs().len(), 1);
    let (mut first, mut repeats) = (0, 0);
    for answer in answers {
        let answer = answer.expect("the entry answers");
        // A repeat that comes after the end of the first is replayed.
        let replayed = answer.header("carobdrift-replayed").is_some();
        match answer.summary() {
            (200, None, None) if !replayed => first += 1,
            (200, None, None) | (409, Some("unknown"), Some("in-progress")) => repeats += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((first, repeats), (1, 19));
}

/// Guards against keys that nobody decided on.
#[tokio::test]
async fn keys_that_can_not_be_decided_are_refused() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let used = entry.key("used");
    let first = entry
        .ask(post("used").with(KEY, &used))
        .await
        .expect("answers");
    assert_eq!(first.status, 200);
    let foreign = used.replace("entry-1", "entry-2");
    let cases = [
        (
            "no prefix",
            "mine".to_owned(),
            "/seedings",
            (400, Some("not-run"), Some("malformed-key")),
        ),
        (
            "another path",
            used,
            "/seedings?heat=8",
            (422, Some("not-run"), Some("key-mismatch")),
        ),
        (
            "another entry",
            foreign,
            "/seedings",
            (503, Some("unknown"), Some("decider-unreachable")),
        ),
    ];
    for (name, key, path, expected) in cases {
        let ask = post("case").path(path).with(KEY, key);
        let answer = entry.ask(ask).await.expect("the entry answers");
        assert_eq!(answer.summary(), expected, "{name}");
        let stated = answer.header("carobdrift-attempt") == Some("not-run");
        assert_eq!(stated, expected.1 == Some("unknown"), "{name}");
    }
    assert!(entry.runs_of("case").is_empty());
}

/// Guards against a claim that stays behind when its request is shed.
#[tokio::test]
async fn a_shed_request_gives_its_key_back() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let key = entry.key("book-7");
    let ask = post("shed")
        .with(KEY, &key)
        .with("carobdrift-deadline-ms", "0");
    let shed = entry.ask(ask).await.expect("the entry answers");
    assert_eq!(shed.summary().1, Some("not-run"), "{shed:?}");

    let again = entry
        .ask(post("again").with(KEY, &key))
        .await
        .expect("answers");

    assert!(again.is_own("again", "heat 7"), "{again:?}");
}

/// Guards against a key that is claimed for a request which may run again
/// anyway.
#[tokio::test]
async fn idempotent_requests_claim_nothing() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    for number in 0..2 {
        let token = format!("view-{number}");
        let answer = entry
            .ask(get(&token).with(KEY, "mine"))
            .await
            .expect("answers");
        assert!(answer.is_own(&token, ""));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
