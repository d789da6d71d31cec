//! Keys of limits, and the entry that grants tokens of a key.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use carobdrift_units::Target;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// What a limit applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// Requests of the workspace of this name.
    Workspace(Arc<str>),
    /// Requests to one process of a target: its id and its start in Unix milliseconds.
    Target(Target, u64),
}

impl Key {
    /// Returns the length of the name or id, in bytes.
    pub(crate) fn text_len(&self) -> usize {
        match self {
            Self::Workspace(name) => name.len(),
            Self::Target(target, _) => target.as_str().len(),
        }
    }

    /// Returns the rendezvous weight of an entry for the key. It is the same in all
    /// builds.
    fn weight(&self, entry: IpAddr) -> u64 {
        let mut bytes = Vec::with_capacity(64);
        match self {
            Self::Workspace(name) => {
                bytes.push(0);
                bytes.extend_from_slice(name.as_bytes());
            }
            Self::Target(target, started_ms) => {
                bytes.push(1);
                bytes.extend_from_slice(target.as_str().as_bytes());
                bytes.push(0);
                bytes.extend_from_slice(&started_ms.to_be_bytes());
            }
        }
        bytes.push(0);
        match entry {
            IpAddr::V4(address) => bytes.extend_from_slice(&address.octets()),
            IpAddr::V6(address) => bytes.extend_from_slice(&address.octets()),
        }
        rapidhash_v3(&bytes)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Workspace(name) => write!(f, "workspace/{name}"),
            Self::Target(target, started_ms) => write!(f, "target/{target}/{started_ms}"),
        }
    }
}

/// Returns the entry that grants tokens of a key: the candidate with the largest
/// rendezvous weight.
#[must_use]
pub fn grantor(key: &Key, candidates: &[IpAddr]) -> Option<IpAddr> {
    let candidates = candidates.iter().copied();
    candidates.max_by_key(|entry| (key.weight(*entry), *entry))
}
