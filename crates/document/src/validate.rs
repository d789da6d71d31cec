//! Semantic validation of a well-formed document.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::hash::Hash;
use std::net::IpAddr;

use carobdrift_units::{Millis, Percent};

use crate::fault::Faults;
use crate::model::{Document, Endpoint, Keys, Kind, Route};
use crate::pattern;

/// Largest number of targets of one service.
const MAX_TARGETS: usize = 1_024;

/// Largest number of routes of one service; each request is compared with all of
/// them.
const MAX_ROUTES: usize = 256;

/// Largest number of classes of one service; each class has a queue and
/// histograms at every entry.
const MAX_CLASSES: usize = 32;

/// Length limit of a route name.
const MAX_NAME_BYTES: usize = 63;

/// Methods that are forwarded. `CONNECT` and `TRACE` are not requests to a
/// service.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Checks all rules and returns the violations. `known` holds the structural
/// faults, whose values were replaced.
pub(crate) fn check(document: &Document, known: &Faults) -> Faults {
    let mut faults = Faults::default();
    check_targets(document, &mut faults);
    check_classes(document, &mut faults);
    check_routes(document, known.any_affects("classes"), &mut faults);
    check_limits(document, &mut faults);
    check_budgets(document, &mut faults);
    check_connections(document, known.any_affects("connections"), &mut faults);
    faults
}

/// Reports each value that an earlier element of the list has.
fn check_duplicates<T: Hash + Eq + Display>(
    list: &str,
    field: &str,
    values: impl Iterator<Item = T>,
    faults: &mut Faults,
) {
    let mut seen = HashMap::new();
    for (index, value) in values.enumerate() {
        match seen.get(&value) {
            Some(first) => {
                let problem = format!("{value} is already used by {list}[{first}]");
                faults.add(format!("{list}[{index}].{field}"), problem);
            }
            None => {
                seen.insert(value, index);
            }
        }
    }
}

fn check_size(path: &str, found: usize, limit: usize, faults: &mut Faults) {
    if found == 0 {
        faults.add(path, "must not be empty");
    } else if found > limit {
        faults.add(
            path,
            format!("must have at most {limit} elements, not {found}"),
        );
    }
}

fn check_targets(document: &Document, faults: &mut Faults) {
    let targets = &document.targets;
    check_size("targets", targets.len(), MAX_TARGETS, faults);
    check_duplicates(
        "targets",
        "id",
        targets.iter().map(|target| &target.id),
        faults,
    );
    // Two targets with the same address would each get the full probe budget and
    // the full number of slots.
    check_duplicates(
        "targets",
        "address",
        targets.iter().map(|target| target.address),
        faults,
    );
    for (index, target) in targets.iter().enumerate() {
        faults.check_range(format!("targets[{index}].slots"), target.slots, 1, 1_024);
        if let Some(problem) = address_problem(target) {
            faults.add(format!("targets[{index}].address"), problem);
        }
    }
}

fn address_problem(target: &Endpoint) -> Option<&'static str> {
    let ip = target.address.ip();
    if target.address.port() == 0 {
        Some("must have a port other than 0")
    } else if ip.is_unspecified() || ip.is_multicast() || ip == IpAddr::from([255, 255, 255, 255]) {
        Some("must be the address of one instance")
    } else {
        None
    }
}

fn check_classes(document: &Document, faults: &mut Faults) {
    let classes = &document.classes;
    check_size("classes", classes.len(), MAX_CLASSES, faults);
    check_duplicates(
        "classes",
        "name",
        classes.iter().map(|class| &class.name),
        faults,
    );
    for (index, class) in classes.iter().enumerate() {
        let path = format!("classes[{index}]");
        faults.check_range(format!("{path}.weight"), class.weight, 1, 1_000);
        faults.check_range(format!("{path}.max_queue"), class.max_queue, 0, 100_000);
        let limits = [
            (
                "max_in_flight",
                class.max_in_flight,
                document.limits.max_in_flight,
            ),
            (
                "max_per_second",
                class.max_per_second,
                document.limits.max_per_second,
            ),
        ];
        for (field, found, service_limit) in limits {
            match found {
                Some(0) => faults.add(format!("{path}.{field}"), "must be at least 1"),
                Some(found) if found > service_limit => faults.add(
                    format!("{path}.{field}"),
                    format!("must be at most limits.{field} ({service_limit}), not {found}"),
                ),
                _ => {}
            }
        }
    }
}

