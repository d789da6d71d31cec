//! Positions in the history of the store.

use carobdrift_units::{Era, StoreRevision};

/// Guards against an order by versions, which a store that returned from an older copy
/// assigns again.
#[test]
fn a_lower_version_of_a_newer_era_is_newer() {
    let older: StoreRevision = "1.90".parse().unwrap();
    let newer: StoreRevision = "2.7".parse().unwrap();

    assert!(older < newer);
    assert!(newer < "2.10".parse().unwrap());
    assert!(StoreRevision::start_of(Era(2)) > older);
}

/// Guards against positions that other entries can't read.
#[test]
fn positions_round_trip_through_text() {
    let revision = StoreRevision {
        era: Era(3),
        version: 41,
    };

    assert_eq!(revision.to_string().parse(), Ok(revision));
    assert!("41".parse::<StoreRevision>().is_err());
    assert!("3.x".parse::<StoreRevision>().is_err());
}
