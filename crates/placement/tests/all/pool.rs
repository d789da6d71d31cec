//! Choice among the targets of a pool.

use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Endpoint, Lifecycle, Outcome, Pool};
use carobdrift_units::Target;
use tokio::time::Instant;

use crate::fixture::{demand, endpoint, load, pool, target};

const WORK: Duration = Duration::from_millis(100);

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

/// Sends one attempt and ends it.
fn attempt(pool: &mut Pool, name: &str, outcome: Outcome, now: Instant) {
    let number = pool.begin_attempt(&target(name), WORK, now);
    pool.end_attempt(&target(name), number, outcome, now);
}

/// Guards against sending blindly to targets whose speed is not known.
#[test]
fn unknown_targets_are_probed_first() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b", "c"], now);

    let choice = pool.choose(demand(), now);

    assert_eq!(probed(choice).len(), 2);
}

/// Guards against further probes, and against a request that is held, while a
/// target that was probed for it is good: targets whose reports are old may cost
/// less by chance.
#[test]
fn a_good_target_is_taken_after_a_probe() {
    let start = Instant::now();
    let mut pool = pool(&["a", "b", "c", "d"], start);
    // All have stated the same speed for long, so that it is also the mean.
    for _ in 0..1000 {
        for name in ["a", "b", "c", "d"] {
            pool.record_load(&target(name), load(0, 1.0), start);
        }
    }
    let now = start + Duration::from_millis(100);
    pool.record_load(&target("a"), load(0, 1.0), now);
    let asked = [target("a"), target("b")];

    for _ in 0..100 {
        let demand = Criteria {
            probed: &asked,
            ..demand()
        };
        let choice = pool.choose(demand, now);

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

    let choice = pool.choose(demand(), now + Duration::from_millis(5));

    assert_eq!(sent(choice).as_deref(), Some("b"));
}

/// Guards against targets that join and stay without work while others have
/// enough room.
#[test]
fn a_target_that_joins_is_tried_once() {
    let start = Instant::now();
    let mut pool = pool(&["a", "b"], start);
    let now = start + Duration::from_secs(20);
    pool.put(endpoint("joined"), now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    pool.record_load(&target("b"), load(0, 1.0), now);

    let asked = probed(pool.choose(demand(), now));
    let meanwhile = sent(pool.choose(demand(), now));
    pool.record_load(&target("joined"), load(0, 1.0), now);
    let first = sent(pool.choose(demand(), now));
    attempt(&mut pool, "joined", Outcome::Success, now);
    let later = now + Duration::from_secs(1);
    pool.record_load(&target("a"), load(0, 1.0), later);
    pool.record_load(&target("b"), load(0, 1.0), later);
    let next = sent(pool.choose(demand(), later));

    assert!(asked.contains(&target("joined")));
    assert_ne!(meanwhile, None, "requests do not wait for the new target");
    assert_eq!(first.as_deref(), Some("joined"));
    assert_ne!(next, None, "a target that was tried costs no further probe");
}

/// Guards against a target that joins and gets requests blindly.
#[test]
fn a_slow_target_that_joins_is_not_tried() {
    let start = Instant::now();
    let mut pool = pool(&["a"], start);
    let now = start + Duration::from_secs(20);
    pool.put(endpoint("joined"), now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    pool.record_load(&target("joined"), load(0, 5.0), now);
    let immediate = Criteria {
        immediate: true,
        ..demand()
    };
    let mut unknown = pool_with_joined(start, now);

    assert_eq!(sent(pool.choose(demand(), now)).as_deref(), Some("a"));
    assert_eq!(sent(unknown.choose(immediate, now)).as_deref(), Some("a"));
}

/// A pool with a good target, and one that joined and was not heard of.
fn pool_with_joined(start: Instant, now: Instant) -> Pool {
    let mut pool = pool(&["a"], start);
    pool.put(endpoint("joined"), now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    pool
}

/// Guards against trust in a report that is older than the speed of a target
/// lasts.
#[test]
fn an_old_report_does_not_decide() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.record_load(&target("a"), load(0, 1.0), now);

    let choice = pool.choose(demand(), now + Duration::from_millis(200));

    assert_eq!(probed(choice), [target("a")]);
}

/// Guards against several requests that all probe the same target.
#[test]
fn a_probe_in_flight_is_waited_for() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.choose(demand(), now);

    let second = pool.choose(demand(), now + Duration::from_millis(2));

    assert_eq!(second, Choice::Slow);
}

/// Guards against a herd: requests sent since a report count at once.
#[test]
fn own_requests_fill_the_slots_of_a_target() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"], now);
    for name in ["a", "b"] {
        pool.record_load(&target(name), load(0, 1.0), now);
    }

    let chosen: Vec<String> = (0..4)
        .map(|_| {
            let name = sent(pool.choose(demand(), now)).unwrap();
            pool.begin_attempt(&target(&name), WORK, now);
            name
        })
        .collect();

    let first = chosen.iter().filter(|name| *name == "a").count();
    assert_eq!(first, 2, "{chosen:?}");
    assert_eq!(sent(pool.choose(demand(), now)), None);
}

/// Guards against new work for a target that is leaving, whatever its speed.
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
        ..demand()
    };
    assert_eq!(pool.choose(immediate, now), Choice::NoTarget);
    assert!(!pool.accepts(&draining));
}

