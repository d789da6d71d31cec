//! Choice of the entries that callers should use.

use std::collections::HashMap;
use std::net::SocketAddr;

use carobdrift_routing::Table;
use carobdrift_units::{Instance, Zone, rank};

/// Entries of one zone to which the callers of a host are steered at the least,
/// so that a caller whose entry fails has another one at once.
const FEWEST: usize = 2;

/// Addresses of one answer at most, as the platform permits.
const MOST: usize = 64;

/// Requests per second for each thousandth of a core at which an entry answers
/// without delay: measured 0.5 ms of processor time a request, used to a quarter.
const RATE_PER_CAPACITY: f64 = 0.5;

/// Requests for which there is room, as a multiple of the rate of late. Bursts
/// come faster than answers expire.
const HEADROOM: f64 = 2.0;

/// An entry that takes callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ready {
    pub(crate) zone: Zone,
    pub(crate) caller: SocketAddr,
    /// Processor that it has, in thousandths of a core.
    pub(crate) capacity: u32,
    /// Requests that it served in the last second.
    pub(crate) rate: u32,
}

/// Entries for the callers of a host in a zone. Few entries see more of the
/// targets each and keep fewer connections to them, so there are only as many
/// as the requests of the zone need; strong machines come first.
pub(crate) fn choose(
    table: Option<&Table>,
    host: &str,
    zone: Option<&Zone>,
    ready: &[Ready],
) -> Vec<SocketAddr> {
    let key = table
        .and_then(|table| table.host_routes(host))
        .and_then(|routes| routes.first())
        .and_then(|route| route.backends.iter().max_by_key(|backend| backend.weight))
        .map_or(host, |backend| backend.service.as_str());
    let (local, others): (Vec<&Ready>, Vec<&Ready>) =
        ready.iter().partition(|entry| Some(&entry.zone) == zone);
    let rate: f64 = local.iter().map(|entry| f64::from(entry.rate)).sum();
    let needed = rate * HEADROOM / RATE_PER_CAPACITY;
    let mut capacity = 0.0;
    let mut chosen = Vec::new();
    for entry in ranked(key, local) {
        if chosen.len() >= MOST || (chosen.len() >= FEWEST && capacity >= needed) {
            break;
        }
        capacity += f64::from(entry.capacity);
        chosen.push(entry.caller);
    }
    if chosen.len() < FEWEST {
        let missing = FEWEST - chosen.len();
        let others = ranked(key, others).into_iter().take(missing);
        chosen.extend(others.map(|entry| entry.caller));
    }
    chosen
}

/// Orders entries by the class of their machines, strongest first, and within a
/// class by their rendezvous weight for the key.
fn ranked<'a>(key: &str, entries: Vec<&'a Ready>) -> Vec<&'a Ready> {
    let named: Vec<(Instance, &Ready)> = entries
        .into_iter()
        .filter_map(|entry| {
            let name = entry.caller.to_string().replace(['.', ':', '[', ']'], "-");
            Some((name.parse().ok()?, entry))
        })
        .collect();
    let order = rank(key, named.iter().map(|(name, _)| name));
    let entries: HashMap<&Instance, &Ready> =
        named.iter().map(|(name, entry)| (name, *entry)).collect();
    let mut ranked: Vec<&Ready> = order
        .into_iter()
        .filter_map(|name| entries.get(name).copied())
        .collect();
    ranked.sort_by_key(|entry| std::cmp::Reverse(entry.capacity));
    ranked
}
