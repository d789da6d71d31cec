//! Evacuations of zones that arrive in any order.

use std::collections::HashSet;
use std::time::Duration;

use carobdrift_node::{Evacuation, Evacuations};
use carobdrift_units::{Era, StoreRevision, Zone};
use tokio::time::Instant;

/// Returns a revision of an era.
fn at(era: u64, version: u64) -> StoreRevision {
    StoreRevision {
        era: Era(era),
        version,
    }
}

fn evacuation(zone: &str, version: u64, active: bool) -> Evacuation {
    Evacuation {
        zone: zone.parse().unwrap(),
        revision: at(1, version),
        active,
    }
}

fn zones(names: &[&str]) -> HashSet<Zone> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against an older report that restores an evacuation, or ends a newer one.
#[test]
fn the_newest_revision_of_a_zone_applies() {
    let mut evacuations = Evacuations::default();

    let changed: Vec<bool> = [
        evacuation("a", 5, true),
        evacuation("b", 6, true),
        evacuation("a", 8, false),
        evacuation("a", 7, true),
        evacuation("b", 6, false),
        evacuation("b", 9, true),
    ]
    .into_iter()
    .map(|change| evacuations.apply(vec![change]))
    .collect();

    assert_eq!(changed, [true, true, true, false, false, false]);
    assert_eq!(evacuations.active(), zones(&["b"]));
}

/// Guards against a zone that stays evacuated because its end was missed, and against
/// one whose evacuation is newer than the full read.
#[test]
fn a_full_read_ends_evacuations_that_it_lacks() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(vec![evacuation("a", 5, true), evacuation("b", 20, true)]);

    let changed = evacuations.replace(vec![evacuation("c", 9, true)], at(1, 10), Instant::now());
    let late = evacuations.apply(vec![evacuation("a", 6, true)]);

    assert!(changed);
    assert!(!late);
    assert_eq!(evacuations.active(), zones(&["b", "c"]));
}

/// Guards against datagrams that grow without bound with rows of other writers.
#[test]
fn the_number_of_zones_is_bounded() {
    let mut evacuations = Evacuations::default();

    for number in 0..1000 {
        evacuations.apply(vec![evacuation(&format!("z{number}"), number + 1, true)]);
    }

    assert_eq!(evacuations.list().len(), 16);
}

/// Guards against requests to a zone whose evacuation was lost when the store returned
/// from an older copy, before the operator could write it again, and against one that
/// stays evacuated for ever.
#[test]
fn an_evacuation_that_a_newer_era_lacks_ends_unless_it_is_written_again() {
    let now = Instant::now();
    let grace = Duration::from_millis(2200);
    let mut evacuations = Evacuations::default();
    evacuations.apply(vec![evacuation("a", 50, true), evacuation("b", 51, true)]);

    let lost = evacuations.replace(Vec::new(), at(2, 7), now);
    let active = evacuations.active();
    let again = Evacuation {
        revision: at(2, 8),
        ..evacuation("a", 0, true)
    };
    evacuations.apply(vec![again]);
    let early = evacuations.apply_due_ends(now + grace - Duration::from_millis(1));
    let due = evacuations.apply_due_ends(now + grace);
    let late = evacuations.apply(vec![evacuation("b", 60, true)]);

    assert!(!lost && !early && due && !late);
    assert_eq!(active, zones(&["a", "b"]));
    assert_eq!(evacuations.active(), zones(&["a"]));
}
