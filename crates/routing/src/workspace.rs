//! Workspaces and their API keys.

use std::fmt;

use carobdrift_units::Rate;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest of an API key. Entries keep and exchange digests only, and a lookup by
/// digest takes a time that does not depend on how much of a key is right.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

/// Customer of an installation with API keys of its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, unique in the state.
    pub name: String,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, in place of that of their route; 0 is the most
    /// urgent.
    pub priority: Option<u32>,
    /// Limit on its requests over all entries, if there is one.
    pub quota: Option<Quota>,
}

/// Limit on the sum of requests over all entries: a token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Rate at which the bucket fills.
    pub rate: Rate,
    /// Number of requests that the bucket holds.
    pub burst: u64,
}

impl KeyDigest {
    /// Returns the digest of an API key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes the first bytes, which tell keys apart in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..4] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
