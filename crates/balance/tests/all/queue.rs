//! Tests of the order of queued calls, of shedding and of cancellation.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use carobdrift_balance::{Call, Outcome, Pool, Shed};
use carobdrift_document::Policy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::fixture::{self, acquire, advance, call, finish};

type Order = Arc<Mutex<Vec<String>>>;

fn single() -> Pool {
    fixture::open(fixture::document(Policy::Adaptive, 1, 1))
}

/// Queues a call. Once served, the call appends its name to `order` and takes 1
/// ms.
fn wait(pool: &Pool, call: Call, name: &str, order: &Order) -> JoinHandle<Result<(), Shed>> {
    let (pool, name, order) = (pool.clone(), name.to_owned(), Arc::clone(order));
    tokio::spawn(async move {
        let slot = pool.acquire(&call).await?;
        order.lock().expect("no test panics").push(name);
        advance(1).await;
        finish(slot, Outcome::Success);
        Ok(())
    })
}

/// Fails when calls of a class are served in the order of arrival.
#[tokio::test(start_paused = true)]
async fn the_earliest_deadline_is_first() {
    let pool = single();
    let order = Order::default();
    let held = acquire(&pool).await;
    let mut tasks = Vec::new();
    for deadline in [400, 200, 300, 100] {
        tasks.push(wait(&pool, call(deadline), &deadline.to_string(), &order));
        advance(1).await;
    }

    drop(held);
    for task in tasks {
        task.await
            .expect("the task completes")
            .expect("the call is served");
    }

    assert_eq!(
        *order.lock().expect("no test panics"),
        ["100", "200", "300", "400"]
    );
}

/// Fails when competing classes are not served in proportion to their weights
/// of 4 and 1.
#[tokio::test(start_paused = true)]
async fn classes_share_by_weight() {
    let pool = single();
    let order = Order::default();
    let held = acquire(&pool).await;
    let mut tasks = Vec::new();
    for _ in 0..100 {
        let mut seeding = call(5_000);
        seeding.class = "seeding".parse().expect("the name is valid");
        tasks.push(wait(&pool, seeding, "seeding", &order));
        tasks.push(wait(&pool, call(5_000), "view", &order));
    }
    advance(1).await;

    drop(held);
    for task in tasks {
        task.await
            .expect("the task completes")
            .expect("the call is served");
    }

    let order = order.lock().expect("no test panics");
    let views = order[..100].iter().filter(|name| *name == "view").count();
    assert!((79..=81).contains(&views), "{views} of 100");
}

/// Fails when more calls are queued than the class permits.
#[tokio::test(start_paused = true)]
async fn a_full_queue_sheds_at_once() {
    let mut document = fixture::document(Policy::Adaptive, 1, 1);
    document.classes[0].max_queue = 2;
    let pool = fixture::open(document);
    let held = acquire(&pool).await;
    let order = Order::default();
    let tasks: Vec<_> = (0..2)
        .map(|_| wait(&pool, call(50), "view", &order))
        .collect();
    advance(1).await;

    let shed = pool.acquire(&call(50)).await.map(|_| ());

    assert_eq!(shed, Err(Shed::QueueFull));
    for task in tasks {
        assert_eq!(task.await.expect("the task completes"), Err(Shed::Deadline));
    }
    drop(held);
}

/// Fails when a call joins a queue whose wait exceeds the call's deadline, or
/// when an urgent call is shed because of calls that are served after it.
#[tokio::test(start_paused = true)]
async fn a_deadline_that_cannot_be_met_sheds_at_once() {
    let pool = single();
    let order = Order::default();
    let _tasks: Vec<_> = (0..200)
        .map(|_| wait(&pool, call(100), "view", &order))
        .collect();
    advance(20).await;
    let begin = tokio::time::Instant::now();

    let late = pool.acquire(&call(90)).await.map(|_| ());
    let shed_after = begin.elapsed();
    let urgent = pool.acquire(&call(10)).await.map(|_| ());

    assert_eq!((late, shed_after), (Err(Shed::Deadline), Duration::ZERO));
    assert_eq!(urgent, Ok(()));
}

/// Fails when a cancelled call leaks a slot. Calls are cancelled before, while
/// and after they are served.
#[tokio::test(start_paused = true)]
async fn cancelled_waiters_leak_no_slot() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 3, 2));
    let mut random = StdRng::seed_from_u64(7);
    let mut tasks = Vec::new();
    for _ in 0..5_000 {
        let (source, service_time) = (pool.clone(), random.random_range(0..8));
        let deadline = random.random_range(1..40);
        tasks.push(tokio::spawn(async move {
            if let Ok(slot) = source.acquire(&call(deadline)).await {
                advance(service_time).await;
                finish(slot, Outcome::Success);
            }
        }));
        if random.random_bool(0.5) {
            let index = random.random_range(0..tasks.len());
            tasks.swap_remove(index).abort();
        }
        if random.random_bool(0.4) {
            advance(1).await;
        }
        let snapshots = pool.snapshots();
        assert!(snapshots.iter().all(|target| target.in_flight <= 2));
    }
    for task in tasks {
        let _ = task.await;
    }

    assert!(pool.snapshots().iter().all(|target| target.in_flight == 0));
    assert_eq!(fixture::acquire_all(&pool).await.len(), 6);
    assert_eq!(pool.quota().peak_usage().in_flight.min(1), 1);
    advance(2_000).await;
    assert_eq!(pool.quota().peak_usage().in_flight, 0);
}

/// Fails when a queued call is missed: each slot that becomes free must serve
/// the next call without a pause.
#[tokio::test(start_paused = true)]
async fn every_free_slot_wakes_a_waiter() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 2, 2));
    let order = Order::default();
    let begin = tokio::time::Instant::now();
    let tasks: Vec<_> = (0..200)
        .map(|_| wait(&pool, call(5_000), "view", &order))
        .collect();

    for task in tasks {
        task.await
            .expect("the task completes")
            .expect("the call is served");
    }

    assert!(
        begin.elapsed() <= Duration::from_millis(60),
        "{:?}",
        begin.elapsed()
    );
}
