//! Prefixes of issued keys.

use std::fmt;
use std::str::FromStr;

use carobdrift_units::{Incarnation, Instance};
use carobdrift_wire::Key;
use thiserror::Error;

/// First part of every issued key, which names the version of the format.
const KEY_FORMAT: &str = "cd1";

/// Prefix of idempotency keys, issued by one process. The text has the form
/// `cd1.<instance>.<incarnation>.<issued ms since start>.<nonce>`. A caller
/// appends `.<suffix>`, with a suffix of its choice for each request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    /// Entry that issued the prefix and decides on its keys.
    pub instance: Instance,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Issue time in milliseconds since the start of the process.
    pub issued_ms: u64,
    /// Random number that keeps the keys of different callers distinct.
    pub nonce: u128,
}

/// Error of parsing a prefix or a key with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PrefixError {
    /// The text does not have the form of an issued key.
    #[error("the key does not start with a prefix from an address answer")]
    Malformed,
    /// The caller's suffix is missing.
    #[error("the key must continue with `.` and a part of the caller's choosing")]
    MissingSuffix,
}

impl Prefix {
    /// Parses the prefix of an issued key.
    ///
    /// # Errors
    ///
    /// Fails when the key does not consist of an issued prefix and a suffix.
    pub fn from_key(key: &Key) -> Result<Self, PrefixError> {
        let mut parts = key.as_str().splitn(6, '.');
        let prefix = Self::parse_parts(&mut parts)?;
        match parts.next() {
            Some(suffix) if !suffix.is_empty() => Ok(prefix),
            _ => Err(PrefixError::MissingSuffix),
        }
    }

    fn parse_parts<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Result<Self, PrefixError> {
        let mut part = || parts.next().ok_or(PrefixError::Malformed);
        if part()? != KEY_FORMAT {
            return Err(PrefixError::Malformed);
        }
        Ok(Self {
            instance: part()?.parse().map_err(|_| PrefixError::Malformed)?,
            incarnation: part()?.parse().map_err(|_| PrefixError::Malformed)?,
            issued_ms: part()?.parse().map_err(|_| PrefixError::Malformed)?,
            nonce: u128::from_str_radix(part()?, 16).map_err(|_| PrefixError::Malformed)?,
        })
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{KEY_FORMAT}.{}.{}.{}.{:032x}",
            self.instance, self.incarnation, self.issued_ms, self.nonce
        )
    }
}

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, PrefixError> {
        let mut parts = text.split('.');
        let prefix = Self::parse_parts(&mut parts)?;
        match parts.next() {
            None => Ok(prefix),
            Some(_) => Err(PrefixError::Malformed),
        }
    }
}
