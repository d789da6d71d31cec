//! Rules that a well-formed document must also meet.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::hash::Hash;
use std::net::IpAddr;

use carobdrift_units::{Millis, Percent};

use crate::fault::Faults;
use crate::model::{Document, Endpoint, Keys, Kind, Route};
use crate::pattern;

/// Targets of one service.
const TARGET_LIMIT: usize = 1_024;

/// Routes of one service; each request is compared with all of them.
const ROUTE_LIMIT: usize = 256;

/// Classes of one service; each has a queue and histograms at every entry.
const CLASS_LIMIT: usize = 32;

/// Longest name of a route, in bytes.
const NAME_LIMIT: usize = 63;

/// Methods that are forwarded. `CONNECT` and `TRACE` are not requests to a
/// service.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Checks all rules; `known` holds the faults of the structure, whose values
/// were replaced.
pub(crate) fn examine(document: &Document, known: &Faults) -> Faults {
    let mut faults = Faults::default();
    targets(document, &mut faults);
    classes(document, &mut faults);
    routes(document, known.concern("classes"), &mut faults);
    limits(document, &mut faults);
    budgets(document, &mut faults);
    connections(document, known.concern("connections"), &mut faults);
    faults
}

/// Reports each value that an earlier element has already.
fn duplicates<T: Hash + Eq + Display>(
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

fn size(path: &str, found: usize, limit: usize, faults: &mut Faults) {
    if found == 0 {
        faults.add(path, "must not be empty");
    } else if found > limit {
        faults.add(
            path,
            format!("must have at most {limit} elements, not {found}"),
        );
    }
}

fn targets(document: &Document, faults: &mut Faults) {
    let targets = &document.targets;
    size("targets", targets.len(), TARGET_LIMIT, faults);
    duplicates("targets", "id", targets.iter().map(|t| &t.id), faults);
    // Two targets with one address would each get the whole probe budget and
    // the whole number of slots.
    duplicates(
        "targets",
        "address",
        targets.iter().map(|t| t.address),
        faults,
    );
    for (index, target) in targets.iter().enumerate() {
        faults.range(format!("targets[{index}].slots"), target.slots, 1, 1_024);
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

fn classes(document: &Document, faults: &mut Faults) {
    let classes = &document.classes;
    size("classes", classes.len(), CLASS_LIMIT, faults);
    duplicates("classes", "name", classes.iter().map(|c| &c.name), faults);
    for (index, class) in classes.iter().enumerate() {
        let path = format!("classes[{index}]");
        faults.range(format!("{path}.weight"), class.weight, 1, 1_000);
        faults.range(format!("{path}.max_queue"), class.max_queue, 0, 100_000);
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
        for (field, found, whole) in limits {
            match found {
                Some(0) => faults.add(format!("{path}.{field}"), "must be at least 1"),
                Some(found) if found > whole => faults.add(
                    format!("{path}.{field}"),
                    format!("must be at most limits.{field} ({whole}), not {found}"),
                ),
                _ => {}
            }
        }
    }
}

fn routes(document: &Document, unreadable: bool, faults: &mut Faults) {
    let routes = &document.routes;
    size("routes", routes.len(), ROUTE_LIMIT, faults);
    duplicates("routes", "name", routes.iter().map(|r| &r.name), faults);
    let classes: HashSet<_> = document.classes.iter().map(|class| &class.name).collect();
    let mut taken = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        if let Some(problem) = name_problem(&route.name) {
            faults.add(format!("{path}.name"), problem);
        }
        if let Some(problem) = pattern::examine(&route.path) {
            faults.add(format!("{path}.path"), problem);
        }
        methods(&path, route, faults);
        for method in route.methods.iter().collect::<HashSet<_>>() {
            if let Some(first) = taken.insert((&route.path, method), index) {
                taken.insert((&route.path, method), first);
                faults.add(
                    format!("{path}.path"),
                    format!(
                        "{method} {} is already taken by routes[{first}]",
                        route.path
                    ),
                );
            }
        }
        if !unreadable && !classes.contains(&route.class) {
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
        faults.range(
            format!("{path}.deadline_ms"),
            route.deadline_ms,
            Millis(1),
            Millis(3_600_000),
        );
    }
}

fn name_problem(name: &str) -> Option<String> {
    let permitted = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > NAME_LIMIT {
        return Some(format!("must be 1 to {NAME_LIMIT} bytes long"));
    }
    name.chars()
        .find(|c| !permitted(*c))
        .map(|found| format!("must not contain {found:?}; permitted are a-z, 0-9 and \"-\""))
}

fn methods(path: &str, route: &Route, faults: &mut Faults) {
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

fn limits(document: &Document, faults: &mut Faults) {
    let limits = &document.limits;
    faults.range("limits.max_in_flight", limits.max_in_flight, 1, u32::MAX);
    faults.range("limits.max_per_second", limits.max_per_second, 1, u32::MAX);
    let steering = &document.steering;
    faults.range(
        "steering.entries_per_zone",
        steering.entries_per_zone,
        0,
        1_000,
    );
    faults.range(
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

fn budgets(document: &Document, faults: &mut Faults) {
    let measuring = &document.measuring;
    faults.range(
        "measuring.probes_per_second_per_target",
        measuring.probes_per_second_per_target,
        0,
        1_000,
    );
    faults.range(
        "measuring.timeout_ms",
        measuring.timeout_ms,
        Millis(1),
        Millis(10_000),
    );
    if let Some(problem) = pattern::examine(&measuring.path) {
        faults.add("measuring.path", problem);
    } else if measuring.path.contains('*') {
        faults.add("measuring.path", "must be a path, not a pattern");
    }
    let retries = &document.retries;
    faults.range("retries.max_attempts", retries.max_attempts, 1, 10);
    share("retries.budget_percent", retries.budget_percent, faults);
    let hedging = &document.hedging;
    let percentile = hedging.after_percentile.get();
    if !(50.0..100.0).contains(&percentile) {
        faults.add(
            "hedging.after_percentile",
            format!("must be at least 50 and below 100, not {percentile}"),
        );
    }
    faults.range(
        "hedging.min_delay_ms",
        hedging.min_delay_ms,
        Millis(0),
        Millis(60_000),
    );
    share("hedging.budget_percent", hedging.budget_percent, faults);
}

fn share(path: &str, found: Percent, faults: &mut Faults) {
    faults.range(path, found.get(), 0.0, 100.0);
}

fn connections(document: &Document, unreadable: bool, faults: &mut Faults) {
    let connections = &document.connections;
    faults.range(
        "connections.max_per_target",
        connections.max_per_target,
        1,
        65_535,
    );
    faults.range(
        "connections.connect_timeout_ms",
        connections.connect_timeout_ms,
        Millis(1),
        Millis(60_000),
    );
    faults.range(
        "connections.idle_timeout_ms",
        connections.idle_timeout_ms,
        Millis(1),
        Millis(3_600_000),
    );
    // Targets are reached over HTTP/1.1: a slot without a connection is idle.
    let largest = document.targets.iter().max_by_key(|target| target.slots);
    if let Some(target) = largest
        && !unreadable
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
