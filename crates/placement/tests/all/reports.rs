//! Targets that do not report their load.

use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Outcome, Pool};
use tokio::time::Instant;

use crate::fixture::{criteria, load, pool, target};

const SERVICE_TIME: Duration = Duration::from_millis(100);

/// Largest cost of a target for a request of which a third of the target latency is
/// expected to be service time.
const MAX_COST: f64 = 3.0;

/// Returns a pool of targets that answered without a report.
fn unreported(names: &[&str], now: Instant) -> Pool {
    let mut pool = pool(names, now);
    for name in names {
        pool.record_missing_report(&target(name), now);
    }
    pool
}

fn request() -> Criteria<'static> {
    Criteria {
        idempotent: false,
        max_cost: MAX_COST,
        ..criteria()
    }
}

fn sent(choice: Choice) -> Option<String> {
    match choice {
        Choice::Send(endpoint) => Some(endpoint.id.to_string()),
        _ => None,
    }
}

/// Guards against idle targets that are never used because they do not report their load:
/// each probe without a report counted as one without an answer.
#[test]
fn targets_that_answer_without_reports_are_used() {
    let now = Instant::now();
    let mut pool = unreported(&["a", "b"], now);
    for _ in 0..10 {
        pool.record_missing_report(&target("a"), now);
    }

    for age in [0, 40, 2_000, 60_000] {
        for immediate in [false, true] {
            let criteria = Criteria {
                immediate,
                ..request()
            };
            let choice = pool.choose(criteria, now + Duration::from_millis(age));

            assert!(sent(choice).is_some(), "after {age} ms, {immediate}");
        }
    }
}

/// Guards against requests that pile up at one of several targets without reports.
#[test]
fn targets_without_reports_share_requests_by_their_number() {
    let now = Instant::now();
    let names = ["a", "b", "c", "d"];
    let mut pool = unreported(&names, now);

    let mut counts = [0; 4];
    for _ in 0..8 {
        let chosen = sent(pool.choose(request(), now)).unwrap();
        pool.begin_attempt(&target(&chosen), SERVICE_TIME, now);
        counts[names.iter().position(|name| *name == chosen).unwrap()] += 1;
    }

    assert_eq!(counts, [2; 4]);
    assert_eq!(sent(pool.choose(request(), now)), None);
}

/// Guards against requests to a target that has just refused one because it is full.
#[test]
fn a_target_without_reports_that_refuses_is_left_out_for_some_time() {
    let now = Instant::now();
    let mut pool = unreported(&["a", "b"], now);
    let attempt = pool.begin_attempt(&target("a"), SERVICE_TIME, now);
    pool.end_attempt(&target("a"), attempt, Outcome::Refused, now);

    let mut used = Vec::new();
    for _ in 0..2 {
        let chosen = sent(pool.choose(request(), now)).unwrap();
        pool.begin_attempt(&target(&chosen), SERVICE_TIME, now);
        used.push(chosen);
    }
    let full = pool.choose(request(), now);
    let later = pool.choose(request(), now + 10 * SERVICE_TIME);

    assert_eq!(used, ["b", "b"]);
    assert_eq!(sent(full), None);
    assert_eq!(sent(later).as_deref(), Some("a"));
}

/// Guards against judging a target that reports its load by one answer that does not, and
/// against never using it again once it has ceased to report.
#[test]
fn a_target_that_ceases_to_report_is_judged_by_its_last_report_at_first() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.record_load(&target("a"), load(2, 1.0), now);

    pool.record_missing_report(&target("a"), now);
    let once = pool.choose(request(), now);
    for _ in 0..2 {
        pool.record_missing_report(&target("a"), now);
    }
    let ceased = pool.choose(request(), now);

    assert_eq!(sent(once), None);
    assert_eq!(sent(ceased).as_deref(), Some("a"));
}

/// Guards against requests to a target without reports that does not answer probes.
#[test]
fn a_target_without_reports_that_ceases_to_answer_is_probed() {
    let now = Instant::now();
    let mut pool = unreported(&["a"], now);

    pool.record_unanswered_probe(&target("a"));
    let choice = pool.choose(request(), now);
    pool.record_missing_report(&target("a"), now);
    let answered = pool.choose(request(), now);

    assert!(matches!(choice, Choice::Probe(_)), "{choice:?}");
    assert_eq!(sent(answered).as_deref(), Some("a"));
}
