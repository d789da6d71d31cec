//! Tests of the ejection of failing targets and their return.

use std::time::Duration;

use carobdrift_balance::{Outcome, Pool, Sample, Standing};
use carobdrift_document::Policy;

use crate::fixture::{self, acquire, advance, finish, standing, target};

/// Sends calls one after the other; those to targets with a number below
/// `failing` fail. Returns how many reached the failing targets.
async fn send(pool: &Pool, calls: u32, failing: u32) -> u32 {
    let failing_targets: Vec<_> = (0..failing).map(target).collect();
    let mut reached = 0;
    for _ in 0..calls {
        let slot = acquire(pool).await;
        let failed = failing_targets.contains(slot.target());
        reached += u32::from(failed);
        advance(1).await;
        finish(
            slot,
            if failed {
                Outcome::Failure
            } else {
                Outcome::Success
            },
        );
    }
    reached
}

/// Opens a pool that sends to failing targets as often as to good ones.
fn open(targets: u32) -> Pool {
    fixture::open(fixture::document(Policy::RoundRobin, targets, 2))
}

fn ejected(pool: &Pool) -> usize {
    let snapshots = pool.snapshots();
    let active = snapshots
        .iter()
        .filter(|snapshot| snapshot.standing == Standing::Active)
        .count();
    snapshots.len() - active
}

/// Fails when fast failures make a target attract load. Good targets take 8 ms
/// per call and are busy for two thirds of the time.
#[tokio::test(start_paused = true)]
async fn a_target_that_fails_fast_attracts_no_load() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 6, 2));
    fixture::warm_up(&pool, 12).await;
    let mut tasks = Vec::new();

    for _ in 0..1_900 {
        let pool = pool.clone();
        tasks.push(tokio::spawn(async move {
            let slot = acquire(&pool).await;
            let failed = *slot.target() == target(0);
            advance(if failed { 1 } else { 8 }).await;
            finish(
                slot,
                if failed {
                    Outcome::Failure
                } else {
                    Outcome::Success
                },
            );
            u32::from(failed)
        }));
        advance(1).await;
    }

    let mut reached = 0;
    for task in tasks {
        reached += task.await.expect("the task completes");
    }
    assert!(
        reached <= 10,
        "{reached} of 1900 calls reached the failing target"
    );
}

/// Fails when more than a third of the targets is ejected.
#[tokio::test(start_paused = true)]
async fn at_most_a_third_is_ejected() {
    let pool = open(7);

    send(&pool, 400, 7).await;

    assert_eq!(ejected(&pool), 2);
}

/// Fails when the only target is ejected, or when one of two cannot be.
#[tokio::test(start_paused = true)]
async fn one_of_two_is_ejected_but_never_a_single_one() {
    let pair = open(2);
    let single = open(1);

    send(&pair, 100, 2).await;
    send(&single, 100, 1).await;

    assert_eq!(ejected(&pair), 1);
    assert_eq!(ejected(&single), 0);
}

/// Fails when failures that are not consecutive do not lead to an ejection.
#[tokio::test(start_paused = true)]
async fn more_than_half_of_the_last_results_eject() {
    let pool = open(2);
    let mut results = 0_u32;
    while !matches!(standing(&pool, 0), Standing::Ejected(_)) && results < 40 {
        let slot = acquire(&pool).await;
        if *slot.target() == target(0) {
            results += 1;
            let failed = !results.is_multiple_of(3);
            finish(
                slot,
                if failed {
                    Outcome::Failure
                } else {
                    Outcome::Success
                },
            );
        } else {
            finish(slot, Outcome::Success);
        }
    }

    assert_eq!(results, 16);
}

/// Fails when a target returns without a trial request, when several requests
/// serve as the trial, or when the duration of ejections does not grow.
#[tokio::test(start_paused = true)]
async fn one_trial_request_decides_the_return() {
    let pool = open(3);
    send(&pool, 60, 1).await;
    assert!(matches!(standing(&pool, 0), Standing::Ejected(_)));

    advance(1_001).await;
    assert_eq!(standing(&pool, 0), Standing::HalfOpen);
    let trial = acquire(&pool).await;
    assert_eq!(*trial.target(), target(0));
    assert!(!fixture::targets(&pool, 20).await.contains(&target(0)));

    finish(trial, Outcome::Failure);
    assert_eq!(
        standing(&pool, 0),
        Standing::Ejected(Duration::from_secs(2))
    );
    advance(2_001).await;
    finish(acquire(&pool).await, Outcome::Success);
    assert_eq!(standing(&pool, 0), Standing::Active);
}

/// Fails when a cancelled trial request blocks the return forever.
#[tokio::test(start_paused = true)]
async fn a_cancelled_trial_is_repeated() {
    let pool = open(3);
    send(&pool, 60, 1).await;
    advance(1_001).await;

    drop(acquire(&pool).await);

    assert_eq!(*acquire(&pool).await.target(), target(0));
}

/// Fails when a healthy probe does not return a target, or when a target that
/// returned on a probe alone gets five more requests although it still fails.
#[tokio::test(start_paused = true)]
async fn a_healthy_probe_returns_a_target_on_probation() {
    let pool = open(3);
    send(&pool, 60, 1).await;
    advance(1_001).await;

    pool.record_sample(&Sample {
        target: target(0),
        in_flight: Some(0),
        latency: Duration::from_millis(1),
        age: Duration::from_millis(10),
        start: None,
        healthy: true,
        draining: false,
    });
    let reached = send(&pool, 60, 1).await;

    assert_eq!(reached, 1);
    assert!(matches!(standing(&pool, 0), Standing::Ejected(_)));
}

/// Fails when results of requests that were sent before an ejection end it, or
/// eject the target again after its return.
#[tokio::test(start_paused = true)]
async fn late_results_change_nothing() {
    let pool = fixture::open(fixture::document(Policy::LeastInFlight, 2, 8));
    let mut slots = Vec::new();
    for _ in 0..30 {
        slots.push(acquire(&pool).await);
    }
    let (mut failing_slots, good): (Vec<_>, Vec<_>) = slots
        .into_iter()
        .partition(|slot| *slot.target() == target(0));
    let mut late = failing_slots.split_off(5);
    for slot in failing_slots {
        finish(slot, Outcome::Failure);
    }

    for slot in late.split_off(5) {
        finish(slot, Outcome::Success);
    }
    assert!(matches!(standing(&pool, 0), Standing::Ejected(_)));

    advance(1_001).await;
    finish(acquire(&pool).await, Outcome::Success);
    for slot in late {
        finish(slot, Outcome::Failure);
    }
    assert_eq!(standing(&pool, 0), Standing::Active);
    drop(good);
}

/// Fails when a target that refused a request gets the same load again at once.
#[tokio::test(start_paused = true)]
async fn a_refusal_pauses_new_requests() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 2, 2));
    let refused = acquire(&pool).await;
    let paused = refused.target().clone();

    finish(refused, Outcome::Refused);

    assert!(!fixture::targets(&pool, 20).await.contains(&paused));
    advance(6).await;
    assert!(fixture::targets(&pool, 50).await.contains(&paused));
}
