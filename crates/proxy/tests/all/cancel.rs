//! Tests of the cancellation of requests at targets.

use std::time::{Duration, Instant};

use carobdrift_test_support::target::{Faults, Run, ServiceTime, Settings, Status};

use crate::fixture::{Call, Entry, client, document, get, post, send, target, target_with};

/// Waits until the run of the request with this token has ended.
async fn wait_for_end(entry: &Entry, token: &str) -> Run {
    for _ in 0..200 {
        let run = entry.runs_of(token).pop();
        if let Some(run) = run.filter(|run| run.status != Status::Running) {
            return run;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the run of {token} did not end within 1 s");
}

fn slow(mean_ms: f64) -> Settings {
    Settings {
        slots: 64,
        service_time: ServiceTime {
            mean_ms,
            ..ServiceTime::default()
        },
        ..Settings::default()
    }
}

/// Guards against requests that keep running after their caller disconnected,
/// and against a later caller that gets the response to such a request.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_at_the_target() {
    let cases: [(&str, Call, bool); 4] = [
        ("HTTP/1.1, idempotent", get("gone"), false),
        ("HTTP/1.1, non-idempotent", post("gone"), false),
        ("HTTP/2, idempotent", get("gone"), true),
        ("HTTP/2, non-idempotent", post("gone"), true),
    ];
    for (name, call, http2) in cases {
        let entry = Entry::with_targets(vec![target_with(slow(400.0)).await], |_| {}).await;
        let address = entry.address();
        // Aborting the task drops the client, which closes its connection.
        let caller = tokio::spawn(async move { send(&client(http2), &call, address).await });
        tokio::time::sleep(Duration::from_millis(100)).await;

        caller.abort();

        let run = wait_for_end(&entry, "gone").await;
        assert_eq!(run.status, Status::Cancelled, "{name}");
        let lasted = run.end_us.unwrap_or(u64::MAX) - run.begin_us;
        assert!(lasted < 300_000, "{name}: cancelled after {lasted} us");
        let next = entry.send(get("next")).await.expect("the entry responds");
        assert!(next.echoes("next", ""), "{name}: {next:?}");
    }
}

/// Guards against a request that keeps running after its deadline.
#[tokio::test]
async fn a_deadline_cancels_at_the_target() {
    let entry = Entry::with_targets(vec![target_with(slow(400.0)).await], |_| {}).await;
    let call = get("late").with_header("carobdrift-deadline-ms", "50");

    let response = entry.send(call).await.expect("the entry responds");

    assert_eq!(response.summary(), (504, Some("unknown"), Some("deadline")));
    assert_eq!(wait_for_end(&entry, "late").await.status, Status::Cancelled);
}

/// Guards against a losing hedge attempt that keeps running, and against a
/// mixture of the two responses.
#[tokio::test]
async fn the_losing_attempt_of_a_hedge_is_cancelled() {
    let hedging = |document: &mut serde_json::Value| {
        document["hedging"] = serde_json::json!(
            {"after_percentile": 95, "min_delay_ms": 100, "budget_percent": 100}
        );
        document["balancing"]["policy"] = "adaptive".into();
    };
    let slow = target(Faults::default()).await;
    let entry = Entry::with_targets(vec![slow], hedging).await;
    for number in 0..200 {
        let token = format!("warm-{number}");
        let response = entry.send(get(&token)).await.expect("the entry responds");
        assert!(response.echoes(&token, ""));
    }
    let slow = &entry.targets[0];
    slow.set_faults(Faults {
        late_ms: 700,
        ..Faults::default()
    });
    let fast = target(Faults::default()).await;
    let mut both = document(&[slow.address(), fast.address()]);
    hedging(&mut both);

    // The fast target is added while the request waits for the slow one, so
    // that the policy must choose the slow target first.
    let change = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        entry.documents.put(&both);
        entry.send(get("second")).await
    };
    let begin = Instant::now();
    let first = async {
        let response = entry.send(get("first")).await;
        (response, begin.elapsed())
    };
    let ((first, took), second) = tokio::join!(first, change);

    let first = first.expect("the entry responds");
    assert!(first.echoes("first", ""), "{first:?}");
    assert!(took < Duration::from_millis(600), "{took:?}");
    let second = second.expect("the entry responds");
    assert!(second.echoes("second", ""), "{second:?}");
    let hedges = fast.runs().into_iter();
    let hedges = hedges.filter(|run| run.token.as_deref() == Some("first"));
    assert_eq!(hedges.count(), 1);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(slow.in_flight(), 0, "the losing attempt was not cancelled");
}

/// Guards against hedges of non-idempotent requests.
#[tokio::test]
async fn a_non_idempotent_request_is_not_hedged() {
    let targets = vec![target_with(slow(60.0)).await, target_with(slow(60.0)).await];
    let entry = Entry::with_targets(targets, |document| {
        document["hedging"] = serde_json::json!(
            {"after_percentile": 50, "min_delay_ms": 1, "budget_percent": 100}
        );
        document["balancing"]["policy"] = "adaptive".into();
    })
    .await;
    for number in 0..20 {
        let token = format!("post-{number}");
        let response = entry.send(post(&token)).await.expect("the entry responds");
        assert!(response.echoes(&token, "heat 7"));
        assert_eq!(entry.runs_of(&token).len(), 1);
    }
}
