//! Retry budgets and estimates of service times.

use std::time::Duration;

use carobdrift_placement::{Budget, Estimate};
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(10);

/// Guards against more retries than the ratio and the reserve allow.
#[test]
fn retries_stay_within_ratio_and_reserve() {
    let now = Instant::now();
    let mut budget = Budget::new(0.2, 3.0, WINDOW);
    for _ in 0..50 {
        budget.record_request(now);
    }

    let granted = (0..100).filter(|_| budget.try_spend(now)).count();

    assert_eq!(granted, 13);
}

/// Guards against a budget that counts requests of an earlier window.
#[test]
fn requests_and_retries_expire_with_the_window() {
    let now = Instant::now();
    let mut budget = Budget::new(0.5, 0.0, WINDOW);
    for _ in 0..10 {
        budget.record_request(now);
    }
    let spent = (0..10).filter(|_| budget.try_spend(now)).count();
    let later = now + WINDOW + Duration::from_secs(1);

    let after = budget.try_spend(later);
    for _ in 0..10 {
        budget.record_request(later);
    }
    let again = (0..10).filter(|_| budget.try_spend(later)).count();

    assert_eq!((spent, after, again), (5, false, 5));
}

/// Guards against an estimate that includes the slowdown of a machine in the
/// service time.
#[test]
fn service_time_is_estimated_at_normal_speed() {
    let mut estimate = Estimate::new(Duration::from_millis(300));
    for _ in 0..400 {
        estimate.observe(Duration::from_millis(450), 5.0);
    }

    let mean = estimate.mean().as_millis();

    assert!((88..=92).contains(&mean), "{mean}");
    assert!(estimate.upper() >= estimate.mean());
}