/// Guards against a record that a new process inherits from the one before.
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

    assert_eq!(probed(pool.choose(demand(), now)), [target("a")]);
    assert!(pool.accepts(&after));
    assert!(!pool.accepts(&before));
}

/// Guards against the classic trap: a target that fails fast looks idle.
#[test]
fn a_target_that_fails_is_avoided() {
    let now = Instant::now();
    let mut pool = pool(&["bad", "good"], now);
    for _ in 0..3 {
        attempt(&mut pool, "bad", Outcome::Failure, now);
    }
    pool.record_load(&target("bad"), load(0, 1.0), now);
    pool.record_load(&target("good"), load(1, 1.0), now);

    for _ in 0..10 {
        assert_eq!(sent(pool.choose(demand(), now)).as_deref(), Some("good"));
    }
}

/// Guards against an installation that stops when all targets have failed.
#[test]
fn failing_targets_are_used_when_there_are_no_others() {
    let now = Instant::now();
    let mut pool = pool(&["bad"], now);
    for _ in 0..5 {
        attempt(&mut pool, "bad", Outcome::Failure, now);
    }

    let immediate = Criteria {
        immediate: true,
        ..demand()
    };

    assert_eq!(sent(pool.choose(immediate, now)).as_deref(), Some("bad"));
}

/// Guards against trust in a load that a target states while it refuses.
#[test]
fn refusals_of_a_target_that_states_free_slots_are_failures() {
    let now = Instant::now();
    let mut pool = pool(&["liar", "good"], now);
    pool.record_load(&target("liar"), load(0, 1.0), now);
    for _ in 0..3 {
        attempt(&mut pool, "liar", Outcome::Refused, now);
    }
    pool.record_load(&target("liar"), load(0, 1.0), now);
    pool.record_load(&target("good"), load(1, 1.0), now);

    assert_eq!(sent(pool.choose(demand(), now)).as_deref(), Some("good"));
}

/// Guards against a target that lets requests hang while its reports are good.
#[test]
fn requests_that_are_stuck_speak_against_a_target() {
    let now = Instant::now();
    let mut pool = pool(&["hung", "good"], now);
    pool.record_load(&target("hung"), load(0, 1.0), now);
    pool.begin_attempt(&target("hung"), WORK, now);
    let later = now + Duration::from_secs(2);
    pool.record_load(&target("hung"), load(0, 1.0), later);
    pool.record_load(&target("good"), load(1, 1.0), later);

    assert_eq!(sent(pool.choose(demand(), later)).as_deref(), Some("good"));
}

/// Guards against a second send to the target of the first.
#[test]
fn tried_targets_are_left_out() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"], now);
    pool.record_load(&target("a"), load(0, 1.0), now);
    pool.record_load(&target("b"), load(0, 1.0), now);
    let tried = [target("a")];

    let demand = Criteria {
        tried: &tried,
        ..demand()
    };

    assert_eq!(sent(pool.choose(demand, now)).as_deref(), Some("b"));
}

/// Guards against a free slow target that is taken before a busy fast one.
#[test]
fn a_short_queue_at_a_fast_target_beats_a_slow_one() {
    let now = Instant::now();
    let mut pool = pool(&["fast", "slow"], now);
    pool.record_load(&target("fast"), load(2, 1.0), now);
    pool.record_load(&target("slow"), load(0, 5.0), now);

    let immediate = Criteria {
        immediate: true,
        ..demand()
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
        ..demand()
    };

    assert_eq!(pool.choose(immediate, now), Choice::Saturated);
}

/// Guards against a target of another zone that is used without need.
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
        assert_eq!(sent(pool.choose(demand(), now)).as_deref(), Some("near"));
    }
}
