//! Prefixes of issued keys.

use std::fmt;
use std::str::FromStr;

use carobdrift_units::{Incarnation, Instance};
use carobdrift_wire::Key;
use thiserror::Error;

/// First part of every issued key; names the version of the format.
const MARK: &str = "cd1";

/// Prefix of idempotency keys, issued by one process. Its text is
/// `cd1.<instance>.<incarnation>.<issued ms since start>.<nonce>`; a caller
/// appends `.<anything>` for each request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefix {
    /// The entry that decides on keys with this prefix.
    pub instance: Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Moment of issue in milliseconds since the start of the process.
    pub issued_ms: u64,
    /// Random number that keeps the keys of two callers apart.
    pub nonce: u128,
}

/// Why a text is not a prefix or a key with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PrefixError {
    /// The parts are not those of an issued key.
    #[error("the key does not start with a prefix from an address answer")]
    Malformed,
    /// The caller's own part is missing.
    #[error("the key must continue with `.` and a part of the caller's choosing")]
    MissingSuffix,
}

impl Prefix {
    /// Reads the prefix of an issued key.
    ///
    /// # Errors
    ///
    /// Fails when the key was not made from an issued prefix.
    pub fn from_key(key: &Key) -> Result<Self, PrefixError> {
        let mut parts = key.as_str().splitn(6, '.');
        let prefix = Self::read(&mut parts)?;
        match parts.next() {
            Some(own) if !own.is_empty() => Ok(prefix),
            _ => Err(PrefixError::MissingSuffix),
        }
    }

    fn read<'a>(parts: &mut impl Iterator<Item = &'a str>) -> Result<Self, PrefixError> {
        let mut part = || parts.next().ok_or(PrefixError::Malformed);
        if part()? != MARK {
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
            "{MARK}.{}.{}.{}.{:032x}",
            self.instance, self.incarnation, self.issued_ms, self.nonce
        )
    }
}

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, PrefixError> {
        let mut parts = text.split('.');
        let prefix = Self::read(&mut parts)?;
        match parts.next() {
            None => Ok(prefix),
            Some(_) => Err(PrefixError::Malformed),
        }
    }
}
