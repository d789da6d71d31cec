//! Tests of the signals of the adaptive policy: each changes the selection.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::{Load, Outcome, Pool, Report, Sample};
use carobdrift_document::Policy;
use carobdrift_units::Version;

use crate::fixture;

fn open(targets: u32, slots: u32) -> Pool {
    fixture::open(fixture::document(Policy::Adaptive, targets, slots))
}

fn sample(index: u32, in_flight: u32) -> Sample {
    Sample {
        target: fixture::target(index),
        in_flight: Some(in_flight),
        latency: Duration::from_millis(1),
        age: Duration::ZERO,
        start: None,
        healthy: true,
        draining: false,
    }
}

/// Fails when requests of other entries are ignored.
#[tokio::test(start_paused = true)]
async fn a_target_that_reports_to_be_full_is_passed_over() {
    let pool = open(2, 2);
    let slot = fixture::acquire(&pool).await;
    let full = slot.target().clone();
    let load = Some(Load {
        in_flight: 3,
        slots: 2,
    });

    slot.report(&Report {
        load,
        ..Report::default()
    });
    drop(slot);

    let targets = fixture::targets(&pool, 20).await;
    assert!(!targets.contains(&full));
}

/// Fails when a call waits for a slot that is taken only by a stale estimate.
#[tokio::test(start_paused = true)]
async fn a_stale_report_holds_a_call_for_a_few_milliseconds_only() {
    let pool = open(2, 2);
    let slots = fixture::acquire_all(&pool).await;
    let load = Some(Load {
        in_flight: 1_000,
        slots: 2,
    });
    for slot in slots {
        slot.report(&Report {
            load,
            ..Report::default()
        });
    }

    let begin = tokio::time::Instant::now();
    let slot = fixture::acquire(&pool).await;

    assert!(
        begin.elapsed() <= Duration::from_millis(4),
        "{:?}",
        begin.elapsed()
    );
    drop(slot);
}

/// Fails when a target keeps its share of the load although its results are
/// slow.
#[tokio::test(start_paused = true)]
async fn a_slow_result_moves_load_away() {
    let pool = open(2, 2);
    fixture::warm_up(&pool, 4).await;
    let slot = fixture::acquire(&pool).await;
    let target = slot.target().clone();

    fixture::advance(60).await;
    fixture::finish(slot, Outcome::Success);

    assert!(!fixture::targets(&pool, 20).await.contains(&target));
}

/// Fails when a slow target is recognised only by completed requests. Both
/// targets have one request in flight.
#[tokio::test(start_paused = true)]
async fn an_old_request_in_flight_moves_load_away() {
    let pool = open(2, 4);
    fixture::warm_up(&pool, 8).await;
    let stuck = fixture::acquire(&pool).await;
    fixture::advance(50).await;
    let fresh = fixture::acquire(&pool).await;

    let targets = fixture::targets(&pool, 20).await;

    assert_ne!(fresh.target(), stuck.target());
    assert!(!targets.contains(stuck.target()));
}

/// Fails when a probe sample is ignored, used more than once, or used although
/// it is too old.
#[tokio::test(start_paused = true)]
async fn a_probe_sample_counts_once_and_for_a_second() {
    let pool = open(2, 4);
    pool.record_sample(&sample(0, 4));

    let targets = fixture::targets(&pool, 20).await;
    assert!(!targets.contains(&fixture::target(0)));

    pool.record_sample(&sample(0, 3));
    pool.record_sample(&sample(1, 3));
    let used = fixture::acquire(&pool).await;
    let snapshots = pool.snapshots();
    let snapshot = snapshots
        .iter()
        .find(|snapshot| snapshot.target == *used.target())
        .expect("the target is listed");
    assert!(snapshot.foreign_in_flight < 0.01);
    drop(used);

    pool.record_sample(&sample(0, 4));
    fixture::advance(1_001).await;
    let targets = fixture::targets(&pool, 50).await;
    assert!(targets.contains(&fixture::target(0)));
}

/// Fails when calls cross to another zone while their own has free slots, or
/// wait while another zone has free slots.
#[tokio::test(start_paused = true)]
async fn the_own_zone_comes_first() {
    let mut document = fixture::document(Policy::Adaptive, 4, 2);
    for target in &mut document.targets[2..] {
        target.zone = "burnie".parse().expect("the name is valid");
    }
    let pool = fixture::open(document);

    let targets = fixture::targets(&pool, 50).await;
    let slots = fixture::acquire_all(&pool).await;

    let own = [fixture::target(0), fixture::target(1)];
    assert!(targets.iter().all(|target| own.contains(target)));
    assert_eq!(slots.len(), 8);
}

/// Fails when a new target gets its full share of the load at once, or never.
#[tokio::test(start_paused = true)]
async fn a_new_target_starts_slowly() {
    let pool = open(2, 4);
    fixture::warm_up(&pool, 8).await;
    let document = fixture::document(Policy::Adaptive, 3, 4);

    pool.reload(Arc::new(document), Version(2));

    let busy = |pool: &Pool| pool.snapshots()[2].in_flight;
    let early = fixture::acquire_all(&pool).await;
    assert_eq!(busy(&pool), 1);
    drop(early);
    fixture::advance(3_000).await;
    let later = fixture::acquire_all(&pool).await;
    assert_eq!(busy(&pool), 3);
    drop(later);
    fixture::advance(2_000).await;
    let warm = fixture::acquire_all(&pool).await;
    assert_eq!(busy(&pool), 4);
    drop(warm);
}
