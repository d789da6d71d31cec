//! Target selection within a pool.

use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Endpoint, Lifecycle, Outcome, Pool};
use carobdrift_units::Target;
use tokio::time::Instant;

use crate::fixture::{criteria, endpoint, load, pool, target};

const SERVICE_TIME: Duration = Duration::from_millis(100);

fn sent(choice: Choice) -> Option<String> {
    match choice {
        Choice::Send(endpoint) => Some(endpoint.id.to_string()),
        _ => None,
    }
}

fn probed(choice: Choice) -> Vec<Target> {
    match choice {
        Choice::Probe(endpoints) => endpoints.into_iter().map(|e| e.id).collect(),
        _ => Vec::new(),
    }
}

/// Begins one attempt and ends it with `outcome`.
fn attempt(pool: &mut Pool, name: &str, outcome: Outcome, now: Instant) {
    let number = pool.begin_attempt(&target(name), SERVICE_TIME, now);
    pool.end_attempt(&target(name), number, outcome, now);
}

/// Guards against requests to targets whose speed is not known.
#[test]
fn unknown_targets_are_probed_first() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b", "c"], now);

    let choice = pool.choose(criteria(), now);

    assert_eq!(probed(choice).len(), 2);
}

/// Guards against further probes, and against a delay of the request, although a
/// target that was probed for the request is suitable: targets with old reports
/// may have a lower cost by chance.
#[test]
fn a_suitable_target_is_chosen_after_a_probe() {
    let start = Instant::now();
    let mut pool = pool(&["a", "b", "c", "d"], start);
    // All targets report the same speed until the mean has converged to it.
    for _ in 0..1000 {
        for name in ["a", "b", "c", "d"] {
            pool.record_load(&target(name), load(0, 1.0), start);
        }
    }
    let now = start + Duration::from_millis(100);
    pool.record_load(&target("a"), load(0, 1.0), now);
    let probed_targets = [target("a"), target("b")];

    for _ in 0..100 {
        let criteria = Criteria {
            probed: &probed_targets,
            ..criteria()
        };
        let choice = pool.choose(criteria, now);

        assert_eq!(sent(choice).as_deref(), Some("a"));
    }
}

/// Guards against a choice of a slow target while a fast one is known.
#[test]
fn a_fast_target_with_a_fresh_report_is_chosen() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"], now);
    pool.record_load(&target("a"), load(0, 5.0), now);
    pool.record_load(&target("b"), load(0, 1.0), now);

    let choice = pool.choose(criteria(), now + Duration::from_millis(5));

    assert_eq!(sent(choice).as_deref(), Some("b"));
}

/// Guards against targets that are added later and stay idle while others have
/// enough free slots.
#[test]
fn a_target_added_later_is_tried_once() {
    let start = Instant::now();
    let mut pool = pool(&["a", "b"], start);
    let now = start + Duration::from_secs(20);
    pool.put(endpoint("added"), now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    pool.record_load(&target("b"), load(0, 1.0), now);

    let probed_targets = probed(pool.choose(criteria(), now));
    let meanwhile = sent(pool.choose(criteria(), now));
    pool.record_load(&target("added"), load(0, 1.0), now);
    let first = sent(pool.choose(criteria(), now));
    attempt(&mut pool, "added", Outcome::Success, now);
    let later = now + Duration::from_secs(1);
    pool.record_load(&target("a"), load(0, 1.0), later);
    pool.record_load(&target("b"), load(0, 1.0), later);
    let next = sent(pool.choose(criteria(), later));

    assert!(probed_targets.contains(&target("added")));
    assert_ne!(meanwhile, None, "requests do not wait for the new target");
    assert_eq!(first.as_deref(), Some("added"));
    assert_ne!(next, None, "a target that was tried costs no further probe");
}

/// Guards against requests to a target that was added later before its speed is
/// known.
#[test]
fn a_slow_target_added_later_is_not_tried() {
    let start = Instant::now();
    let mut pool = pool(&["a"], start);
    let now = start + Duration::from_secs(20);
    pool.put(endpoint("added"), now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    pool.record_load(&target("added"), load(0, 5.0), now);
    let immediate = Criteria {
        immediate: true,
        ..criteria()
    };
    let mut unknown = pool_with_added(start, now);

    assert_eq!(sent(pool.choose(criteria(), now)).as_deref(), Some("a"));
    assert_eq!(sent(unknown.choose(immediate, now)).as_deref(), Some("a"));
}

/// Returns a pool with a suitable target, and one that was added later and has
/// not reported yet.
fn pool_with_added(start: Instant, now: Instant) -> Pool {
    let mut pool = pool(&["a"], start);
    pool.put(endpoint("added"), now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    pool
}

/// Guards against use of a report that is older than the time for which the speed
/// of a target stays constant.
#[test]
fn an_old_report_does_not_decide() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.record_load(&target("a"), load(0, 1.0), now);

    let choice = pool.choose(criteria(), now + Duration::from_millis(200));

    assert_eq!(probed(choice), [target("a")]);
}

/// Guards against several requests that all probe the same target.
#[test]
fn a_target_with_a_pending_probe_is_not_probed_again() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.choose(criteria(), now);

    let second = pool.choose(criteria(), now + Duration::from_millis(2));

    assert_eq!(second, Choice::Slow);
}

/// Guards against a herd on one target: requests sent since its last report must
/// count in its occupancy.
#[test]
fn own_requests_fill_the_slots_of_a_target() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"], now);
    for name in ["a", "b"] {
        pool.record_load(&target(name), load(0, 1.0), now);
    }

    let chosen: Vec<String> = (0..4)
        .map(|_| {
            let name = sent(pool.choose(criteria(), now)).unwrap();
            pool.begin_attempt(&target(&name), SERVICE_TIME, now);
            name
        })
        .collect();

    let first = chosen.iter().filter(|name| *name == "a").count();
    assert_eq!(first, 2, "{chosen:?}");
    assert_eq!(sent(pool.choose(criteria(), now)), None);
}

