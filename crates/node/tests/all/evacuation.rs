//! Evacuations of zones that arrive in any order.

use std::collections::HashSet;

use carobdrift_node::{Evacuation, Evacuations};
use carobdrift_units::Zone;

fn evacuation(zone: &str, revision: u64, active: bool) -> Evacuation {
    Evacuation {
        zone: zone.parse().unwrap(),
        revision,
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

    let changed = evacuations.replace(vec![evacuation("c", 9, true)], 10);
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
