//! Differences between versions of the desired state.

use std::sync::Arc;

use carobdrift_routing::{Difference, History, Mismatch, Route, State};
use carobdrift_units::Version;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::{route, state, workspace};

const SEED: u64 = 20_261_205;

fn version(number: u64, routes: Vec<Route>) -> State {
    State {
        version: Version(number),
        ..state(routes)
    }
}

/// Returns a state with about `count` of 60 possible routes, in random order, some
/// with another service.
fn random_state(random: &mut SmallRng, number: u64, count: usize) -> State {
    let mut routes = Vec::new();
    let mut names: Vec<usize> = (0..60).collect();
    for _ in 0..count {
        let name = names.remove(random.random_range(0..names.len()));
        let service = if random.random_bool(0.2) { "b" } else { "a" };
        routes.push(route(
            &format!("r{name}"),
            &format!("/{name}/"),
            &[(service, 1)],
        ));
    }
    // Versions usually have most routes in the same order.
    if random.random_bool(0.8) {
        routes.sort_by(|one, other| one.name.cmp(&other.name));
    }
    let mut state = version(number, routes);
    if random.random_bool(0.3) {
        state.limits.max_body.0 += number;
    }
    for name in ["blue", "red", "green"] {
        if random.random_bool(0.5) {
            let key = if random.random_bool(0.5) { "k1" } else { "k2" };
            let workspace = Arc::new(workspace(name, &[key]));
            state.workspaces.insert(name.to_owned(), workspace);
        }
    }
    state.requires_keys = random.random_bool(0.5);
    if random.random_bool(0.3) {
        state.services.remove(&"b".parse().unwrap());
    }
    state
}

/// Guards against an entry whose state differs from the operator's after it applied
/// a difference: order, services, workspaces and limits included.
#[test]
fn a_difference_restores_the_newer_state_exactly() {
    let mut random = SmallRng::seed_from_u64(SEED);
    for round in 0..500 {
        let (count, other) = (random.random_range(0..40), random.random_range(0..40));
        let older = random_state(&mut random, 1, count);
        let newer = random_state(&mut random, 2, other);

        let applied = Difference::between(&older, &newer).apply(&older);

        assert_eq!(applied.as_ref(), Ok(&newer), "round {round}");
    }
}

/// Guards against a difference that is applied to a state for which it was not made.
#[test]
fn a_difference_is_refused_by_other_states() {
    let older = version(1, vec![route("a", "/a/", &[("a", 1)])]);
    let newer = version(2, vec![route("b", "/b/", &[("a", 1)])]);
    let other_content = version(1, vec![route("c", "/c/", &[("a", 1)]); 2]);
    let other_version = version(3, vec![route("a", "/a/", &[("a", 1)])]);
    let difference = Difference::between(&older, &newer);

    let content = difference.apply(&other_content);
    let version = difference.apply(&other_version);

    assert_eq!(content, Err(Mismatch::Content(Version(2))));
    assert_eq!(
        version,
        Err(Mismatch::Version {
            expected: Version(1),
            found: Version(3)
        })
    );
}

/// Guards against a difference that grows with the state: one moved route of
/// thousands is one route.
#[test]
fn a_history_leads_from_each_kept_version_to_the_newest() {
    let routes = |moved: u64| -> Vec<Route> {
        (0..100)
            .map(|number| {
                let service = if number == moved { "b" } else { "a" };
                route(
                    &format!("r{number}"),
                    &format!("/{number}/"),
                    &[(service, 1)],
                )
            })
            .collect()
    };
    let states: Vec<State> = (1..=5)
        .map(|number| version(number, routes(number)))
        .collect();
    let mut history = History::default();
    for pair in states.windows(2) {
        history.record(Arc::new(Difference::between(&pair[0], &pair[1])));
    }

    let mut reached = states[1].clone();
    let differences = history.since(Version(2), 100).unwrap();
    for difference in &differences {
        reached = difference.apply(&reached).unwrap();
    }

    assert_eq!(differences.len(), 3);
    assert_eq!(reached, states[4]);
    assert_eq!(history.since(Version(5), 100), None);
    assert_eq!(history.since(Version(9), 100), None);
    assert_eq!(
        history.since(Version(1), 5),
        None,
        "no smaller than a state"
    );
}