/// Guards against new requests to a draining target, whatever its speed.
#[test]
fn a_draining_target_gets_nothing() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    let draining = Endpoint {
        lifecycle: Lifecycle::Draining,
        ..endpoint("a")
    };
    pool.put(draining.clone(), now);

    let immediate = Criteria {
        immediate: true,
        ..criteria()
    };
    assert_eq!(pool.choose(immediate, now), Choice::NoTarget);
    assert!(!pool.accepts(&draining, now));
}

/// Guards against a new process that inherits the reports and failures of its
/// predecessor.
#[test]
fn a_new_process_under_the_same_id_starts_anew() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    let before = endpoint("a");
    let after = Endpoint {
        started_ms: 2,
        ..endpoint("a")
    };

    pool.put(after.clone(), now);

    assert_eq!(probed(pool.choose(criteria(), now)), [target("a")]);
    assert!(pool.accepts(&after, now));
    assert!(!pool.accepts(&before, now));
}

/// Guards against preference for a failing target: a target that fails fast looks
/// idle.
#[test]
fn a_target_that_fails_is_avoided() {
    let now = Instant::now();
    let mut pool = pool(&["failing", "healthy"], now);
    for _ in 0..3 {
        attempt(&mut pool, "failing", Outcome::Failure, now);
    }
    pool.record_load(&target("failing"), load(0, 1.0), now);
    pool.record_load(&target("healthy"), load(1, 1.0), now);

    for _ in 0..10 {
        assert_eq!(
            sent(pool.choose(criteria(), now)).as_deref(),
            Some("healthy")
        );
    }
}

/// Guards against refusal of all requests once all targets have failed.
#[test]
fn failing_targets_are_used_when_there_are_no_others() {
    let now = Instant::now();
    let mut pool = pool(&["failing"], now);
    for _ in 0..5 {
        attempt(&mut pool, "failing", Outcome::Failure, now);
    }

    let immediate = Criteria {
        immediate: true,
        ..criteria()
    };

    assert_eq!(
        sent(pool.choose(immediate, now)).as_deref(),
        Some("failing")
    );
}

/// Guards against use of the load report of a target that refuses requests
/// although it reports free slots.
#[test]
fn refusals_of_a_target_that_reports_free_slots_are_failures() {
    let now = Instant::now();
    let mut pool = pool(&["refusing", "healthy"], now);
    pool.record_load(&target("refusing"), load(0, 1.0), now);
    for _ in 0..3 {
        attempt(&mut pool, "refusing", Outcome::Refused, now);
    }
    pool.record_load(&target("refusing"), load(0, 1.0), now);
    pool.record_load(&target("healthy"), load(1, 1.0), now);

    assert_eq!(
        sent(pool.choose(criteria(), now)).as_deref(),
        Some("healthy")
    );
}

/// Guards against a target that does not answer requests while its reports show
/// free slots and normal speed.
#[test]
fn stuck_requests_raise_the_cost_of_a_target() {
    let now = Instant::now();
    let mut pool = pool(&["hung", "healthy"], now);
    pool.record_load(&target("hung"), load(0, 1.0), now);
    pool.begin_attempt(&target("hung"), SERVICE_TIME, now);
    let later = now + Duration::from_secs(2);
    pool.record_load(&target("hung"), load(0, 1.0), later);
    pool.record_load(&target("healthy"), load(1, 1.0), later);

    assert_eq!(
        sent(pool.choose(criteria(), later)).as_deref(),
        Some("healthy")
    );
}

/// Guards against a second attempt on the target of the first one.
#[test]
fn tried_targets_are_excluded() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"], now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    pool.record_load(&target("b"), load(0, 1.0), now);
    let tried = [target("a")];

    let criteria = Criteria {
        tried: &tried,
        ..criteria()
    };

    assert_eq!(sent(pool.choose(criteria, now)).as_deref(), Some("b"));
}

/// Guards against a free slow target that is chosen before a busy fast one.
#[test]
fn a_short_queue_at_a_fast_target_beats_a_slow_one() {
    let now = Instant::now();
    let mut pool = pool(&["fast", "slow"], now);
    pool.record_load(&target("fast"), load(2, 1.0), now);
    pool.record_load(&target("slow"), load(0, 5.0), now);

    let immediate = Criteria {
        immediate: true,
        ..criteria()
    };

    assert_eq!(sent(pool.choose(immediate, now)).as_deref(), Some("fast"));
}

/// Guards against a request that is sent although its answer can't come in time.
#[test]
fn a_target_that_would_answer_too_late_is_not_used() {
    let now = Instant::now();
    let mut pool = pool(&["slow"], now);
    pool.record_load(&target("slow"), load(0, 5.0), now);

    let immediate = Criteria {
        immediate: true,
        max_cost: 3.0,
        ..criteria()
    };

    assert_eq!(pool.choose(immediate, now), Choice::Saturated);
}

/// Guards against a target of another zone that is used although a target in the
/// zone of the entry is suitable.
#[test]
fn a_target_of_the_own_zone_comes_first() {
    let now = Instant::now();
    let mut pool = pool(&["near"], now);
    pool.put(
        Endpoint {
            zone: "z2".parse().unwrap(),
            ..endpoint("far")
        },
        now,
    );
    pool.record_load(&target("near"), load(0, 1.0), now);
    pool.record_load(&target("far"), load(0, 1.0), now);

    for _ in 0..10 {
        assert_eq!(sent(pool.choose(criteria(), now)).as_deref(), Some("near"));
    }
}
