//! Each policy's rule of choice.

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

    assert!(pool.view().iter().all(|target| target.in_flight == 3));
}
