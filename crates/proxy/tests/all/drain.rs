//! Tests of the shutdown of an entry and of targets that leave.

use std::time::{Duration, Instant};

use carobdrift_test_support::target::{Action, Faults};
use futures_util::future::join_all;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};

use crate::fixture::{Entry, client, get, post, send, target};

fn late(late_ms: u64) -> Faults {
    Faults {
        late_ms,
        ..Faults::default()
    }
}

/// Guards against a drain that aborts requests in progress, and against a drain
/// that waits for idle connections.
#[tokio::test]
async fn a_drain_finishes_requests_in_progress() {
    for http2 in [false, true] {
        let entry = Entry::with_faults(&[late(200)]).await;
        let address = entry.address();
        let client = client(http2);
        let caller = tokio::spawn({
            let client = client.clone();
            async move { send(&client, &get("last"), address).await }
        });
        let _idle = TcpStream::connect(address)
            .await
            .expect("loopback is available");
        tokio::time::sleep(Duration::from_millis(80)).await;

        let ended = entry.listener.drain(Duration::from_secs(2)).await;

        assert!(ended, "HTTP/2 {http2}");
        let response = caller
            .await
            .expect("the caller task does not panic")
            .expect("the entry responds");
        assert!(response.echoes("last", ""), "HTTP/2 {http2}: {response:?}");
        assert!(TcpStream::connect(address).await.is_err());
    }
}

/// Guards against a drain that never ends, and against one that ends the connection of a
/// request without an answer: its caller would not learn whether the request ran.
#[tokio::test]
async fn a_drain_answers_requests_and_ends_at_its_timeout() {
    const TIMEOUT: Duration = Duration::from_millis(400);
    for call in [get("cut"), post("cut")] {
        let entry = Entry::with_faults(&[late(2_000)]).await;
        let address = entry.address();
        let caller = tokio::spawn(async move { send(&client(false), &call, address).await });
        tokio::time::sleep(Duration::from_millis(80)).await;

        let start = Instant::now();
        entry.listener.drain(TIMEOUT).await;

        assert!(start.elapsed() < TIMEOUT + Duration::from_millis(200));
        let response = caller.await.expect("the caller task does not panic");
        let response = response.expect("the entry responds");
        assert_eq!(
            response.summary(),
            (504, Some("unknown"), Some("stopping")),
            "{response:?}"
        );
    }
}

/// Guards against interrupted requests and against new requests when a target
/// states that it is leaving.
#[tokio::test]
async fn a_draining_target_finishes_and_gets_nothing_new() {
    let entry = Entry::with_faults(&[late(150), late(150)]).await;
    let calls = (0..10).map(|n| entry.send(get(&format!("first-{n}"))));
    let drain = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        entry.targets[0].perform(&Action::Drain { at_least_ms: 0 });
    };
    let (responses, ()) = tokio::join!(futures_util::future::join_all(calls), drain);
    for (number, response) in responses.into_iter().enumerate() {
        let response = response.expect("the entry responds");
        assert!(
            response.echoes(&format!("first-{number}"), ""),
            "{response:?}"
        );
    }
    let before = entry.targets[0].runs().len();

    for number in 0..6 {
        let token = format!("next-{number}");
        let call = if number % 2 == 0 {
            get(&token)
        } else {
            post(&token)
        };
        let response = entry.send(call).await.expect("the entry responds");
        assert_eq!(response.status, 200, "{response:?}");
    }

    assert!(before > 0, "the leaving target had no requests before");
    assert_eq!(entry.targets[0].runs().len(), before);
    assert!(entry.targets[0].is_closed());
}

/// Guards against error responses that an entry generates while its runtime
/// shuts down: the connection to a target may close before the connection to
/// the caller.
#[test]
fn an_immediate_stop_sends_no_response() {
    const ROUNDS: usize = 20;
    const REQUESTS: usize = 60;
    const THREADS: usize = 4;
    let outside = Runtime::new().expect("threads are available");
    for round in 0..ROUNDS {
        let inside = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()
            .expect("threads are available");
        let target = outside.block_on(target(late(5_000)));
        let entry = inside.block_on(Entry::with_targets(vec![target], |_| {}));
        let address = entry.address();
        let callers: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let call = get(&format!("cut-{round}-{number}"));
                outside.spawn(async move { send(&client(false), &call, address).await })
            })
            .collect();
        outside.block_on(async { tokio::time::sleep(Duration::from_millis(100)).await });
        assert_eq!(entry.runs().len(), REQUESTS, "round {round}");

        // Block the worker threads, as on a loaded machine: the runtime begins
        // to shut down before the connection tasks run again.
        for _ in 0..THREADS {
            inside.spawn(async { std::thread::sleep(Duration::from_millis(20)) });
        }
        std::thread::sleep(Duration::from_millis(5));
        drop(entry);
        drop(inside);

        for response in outside.block_on(join_all(callers)) {
            let response = response.expect("the caller task does not panic");
            assert!(response.is_err(), "round {round}: {response:?}");
        }
    }
}
