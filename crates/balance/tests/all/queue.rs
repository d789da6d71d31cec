//! Order of waiting calls, sheds and cancellation.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use carobdrift_balance::{Call, Outcome, Pool, Shed};
use carobdrift_document::Policy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use crate::fixture::{self, call, end, pass, take};

type Order = Arc<Mutex<Vec<String>>>;

fn single() -> Pool {
    fixture::open(fixture::document(Policy::Adaptive, 1, 1))
}

/// Lets a call wait; once served it notes its name and takes 1 ms.
fn wait(pool: &Pool, call: Call, name: &str, order: &Order) -> JoinHandle<Result<(), Shed>> {
    let (pool, name, order) = (pool.clone(), name.to_owned(), Arc::clone(order));
    tokio::spawn(async move {
        let slot = pool.acquire(&call).await?;
        order.lock().expect("no test panics").push(name);
        pass(1).await;
        end(slot, Outcome::Success);
        Ok(())
    })
}

/// Fails when calls of a class are served by arrival.
#[tokio::test(start_paused = true)]
async fn the_earliest_deadline_is_first() {
    let pool = single();
    let order = Order::default();
    let held = take(&pool).await;
    let mut tasks = Vec::new();
    for deadline in [400, 200, 300, 100] {
        tasks.push(wait(&pool, call(deadline), &deadline.to_string(), &order));
        pass(1).await;
    }

    drop(held);
    for task in tasks {
        task.await.expect("it ends").expect("it is served");
    }

    assert_eq!(
        *order.lock().expect("no test panics"),
        ["100", "200", "300", "400"]
    );
}

/// Fails when classes that compete are not served by their weights of 4 and 1.
#[tokio::test(start_paused = true)]
async fn classes_share_by_weight() {
    let pool = single();
    let order = Order::default();
    let held = take(&pool).await;
    let mut tasks = Vec::new();
    for _ in 0..100 {
        let mut seeding = call(5_000);
        seeding.class = "seeding".parse().expect("the name is valid");
        tasks.push(wait(&pool, seeding, "seeding", &order));
        tasks.push(wait(&pool, call(5_000), "view", &order));
    }
    pass(1).await;

    drop(held);
    for task in tasks {
        task.await.expect("it ends").expect("it is served");
    }

    let order = order.lock().expect("no test panics");
    let views = order[..100].iter().filter(|name| *name == "view").count();
    assert!((79..=81).contains(&views), "{views} of 100");
}

/// Fails when more calls wait than the class permits.
#[tokio::test(start_paused = true)]
async fn a_full_queue_sheds_at_once() {
    let mut document = fixture::document(Policy::Adaptive, 1, 1);
    document.classes[0].max_queue = 2;
    let pool = fixture::open(document);
    let held = take(&pool).await;
    let order = Order::default();
    let tasks: Vec<_> = (0..2)
        .map(|_| wait(&pool, call(50), "view", &order))
        .collect();
    pass(1).await;

    let shed = pool.acquire(&call(50)).await.map(|_| ());

    assert_eq!(shed, Err(Shed::QueueFull));
    for task in tasks {
        assert_eq!(task.await.expect("it ends"), Err(Shed::Deadline));
    }
    drop(held);
}

/// Fails when a call joins a queue that will take longer than its deadline, or
/// when an urgent call is shed because of calls that come after it.
#[tokio::test(start_paused = true)]
async fn a_deadline_that_cannot_be_met_sheds_at_once() {
    let pool = single();
    let order = Order::default();
    let _tasks: Vec<_> = (0..200)
        .map(|_| wait(&pool, call(100), "view", &order))
        .collect();
    pass(20).await;
    let begin = tokio::time::Instant::now();

    let late = pool.acquire(&call(90)).await.map(|_| ());
    let shed_after = begin.elapsed();
    let urgent = pool.acquire(&call(10)).await.map(|_| ());

    assert_eq!((late, shed_after), (Err(Shed::Deadline), Duration::ZERO));
    assert_eq!(urgent, Ok(()));
}

/// Fails when a cancelled waiter takes a slot with it. Waiters are cancelled
/// before, while and after they are served.
#[tokio::test(start_paused = true)]
async fn cancelled_waiters_leak_no_slot() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 3, 2));
    let mut random = StdRng::seed_from_u64(7);
    let mut tasks = Vec::new();
    for _ in 0..5_000 {
        let (source, hold) = (pool.clone(), random.random_range(0..8));
        let deadline = random.random_range(1..40);
        tasks.push(tokio::spawn(async move {
            if let Ok(slot) = source.acquire(&call(deadline)).await {
                pass(hold).await;
                end(slot, Outcome::Success);
            }
        }));
        if random.random_bool(0.5) {
            let victim = random.random_range(0..tasks.len());
            tasks.swap_remove(victim).abort();
        }
        if random.random_bool(0.4) {
            pass(1).await;
        }
        let view = pool.snapshots();
        assert!(view.iter().all(|target| target.in_flight <= 2));
    }
    for task in tasks {
        let _ = task.await;
    }

    assert!(pool.snapshots().iter().all(|target| target.in_flight == 0));
    assert_eq!(fixture::fill(&pool).await.len(), 6);
    assert_eq!(pool.quota().peak_usage().in_flight.min(1), 1);
    pass(2_000).await;
    assert_eq!(pool.quota().peak_usage().in_flight, 0);
}

/// Fails when a waiter is forgotten: each slot that comes free serves the next
/// one without a pause.
#[tokio::test(start_paused = true)]
async fn every_free_slot_wakes_a_waiter() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 2, 2));
    let order = Order::default();
    let begin = tokio::time::Instant::now();
    let tasks: Vec<_> = (0..200)
        .map(|_| wait(&pool, call(5_000), "view", &order))
        .collect();

    for task in tasks {
        task.await.expect("it ends").expect("it is served");
    }

    assert!(
        begin.elapsed() <= Duration::from_millis(60),
        "{:?}",
        begin.elapsed()
    );
}
