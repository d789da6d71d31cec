//! Tests of limits and of the shares of limits.

use std::time::Duration;

use carobdrift_balance::{Demand, Pool, Quota, Rank, Scope, Share, Shed};
use carobdrift_document::{Document, Limits, Policy};
use tokio::time::Instant;

use crate::fixture::{self, advance, call};

fn document(max_in_flight: u32, max_per_second: u32) -> Document {
    let mut document = fixture::document(Policy::LeastInFlight, 4, 2);
    document.limits = Limits {
        max_in_flight,
        max_per_second,
    };
    document
}

/// Returns the number of calls that are admitted at this moment. All these
/// calls end at once.
async fn burst(pool: &Pool) -> u32 {
    let mut admitted = 0;
    while admitted < 1_000 && pool.acquire(&call(100)).await.is_ok() {
        admitted += 1;
    }
    admitted
}

/// Fails when requests in flight, including additional attempts, exceed the
/// limit, or when the reason is not returned.
#[tokio::test(start_paused = true)]
async fn requests_in_flight_stay_within_the_limit() {
    let pool = fixture::open(document(7, 10_000));
    fixture::targets(&pool, 200).await;

    let slots = fixture::acquire_all(&pool).await;

    assert_eq!(slots.len(), 7);
    let retry = pool.try_acquire(&call(100), carobdrift_balance::Purpose::Retry, &[]);
    assert!(retry.is_none());
    let shed = pool.acquire(&call(100)).await.map(|_| ());
    assert_eq!(shed, Err(Shed::Limit(Scope::Service)));
    drop(slots);
    assert_eq!(fixture::acquire_all(&pool).await.len(), 7);
}

/// Fails when any window of one second holds more calls than the limit, or when
/// far fewer calls are admitted than the limit permits.
#[tokio::test(start_paused = true)]
async fn calls_per_second_stay_within_the_limit() {
    let pool = fixture::open(document(100, 50));
    let mut admitted = Vec::new();
    for step in 0..5_000_u64 {
        if step % 7 < 3 && pool.acquire(&call(100)).await.is_ok() {
            admitted.push(Instant::now());
        }
        advance(1).await;
    }

    let second = Duration::from_secs(1);
    let within = |pair: &[Instant]| pair[50] - pair[0] >= second;
    assert!(admitted.windows(51).all(within));
    assert!(admitted.len() >= 240, "{}", admitted.len());
}

/// Fails when the limits of a class are ignored or affect another class.
#[tokio::test(start_paused = true)]
async fn class_limits_apply_to_their_class() {
    let mut document = document(100, 1_000);
    document.classes[0].max_in_flight = Some(3);
    document.classes[1].max_per_second = Some(5);
    let pool = fixture::open(document);
    let mut seeding = call(100);
    seeding.class = "seeding".parse().expect("the name is valid");

    let views = fixture::acquire_all(&pool).await;
    let mut seedings = 0;
    while seedings < 1_000 && pool.acquire(&seeding).await.is_ok() {
        seedings += 1;
    }

    assert_eq!((views.len(), seedings), (3, 5));
}

/// Fails when an entry exceeds its fixed share without a grant, or uses a grant
/// after it expired.
#[tokio::test(start_paused = true)]
async fn a_grant_adds_to_the_fixed_share_until_it_expires() {
    let mut config = fixture::config();
    config.max_entries = 10;
    let pool = fixture::open_with(document(400, 1_000), config);
    let quota = pool.quota();
    let fixed = Share {
        in_flight: 4,
        per_second: 10,
    };
    assert_eq!(quota.share(), fixed);
    assert_eq!(burst(&pool).await, 10);
    advance(1_020).await;

    let granted = Share {
        in_flight: 30,
        per_second: 40,
    };
    quota.grant(granted, Instant::now() + Duration::from_secs(2));
    assert_eq!(burst(&pool).await, 50);
    assert_eq!(fixture::acquire_all(&pool).await.len(), 0);
    advance(2_000).await;

    assert_eq!(quota.share(), fixed);
    assert_eq!(burst(&pool).await, 10);
    assert_eq!(quota.peak_usage().per_second, 11);
}

/// Fails when the sum over the entries exceeds a limit of the service or of a
/// class.
#[tokio::test(start_paused = true)]
async fn fixed_shares_and_grants_add_up_to_the_limit() {
    let mut document = document(110, 1_000);
    document.classes[0].max_in_flight = Some(33);
    let mut held = Vec::new();
    for entry in 0..3 {
        let mut config = fixture::config();
        config.max_entries = 3;
        let pool = fixture::open_with(document.clone(), config);
        // Parts of the limits that remain after the fixed shares of 3 entries.
        let grants = [[50, 30, 21][entry], [14, 10, 6][entry]];
        for ((_, quota), in_flight) in pool.quotas().iter().zip(grants) {
            let grant = Share {
                in_flight,
                per_second: 0,
            };
            quota.grant(grant, Instant::now() + Duration::from_secs(2));
        }
        held.push(fixture::acquire_all(&pool).await);
    }

    let sum: usize = held.iter().map(Vec::len).sum();
    assert_eq!(sum, 33);
}

