use std::time::{Duration, Instant};

use carobdrift_test_support::target::{Action, Faults};

use crate::fixture::{Entry, get, post};

/// Time after which a connection is not proven any more.
const UNPROVEN: Duration = Duration::from_millis(300);

async fn warm(entry: &Entry, count: usize) {
    let asks = (0..count).map(|n| entry.ask(get(&format!("warm-{n}"))));
    let answers = futures_util::future::join_all(asks).await;
    assert!(answers.iter().flatten().all(|answer| answer.status == 200));
}

/// Guards against callers that wait for open connections which went silent
/// while new ones work: an idempotent request moves to a new connection within
/// its deadline, and the other silent ones are not used.
#[tokio::test]
async fn idempotent_requests_leave_silent_connections() {
    let entry = Entry::with_faults(&[Faults {
        late_ms: 20,
        ..Faults::default()
    }])
    .await;
    warm(&entry, 8).await;
    entry.targets[0].act(&Action::SwallowOpen);

    let mut times = Vec::new();
    for number in 0..6 {
        let token = format!("after-{number}");
        let begin = Instant::now();
        let answer = entry.ask(get(&token)).await.expect("the entry answers");
        times.push(begin.elapsed());
        assert!(answer.is_own(&token, ""), "{answer:?}");
    }

    assert!(times[0] < Duration::from_millis(900), "{times:?}");
    assert!(
        times[1..]
            .iter()
            .all(|time| *time < Duration::from_millis(300)),
        "only the first request meets a silent connection: {times:?}"
    );
}

/// Guards against a non-idempotent request on an old connection that may have
/// gone silent.
#[tokio::test]
async fn non_idempotent_requests_use_proven_connections() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    warm(&entry, 4).await;
    entry.targets[0].act(&Action::SwallowOpen);
    tokio::time::sleep(UNPROVEN).await;

    let answer = entry.ask(post("post")).await.expect("the entry answers");

    assert!(answer.is_own("post", "heat 7"), "{answer:?}");
}

/// Guards against a second run when a connection goes silent just after it was
/// proven: the outcome is unknown, and nothing is sent again.
#[tokio::test]
async fn a_silent_proven_connection_means_unknown() {
    let entry = Entry::with_faults(&[Faults {
        swallow_after: Some(1),
        ..Faults::default()
    }])
    .await;
    warm(&entry, 1).await;

    let ask = post("post").with("carobdrift-deadline-ms", "100");
    let answer = entry.ask(ask).await.expect("the entry answers");

    // The stand-in runs the request and its answer is swallowed.
    assert_eq!(answer.summary(), (504, Some("unknown"), Some("deadline")));
    assert!(entry.runs_of("post").len() <= 1);
}
