//! Shares of limits.

use std::time::Duration;

use carobdrift_balance::{Allowance, Pool, Scope, Share, Shed};
use carobdrift_document::{Document, Limits, Policy};
use tokio::time::Instant;

use crate::fixture::{self, call, pass};

fn document(max_in_flight: u32, max_per_second: u32) -> Document {
    let mut document = fixture::document(Policy::LeastInFlight, 4, 2);
    document.limits = Limits {
        max_in_flight,
        max_per_second,
    };
    document
}

/// Calls that are admitted at this moment; all of them end at once.
async fn burst(pool: &Pool) -> u32 {
    let mut admitted = 0;
    while admitted < 1_000 && pool.acquire(&call(100)).await.is_ok() {
        admitted += 1;
    }
    admitted
}

/// Fails when requests in flight exceed the limit, attempts beyond the first
/// included, or when the reason is not stated.
#[tokio::test(start_paused = true)]
async fn requests_in_flight_stay_within_the_limit() {
    let pool = fixture::open(document(7, 10_000));
    fixture::targets(&pool, 200).await;

    let slots = fixture::fill(&pool).await;

    assert_eq!(slots.len(), 7);
    let retry = pool.try_another(&call(100), carobdrift_balance::Purpose::Retry, &[]);
    assert!(retry.is_none());
    let shed = pool.acquire(&call(100)).await.map(|_| ());
    assert_eq!(shed, Err(Shed::Limit(Scope::Service)));
    drop(slots);
    assert_eq!(fixture::fill(&pool).await.len(), 7);
}

/// Fails when any window of one second holds more calls than the limit, or
/// when far fewer are admitted than it permits.
#[tokio::test(start_paused = true)]
async fn calls_per_second_stay_within_the_limit() {
    let pool = fixture::open(document(100, 50));
    let mut admitted = Vec::new();
    for step in 0..5_000_u64 {
        if step % 7 < 3 && pool.acquire(&call(100)).await.is_ok() {
            admitted.push(Instant::now());
        }
        pass(1).await;
    }

    let second = Duration::from_secs(1);
    let within = |pair: &[Instant]| pair[50] - pair[0] >= second;
    assert!(admitted.windows(51).all(within));
    assert!(admitted.len() >= 240, "{}", admitted.len());
}

/// Fails when the limits of a class are ignored or hit another class.
#[tokio::test(start_paused = true)]
async fn class_limits_apply_to_their_class() {
    let mut document = document(100, 1_000);
    document.classes[0].max_in_flight = Some(3);
    document.classes[1].max_per_second = Some(5);
    let pool = fixture::open(document);
    let mut seeding = call(100);
    seeding.class = "seeding".parse().expect("the name is valid");

    let views = fixture::fill(&pool).await;
    let mut seedings = 0;
    while seedings < 1_000 && pool.acquire(&seeding).await.is_ok() {
        seedings += 1;
    }

    assert_eq!((views.len(), seedings), (3, 5));
}

/// Fails when an entry uses more than its fixed share without a grant, or a
/// grant after its end.
#[tokio::test(start_paused = true)]
async fn a_grant_adds_to_the_fixed_share_until_it_expires() {
    let mut local = fixture::local();
    local.max_entries = 10;
    let pool = fixture::open_as(document(400, 1_000), local);
    let allowance = pool.allowance();
    let fixed = Share {
        in_flight: 20,
        per_second: 50,
    };
    assert_eq!(allowance.share(), fixed);
    assert_eq!(burst(&pool).await, 50);
    pass(1_020).await;

    let granted = Share {
        in_flight: 30,
        per_second: 40,
    };
    allowance.grant(granted, Instant::now() + Duration::from_secs(2));
    assert_eq!(burst(&pool).await, 90);
    assert_eq!(fixture::fill(&pool).await.len(), 0);
    pass(2_000).await;

    assert_eq!(allowance.share(), fixed);
    assert_eq!(burst(&pool).await, 50);
    assert_eq!(allowance.demand().per_second, 51);
}

/// Fails when the sum over the entries exceeds a limit, for class limits too.
#[tokio::test(start_paused = true)]
async fn fixed_shares_and_grants_add_up_to_the_limit() {
    let mut document = document(110, 1_000);
    document.classes[0].max_in_flight = Some(33);
    let mut held = Vec::new();
    for entry in 0..3 {
        let mut local = fixture::local();
        local.max_entries = 3;
        let pool = fixture::open_as(document.clone(), local);
        let grant = Share {
            in_flight: [25, 20, 11][entry],
            per_second: 0,
        };
        pool.allowance()
            .grant(grant, Instant::now() + Duration::from_secs(2));
        held.push(fixture::fill(&pool).await);
    }

    let sum: usize = held.iter().map(Vec::len).sum();
    assert!((30..=33).contains(&sum), "{sum}");
}

/// Fails when two services of a team exceed the team's limit together, or when
/// a refusal by the team uses up the service's share.
#[tokio::test(start_paused = true)]
async fn a_team_limit_spans_services() {
    let limits = Limits {
        max_in_flight: 5,
        max_per_second: 1_000,
    };
    let team = Allowance::open(limits, 20);
    team.split(Some(1));
    let mut local = fixture::local();
    local.team = Some(team);
    let first = fixture::open_as(document(100, 1_000), local.clone());
    let second = fixture::open_as(document(100, 1_000), local);
    for pool in [&first, &second] {
        pool.allowance().split(Some(1));
    }

    let mut slots = Vec::new();
    for _ in 0..3 {
        slots.push(fixture::take(&first).await);
    }
    slots.extend(fixture::fill(&second).await);

    assert_eq!(slots.len(), 5);
    let shed = first.acquire(&call(100)).await.map(|_| ());
    assert_eq!(shed, Err(Shed::Limit(Scope::Team)));
    drop(slots);
    assert_eq!(first.allowance().demand().in_flight, 4);
    assert_eq!(first.allowance().demand().in_flight, 0);
}

/// Fails when an outage stops the entries or lets them all use the whole.
#[tokio::test(start_paused = true)]
async fn in_an_outage_the_limit_is_split() {
    let pool = fixture::open(document(100, 2));

    pool.allowance().split(Some(15));

    assert_eq!(
        pool.allowance().share(),
        Share {
            in_flight: 6,
            per_second: 1
        }
    );
}
