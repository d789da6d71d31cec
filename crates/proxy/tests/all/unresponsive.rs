//! Tests of connections to targets that become unresponsive.

use std::time::{Duration, Instant};

use carobdrift_test_support::target::{Action, Faults};

use crate::fixture::{Entry, get, post};

/// Time after which a connection no longer counts as recently used.
const NOT_RECENT: Duration = Duration::from_millis(300);

async fn warm_up(entry: &Entry, count: usize) {
    let calls = (0..count).map(|n| entry.send(get(&format!("warm-{n}"))));
    let responses = futures_util::future::join_all(calls).await;
    assert!(
        responses
            .iter()
            .flatten()
            .all(|response| response.status == 200)
    );
}

/// Guards against callers that wait on unresponsive open connections although
/// new connections work: an idempotent request moves to a new connection within
/// its deadline, and the other unresponsive connections are not used.
#[tokio::test]
async fn idempotent_requests_leave_unresponsive_connections() {
    let entry = Entry::with_faults(&[Faults {
        late_ms: 20,
        ..Faults::default()
    }])
    .await;
    warm_up(&entry, 8).await;
    entry.targets[0].perform(&Action::SwallowOpen);

    let mut times = Vec::new();
    for number in 0..6 {
        let token = format!("after-{number}");
        let begin = Instant::now();
        let response = entry.send(get(&token)).await.expect("the entry responds");
        times.push(begin.elapsed());
        assert!(response.echoes(&token, ""), "{response:?}");
    }

    assert!(times[0] < Duration::from_millis(900), "{times:?}");
    assert!(
        times[1..]
            .iter()
            .all(|time| *time < Duration::from_millis(300)),
        "more than the first request used an unresponsive connection: {times:?}"
    );
}

/// Guards against a non-idempotent request on an idle connection that may have
/// become unresponsive.
#[tokio::test]
async fn non_idempotent_requests_use_recently_used_connections() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    warm_up(&entry, 4).await;
    entry.targets[0].perform(&Action::SwallowOpen);
    tokio::time::sleep(NOT_RECENT).await;

    let response = entry.send(post("post")).await.expect("the entry responds");

    assert!(response.echoes("post", "heat 7"), "{response:?}");
}

/// Guards against a second run when a recently used connection becomes
/// unresponsive: the outcome is unknown, and the request is not sent again.
#[tokio::test]
async fn an_unresponsive_recently_used_connection_means_unknown() {
    let entry = Entry::with_faults(&[Faults {
        swallow_after: Some(1),
        ..Faults::default()
    }])
    .await;
    warm_up(&entry, 1).await;

    let call = post("post").with_header("carobdrift-deadline-ms", "100");
    let response = entry.send(call).await.expect("the entry responds");

    // The stand-in runs the request but discards the response.
    assert_eq!(response.summary(), (504, Some("unknown"), Some("deadline")));
    assert!(entry.runs_of("post").len() <= 1);
}
