//! Choice of the entries that callers should use.

use std::net::SocketAddr;

use carobdrift_routing::Table;
use carobdrift_units::{Instance, Zone, rank};

/// Entries of one zone to which the callers of a service are steered. Two, so
/// that a caller whose entry fails has another one at once; not more, so that
/// each sees enough of the targets and keeps few connections to them.
const ENTRIES: usize = 2;

/// An entry that takes callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ready {
    pub(crate) zone: Zone,
    pub(crate) caller: SocketAddr,
}

/// Entries for the callers of a host in a zone, the preferred ones of their
/// zone before others.
pub(crate) fn choose(
    table: Option<&Table>,
    host: &str,
    zone: Option<&Zone>,
    ready: &[Ready],
) -> Vec<SocketAddr> {
    let key = table
        .and_then(|table| table.host(host))
        .and_then(|routes| routes.first())
        .and_then(|route| route.backends.iter().max_by_key(|backend| backend.weight))
        .map_or(host, |backend| backend.service.as_str());
    let is_local = |entry: &&Ready| Some(&entry.zone) == zone;
    let mut chosen = rendezvous(key, ready.iter().filter(is_local));
    if chosen.len() < ENTRIES {
        chosen.extend(rendezvous(key, ready.iter().filter(|entry| !is_local(entry))));
    }
    chosen.truncate(ENTRIES);
    chosen
}

fn rendezvous<'a>(key: &str, entries: impl Iterator<Item = &'a Ready>) -> Vec<SocketAddr> {
    let named: Vec<(Instance, SocketAddr)> = entries
        .filter_map(|entry| {
            let name = entry.caller.to_string().replace(['.', ':', '[', ']'], "-");
            Some((name.parse().ok()?, entry.caller))
        })
        .collect();
    let ranked = rank(key, named.iter().map(|(name, _)| name));
    ranked
        .into_iter()
        .filter_map(|name| named.iter().find(|(other, _)| other == name))
        .map(|(_, address)| *address)
        .collect()
}
