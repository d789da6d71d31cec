//! Registrations that arrive late, expire or are missed.

use std::time::Duration;

use carobdrift_node::{Item, Record, Replica};
use carobdrift_peers::Row;
use carobdrift_placement::{Endpoint, Lifecycle};
use carobdrift_units::{Era, StoreRevision};
use tokio::time::Instant;

/// Returns a revision of the first era.
pub(crate) fn at(version: u64) -> StoreRevision {
    StoreRevision {
        era: Era(1),
        version,
    }
}

pub(crate) fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.parse().unwrap(),
        started_ms: 1,
        service: "sheets".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        slots: 2,
        lifecycle: Lifecycle::Ready,
        warmup: Duration::ZERO,
    }
}

pub(crate) fn registered(id: &str, revision: StoreRevision) -> Record {
    Record {
        revision,
        item: Item::Target(endpoint(id)),
    }
}

pub(crate) fn removed(id: &str, revision: StoreRevision) -> Record {
    Record {
        revision,
        item: Item::Removed(id.parse().unwrap()),
    }
}

pub(crate) fn row(id: &str, revision: StoreRevision, present: bool) -> Row {
    Row {
        revision,
        target: id.parse().unwrap(),
        endpoint: present.then(|| endpoint(id)),
    }
}

pub(crate) fn names(rows: &[Row]) -> Vec<String> {
    let mut names: Vec<String> = rows.iter().map(|row| row.target.to_string()).collect();
    names.sort();
    names
}

/// Returns a replica of the targets `a` and `b` as of revision 10.
pub(crate) fn initial_replica(now: Instant) -> Replica {
    let mut replica = Replica::default();
    replica.replace(
        vec![registered("a", at(3)), registered("b", at(10))],
        at(10),
        now,
    );
    replica
}

/// Guards against an older registration that arrives late and restores a removed
/// target.
#[test]
fn an_older_registration_does_not_undo_a_removal() {
    let now = Instant::now();
    let mut replica = initial_replica(now);
    replica.apply_delta(vec![row("a", at(12), false)], at(10), at(12), now);

    let changed = replica.apply_delta(vec![row("a", at(11), true)], at(10), at(11), now);

    assert!(changed.is_empty());
    assert_eq!(names(&replica.rows()), ["b"]);
}

/// Guards against keeping a target whose removal was lost when the store
/// compacted its history.
#[test]
fn a_full_read_removes_the_targets_that_it_lacks() {
    let now = Instant::now();
    let mut replica = initial_replica(now);

    let changed = replica.replace(vec![registered("b", at(10))], at(20), now);

    assert_eq!(names(&changed), ["a"]);
    assert!(changed[0].endpoint.is_none());
}

/// Guards against dropping running targets whose registrations expired during an
/// outage of the store.
#[test]
fn expired_targets_have_time_to_register_again() {
    let now = Instant::now();
    let mut replica = initial_replica(now);
    replica.observe_store_age(Duration::from_secs(6), now);
    replica.observe_store_age(Duration::ZERO, now);

    let changed = replica.apply_changes(vec![removed("a", at(21)), removed("b", at(22))], now);
    replica.apply_changes(vec![registered("a", at(23))], now + Duration::from_secs(1));
    let early = replica.apply_due_removals(now + Duration::from_secs(1));
    let late = replica.apply_due_removals(now + Duration::from_secs(3));

    assert!(changed.is_empty());
    assert!(early.is_empty());
    assert_eq!(names(&late), ["b"]);
    assert_eq!(names(&replica.rows()), ["a"]);
}

/// Guards against holding a removal although there was no outage.
#[test]
fn a_removal_without_an_outage_applies_at_once() {
    let now = Instant::now();
    let mut replica = initial_replica(now);
    replica.observe_store_age(Duration::from_millis(1500), now);

    let changed = replica.apply_changes(vec![removed("a", at(21))], now);

    assert_eq!(names(&changed), ["a"]);
}

/// Guards against a replica that claims a revision although changes before it
/// are missing.
#[test]
fn changes_after_a_gap_do_not_advance_the_revision() {
    let now = Instant::now();
    let mut replica = initial_replica(now);

    let changed = replica.apply_delta(vec![row("c", at(30), true)], at(25), at(30), now);

    assert_eq!(names(&changed), ["c"]);
    assert_eq!(replica.revision(), at(10));
}

/// Guards against an older snapshot of another entry that removes newer targets.
#[test]
fn an_older_snapshot_is_not_applied() {
    let now = Instant::now();
    let mut replica = initial_replica(now);

    let older = replica.apply_snapshot(vec![row("a", at(3), true)], at(9), now);
    let newer = replica.apply_snapshot(
        vec![row("a", at(3), true), row("c", at(15), true)],
        at(15),
        now,
    );

    assert!(older.is_empty());
    assert_eq!(names(&newer), ["b", "c"]);
    assert_eq!(names(&replica.rows()), ["a", "c"]);
    assert_eq!(replica.revision(), at(15));
}
