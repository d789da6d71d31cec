//! Selection of the entries that callers should use.

use std::collections::HashMap;
use std::net::SocketAddr;

use carobdrift_routing::Table;
use carobdrift_units::{Instance, Zone, rank};

/// Fewest entries in an answer, so that a caller whose entry fails can use
/// another one at once.
const MIN_ENTRIES: usize = 2;

/// Largest number of addresses in an answer; a limit of the platform.
const MAX_ADDRESSES: usize = 64;

/// Requests per second that an entry serves without delay for each thousandth
/// of a core: a request takes 0.5 ms of processor time, and only a quarter of
/// the capacity is planned for.
const RATE_PER_MILLICORE: f64 = 0.5;

/// Planned request rate as a multiple of the current one, because bursts arrive
/// faster than answers expire.
const RATE_HEADROOM: f64 = 2.0;

/// Entry that accepts callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) zone: Zone,
    pub(crate) caller: SocketAddr,
    /// Processor capacity of the entry, in thousandths of a core.
    pub(crate) capacity: u32,
    /// Request rate of the entry over about the last second.
    pub(crate) rate: u32,
}

/// Returns the caller addresses of the entries that callers of a host in a zone
/// should use. Each of fewer entries observes more of the load on the targets
/// and needs fewer connections, so the answer holds only as many entries as the
/// request rate of the zone needs, those with the highest capacity first.
pub(crate) fn choose(
    table: Option<&Table>,
    host: &str,
    zone: Option<&Zone>,
    candidates: &[Candidate],
) -> Vec<SocketAddr> {
    let key = table
        .and_then(|table| table.host_routes(host))
        .and_then(|routes| routes.first())
        .and_then(|route| route.backends.iter().max_by_key(|backend| backend.weight))
        .map_or(host, |backend| backend.service.as_str());
    let (local, others): (Vec<&Candidate>, Vec<&Candidate>) = candidates
        .iter()
        .partition(|entry| Some(&entry.zone) == zone);
    let rate: f64 = local.iter().map(|entry| f64::from(entry.rate)).sum();
    let needed = rate * RATE_HEADROOM / RATE_PER_MILLICORE;
    let mut capacity = 0.0;
    let mut chosen = Vec::new();
    for entry in rank_entries(key, local) {
        if chosen.len() >= MAX_ADDRESSES || (chosen.len() >= MIN_ENTRIES && capacity >= needed) {
            break;
        }
        capacity += f64::from(entry.capacity);
        chosen.push(entry.caller);
    }
    if chosen.len() < MIN_ENTRIES {
        let missing = MIN_ENTRIES - chosen.len();
        let others = rank_entries(key, others).into_iter().take(missing);
        chosen.extend(others.map(|entry| entry.caller));
    }
    chosen
}

/// Orders entries by capacity, highest first, and entries of equal capacity by
/// their rendezvous weight for the key.
fn rank_entries<'a>(key: &str, entries: Vec<&'a Candidate>) -> Vec<&'a Candidate> {
    let instances: Vec<(Instance, &Candidate)> = entries
        .into_iter()
        .filter_map(|entry| {
            let name = entry.caller.to_string().replace(['.', ':', '[', ']'], "-");
            Some((name.parse().ok()?, entry))
        })
        .collect();
    let order = rank(key, instances.iter().map(|(name, _)| name));
    let entries: HashMap<&Instance, &Candidate> = instances
        .iter()
        .map(|(name, entry)| (name, *entry))
        .collect();
    let mut ranked: Vec<&Candidate> = order
        .into_iter()
        .filter_map(|name| entries.get(name).copied())
        .collect();
    ranked.sort_by_key(|entry| std::cmp::Reverse(entry.capacity));
    ranked
}
