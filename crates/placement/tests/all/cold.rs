//! Targets that are cold, with a limit on what they tolerate.

use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Pool};
use tokio::time::Instant;

use crate::fixture::{criteria, endpoint, load, pool, target};

const WARMUP: Duration = Duration::from_secs(3);

/// Returns a pool of targets with fresh reports.
fn fresh(names: &[&str], now: Instant) -> Pool {
    let mut pool = pool(names, now);
    pool.limit_cold_targets(true);
    for name in names {
        pool.record_load(&target(name), load(0, 1.0), now);
        pool.record_health(&endpoint(name), now);
    }
    pool
}

/// Guards against a request to a cold target for which there is no token, while others
/// or no others are left, and against a target that stays out afterwards.
#[test]
fn a_cold_target_without_a_token_is_left_out_until_one_is_expected() {
    let now = Instant::now();
    let mut pool = fresh(&["a", "b"], now);
    for name in ["a", "b"] {
        pool.record_warmup(&endpoint(name), WARMUP, now);
    }
    let expected = now + Duration::from_millis(10);

    pool.withhold(&target("a"), expected);
    let other = pool.choose(criteria(), now);
    pool.withhold(&target("b"), expected);
    let none = pool.choose(criteria(), now);
    let later = pool.choose(criteria(), expected);

    assert_eq!(other, Choice::Send(endpoint("b")));
    assert_eq!(none, Choice::Saturated);
    assert!(matches!(later, Choice::Send(_)), "{later:?}");
}

/// Guards against a target that is cold again and that entries with fresh load reports
/// do not ask about.
#[test]
fn the_health_of_a_target_is_asked_for_although_its_load_is_known() {
    let now = Instant::now();
    let mut pool = fresh(&["a"], now);
    let later = now + Duration::from_millis(300);
    pool.record_load(&target("a"), load(0, 1.0), later);

    let unknown = pool.choose(criteria(), later);
    pool.record_health(&endpoint("a"), later);
    let probed = [target("a")];
    let known = Criteria {
        probed: &probed,
        ..criteria()
    };

    assert_eq!(unknown, Choice::Probe(vec![endpoint("a")]));
    assert_eq!(pool.choose(known, later), Choice::Send(endpoint("a")));
}

/// Guards against a target that is cold again and gets a request unasked, because the
/// machine of the entry is overloaded or the request can't wait.
#[test]
fn an_immediate_request_asks_for_the_health_of_its_target_first() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.limit_cold_targets(true);
    let immediate = Criteria {
        immediate: true,
        ..criteria()
    };
    let probed = [target("a")];
    let after_probe = Criteria {
        probed: &probed,
        ..immediate
    };

    let first = pool.choose(immediate, now);
    let unanswered = pool.choose(after_probe, now);

    assert_eq!(first, Choice::Probe(vec![endpoint("a")]));
    assert_eq!(unanswered, Choice::Send(endpoint("a")));
}

/// Guards against an old registration that makes a target warm again, and against
/// a target that stays cold although it states that it is not.
#[test]
fn the_statement_of_a_target_is_newer_than_its_registration() {
    let now = Instant::now();
    let mut pool = fresh(&["a"], now);
    pool.record_warmup(&endpoint("a"), WARMUP, now);

    pool.put(endpoint("a"), now);
    let after_registration = pool.is_cold(&target("a"), now);
    pool.record_warmup(&endpoint("a"), Duration::ZERO, now);

    assert!(after_registration);
    assert!(!pool.is_cold(&target("a"), now));
}

/// Guards against a change for services that have no limit.
#[test]
fn without_a_limit_cold_targets_are_used_as_before() {
    let now = Instant::now();
    let mut pool = fresh(&["a"], now);
    pool.limit_cold_targets(false);
    pool.record_warmup(&endpoint("a"), WARMUP, now);

    pool.withhold(&target("a"), now + WARMUP);
    let choice = pool.choose(criteria(), now);
    pool.put(endpoint("a"), now);

    assert_eq!(choice, Choice::Send(endpoint("a")));
    assert!(!pool.is_cold(&target("a"), now));
}
