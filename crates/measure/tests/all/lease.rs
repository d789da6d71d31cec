//! Guards against two entries that hold a lease at the same time.

use std::time::Duration;

use carobdrift_measure::{Lease, Owner, Timing};
use carobdrift_platform::Row;
use carobdrift_units::Incarnation;
use serde_json::json;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn owner(instance: &str, incarnation: u64) -> Owner {
    Owner {
        instance: instance.parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn lease() -> Lease {
    Lease::new(owner("e-1", 1), Timing::default())
}

fn row(version: u64, writer: &Owner, transaction: &str) -> Row {
    Row {
        key: "k".to_owned(),
        version,
        value: json!({
            "instance": writer.instance, "incarnation": writer.incarnation,
            "transaction": transaction,
        }),
    }
}

#[test]
fn nothing_is_due_before_the_row_was_read() {
    assert_eq!(lease().next_write(0), None);
}

#[test]
fn time_is_counted_from_the_send_of_the_renewal() {
    let sent = Instant::now();
    let mut lease = lease();

    lease.record_write(1, sent, sent + SECOND * 3);

    let until = sent + SECOND * 14;
    assert!(lease.tenure(until - Duration::from_millis(1)).is_some());
    assert!(lease.tenure(until).is_none());
    assert_eq!(lease.next_write(0), Some(sent + SECOND * 5));
}

#[test]
fn response_that_arrives_after_the_end_holds_nothing() {
    let sent = Instant::now();
    let mut lease = lease();

    lease.record_write(1, sent, sent + SECOND * 20);

    assert!(lease.tenure(sent + SECOND * 20).is_none());
}

#[test]
fn successor_waits_out_the_unchanged_row() {
    let start = Instant::now();
    let other = owner("e-2", 1);
    let mut lease = lease();

    lease.observe(Some(&row(4, &other, "a")), start);
    lease.observe(Some(&row(4, &other, "a")), start + SECOND * 10);
    assert_eq!(lease.next_write(0), Some(start + SECOND * 15));
    assert_eq!(lease.next_write(2), Some(start + SECOND * 17));
    assert_eq!(lease.next_write(40), Some(start + SECOND * 20));

    lease.observe(Some(&row(5, &other, "b")), start + SECOND * 14);
    assert_eq!(lease.next_write(0), Some(start + SECOND * 29));
    assert_eq!(lease.version(), 5);
}

#[test]
fn free_lease_is_taken_by_rank() {
    let start = Instant::now();
    let mut lease = lease();

    lease.observe(None, start);

    assert_eq!(lease.next_write(0), Some(start));
    assert_eq!(lease.next_write(1), Some(start + SECOND));
    assert_eq!(lease.next_write(19), Some(start + SECOND * 5));
    assert_eq!(lease.version(), 0);
}

#[test]
fn earlier_process_of_the_instance_is_another_owner() {
    let start = Instant::now();
    let mut lease = lease();

    lease.observe(Some(&row(4, &owner("e-1", 7), "a")), start);

    assert_eq!(lease.next_write(0), Some(start + SECOND * 15));
    assert!(!lease.is_own());
}

#[test]
fn value_that_can_not_be_read_is_another_owner() {
    let start = Instant::now();
    let mut unreadable = row(4, &owner("e-1", 1), "a");
    unreadable.value = json!("?");
    let mut lease = lease();

    lease.observe(Some(&unreadable), start);

    assert_eq!(lease.next_write(0), Some(start + SECOND * 15));
    assert_eq!(lease.holder(), None);
}

#[test]
fn lost_renewal_extends_only_when_it_is_seen() {
    let start = Instant::now();
    let own = owner("e-1", 1);
    for (found, until) in [("mine", 19), ("other", 14)] {
        let mut lease = lease();
        lease.record_write(1, start, start);
        lease.record_unknown_write("mine".to_owned(), start + SECOND * 5);
        assert!(lease.tenure(start + SECOND * 14).is_none());

        lease.observe(Some(&row(2, &own, found)), start + SECOND * 8);

        let end = start + SECOND * until;
        assert!(lease.tenure(end - Duration::from_millis(1)).is_some());
        assert!(lease.tenure(end).is_none(), "{found}");
    }
}

#[test]
fn tenure_begins_anew_after_a_lapse() {
    let start = Instant::now();
    let mut lease = lease();
    lease.record_write(1, start, start);
    lease.record_write(2, start + SECOND * 5, start + SECOND * 6);
    let continued = lease.tenure(start + SECOND * 6).unwrap();
    let later = start + SECOND * 30;

    lease.record_write(3, later, later + SECOND);

    assert_eq!(continued.since, start);
    let tenure = lease.tenure(later + SECOND).unwrap();
    assert_eq!(tenure.since, later + SECOND);
}

/// Fails when a holder assumes to be the first although a predecessor may have
/// granted shares, or when a released lease is not free at once.
#[test]
fn only_an_absent_row_has_no_predecessor() {
    let start = Instant::now();
    let own = owner("e-1", 1);
    let tenure = |row: Option<&Row>| {
        let mut lease = Lease::new(own.clone(), Timing::default());
        lease.observe(row, start);
        let due = lease.next_write(0);
        lease.record_write(9, start + SECOND * 20, start + SECOND * 20);
        // A renewal keeps the start and the `first` flag of the tenure.
        lease.record_write(10, start + SECOND * 25, start + SECOND * 25);
        let first = lease.tenure(start + SECOND * 26).map(|tenure| tenure.first);
        (due, first)
    };
    let held = row(4, &owner("e-2", 1), "a");
    let mut released = held.clone();
    released.value["released"] = true.into();

    assert_eq!(tenure(None), (Some(start), Some(true)));
    assert_eq!(tenure(Some(&released)), (Some(start), Some(false)));
    assert_eq!(
        tenure(Some(&held)),
        (Some(start + SECOND * 15), Some(false))
    );
}
