//! Parts of limits.

/// A limit that does not apply.
pub(crate) const UNLIMITED: u32 = u32::MAX;

/// Part of a limit, as a divisor, that is divided into fixed shares.
const FIXED: u32 = 10;

/// Part of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests in flight.
    pub in_flight: u32,
    /// Calls per second.
    pub per_second: u32,
}

/// What an entry wants and holds besides its fixed share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// What it wants to permit.
    pub wanted: Share,
    /// What it uses at most until it is granted more.
    pub held: Share,
}

/// Rank of an entry among those that callers of a service are steered to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Position in an order that all entries agree on, from 0.
    pub index: u32,
    /// Number of these entries.
    pub count: u32,
}

/// Fixed share that one of at most `max_entries` entries has of a limit.
#[must_use]
pub fn fixed_share(limit: u32, max_entries: u32) -> u32 {
    if limit == UNLIMITED {
        return UNLIMITED;
    }
    limit / FIXED / max_entries.max(1)
}

impl Rank {
    /// The place's part of a limit. The first places share the remainder, so
    /// that the parts add up to the limit.
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
