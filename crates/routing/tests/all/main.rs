//! Tests of routing by the desired state.

mod difference;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_routing::{
    Backend, Fault, KeyDigest, Kind, Limits, Route, Service, Splits, State, Table, Workspace,
    host_name,
};
use carobdrift_units::Version;

fn route(name: &str, prefix: &str, backends: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(250),
        max_attempts: 2,
        priority: 1,
        public: false,
        backends: backends
            .iter()
            .map(|(service, weight)| Backend {
                service: service.parse().unwrap(),
                weight: *weight,
            })
            .collect(),
    }
}

fn state(routes: Vec<Route>) -> State {
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        warmup: None,
    };
    State {
        version: Version(7),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: BTreeMap::from([
            ("a".parse().unwrap(), service.clone()),
            ("b".parse().unwrap(), service),
        ]),
        limits: Limits::default(),
        requires_keys: false,
        workspaces: BTreeMap::new(),
    }
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        quota: None,
    }
}

/// Guards against a shorter prefix that hides a longer one.
#[test]
fn the_longest_prefix_wins() {
    let table = Table::new(state(vec![
        route("short", "/a/", &[("a", 1)]),
        route("long", "/a/b/", &[("a", 1)]),
    ]));

    let found = |host, path| table.find(host, path).map(|route| route.name.as_str());

    assert_eq!(found("shop.example", "/a/b/c"), Some("long"));
    assert_eq!(found("shop.example", "/a/bc"), Some("short"));
    assert_eq!(found("SHOP.example", "/a/"), Some("short"));
    assert_eq!(found("shop.example", "/a"), None);
    assert_eq!(found("other.example", "/a/b/"), None);
}

/// Guards against a port in the `Host` field that prevents the lookup of a host.
#[test]
fn a_port_is_not_part_of_a_host_name() {
    assert_eq!(host_name("shop.example:8080"), "shop.example");
    assert_eq!(host_name("shop.example"), "shop.example");
}

/// Guards against shares that deviate from the weights over few requests.
#[test]
fn a_split_follows_its_weights() {
    let split_route = route("r", "/", &[("a", 90), ("b", 10)]);
    let mut splits = Splits::default();

    let chosen: Vec<String> = (0..50)
        .map(|_| splits.choose(&split_route).unwrap().to_string())
        .collect();

    let second = chosen.iter().filter(|service| *service == "b").count();
    assert_eq!(second, 5);
}

/// Guards against a share that keeps its old weight, and against requests to a
/// service of weight zero.
#[test]
fn a_change_of_weights_takes_effect_at_once() {
    let mut splits = Splits::default();
    let before = route("r", "/", &[("a", 1), ("b", 1)]);
    let after = route("r", "/", &[("a", 0), ("b", 1)]);
    for _ in 0..3 {
        splits.choose(&before);
    }

    let chosen: Vec<String> = (0..10)
        .map(|_| splits.choose(&after).unwrap().to_string())
        .collect();

    assert!(chosen.iter().all(|service| service == "b"), "{chosen:?}");
}

/// Guards against a validation that stops at the first fault.
#[test]
fn all_faults_are_listed() {
    let invalid = state(vec![
        route("r1", "/a", &[("a", 1)]),
        route("r2", "/b/", &[("gone", 1)]),
        route("r3", "/c/", &[("a", 0)]),
    ]);

    let faults = invalid.validate();

    assert_eq!(
        faults,
        [
            Fault::InvalidPrefix {
                route: "r1".to_owned()
            },
            Fault::UnknownService {
                route: "r2".to_owned(),
                service: "gone".parse().unwrap()
            },
            Fault::NoBackend {
                route: "r3".to_owned()
            },
        ]
    );
}

/// Guards against a key of two workspaces that opens one of them, and against keys
/// that are found under another workspace.
#[test]
fn a_key_belongs_to_the_only_workspace_that_lists_it() {
    let mut state = state(Vec::new());
    for (name, keys) in [("blue", ["k1", "both"]), ("red", ["k2", "both"])] {
        state
            .workspaces
            .insert(name.to_owned(), Arc::new(workspace(name, &keys)));
    }
    let table = Table::new(state);

    let holder = |key: &str| {
        let workspace = table.workspace(&KeyDigest::of(key.as_bytes()));
        workspace.map(|workspace| workspace.name.as_str())
    };

    assert_eq!(holder("k1"), Some("blue"));
    assert_eq!(holder("k2"), Some("red"));
    assert_eq!(holder("both"), None);
    assert_eq!(holder("k3"), None);
}
