//! Positions in the history of the platform's store.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::number::{Era, ParseError};

/// Position in the history of the platform's store. After the store has returned from
/// an older copy it assigns versions again, so positions are ordered by the era first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Number of the store's return; 0 if the store states none.
    pub era: Era,
    /// Version of the store within the era.
    pub version: u64,
}

/// Error of a text that is not a position in the history of the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseRevisionError {
    /// The text has no dot between the era and the version.
    #[error("not an era and a version with a dot between them")]
    Incomplete,
    /// The era or the version is not a number.
    #[error(transparent)]
    Number(#[from] ParseError),
}

impl StoreRevision {
    /// Returns the position before the first version of an era.
    #[must_use]
    pub fn start_of(era: Era) -> Self {
        Self { era, version: 0 }
    }

    /// Returns the position before this one in the same era, or this one if it is the
    /// first.
    #[must_use]
    pub fn previous(self) -> Self {
        Self {
            version: self.version.saturating_sub(1),
            ..self
        }
    }

    /// Returns the next position in the same era.
    #[must_use]
    pub fn next(self) -> Self {
        Self {
            version: self.version + 1,
            ..self
        }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.version)
    }
}

impl FromStr for StoreRevision {
    type Err = ParseRevisionError;

    fn from_str(text: &str) -> Result<Self, ParseRevisionError> {
        let (era, version) = text.split_once('.').ok_or(ParseRevisionError::Incomplete)?;
        Ok(Self {
            era: era.parse()?,
            version: version.parse().map_err(ParseError::Integer)?,
        })
    }
}
