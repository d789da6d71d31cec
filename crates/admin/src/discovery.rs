//! Addresses for callers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_units::{Instance, Millis, Service, Zone};
use dropshot::{HttpResponseOk, Query, RequestContext, endpoint};
use rand::seq::SliceRandom;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::backend::{Backend, Entry};
use crate::context::Context;
use crate::refusal::{Kind, Refusal};
use crate::steering::Candidate;

/// Time without an answered ping after which a peer is left out of responses.
/// Links to peers close after the same time.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time to live of a response while this entry hears from a minority of
/// the known entries. An entry that resumes after a pause has heard from no
/// peer and lists only itself; with the document's full time to live, its
/// callers would keep using it alone.
const MINORITY_TTL: Millis = Millis(200);

#[derive(Deserialize, JsonSchema)]
pub(crate) struct AddressQuery {
    /// Service that the caller wants to call.
    service: Service,
    /// Availability zone of the caller.
    zone: Zone,
}

/// An entry that takes calls.
#[derive(Serialize, JsonSchema)]
struct Destination {
    #[schemars(with = "String")]
    address: SocketAddr,
    instance: Instance,
    zone: Zone,
    /// Whether the callers of the service are steered to it; the others are
    /// fallbacks.
    steered: bool,
    /// Prefix for idempotency keys of requests that are sent to it first, which
    /// it decides on; absent while it is not known well enough.
    key_prefix: Option<String>,
}

#[derive(Serialize, JsonSchema)]
pub(crate) struct Answer {
    service: Service,
    /// Time for which the answer may be kept.
    ttl_ms: Millis,
    /// How many addresses, from the start, the caller should spread its calls
    /// over; these are in random order. The others are for when these fail, in
    /// their order.
    preferred: usize,
    addresses: Vec<Destination>,
    /// Prefix of the first address. A caller that moves to another address
    /// before it sent a request anywhere uses the prefix of that one: the first
    /// entry may be gone, and nobody else decides on its keys.
    key_prefix: Option<String>,
}

/// List the addresses that a caller of a service should use.
#[endpoint { method = GET, path = "/v1/addresses" }]
pub(crate) async fn list_addresses(
    request: RequestContext<Context>,
    query: Query<AddressQuery>,
) -> Result<HttpResponseOk<Answer>, Refusal> {
    let context = request.context();
    let AddressQuery { service, zone } = query.into_inner();
    let backend = context.backend()?;
    let edition = context.edition_in_force(&service)?;
    let steering = &edition.document.steering;
    let mut entries = available_entries(backend);
    let candidates: Vec<Candidate> = entries
        .values()
        .map(|entry| Candidate {
            instance: entry.instance.clone(),
            zone: entry.zone.clone(),
            rate: rate(entry, &service),
        })
        .collect();
    let mut ranking =
        context
            .steering
            .rank(&service, &zone, steering.entries_per_zone, &candidates);
    // Shuffling also spreads callers that use only the first address.
    ranking.instances[..ranking.preferred].shuffle(&mut rand::rng());
    let addresses: Vec<Destination> = ranking
        .instances
        .iter()
        .enumerate()
        .filter_map(|(index, instance)| {
            entries.remove(instance).map(|entry| Destination {
                address: entry.caller,
                instance: entry.instance,
                zone: entry.zone,
                steered: index < ranking.steered,
                key_prefix: backend.key_prefix(instance),
            })
        })
        .collect();
    if addresses.is_empty() {
        let message = "no entry that this instance hears is ready";
        return Err(Refusal::new(Kind::Unavailable, message));
    }
    let key_prefix = addresses[0].key_prefix.clone();
    Ok(HttpResponseOk(Answer {
        service,
        ttl_ms: if reaches_majority(backend) {
            steering.ttl_ms
        } else {
            steering.ttl_ms.min(MINORITY_TTL)
        },
        preferred: ranking.preferred,
        addresses,
        key_prefix,
    }))
}

/// Returns the entries that accept calls, as far as this entry knows.
fn available_entries(backend: &dyn Backend) -> HashMap<Instance, Entry> {
    // The published status lags behind the standing, so this entry checks both.
    let local = backend
        .standing()
        .permits_calls()
        .then(|| backend.local_entry());
    local
        .into_iter()
        .chain(backend.peers())
        .filter(Entry::is_ready)
        .filter(|entry| entry.contact_age.is_some_and(|age| age < CONTACT_TIMEOUT))
        .map(|entry| (entry.instance.clone(), entry))
        .collect()
}

/// Returns whether this entry has recently heard from more than half of the
/// known entries, counting this entry.
fn reaches_majority(backend: &dyn Backend) -> bool {
    let peers = backend.peers();
    let reachable = peers
        .iter()
        .filter(|entry| entry.contact_age.is_some_and(|age| age < CONTACT_TIMEOUT))
        .count();
    (reachable + 1) * 2 > peers.len() + 1
}

fn rate(entry: &Entry, service: &Service) -> f64 {
    let rates = entry.status.iter().flat_map(|status| &status.rates);
    rates
        .filter(|rate| rate.service == *service)
        .map(|rate| rate.per_second)
        .sum()
}
