//! Shards of the services of a cell.

use std::fmt;

use carobdrift_units::{Cell, Service};
use rapidhash::v3::rapidhash_v3;

/// Shard: a group of services of a cell that one lease covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u8);

impl Shard {
    /// Number of shards of a cell.
    pub const COUNT: u8 = 16;

    /// Returns the shard of a service, which is the same in every process and
    /// release.
    #[must_use]
    pub fn of(service: &Service) -> Self {
        let hash = rapidhash_v3(service.as_str().as_bytes());
        let number = hash % u64::from(Self::COUNT);
        Self(u8::try_from(number).unwrap_or_default())
    }

    /// Returns all shards of a cell.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }

    /// Returns the key of the lease row.
    #[must_use]
    pub fn key(self, cell: &Cell) -> String {
        format!("{}{self}", Self::prefix(cell))
    }

    /// Returns the prefix of the keys of all lease rows of a cell.
    pub(crate) fn prefix(cell: &Cell) -> String {
        format!("probe-leases/{cell}/")
    }

    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
