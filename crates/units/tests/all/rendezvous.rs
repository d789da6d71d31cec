//! Guards against ranks that differ between processes, or that change when another
//! instance is added.

use carobdrift_units::{Instance, rank};

fn instances(count: usize) -> Vec<Instance> {
    (0..count)
        .map(|i| format!("entry-{i}").parse().unwrap())
        .collect()
}

#[test]
fn order_does_not_depend_on_the_order_of_input() {
    let forward = instances(9);
    let backward: Vec<_> = forward.iter().rev().cloned().collect();

    assert_eq!(rank("sheets", &forward), rank("sheets", &backward));
}

#[test]
fn an_added_instance_keeps_the_order_of_the_others() {
    let eight = instances(8);
    let nine = instances(9);

    let mut ranked = rank("sheets", &nine);
    ranked.retain(|instance| **instance != nine[8]);

    assert_eq!(ranked, rank("sheets", &eight));
}

#[test]
fn keys_spread_over_instances() {
    let instances = instances(5);
    let mut first_counts = std::collections::BTreeMap::new();
    for key in 0..1_000 {
        *first_counts
            .entry(rank(&format!("service-{key}"), &instances)[0])
            .or_insert(0) += 1;
    }

    for (instance, count) in first_counts {
        assert!(
            (120..=280).contains(&count),
            "{instance} has the first rank for {count} of 1000 keys"
        );
    }
}
