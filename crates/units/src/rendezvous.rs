//! Rendezvous hashing.

use rapidhash::v3::rapidhash_v3;

use crate::name::Instance;

/// Orders instances by their rendezvous weight for a key, highest weight first.
///
/// Every process computes the same order for the same instances. Adding or removing
/// an instance does not change the order of the others.
#[must_use]
pub fn rank<'a>(key: &str, instances: impl IntoIterator<Item = &'a Instance>) -> Vec<&'a Instance> {
    let mut ranked: Vec<_> = instances
        .into_iter()
        .map(|instance| (weight(key, instance), instance))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

fn weight(key: &str, instance: &Instance) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + 1 + instance.as_str().len());
    bytes.extend_from_slice(key.as_bytes());
    // The zero byte separates key and instance, so that different pairs never give
    // the same bytes: identifiers don't contain it.
    bytes.push(0);
    bytes.extend_from_slice(instance.as_str().as_bytes());
    rapidhash_v3(&bytes)
}
