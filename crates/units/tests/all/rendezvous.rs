//! Guards against ranks that differ between processes or shift when an
//! unrelated instance joins.

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
fn a_joining_instance_keeps_the_order_of_the_others() {
    let few = instances(8);
    let more = instances(9);

    let mut ranked = rank("sheets", &more);
    ranked.retain(|instance| **instance != more[8]);

    assert_eq!(ranked, rank("sheets", &few));
}

#[test]
fn keys_spread_over_instances() {
    let instances = instances(5);
    let mut first = std::collections::BTreeMap::new();
    for key in 0..1_000 {
        *first
            .entry(rank(&format!("service-{key}"), &instances)[0])
            .or_insert(0) += 1;
    }

    for (instance, count) in first {
        assert!(
            (120..=280).contains(&count),
            "{instance} is first for {count} of 1000"
        );
    }
}
