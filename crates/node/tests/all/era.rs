//! Registrations of a store that returned from an older copy and assigns versions again.

use std::time::Duration;

use carobdrift_node::Replica;
use carobdrift_placement::Lifecycle;
use carobdrift_units::{Era, StoreRevision};
use tokio::time::Instant;

use crate::replica::{at, initial_replica, names, registered, removed, row};

/// Time after a return in which targets that are missing can register again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2200);

/// Returns a revision of the era after a return.
fn again(version: u64) -> StoreRevision {
    StoreRevision {
        era: Era(2),
        version,
    }
}

/// Returns a replica of the targets `a` and `b` as of revision 10 of the first era.
fn known(now: Instant) -> Replica {
    initial_replica(now)
}

/// Guards against a change that is ignored because its version is lower than that of the
/// lost registration, and against sending unchanged registrations to all entries.
#[test]
fn a_lower_version_of_a_newer_era_is_applied() {
    let now = Instant::now();
    let mut replica = known(now);
    let mut draining = registered("b", again(5));
    if let carobdrift_node::Item::Target(endpoint) = &mut draining.item {
        endpoint.lifecycle = Lifecycle::Draining;
    }

    let changed = replica.replace(vec![registered("a", again(3)), draining], again(6), now);

    assert_eq!(names(&changed), ["b"]);
    assert_eq!(replica.revision(), again(5));
}

/// Guards against a target that is removed before it had time to register again, and
/// against one that is kept for ever.
#[test]
fn missing_targets_have_time_to_register_again() {
    let now = Instant::now();
    let mut replica = known(now);

    let changed = replica.replace(vec![registered("a", again(3))], again(3), now);
    let before = replica.apply_due_removals(now + REREGISTRATION_TIME - Duration::from_millis(1));
    let after = replica.apply_due_removals(now + REREGISTRATION_TIME);

    assert!(changed.is_empty() && before.is_empty());
    assert_eq!(names(&after), ["b"]);
    assert!(after[0].endpoint.is_none());
    assert_eq!(names(&replica.rows()), ["a"]);
}

/// Guards against removing a target that registered again.
#[test]
fn a_target_that_registers_again_stays() {
    let now = Instant::now();
    let mut replica = known(now);
    replica.replace(vec![registered("a", again(3))], again(3), now);

    replica.apply_changes(vec![registered("b", again(4))], now);
    let due = replica.apply_due_removals(now + 2 * REREGISTRATION_TIME);

    assert!(due.is_empty());
    assert_eq!(names(&replica.rows()), ["a", "b"]);
}

/// Guards against data of an older era that arrives late and overrides a newer one, from
/// the store or from another entry.
#[test]
fn an_older_era_overrides_nothing() {
    let now = Instant::now();
    let mut replica = known(now);
    replica.replace(
        vec![registered("a", again(3)), registered("b", again(4))],
        again(4),
        now,
    );

    let changes = replica.apply_changes(vec![removed("a", at(90)), registered("c", at(91))], now);
    let full = replica.replace(vec![registered("c", at(91))], at(92), now);
    let rows = vec![row("b", at(93), false), row("d", at(94), true)];
    let delta = replica.apply_delta(rows, at(10), at(94), now);
    let snapshot = replica.apply_snapshot(vec![row("d", at(94), true)], at(94), now);

    for changed in [changes, full, delta, snapshot] {
        assert!(changed.is_empty(), "{changed:?}");
    }
    assert_eq!(names(&replica.rows()), ["a", "b"]);
    assert_eq!(replica.revision(), again(4));
}

/// Guards against an entry that counts as up to date after a few changes of a newer era,
/// and never reads the others.
#[test]
fn changes_of_a_newer_era_do_not_complete_it() {
    let now = Instant::now();
    let mut replica = known(now);

    let changed = replica.apply_delta(vec![row("c", again(5), true)], again(0), again(5), now);

    assert_eq!(names(&changed), ["c"]);
    assert_eq!(replica.revision(), at(10));
}

/// Guards against an entry that learns of the return from another one and keeps or drops
/// other targets than one that reads the store.
#[test]
fn a_snapshot_of_a_newer_era_is_like_a_full_read() {
    let now = Instant::now();
    let mut replica = known(now);
    let rows = vec![row("a", again(3), true), row("c", again(4), true)];

    let changed = replica.apply_snapshot(rows, again(4), now);
    let early = replica.apply_due_removals(now + Duration::from_secs(1));
    let due = replica.apply_due_removals(now + REREGISTRATION_TIME);

    assert_eq!(names(&changed), ["c"]);
    assert!(early.is_empty());
    assert_eq!(names(&due), ["b"]);
}

/// Guards against a target that another entry keeps for the time to register again, and
/// that stays for ever where the later removal is lost.
#[test]
fn a_target_that_another_entry_holds_is_removed_without_its_removal() {
    let now = Instant::now();
    let mut replica = Replica::default();

    replica.apply_snapshot(
        vec![row("a", again(3), true), row("b", at(10), true)],
        again(3),
        now,
    );
    let present = names(&replica.rows());
    let due = replica.apply_due_removals(now + REREGISTRATION_TIME);

    assert_eq!(present, ["a", "b"]);
    assert_eq!(names(&due), ["b"]);
}

/// Guards against an entry that does not notice the second of two returns, or takes the
/// copy of the first one for newer.
#[test]
fn two_returns_in_succession_are_ordered() {
    let now = Instant::now();
    let third = |version| StoreRevision {
        era: Era(3),
        version,
    };
    let mut replica = known(now);
    replica.replace(vec![registered("a", again(30))], again(30), now);

    replica.replace(vec![registered("b", third(2))], third(2), now);
    let late = replica.apply_delta(vec![row("b", again(31), false)], again(30), again(31), now);
    let due = replica.apply_due_removals(now + REREGISTRATION_TIME);

    assert!(late.is_empty());
    assert_eq!(names(&due), ["a"]);
    assert_eq!(names(&replica.rows()), ["b"]);
    assert_eq!(replica.revision(), third(2));
}
