//! Guards against steering that oscillates, and against an entry that moves
//! more services than its share when it joins.

use carobdrift_admin::{Candidate, Steering};
use carobdrift_units::{Instance, PerSecond, Service, Zone};

fn steering() -> Steering {
    Steering::new(PerSecond::try_from(4000.0).unwrap())
}

/// Returns entries of two zones that all report the same rate.
fn candidates(per_zone: u32, rate: f64) -> Vec<Candidate> {
    let zones = ["hobart", "burnie"];
    (0..per_zone * 2)
        .map(|index| Candidate {
            instance: format!("entry-{index}").parse().unwrap(),
            zone: zones[index as usize % 2].parse().unwrap(),
            rate,
        })
        .collect()
}

fn first_choice(steering: &Steering, service: &str, candidates: &[Candidate]) -> Instance {
    let service: Service = service.parse().unwrap();
    let zone: Zone = "hobart".parse().unwrap();
    let ranking = steering.rank(&service, &zone, 1, candidates);
    ranking.instances[0].clone()
}

#[test]
fn joining_entry_moves_only_its_share() {
    let steering = steering();
    let after = candidates(8, 0.0);
    let (joining, before) = after.split_first().unwrap();
    let services: Vec<String> = (0..400).map(|index| format!("service-{index}")).collect();

    let mut moved = 0;
    for service in &services {
        let old = first_choice(&steering, service, before);
        let new = first_choice(&steering, service, &after);
        if old != new {
            assert_eq!(new, joining.instance, "{service}");
            moved += 1;
        }
    }

    // The joining entry is one of eight in the zone, so its share is 50 of 400
    // services; the bounds allow for uneven hashing.
    assert!((20..=90).contains(&moved), "{moved} services moved");
}

#[test]
fn services_are_spread_over_the_entries() {
    let steering = steering();
    let entries = candidates(8, 0.0);
    let mut counts = std::collections::HashMap::new();
    for index in 0..800 {
        let instance = first_choice(&steering, &format!("service-{index}"), &entries);
        *counts.entry(instance).or_insert(0) += 1;
    }

    assert_eq!(counts.len(), 8);
    assert!(counts.values().all(|count| *count > 50), "{counts:?}");
}

#[test]
fn number_of_steered_entries_follows_the_load_with_hysteresis() {
    let steering = steering();
    let service: Service = "sheets".parse().unwrap();
    let zone: Zone = "hobart".parse().unwrap();
    // (calls per second of the whole zone, resulting steered entries of the
    // zone)
    let steps = [
        (0.0, 1),
        (4000.0, 1),
        (4001.0, 2),
        (4000.0, 2),
        (3000.0, 2),
        (2600.0, 1),
        (17_000.0, 8),
        (12_000.0, 8),
        (10_000.0, 4),
        (9_000_000.0, 8),
        (0.0, 1),
    ];
    for (rate, expected) in steps {
        let entries = candidates(8, rate / 8.0);

        let ranking = steering.rank(&service, &zone, 1, &entries);

        assert_eq!(ranking.preferred, expected, "{rate} calls per second");
        assert_eq!(ranking.steered, 2 * expected, "{rate} calls per second");
        assert_eq!(ranking.instances.len(), 16);
    }
}

#[test]
fn number_of_steered_entries_is_at_least_the_stated_number_and_zero_means_all() {
    let steering = steering();
    let service: Service = "sheets".parse().unwrap();
    let hobart: Zone = "hobart".parse().unwrap();
    let elsewhere: Zone = "launceston".parse().unwrap();
    let entries = candidates(4, 0.0);
    let cases = [
        (&hobart, 1, 1, 2),
        (&hobart, 3, 3, 6),
        (&hobart, 9, 4, 8),
        (&hobart, 0, 8, 8),
        // Without an entry in the zone, the steered entries of all zones.
        (&elsewhere, 1, 2, 2),
    ];
    for (zone, stated, preferred, steered) in cases {
        let ranking = steering.rank(&service, zone, stated, &entries);

        assert_eq!((ranking.preferred, ranking.steered), (preferred, steered));
    }
    let ranking = steering.rank(&service, &hobart, 1, &[]);
    assert!(ranking.instances.is_empty());
}