fn check_routes(document: &Document, structure_faulty: bool, faults: &mut Faults) {
    let routes = &document.routes;
    check_size("routes", routes.len(), MAX_ROUTES, faults);
    check_duplicates(
        "routes",
        "name",
        routes.iter().map(|route| &route.name),
        faults,
    );
    let classes: HashSet<_> = document.classes.iter().map(|class| &class.name).collect();
    let mut owners = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        if let Some(problem) = name_problem(&route.name) {
            faults.add(format!("{path}.name"), problem);
        }
        if let Some(problem) = pattern::problem(&route.path) {
            faults.add(format!("{path}.path"), problem);
        }
        check_methods(&path, route, faults);
        for method in route.methods.iter().collect::<HashSet<_>>() {
            if let Some(first) = owners.insert((&route.path, method), index) {
                owners.insert((&route.path, method), first);
                faults.add(
                    format!("{path}.path"),
                    format!(
                        "{method} {} is already taken by routes[{first}]",
                        route.path
                    ),
                );
            }
        }
        if !structure_faulty && !classes.contains(&route.class) {
            faults.add(
                format!("{path}.class"),
                format!("class {} does not exist", route.class),
            );
        }
        if route.keys != Keys::None && route.kind == Kind::Idempotent {
            faults.add(
                format!("{path}.keys"),
                "must be \"none\" on an idempotent route, which may run again",
            );
        }
        faults.check_range(
            format!("{path}.deadline_ms"),
            route.deadline_ms,
            Millis(1),
            Millis(3_600_000),
        );
    }
}

fn name_problem(name: &str) -> Option<String> {
    let permitted = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Some(format!("must be 1 to {MAX_NAME_BYTES} bytes long"));
    }
    name.chars()
        .find(|c| !permitted(*c))
        .map(|found| format!("must not contain {found:?}; permitted are a-z, 0-9 and \"-\""))
}

fn check_methods(path: &str, route: &Route, faults: &mut Faults) {
    if route.methods.is_empty() {
        faults.add(format!("{path}.methods"), "must not be empty");
    }
    let mut seen = HashSet::new();
    for (index, method) in route.methods.iter().enumerate() {
        let path = format!("{path}.methods[{index}]");
        if !METHODS.contains(&method.as_str()) {
            faults.add(
                path,
                format!("must be one of {}, not {method:?}", METHODS.join(", ")),
            );
        } else if !seen.insert(method) {
            faults.add(path, format!("{method} is already listed"));
        }
    }
}

fn check_limits(document: &Document, faults: &mut Faults) {
    let limits = &document.limits;
    faults.check_range("limits.max_in_flight", limits.max_in_flight, 1, u32::MAX);
    faults.check_range("limits.max_per_second", limits.max_per_second, 1, u32::MAX);
    let steering = &document.steering;
    faults.check_range(
        "steering.entries_per_zone",
        steering.entries_per_zone,
        0,
        1_000,
    );
    faults.check_range(
        "steering.ttl_ms",
        steering.ttl_ms,
        Millis(100),
        Millis(600_000),
    );
    let bodies = &document.bodies;
    if bodies.max_response_bytes.0 == 0 {
        faults.add("bodies.max_response_bytes", "must be at least 1");
    }
}

fn check_budgets(document: &Document, faults: &mut Faults) {
    let measuring = &document.measuring;
    faults.check_range(
        "measuring.probes_per_second_per_target",
        measuring.probes_per_second_per_target,
        0,
        1_000,
    );
    faults.check_range(
        "measuring.timeout_ms",
        measuring.timeout_ms,
        Millis(1),
        Millis(10_000),
    );
    if let Some(problem) = pattern::problem(&measuring.path) {
        faults.add("measuring.path", problem);
    } else if measuring.path.contains('*') {
        faults.add("measuring.path", "must be a path, not a pattern");
    }
    let retries = &document.retries;
    faults.check_range("retries.max_attempts", retries.max_attempts, 1, 10);
    check_percent("retries.budget_percent", retries.budget_percent, faults);
    let hedging = &document.hedging;
    let percentile = hedging.after_percentile.get();
    if !(50.0..100.0).contains(&percentile) {
        faults.add(
            "hedging.after_percentile",
            format!("must be at least 50 and below 100, not {percentile}"),
        );
    }
    faults.check_range(
        "hedging.min_delay_ms",
        hedging.min_delay_ms,
        Millis(0),
        Millis(60_000),
    );
    check_percent("hedging.budget_percent", hedging.budget_percent, faults);
}

fn check_percent(path: &str, found: Percent, faults: &mut Faults) {
    faults.check_range(path, found.get(), 0.0, 100.0);
}

fn check_connections(document: &Document, structure_faulty: bool, faults: &mut Faults) {
    let connections = &document.connections;
    faults.check_range(
        "connections.max_per_target",
        connections.max_per_target,
        1,
        65_535,
    );
    faults.check_range(
        "connections.connect_timeout_ms",
        connections.connect_timeout_ms,
        Millis(1),
        Millis(60_000),
    );
    faults.check_range(
        "connections.idle_timeout_ms",
        connections.idle_timeout_ms,
        Millis(1),
        Millis(3_600_000),
    );
    // Targets are called over HTTP/1.1, with one request per connection at a time,
    // so a slot without a connection stays idle.
    let largest = document.targets.iter().max_by_key(|target| target.slots);
    if let Some(target) = largest
        && !structure_faulty
        && (1..target.slots).contains(&connections.max_per_target)
    {
        faults.add(
            "connections.max_per_target",
            format!(
                "must be at least the {} slots of target {}",
                target.slots, target.id
            ),
        );
    }
}
