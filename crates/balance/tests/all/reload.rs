//! Tests of document changes while requests run.

use std::sync::Arc;

use carobdrift_balance::{Outcome, Shed, Standing};
use carobdrift_document::Policy;
use carobdrift_units::Version;

use crate::fixture::{self, acquire, advance, call, finish, target};

/// Fails when targets that remain lose their requests in flight, or when the
/// policy does not change.
#[tokio::test(start_paused = true)]
async fn targets_that_stay_keep_their_state() {
    let pool = fixture::open(fixture::document(Policy::RoundRobin, 2, 1));
    let held = [acquire(&pool).await, acquire(&pool).await];
    let document = fixture::document(Policy::LeastInFlight, 3, 1);

    pool.reload(Arc::new(document), Version(2));

    assert_eq!(*acquire(&pool).await.target(), target(2));
    let in_flight: Vec<_> = pool
        .snapshots()
        .iter()
        .map(|target| target.in_flight)
        .collect();
    assert_eq!(in_flight, [1, 1, 0]);
    drop(held);
}

/// Fails when an edit of another part of the document ends an ejection.
#[tokio::test(start_paused = true)]
async fn an_ejection_outlasts_a_reload() {
    let pool = fixture::open(fixture::document(Policy::RoundRobin, 2, 1));
    for _ in 0..10 {
        let slot = acquire(&pool).await;
        let failed = *slot.target() == target(0);
        finish(
            slot,
            if failed {
                Outcome::Failure
            } else {
                Outcome::Success
            },
        );
    }

    pool.reload(fixture::document(Policy::Adaptive, 2, 1).into(), Version(2));

    assert!(matches!(fixture::standing(&pool, 0), Standing::Ejected(_)));
}

/// Fails when a removed target gets new requests, when its last request cannot
/// end, or when a target that returns under the same id loses the count of its
/// requests in flight.
#[tokio::test(start_paused = true)]
async fn requests_on_removed_targets_run_to_completion() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 3, 1));
    let held = fixture::acquire_all(&pool).await;
    let one = fixture::document(Policy::Adaptive, 1, 1);

    pool.reload(Arc::new(one.clone()), Version(2));
    assert_eq!(pool.snapshots().len(), 1);
    assert!(fixture::try_acquire(&pool, &call(100)).await.is_none());
    pool.reload(fixture::document(Policy::Adaptive, 3, 1).into(), Version(3));
    assert!(pool.snapshots().iter().all(|target| target.in_flight == 1));
    pool.reload(Arc::new(one), Version(4));
    for slot in held {
        finish(slot, Outcome::Success);
    }

    assert_eq!(fixture::targets(&pool, 3).await, vec![target(0); 3]);
}

/// Fails when queued calls are lost, or do not use the free slots of a new
/// document at once.
#[tokio::test(start_paused = true)]
async fn waiting_calls_use_new_targets_at_once() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 1, 1));
    let held = acquire(&pool).await;
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move {
            pool.acquire(&call(100))
                .await
                .map(|slot| slot.target().clone())
        }
    });
    advance(5).await;

    pool.reload(fixture::document(Policy::Adaptive, 2, 1).into(), Version(2));

    assert_eq!(waiting.await.expect("the task completes"), Ok(target(1)));
    drop(held);
}

/// Fails when a document that arrives late replaces a newer one.
#[tokio::test(start_paused = true)]
async fn an_older_version_is_ignored() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 2, 1));
    pool.reload(fixture::document(Policy::Adaptive, 3, 1).into(), Version(5));

    pool.reload(fixture::document(Policy::Adaptive, 1, 1).into(), Version(4));

    assert_eq!(pool.snapshots().len(), 3);
}

/// Fails when the limits of a new document do not apply.
#[tokio::test(start_paused = true)]
async fn new_limits_apply() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 4, 2));
    let mut document = fixture::document(Policy::Adaptive, 4, 2);
    document.limits.max_in_flight = 2;

    pool.reload(document.into(), Version(2));

    let held = fixture::acquire_all(&pool).await;
    assert_eq!(held.len(), 2);
    assert!(matches!(
        pool.acquire(&call(100)).await,
        Err(Shed::Limit(_))
    ));
}
