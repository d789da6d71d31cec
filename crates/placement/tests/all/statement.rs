//! Targets that state that they are leaving or want no requests.

use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Endpoint, Lifecycle};
use tokio::time::Instant;

use crate::fixture::{criteria, endpoint, load, pool, target};

fn immediate() -> Criteria<'static> {
    Criteria {
        immediate: true,
        ..criteria()
    }
}

/// Guards against requests to a target that stated that it is leaving, although
/// its registration is still that of a ready target, or expired and returned.
#[test]
fn a_leaving_target_stays_out_of_use_whatever_its_registration_says() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.record_load(&target("a"), load(0, 1.0), now);

    let is_new = pool.mark_leaving(&endpoint("a"), now);
    let after_statement = pool.choose(criteria(), now);
    pool.put(endpoint("a"), now);
    let after_update = pool.choose(immediate(), now);
    pool.remove(&target("a"));
    pool.put(endpoint("a"), now);
    let after_return = pool.choose(immediate(), now);

    assert!(is_new);
    assert!(!pool.mark_leaving(&endpoint("a"), now));
    assert_eq!(after_statement, Choice::NoTarget);
    assert_eq!(after_update, Choice::NoTarget);
    assert_eq!(after_return, Choice::NoTarget);
    assert!(!pool.accepts(&endpoint("a"), now));
}

/// Guards against leaving out a target that started again under the same id, or
/// another one that uses the address of the one that left.
#[test]
fn a_statement_applies_to_one_process() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    pool.mark_leaving(&endpoint("a"), now);
    pool.pause(&endpoint("a"), now + Duration::from_secs(5), now);
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint("a")
    };
    let at_its_address = endpoint("b");

    pool.put(restarted.clone(), now);
    pool.put(at_its_address.clone(), now);

    assert!(pool.accepts(&restarted, now));
    assert!(pool.accepts(&at_its_address, now));
}

/// Guards against a statement of the process before, which arrives late and takes
/// the present one out of use.
#[test]
fn a_late_statement_of_an_earlier_process_changes_nothing() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint("a")
    };
    pool.put(restarted.clone(), now);
    let until = now + Duration::from_secs(2);
    pool.pause(&restarted, until, now);

    let is_new = pool.mark_leaving(&endpoint("a"), now);

    assert!(!is_new);
    assert!(!pool.accepts(&restarted, now));
    assert!(pool.accepts(&restarted, until));
}

/// Guards against requests and probes to a target during its pause, and against
/// leaving the target out afterwards.
#[test]
fn a_paused_target_gets_neither_requests_nor_probes() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b"], now);
    let until = now + Duration::from_secs(2);
    pool.pause(&endpoint("a"), until, now);
    pool.record_load(&target("a"), load(0, 1.0), now);

    for ms in [0, 400, 1000, 1999] {
        let at = now + Duration::from_millis(ms);
        match pool.choose(criteria(), at) {
            Choice::Probe(targets) => {
                assert!(targets.iter().all(|probed| probed.id == target("b")));
            }
            choice => assert!(matches!(choice, Choice::Slow), "{choice:?}"),
        }
        match pool.choose(immediate(), at) {
            Choice::Send(chosen) => assert_eq!(chosen.id, target("b")),
            choice => panic!("{choice:?}"),
        }
        assert!(!pool.accepts(&endpoint("a"), at));
    }

    assert!(pool.accepts(&endpoint("a"), until));
}

/// Guards against losing a pause because the registration expired and returned.
#[test]
fn a_pause_outlasts_a_registration_that_expires() {
    let now = Instant::now();
    let mut pool = pool(&["a"], now);
    let until = now + Duration::from_secs(2);
    pool.pause(&endpoint("a"), until, now);

    pool.remove(&target("a"));
    pool.put(endpoint("a"), now);

    assert_eq!(pool.choose(immediate(), now), Choice::Paused(until));
}

/// Guards against telling a caller nothing about when targets accept requests
/// again, and against counting targets that are leaving.
#[test]
fn while_all_targets_pause_the_end_of_the_first_pause_is_known() {
    let now = Instant::now();
    let mut pool = pool(&["a", "b", "c"], now);
    let first_end = now + Duration::from_secs(1);
    let second_end = now + Duration::from_secs(3);
    pool.pause(&endpoint("a"), second_end, now);
    pool.pause(&endpoint("b"), first_end, now);
    pool.mark_leaving(&endpoint("c"), now);

    let all = pool.choose(criteria(), now);
    let tried = [target("b")];
    let without_first = pool.choose(
        Criteria {
            tried: &tried,
            ..criteria()
        },
        now,
    );
    pool.put(
        Endpoint {
            lifecycle: Lifecycle::Draining,
            ..endpoint("a")
        },
        now,
    );

    assert_eq!(all, Choice::Paused(first_end));
    assert_eq!(without_first, Choice::Paused(second_end));
    assert_eq!(pool.choose(criteria(), now), Choice::Paused(first_end));
}
