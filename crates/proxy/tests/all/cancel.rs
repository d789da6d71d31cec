use std::time::{Duration, Instant};

use carobdrift_test_support::target::{End, Faults, Run, ServiceTime, Settings};

use crate::fixture::{Ask, Entry, client, document, get, post, send, target, target_with};

/// Waits until the run of a token has ended.
async fn ended(entry: &Entry, token: &str) -> Run {
    for _ in 0..200 {
        let run = entry.runs_of(token).pop();
        if let Some(run) = run.filter(|run| run.end != End::Running) {
            return run;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the run of {token} did not end");
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

/// Guards against requests that go on running for callers that went away, and
/// against a later caller that gets such a caller's answer.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_at_the_target() {
    let cases: [(&str, Ask, bool); 4] = [
        ("HTTP/1.1, idempotent", get("gone"), false),
        ("HTTP/1.1, non-idempotent", post("gone"), false),
        ("HTTP/2, idempotent", get("gone"), true),
        ("HTTP/2, non-idempotent", post("gone"), true),
    ];
    for (name, ask, http2) in cases {
        let entry = Entry::with_targets(vec![target_with(slow(400.0)).await], |_| {}).await;
        let address = entry.address();
        // The client of the caller is dropped with it, and its connection too.
        let caller = tokio::spawn(async move { send(&client(http2), &ask, address).await });
        tokio::time::sleep(Duration::from_millis(100)).await;

        caller.abort();

        let run = ended(&entry, "gone").await;
        assert_eq!(run.end, End::Cancelled, "{name}");
        let lasted = run.end_us.unwrap_or(u64::MAX) - run.begin_us;
        assert!(lasted < 300_000, "{name}: cancelled after {lasted} us");
        let next = entry.ask(get("next")).await.expect("the entry answers");
        assert!(next.is_own("next", ""), "{name}: {next:?}");
    }
}

/// Guards against a request that goes on running after its deadline.
#[tokio::test]
async fn a_deadline_cancels_at_the_target() {
    let entry = Entry::with_targets(vec![target_with(slow(400.0)).await], |_| {}).await;
    let ask = get("late").with("carobdrift-deadline-ms", "50");

    let answer = entry.ask(ask).await.expect("the entry answers");

    assert_eq!(answer.summary(), (504, Some("unknown"), Some("deadline")));
    assert_eq!(ended(&entry, "late").await.end, End::Cancelled);
}

/// Guards against a hedge whose loser goes on running, and against a mixture of
/// the two answers.
#[tokio::test]
async fn the_loser_of_a_hedge_is_cancelled() {
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
        let answer = entry.ask(get(&token)).await.expect("the entry answers");
        assert!(answer.is_own(&token, ""));
    }
    let slow = &entry.targets[0];
    slow.set_faults(Faults {
        late_ms: 700,
        ..Faults::default()
    });
    let fast = target(Faults::default()).await;
    let mut both = document(&[slow.address(), fast.address()]);
    hedging(&mut both);

    // The other target appears while the request waits for the slow one, so
    // that the policy has no choice before.
    let change = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        entry.shelf.put(&both);
        entry.ask(get("second")).await
    };
    let begin = Instant::now();
    let first = async {
        let answer = entry.ask(get("first")).await;
        (answer, begin.elapsed())
    };
    let ((first, took), second) = tokio::join!(first, change);

    let first = first.expect("the entry answers");
    assert!(first.is_own("first", ""), "{first:?}");
    assert!(took < Duration::from_millis(600), "{took:?}");
    let second = second.expect("the entry answers");
    assert!(second.is_own("second", ""), "{second:?}");
    let hedges = fast.runs().into_iter();
    let hedges = hedges.filter(|run| run.token.as_deref() == Some("first"));
    assert_eq!(hedges.count(), 1);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(slow.in_flight(), 0, "the loser was cancelled");
}

/// Guards against a post that is hedged.
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
        let answer = entry.ask(post(&token)).await.expect("the entry answers");
        assert!(answer.is_own(&token, "heat 7"));
        assert_eq!(entry.runs_of(&token).len(), 1);
    }
}
