//! Guards against grants whose sum exceeds the limit at any moment, and
//! against an entry that starves beside a greedy one.

use std::time::Duration;

use carobdrift_balance::{Allowance, Share};
use carobdrift_document::Limits;
use carobdrift_measure::{Book, VALIDITY, rest};
use carobdrift_units::Instance;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, advance};

const ENTRIES: u32 = 20;

fn limits(limit: u32) -> Limits {
    Limits {
        max_in_flight: limit,
        max_per_second: limit * 10,
    }
}

fn instance(number: usize) -> Instance {
    format!("e-{number}").parse().unwrap()
}

fn want(amount: u32) -> Share {
    Share {
        in_flight: amount,
        per_second: amount,
    }
}

#[test]
fn fixed_shares_and_rest_make_up_the_limit() {
    for limit in [0, 1, 19, 39, 40, 41, 400, 10_001] {
        let fixed = limit / 2 / ENTRIES;

        assert_eq!(rest(limit, ENTRIES) + fixed * ENTRIES, limit);
    }
}

/// Entries ask at random, answers are lost or late, and loads shift.
#[tokio::test(start_paused = true)]
async fn sum_of_usable_shares_never_exceeds_the_limit() {
    let mut random = StdRng::seed_from_u64(11);
    for limit in [7, 41, 400] {
        let limits = limits(limit);
        let mut book = Book::default();
        let open = || Allowance::open(limits.clone(), ENTRIES);
        let allowances: Vec<_> = (0..ENTRIES).map(|_| open()).collect();
        let mut largest = 0;
        for _ in 0..2_000 {
            let number = random.random_range(0..allowances.len());
            let amount = random.random_range(0..=limit);
            let sent = Instant::now();
            advance(Duration::from_millis(random.random_range(0..60))).await;
            let now = Instant::now();
            let granted = book.grant(&limits, ENTRIES, &instance(number), want(amount), now);
            advance(Duration::from_millis(random.random_range(0..60))).await;
            if random.random_bool(0.8) {
                allowances[number].grant(granted, sent + VALIDITY);
            }
            let shares = allowances.iter().map(Allowance::share);
            let sum = shares.fold((0, 0), |sum, share| {
                (sum.0 + share.in_flight, sum.1 + share.per_second)
            });
            assert!(sum.0 <= limit && sum.1 <= limit * 10, "{sum:?} of {limit}");
            largest = largest.max(sum.0);
        }

        assert!(largest > limit * 9 / 10, "{largest} of {limit}");
    }
}

#[test]
fn grant_is_free_again_once_it_expired() {
    let now = Instant::now();
    let mut book = Book::default();
    let limits = limits(400);
    let mut grant = |number, at| {
        let share = book.grant(&limits, ENTRIES, &instance(number), want(400), at);
        share.in_flight
    };

    assert_eq!(grant(1, now), 200);
    assert_eq!(grant(2, now + VALIDITY / 2), 0);
    assert_eq!(grant(3, now + VALIDITY), 100);
}

#[test]
fn greedy_entry_gives_way_within_two_validities() {
    let start = Instant::now();
    let mut book = Book::default();
    let limits = limits(400);
    let mut granted = [0; 3];
    for step in 0..10 {
        let now = start + VALIDITY / 4 * step;
        for (number, amount) in [(0, 400), (1, 400), (2, 30)] {
            let share = book.grant(&limits, ENTRIES, &instance(number), want(amount), now);
            granted[number] = share.in_flight;
        }
    }

    assert_eq!(granted, [85, 85, 30]);
}
