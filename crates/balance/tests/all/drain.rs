//! Tests of leaving targets and their return.

use std::sync::Arc;

use carobdrift_balance::{
    Departure, Evidence, Observation, Outcome, Pool, Purpose, Report, Standing,
};
use carobdrift_document::{Policy, State};
use carobdrift_units::Version;
use tokio::sync::mpsc;

use crate::fixture::{self, acquire, call, standing, target};

const ALL: [Policy; 4] = [
    Policy::RoundRobin,
    Policy::PowerOfTwo,
    Policy::LeastInFlight,
    Policy::Adaptive,
];

/// Fails when a leaving target gets a request, a retry or a hedge under any
/// policy.
#[tokio::test(start_paused = true)]
async fn a_leaving_target_gets_nothing_new() {
    for policy in ALL {
        let pool = fixture::open(fixture::document(policy, 2, 2));
        fixture::warm_up(&pool, 4).await;
        fixture::targets(&pool, 200).await;

        pool.mark_leaving(&target(0), Evidence::List, None);

        assert!(!fixture::targets(&pool, 20).await.contains(&target(0)));
        for purpose in [Purpose::Retry, Purpose::Hedge, Purpose::Reconnect] {
            for tried in [target(0), target(1)] {
                let slot = pool.try_acquire(&call(100), purpose, &[tried]);
                assert!(
                    slot.is_none_or(|slot| *slot.target() == target(1)),
                    "{policy:?}"
                );
            }
        }
    }
}

/// Fails when a leaving target gets the trial request that follows an ejection.
#[tokio::test(start_paused = true)]
async fn a_leaving_target_gets_no_trial() {
    let pool = fixture::open(fixture::document(Policy::RoundRobin, 3, 2));
    for _ in 0..15 {
        let slot = acquire(&pool).await;
        let failed = *slot.target() == target(0);
        fixture::finish(
            slot,
            if failed {
                Outcome::Failure
            } else {
                Outcome::Success
            },
        );
    }
    assert!(matches!(standing(&pool, 0), Standing::Ejected(_)));

    pool.mark_leaving(&target(0), Evidence::List, None);
    fixture::advance(5_000).await;

    assert!(!fixture::targets(&pool, 20).await.contains(&target(0)));
}

/// Fails when marking a target interrupts requests in flight, or when the
/// target's own report is not passed on to the peers exactly once.
#[tokio::test(start_paused = true)]
async fn a_draining_response_marks_the_target_once() {
    let (departures, mut received) = mpsc::unbounded_channel();
    let mut config = fixture::config();
    config.departures = Some(departures);
    let pool = fixture::open_with(fixture::document(Policy::RoundRobin, 2, 2), config);
    let first = acquire(&pool).await;
    let _other = acquire(&pool).await;
    let second = acquire(&pool).await;
    let report = Report {
        draining: true,
        start: Some("a".to_owned()),
        ..Report::default()
    };

    first.report(&report);
    first.finish(&Observation {
        outcome: Outcome::Success,
        report: report.clone(),
    });
    second.finish(&Observation {
        outcome: Outcome::Success,
        report,
    });

    assert_eq!(standing(&pool, 0), Standing::Leaving(Evidence::Response));
    let departure = Departure {
        service: "sheets".parse().expect("the name is valid"),
        target: target(0),
        evidence: Evidence::Response,
        start: Some("a".to_owned()),
        version: Version(1),
    };
    assert_eq!(received.try_recv(), Ok(departure));
    assert!(received.try_recv().is_err());
}

fn is_leaving(pool: &Pool) -> bool {
    matches!(standing(pool, 0), Standing::Leaving(_))
}

/// Fails when a target returns without a new process or, if the document
/// retired the target, without a newer document; or when a late report of the
/// old process marks the new one.
#[tokio::test(start_paused = true)]
async fn a_target_returns_on_stronger_evidence_only() {
    let document = Arc::new(fixture::document(Policy::Adaptive, 2, 2));
    let pool = fixture::open((*document).clone());

    pool.mark_leaving(&target(0), Evidence::Response, None);
    pool.record_start(&target(0), "a");
    pool.reload(Arc::clone(&document), Version(1));
    assert!(
        is_leaving(&pool),
        "a first start id and the same version prove nothing"
    );

    pool.record_start(&target(0), "b");
    assert!(!is_leaving(&pool));
    assert!(pool.snapshots()[0].in_slow_start);

    pool.mark_leaving(&target(0), Evidence::List, Some("a"));
    pool.record_start(&target(0), "a");
    assert!(!is_leaving(&pool), "process a has ended");

    pool.mark_leaving(&target(0), Evidence::List, Some("b"));
    assert!(is_leaving(&pool));
    pool.reload(Arc::clone(&document), Version(2));
    assert!(is_leaving(&pool), "an unrelated edit proves nothing");
    pool.record_start(&target(0), "c");
    assert!(!is_leaving(&pool));

    let mut retired = (*document).clone();
    retired.targets[0].state = State::Leaving;
    pool.reload(Arc::new(retired), Version(3));
    assert!(is_leaving(&pool));
    pool.reload(document, Version(4));
    assert!(!is_leaving(&pool));
}

/// Fails when an entry that is behind takes the version that its peer already
/// had for newer evidence, or when a late repetition of a mark reverts a
/// return.
#[tokio::test(start_paused = true)]
async fn the_version_at_the_peer_decides_over_the_return() {
    let document = Arc::new(fixture::document(Policy::Adaptive, 2, 2));
    let pool = fixture::open((*document).clone());
    let mark = || pool.mark_leaving_as_of(&target(0), Evidence::Document, None, Version(2));

    pool.mark_leaving(&target(0), Evidence::Document, None);
    mark();
    pool.reload(Arc::clone(&document), Version(2));
    assert!(is_leaving(&pool));

    pool.reload(document, Version(3));
    mark();
    assert!(!is_leaving(&pool));
    pool.mark_leaving(&target(0), Evidence::List, None);
    assert!(is_leaving(&pool));
}

/// Fails when a new process returns a target that the document lists as
/// leaving.
#[tokio::test(start_paused = true)]
async fn a_new_process_does_not_override_the_document() {
    let mut document = fixture::document(Policy::Adaptive, 2, 2);
    document.targets[0].state = State::Leaving;
    let pool = fixture::open(document);

    pool.record_start(&target(0), "a");
    pool.record_start(&target(0), "b");

    assert_eq!(standing(&pool, 0), Standing::Leaving(Evidence::Document));
}

/// Fails when calls remain queued although no target is left.
#[tokio::test(start_paused = true)]
async fn without_a_target_calls_are_shed_at_once() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 1, 1));
    let held = acquire(&pool).await;
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move { pool.acquire(&call(400)).await.map(|_| ()) }
    });
    fixture::advance(5).await;
    let begin = tokio::time::Instant::now();

    pool.mark_leaving(&target(0), Evidence::List, None);

    let shed = Err(carobdrift_balance::Shed::NoTarget);
    assert_eq!(waiting.await.expect("the task completes"), shed);
    assert_eq!(pool.acquire(&call(400)).await.map(|_| ()), shed);
    assert_eq!(begin.elapsed().as_millis(), 0);
    drop(held);
}
