//! Tests of the selection rule of each policy.

use carobdrift_document::Policy;

use crate::fixture;

/// Fails when round robin skips or repeats a target.
#[tokio::test(start_paused = true)]
async fn round_robin_takes_each_target_in_turn() {
    let pool = fixture::open(fixture::document(Policy::RoundRobin, 3, 1));

    let mut seen = Vec::new();
    for _ in 0..6 {
        let slot = pool
            .acquire(&fixture::call(100))
            .await
            .expect("a target is free");
        seen.push(slot.target().to_string());
    }

    assert_eq!(seen, ["t0", "t1", "t2", "t0", "t1", "t2"]);
}

/// Fails when least in-flight gives a request to a target that has more in
/// flight than another one.
#[tokio::test(start_paused = true)]
async fn least_in_flight_fills_targets_evenly() {
    let pool = fixture::open(fixture::document(Policy::LeastInFlight, 4, 1));

    let mut slots = Vec::new();
    for _ in 0..12 {
        slots.push(
            pool.acquire(&fixture::call(100))
                .await
                .expect("a target is free"),
        );
    }

    assert!(pool.snapshots().iter().all(|target| target.in_flight == 3));
}

/// Fails when power of two sends to the busier one of two targets.
#[tokio::test(start_paused = true)]
async fn power_of_two_takes_the_less_loaded_target() {
    let pool = fixture::open(fixture::document(Policy::PowerOfTwo, 2, 1));

    let mut slots = Vec::new();
    for _ in 0..10 {
        slots.push(fixture::acquire(&pool).await);
    }

    assert!(pool.snapshots().iter().all(|target| target.in_flight == 5));
}

/// Fails when a baseline policy exceeds the connections of a target, or waits
/// for a slot while a connection is free.
#[tokio::test(start_paused = true)]
async fn baselines_dispatch_at_once_up_to_the_connections() {
    for policy in [
        Policy::RoundRobin,
        Policy::PowerOfTwo,
        Policy::LeastInFlight,
    ] {
        let mut document = fixture::document(policy, 2, 1);
        document.connections.max_per_target = 3;
        let pool = fixture::open(document);

        let slots = fixture::acquire_all(&pool).await;

        assert_eq!(slots.len(), 6, "{policy:?}");
    }
}

/// Fails when the adaptive policy sends more requests than a target has slots.
#[tokio::test(start_paused = true)]
async fn adaptive_admits_by_slots() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 3, 2));

    let slots = fixture::acquire_all(&pool).await;

    assert_eq!(slots.len(), 6);
    assert!(pool.snapshots().iter().all(|target| target.in_flight == 2));
}
