//! Tests of the budgets for retries and hedges.

use std::time::Duration;

use carobdrift_balance::{Load, Observation, Outcome, Pool, Purpose, Report};
use carobdrift_document::{Kind, Policy};

use tokio::time::Instant;

use crate::fixture::{self, acquire, call, finish};

/// Requests two additional attempts for each of `calls` calls and returns how
/// many the budget admitted. Checks the share after every call.
async fn spend(pool: &Pool, purpose: Purpose, calls: u32, percent: u32) -> u32 {
    let mut spent = 0;
    for sent in 1..=calls {
        let slot = acquire(pool).await;
        for _ in 0..2 {
            let tried = [slot.target().clone()];
            if let Some(other) = pool.try_acquire(&call(100), purpose, &tried) {
                assert_ne!(other.target(), slot.target());
                spent += 1;
            }
        }
        finish(slot, Outcome::Success);
        assert!(spent * 100 <= sent * percent, "{spent} of {sent}");
    }
    spent
}

/// Fails when retries exceed their share at any moment, or stay far below it
/// although more are requested.
#[tokio::test(start_paused = true)]
async fn retries_stay_within_their_share() {
    for policy in [Policy::RoundRobin, Policy::Adaptive] {
        let pool = fixture::open(fixture::document(policy, 4, 2));

        let spent = spend(&pool, Purpose::Retry, 20_000, 10).await;

        assert!(spent >= 1_999, "{spent}");
    }
}

/// Fails when hedges exceed their share at any moment, or stay far below it
/// although more are requested.
#[tokio::test(start_paused = true)]
async fn hedges_stay_within_their_share() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 4, 2));

    let spent = spend(&pool, Purpose::Hedge, 20_000, 5).await;

    assert!(spent >= 999, "{spent}");
}

/// Fails when the budget accumulates more than a short burst while no attempt
/// is requested.
#[tokio::test(start_paused = true)]
async fn a_burst_is_bounded() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 4, 2));
    fixture::targets(&pool, 10_000).await;

    let mut burst = 0;
    while burst < 1_000 && pool.try_acquire(&call(100), Purpose::Retry, &[]).is_some() {
        burst += 1;
    }

    assert_eq!(burst, 10);
}

/// Fails when a call gets more attempts than the document permits.
#[tokio::test(start_paused = true)]
async fn attempts_are_bounded() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 4, 2));
    fixture::targets(&pool, 100).await;
    let tried: Vec<_> = (0..3).map(fixture::target).collect();

    assert!(
        pool.try_acquire(&call(100), Purpose::Retry, &tried[..2])
            .is_some()
    );
    assert!(
        pool.try_acquire(&call(100), Purpose::Retry, &tried)
            .is_none()
    );
}

/// Fails when a non-idempotent call is hedged, or any call under a baseline
/// policy.
#[tokio::test(start_paused = true)]
async fn only_idempotent_calls_of_adaptive_are_hedged() {
    let mut non_idempotent = call(400);
    non_idempotent.kind = Kind::NonIdempotent;
    for (policy, call, hedged) in [
        (Policy::Adaptive, call(400), true),
        (Policy::Adaptive, non_idempotent, false),
        (Policy::RoundRobin, call(400), false),
    ] {
        let pool = fixture::open(fixture::document(policy, 4, 2));
        fixture::warm_up(&pool, 8).await;
        fixture::targets(&pool, 100).await;

        let delay = pool.hedge_delay(&call);
        let slot = pool.try_acquire(&call, Purpose::Hedge, &[fixture::target(0)]);

        assert_eq!(delay.is_some(), hedged);
        assert_eq!(slot.is_some(), hedged);
    }
}

/// Fails when the hedge delay is not the percentile of the class's latency, or
/// is shorter than the smallest delay.
#[tokio::test(start_paused = true)]
async fn the_hedge_delay_follows_the_latency() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 4, 2));
    assert!(pool.hedge_delay(&call(400)).is_none());
    fixture::warm_up(&pool, 8).await;

    let delay = pool.hedge_delay(&call(400)).expect("there are samples");
    assert!((9..=12).contains(&delay.as_millis()), "{delay:?}");

    let mut document = fixture::document(Policy::Adaptive, 4, 2);
    document.hedging.min_delay_ms = carobdrift_units::Millis(50);
    pool.reload(document.into(), carobdrift_units::Version(2));
    let delay = pool.hedge_delay(&call(400)).expect("there are samples");
    assert_eq!(delay.as_millis(), 50);
}

/// Fails when a hedge is sent before its delay or to the same target, or is
/// abandoned because no slot was free at that moment or a stale estimate showed
/// none.
#[tokio::test(start_paused = true)]
async fn a_hedge_waits_for_its_delay_and_for_a_slot() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 2, 1));
    fixture::warm_up(&pool, 2).await;
    let [first, other] = [acquire(&pool).await, acquire(&pool).await];
    let tried = [first.target().clone()];
    let delay = pool.hedge_delay(&call(400)).expect("there are samples");
    let begin = Instant::now();
    tokio::spawn(async move {
        fixture::advance(30).await;
        let load = Some(Load {
            in_flight: 10,
            slots: 1,
        });
        other.finish(&Observation {
            outcome: Outcome::Success,
            report: Report {
                load,
                ..Report::default()
            },
        });
    });

    let hedge = pool
        .hedge(&call(400), &tried)
        .await
        .expect("a slot comes free");

    assert!(delay < Duration::from_millis(20));
    let range = Duration::from_millis(30)..=Duration::from_millis(34);
    assert!(range.contains(&begin.elapsed()), "{:?}", begin.elapsed());
    assert_ne!(hedge.target(), first.target());
}

/// Fails when the slow attempt that a hedge cancelled is not recorded, so that
/// the delay decreases with every hedge.
#[tokio::test(start_paused = true)]
async fn cancelled_slow_attempts_keep_the_delay_up() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 2, 1));
    fixture::warm_up(&pool, 2).await;
    for _ in 0..20 {
        let slow = acquire(&pool).await;
        fixture::advance(40).await;
        drop(slow);
    }

    let delay = pool.hedge_delay(&call(400)).expect("there are samples");

    assert!(delay >= Duration::from_millis(39), "{delay:?}");
}

/// Fails when a reconnect is sent to another target while the last one is
/// usable.
#[tokio::test(start_paused = true)]
async fn a_reconnect_stays_on_its_target() {
    let pool = fixture::open(fixture::document(Policy::Adaptive, 4, 2));
    fixture::targets(&pool, 100).await;
    let tried = [fixture::target(1), fixture::target(3)];

    let slot = pool.try_acquire(&call(100), Purpose::Reconnect, &tried);

    assert_eq!(
        slot.expect("the budget has tokens").target(),
        &fixture::target(3)
    );
}
