//! Rendezvous hashing.

use rapidhash::v3::rapidhash_v3;

use crate::name::Instance;

/// Orders instances by their rendezvous weight for a key, highest first.
///
/// Every process computes the same order from the same instances, and an
/// instance that joins or leaves changes no order among the others.
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
    // Identifiers hold no zero byte, so no two pairs give the same bytes.
    bytes.push(0);
    bytes.extend_from_slice(instance.as_str().as_bytes());
    rapidhash_v3(&bytes)
}
