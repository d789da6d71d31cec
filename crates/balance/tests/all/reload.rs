//! Changes of the document while requests run.

use std::sync::Arc;

use carobdrift_balance::{Outcome, Shed, Standing};
use carobdrift_document::Policy;
use carobdrift_units::Version;

use crate::fixture::{self, call, end, pass, take, target};

/// Fails when targets that stay lose their requests in flight, or when the
/// policy does not change in place.
#[tokio::test(start_paused = true)]
async fn targets_that_stay_keep_their_state() {
    let pool = fixture::open(fixture::document(Policy::RoundRobin, 2, 1));
    let held = [take(&pool).await, take(&pool).await];
    let document = fixture::document(Policy::LeastInFlight, 3, 1);

    pool.reload(Arc::new(document), Version(2));

    assert_eq!(*take(&pool).await.target(), target(2));
    let in_flight: Vec<_> = pool
        .snapshots()
        .iter()
        .map(|target| target.in_flight)
        .collect();
    assert_eq!(in_flight, [1, 1, 0]);
    drop(held);
}

/// Fails when an ejection is forgotten because another part of the document
/// changed.
#[tokio::test(start_paused = true)]
async fn an_ejection_outlasts_a_reload() {
    let pool = fixture::open(fixture::document(Policy::RoundRobin, 2, 1));
    for _ in 0..10 {
        let slot = take(&pool).await;
        let bad = *slot.target() == target(0);
        end(
            slot,
            if bad {
                Outcome::Failure
            } else {
                Outcome::Success
            },
        );
    }

    pool.reload(fixture::document(Policy::Adaptive, 2, 1).into(), Version(2));

    assert!(matches!(fixture::standing(&pool, 0), Standing::Ejected(_)));
}

/// Fails when a removed target gets new requests, when its last request can't
/// end, or when a target of the same id forgets what is still in flight.
#[tokio::test(start_paused = true)]
async fn requests_on_removed_targets_run_to_completion() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 3, 1));
    let held = fixture::fill(&pool).await;
    let one = fixture::document(Policy::Adaptive, 1, 1);

    pool.reload(Arc::new(one.clone()), Version(2));
    assert_eq!(pool.snapshots().len(), 1);
    assert!(fixture::take_now(&pool, &call(100)).await.is_none());
    pool.reload(fixture::document(Policy::Adaptive, 3, 1).into(), Version(3));
    assert!(pool.snapshots().iter().all(|target| target.in_flight == 1));
    pool.reload(Arc::new(one), Version(4));
    for slot in held {
        end(slot, Outcome::Success);
    }

    assert_eq!(fixture::targets(&pool, 3).await, vec![target(0); 3]);
}

/// Fails when waiting calls are lost, or don't notice that a new document
/// brings free slots.
#[tokio::test(start_paused = true)]
async fn waiting_calls_use_new_targets_at_once() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 1, 1));
    let held = take(&pool).await;
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move {
            pool.acquire(&call(100))
                .await
                .map(|slot| slot.target().clone())
        }
    });
    pass(5).await;

    pool.reload(fixture::document(Policy::Adaptive, 2, 1).into(), Version(2));

    assert_eq!(waiting.await.expect("it ends"), Ok(target(1)));
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

/// Fails when the limits of a new document don't apply.
#[tokio::test(start_paused = true)]
async fn new_limits_apply() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 4, 2));
    let mut document = fixture::document(Policy::Adaptive, 4, 2);
    document.limits.max_in_flight = 2;

    pool.reload(document.into(), Version(2));

    let held = fixture::fill(&pool).await;
    assert_eq!(held.len(), 2);
    assert!(matches!(
        pool.acquire(&call(100)).await,
        Err(Shed::Limit(_))
    ));
}
