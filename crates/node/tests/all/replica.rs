//! Registrations that arrive late, lapse or are missed.

use std::time::Duration;

use carobdrift_node::{Item, Record, Replica};
use carobdrift_peers::Row;
use carobdrift_placement::{Endpoint, Lifecycle};
use tokio::time::Instant;

fn endpoint(id: &str) -> Endpoint {
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

fn registered(id: &str, revision: u64) -> Record {
    Record {
        revision,
        item: Item::Target(endpoint(id)),
    }
}

fn gone(id: &str, revision: u64) -> Record {
    Record {
        revision,
        item: Item::Removed(id.parse().unwrap()),
    }
}

fn row(id: &str, revision: u64, present: bool) -> Row {
    Row {
        revision,
        target: id.parse().unwrap(),
        endpoint: present.then(|| endpoint(id)),
    }
}

fn names(rows: &[Row]) -> Vec<String> {
    let mut names: Vec<String> = rows.iter().map(|row| row.target.to_string()).collect();
    names.sort();
    names
}

/// Replica of targets `a` and `b` as of revision 10.
fn known(now: Instant) -> Replica {
    let mut replica = Replica::default();
    replica.replace(vec![registered("a", 3), registered("b", 10)], 10, now);
    replica
}

/// Guards against a registration that arrives late and brings a target back.
#[test]
fn an_older_registration_does_not_undo_a_removal() {
    let now = Instant::now();
    let mut replica = known(now);
    replica.apply_delta(vec![row("a", 12, false)], 10, 12, now);

    let changed = replica.apply_delta(vec![row("a", 11, true)], 10, 11, now);

    assert!(changed.is_empty());
    assert_eq!(names(&replica.rows()), ["b"]);
}

/// Guards against a target that left while the history was dropped.
#[test]
fn a_full_reading_removes_what_it_lacks() {
    let now = Instant::now();
    let mut replica = known(now);

    let changed = replica.replace(vec![registered("b", 10)], 20, now);

    assert_eq!(names(&changed), ["a"]);
    assert!(changed[0].endpoint.is_none());
}

/// Guards against living targets that are given up because their
/// registrations lapsed while the store was away.
#[test]
fn targets_that_lapsed_have_time_to_register_again() {
    let now = Instant::now();
    let mut replica = known(now);
    replica.observe_store_age(Duration::from_secs(6), now);
    replica.observe_store_age(Duration::ZERO, now);

    let removed = replica.apply_changes(vec![gone("a", 21), gone("b", 22)], now);
    replica.apply_changes(vec![registered("a", 23)], now + Duration::from_secs(1));
    let early = replica.apply_due_removals(now + Duration::from_secs(1));
    let late = replica.apply_due_removals(now + Duration::from_secs(3));

    assert!(removed.is_empty());
    assert!(early.is_empty());
    assert_eq!(names(&late), ["b"]);
    assert_eq!(names(&replica.rows()), ["a"]);
}

/// Guards against a removal in calm times that is held back.
#[test]
fn a_removal_in_calm_times_counts_at_once() {
    let now = Instant::now();
    let mut replica = known(now);
    replica.observe_store_age(Duration::from_millis(1500), now);

    let removed = replica.apply_changes(vec![gone("a", 21)], now);

    assert_eq!(names(&removed), ["a"]);
}

/// Guards against a gap that is taken for a complete replica.
#[test]
fn changes_after_a_gap_do_not_advance_the_revision() {
    let now = Instant::now();
    let mut replica = known(now);

    let changed = replica.apply_delta(vec![row("c", 30, true)], 25, 30, now);

    assert_eq!(names(&changed), ["c"]);
    assert_eq!(replica.revision(), 10);
}

/// Guards against an older replica of another entry that removes newer targets.
#[test]
fn older_knowledge_of_another_entry_is_not_adopted() {
    let now = Instant::now();
    let mut replica = known(now);

    let older = replica.apply_snapshot(vec![row("a", 3, true)], 9, now);
    let newer = replica.apply_snapshot(vec![row("a", 3, true), row("c", 15, true)], 15, now);

    assert!(older.is_empty());
    assert_eq!(names(&newer), ["b", "c"]);
    assert_eq!(names(&replica.rows()), ["a", "c"]);
    assert_eq!(replica.revision(), 15);
}
