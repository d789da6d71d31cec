use std::time::Duration;

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

/// Guards against requests that are cut off by an orderly stop, and against a
/// stop that waits for idle connections.
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
        let _idle = TcpStream::connect(address).await.expect("loopback");
        tokio::time::sleep(Duration::from_millis(80)).await;

        let ended = entry.listener.drain(Duration::from_secs(2)).await;

        assert!(ended, "HTTP/2 {http2}");
        let answer = caller
            .await
            .expect("the caller lives")
            .expect("the entry answers");
        assert!(answer.is_own("last", ""), "HTTP/2 {http2}: {answer:?}");
        assert!(TcpStream::connect(address).await.is_err());
    }
}

/// Guards against a stop without end.
#[tokio::test]
async fn a_drain_is_bounded() {
    let entry = Entry::with_faults(&[late(800)]).await;
    let address = entry.address();
    let caller = tokio::spawn(async move { send(&client(false), &get("cut"), address).await });
    tokio::time::sleep(Duration::from_millis(80)).await;

    let ended = entry.listener.drain(Duration::from_millis(100)).await;

    assert!(!ended);
    let answer = caller.await.expect("the caller lives");
    assert!(answer.is_err(), "{answer:?}");
}

/// Guards against interrupted requests and against new work when a target
/// says that it is leaving.
#[tokio::test]
async fn a_draining_target_finishes_and_gets_nothing_new() {
    let entry = Entry::with_faults(&[late(150), late(150)]).await;
    let asks = (0..10).map(|n| entry.ask(get(&format!("first-{n}"))));
    let first = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        entry.targets[0].act(&Action::Drain { at_least_ms: 0 });
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(asks), first);
    for (number, answer) in answers.into_iter().enumerate() {
        let answer = answer.expect("the entry answers");
        assert!(answer.is_own(&format!("first-{number}"), ""), "{answer:?}");
    }
    let before = entry.targets[0].runs().len();

    for number in 0..6 {
        let token = format!("next-{number}");
        let ask = if number % 2 == 0 {
            get(&token)
        } else {
            post(&token)
        };
        let answer = entry.ask(ask).await.expect("the entry answers");
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    assert!(before > 0, "the leaving target had requests");
    assert_eq!(entry.targets[0].runs().len(), before);
    assert!(entry.targets[0].is_closed());
}

/// Guards against answers that an entry makes up while its runtime ends: the
/// connection to a target may go before the one to the caller.
#[test]
fn a_stop_at_once_answers_nothing() {
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
                let ask = get(&format!("cut-{round}-{number}"));
                outside.spawn(async move { send(&client(false), &ask, address).await })
            })
            .collect();
        outside.block_on(async { tokio::time::sleep(Duration::from_millis(100)).await });
        assert_eq!(entry.runs().len(), REQUESTS, "round {round}");

        // Busy threads, as on a loaded machine: the runtime begins to end
        // before the connections run again.
        for _ in 0..THREADS {
            inside.spawn(async { std::thread::sleep(Duration::from_millis(20)) });
        }
        std::thread::sleep(Duration::from_millis(5));
        drop(entry);
        drop(inside);

        for answer in outside.block_on(join_all(callers)) {
            let answer = answer.expect("the caller lives");
            assert!(answer.is_err(), "round {round}: {answer:?}");
        }
    }
}