/// Fails when two services of a team together exceed the team's limit, or when
/// a call that the team's limit sheds uses up the service's share.
#[tokio::test(start_paused = true)]
async fn a_team_limit_spans_services() {
    let limits = Limits {
        max_in_flight: 5,
        max_per_second: 1_000,
    };
    let team = Quota::new(limits, 20);
    team.set_even_split(Some(1));
    let mut config = fixture::config();
    config.team_quota = Some(team);
    let first = fixture::open_with(document(100, 1_000), config.clone());
    let second = fixture::open_with(document(100, 1_000), config);
    for pool in [&first, &second] {
        pool.quota().set_even_split(Some(1));
    }

    let mut slots = Vec::new();
    for _ in 0..3 {
        slots.push(fixture::acquire(&first).await);
    }
    slots.extend(fixture::acquire_all(&second).await);

    assert_eq!(slots.len(), 5);
    let shed = first.acquire(&call(100)).await.map(|_| ());
    assert_eq!(shed, Err(Shed::Limit(Scope::Team)));
    drop(slots);
    assert_eq!(first.quota().peak_usage().in_flight, 4);
    advance(2_000).await;
    assert_eq!(first.quota().peak_usage().in_flight, 0);
}

/// Fails when an outage of the holder stops the entries or lets each of them
/// use the whole limit.
#[tokio::test(start_paused = true)]
async fn in_an_outage_steered_entries_divide_the_limit() {
    let document = document(100, 2);
    let shares = [Some(0), Some(1), Some(2), None].map(|rank| {
        let pool = fixture::open_with(document.clone(), fixture::config());
        let quota = pool.quota();
        quota.set_rank(rank.map(|index| Rank { index, count: 3 }));
        quota.use_fallback(Instant::now() + Duration::from_secs(30));
        let Share {
            in_flight,
            per_second,
        } = quota.share();
        (in_flight, per_second)
    });

    assert_eq!(shares, [(34, 1), (33, 1), (33, 0), (0, 0)]);
}

/// Fails when an entry that gets no grants is left with a small share, when it
/// loses a larger grant, or when the fallback outlives its expiry.
#[tokio::test(start_paused = true)]
async fn a_fallback_raises_a_share_and_never_lowers_it() {
    let pool = fixture::open_with(document(400, 4_000), fixture::config());
    let quota = pool.quota();
    let granted = |in_flight| Share {
        in_flight,
        per_second: 7,
    };
    let later = |seconds| Instant::now() + Duration::from_secs(seconds);
    quota.set_rank(Some(Rank { index: 0, count: 2 }));

    quota.grant(granted(7), later(1));
    assert_eq!(quota.share().in_flight, 2 + 7);
    quota.use_fallback(later(30));
    assert_eq!(quota.share().in_flight, 200);

    quota.grant(granted(300), later(30));
    quota.use_fallback(later(30));
    assert_eq!(quota.share().in_flight, 302);
    advance(30_000).await;
    assert_eq!(quota.share().in_flight, 2);
}

/// Fails when the even split of a limit leaves an entry nothing.
#[tokio::test(start_paused = true)]
async fn an_even_split_leaves_each_entry_a_part() {
    let pool = fixture::open(document(100, 2));

    pool.quota().set_even_split(Some(15));

    assert_eq!(
        pool.quota().share(),
        Share {
            in_flight: 6,
            per_second: 1
        }
    );
}

/// Fails when an entry reports to hold less than it goes on to use. The holder
/// grants the difference to others.
#[tokio::test(start_paused = true)]
async fn a_reported_demand_is_binding() {
    let pool = fixture::open_with(document(400, 4_000), fixture::config());
    let quota = pool.quota();
    let granted = Share {
        in_flight: 50,
        per_second: 500,
    };
    let smaller = Share {
        in_flight: 5,
        per_second: 500,
    };
    let expires = Instant::now() + Duration::from_secs(30);
    quota.grant(granted, expires);
    let slots = fixture::acquire_all(&pool).await;
    assert_eq!(slots.len(), 52);

    // Requests that the larger share admitted are still in flight.
    quota.grant(smaller, expires);
    let demand = quota.report_demand().expect("something is held");
    assert_eq!((demand.wanted.in_flight, demand.held.in_flight), (210, 50));
    assert!(fixture::try_acquire(&pool, &call(100)).await.is_none());
    drop(slots);
    advance(2_000).await;

    let demand = quota.report_demand().expect("something was held");
    assert_eq!(demand, Demand::default());
    assert_eq!(quota.share().in_flight, 2);
    assert_eq!(quota.report_demand(), None);
}
