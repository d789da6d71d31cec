//! Shares of limits.

/// Value of a limit that does not apply.
pub(crate) const UNLIMITED: u32 = u32::MAX;

/// Inverse of the part of a limit that is divided into fixed shares.
const FIXED_SHARE_DIVISOR: u32 = 10;

/// Share of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of calls per second.
    pub per_second: u32,
}

/// Demand of an entry beyond its fixed share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Share that the entry requests.
    pub wanted: Share,
    /// Largest share that the entry uses until the next grant.
    pub held: Share,
}

/// Rank of an entry among the entries that callers of a service are steered to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Position, from 0, in an order that all entries agree on.
    pub index: u32,
    /// Number of entries in the order.
    pub count: u32,
}

/// Returns the fixed share of a limit for one of at most `max_entries` entries.
#[must_use]
pub fn fixed_share(limit: u32, max_entries: u32) -> u32 {
    if limit == UNLIMITED {
        return UNLIMITED;
    }
    limit / FIXED_SHARE_DIVISOR / max_entries.max(1)
}

impl Rank {
    /// Returns the part of a limit for this rank. The remainder goes to the
    /// first ranks, so that the parts add up to the limit.
    pub(crate) fn part(self, limit: u32) -> u32 {
        let count = self.count.max(1);
        limit / count + u32::from(self.index < limit % count)
    }
}

impl Share {
    pub(crate) fn min(self, other: Self) -> Self {
        self.combine(other, u32::min)
    }

    pub(crate) fn max(self, other: Self) -> Self {
        self.combine(other, u32::max)
    }

    pub(crate) fn saturating_add(self, other: Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    pub(crate) fn saturating_sub(self, other: Self) -> Self {
        self.combine(other, u32::saturating_sub)
    }

    fn combine(self, other: Self, with: fn(u32, u32) -> u32) -> Self {
        Self {
            in_flight: with(self.in_flight, other.in_flight),
            per_second: with(self.per_second, other.per_second),
        }
    }
}
