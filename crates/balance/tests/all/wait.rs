//! Guards against calls that are shed although a larger share is about to be
//! granted, that wait although no grant can help them, or that remain counted
//! after they were cancelled.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::{Pool, Quota, Scope, Share, Shed};
use carobdrift_document::{Document, Limits, Policy};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::Instant;

use crate::fixture::{self, advance, call};

/// Returns a document whose limits are too small for a fixed share.
fn document() -> Document {
    let mut document = fixture::document(Policy::LeastInFlight, 4, 2);
    document.limits = Limits {
        max_in_flight: 100,
        max_per_second: 100,
    };
    document
}

fn open(document: Document) -> Pool {
    fixture::open_with(document, fixture::config())
}

fn grant(quota: &Quota, amount: u32) {
    let share = Share {
        in_flight: amount,
        per_second: 100,
    };
    quota.grant(share, Instant::now() + Duration::from_secs(30));
}

/// Starts a call that holds its slot for 10 ms.
async fn start(pool: &Pool, deadline_ms: u64) -> JoinHandle<Result<Duration, Shed>> {
    let pool = pool.clone();
    let started = Instant::now();
    let call = call(deadline_ms);
    let task = tokio::spawn(async move {
        let slot = pool.acquire(&call).await?;
        let waited = started.elapsed();
        advance(10).await;
        drop(slot);
        Ok(waited)
    });
    yield_now().await;
    task
}

const REFUSED: Result<Duration, Shed> = Err(Shed::Limit(Scope::Service));

/// Fails when an idle entry with sudden load sheds calls before its query is
/// answered.
#[tokio::test(start_paused = true)]
async fn calls_wait_for_the_answer_to_a_query() {
    let pool = open(document());
    let quota = pool.quota();
    let alarm = Arc::new(Notify::new());
    quota.notify_on_shortage(&alarm);

    let calls = [start(&pool, 400).await, start(&pool, 400).await];
    alarm.notified().await;
    assert!(quota.is_short());
    let demand = quota.report_demand().expect("something is wanted");
    assert_eq!((demand.wanted.in_flight, demand.wanted.per_second), (8, 8));
    assert!(!quota.is_short());
    advance(50).await;
    grant(&quota, 8);

    for call in calls {
        assert_eq!(call.await.unwrap(), Ok(Duration::from_millis(50)));
    }
}

/// Fails when a call waits longer than 100 ms or beyond its deadline, or waits
/// although no grant could help it.
#[tokio::test(start_paused = true)]
async fn a_wait_is_bounded() {
    let pool = open(document());
    let start_time = Instant::now();

    assert_eq!(start(&pool, 400).await.await.unwrap(), REFUSED);
    assert_eq!(start_time.elapsed(), Duration::from_millis(100));
    let shed = start(&pool, 30).await.await.unwrap();
    assert_eq!(shed, Err(Shed::Deadline));
    assert_eq!(start_time.elapsed(), Duration::from_millis(130));
    pool.quota().set_even_split(Some(100));
    assert!(start(&pool, 400).await.await.unwrap().is_ok());
    assert_eq!(start(&pool, 400).await.await.unwrap(), REFUSED);
    assert_eq!(start_time.elapsed(), Duration::from_millis(140));
}

/// Fails when calls that wait for a share are not counted towards the length of
/// their queue, or are still counted after their cancellation.
#[tokio::test(start_paused = true)]
async fn a_cancelled_wait_leaves_nothing_behind() {
    let mut document = document();
    document.classes[0].max_queue = 3;
    let pool = open(document);
    let quota = pool.quota();
    for _ in 0..5 {
        let mut calls = Vec::new();
        for _ in 0..3 {
            calls.push(start(&pool, 400).await);
        }
        let before = Instant::now();
        assert_eq!(start(&pool, 400).await.await.unwrap(), REFUSED);
        assert_eq!(before.elapsed(), Duration::ZERO);
        for call in &calls {
            call.abort();
        }
        for call in calls {
            assert!(call.await.is_err_and(|error| error.is_cancelled()));
        }
    }
    advance(2_000).await;

    assert_eq!(quota.peak_usage(), Share::default());
    grant(&quota, 2);
    assert_eq!(fixture::acquire_all(&pool).await.len(), 2);
}

/// Fails when the end of a request notifies only a call that has just been
/// cancelled.
#[tokio::test(start_paused = true)]
async fn no_wake_up_is_lost() {
    let pool = open(document());
    grant(&pool.quota(), 1);
    let slot = fixture::acquire(&pool).await;
    let first = start(&pool, 400).await;
    let second = start(&pool, 400).await;
    advance(5).await;

    drop(slot);
    first.abort();

    let waited = second.await.unwrap();
    assert!(
        waited.is_ok_and(|waited| waited <= Duration::from_millis(15)),
        "{waited:?}"
    );
    drop(first.await);
}

/// Fails when a call is shed although the whole limit was granted in the
/// meantime.
#[tokio::test(start_paused = true)]
async fn a_call_takes_its_part_of_the_whole_limit() {
    let pool = open(document());
    let waiting = [start(&pool, 400).await, start(&pool, 400).await];
    advance(20).await;

    grant(&pool.quota(), 100);

    for call in waiting {
        assert_eq!(call.await.unwrap(), Ok(Duration::from_millis(20)));
    }
}

/// Fails when a call that waits for one limit misses a change of another.
#[tokio::test(start_paused = true)]
async fn a_call_waits_for_class_and_service() {
    let mut document = document();
    document.classes[0].max_in_flight = Some(8);
    let pool = open(document);
    let quotas = pool.quotas();
    assert_eq!(quotas.len(), 2);

    let waiting = start(&pool, 400).await;
    advance(20).await;
    grant(&quotas[1].1, 2);
    advance(20).await;
    grant(&quotas[0].1, 2);

    assert_eq!(waiting.await.unwrap(), Ok(Duration::from_millis(40)));
}
