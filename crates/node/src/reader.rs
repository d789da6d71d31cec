//! Selection of the entries that read the store.

use std::cmp::Reverse;
use std::time::Duration;

use carobdrift_peers::{Identity, Membership, StoreHealth};
use tokio::time::Instant;

/// Number of entries that read the store. Two in different zones, so that the
/// loss of one leaves no gap.
const READER_COUNT: usize = 2;

/// Largest number of entries that read the store while readers report failed
/// calls. Calls of further entries would only add load to a failing store.
const MAX_READERS: usize = 8;

/// Time without a datagram of any other entry after which this entry counts as
/// isolated and reads the store itself.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1300);

/// Age of the newest store response known to any entry beyond which further
/// entries read the store, whether or not the readers report failures.
const STORE_STALE_TIMEOUT: Duration = Duration::from_millis(4500);

/// Additional delay of each further rank before the entry reads a stale store.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the delay by rank.
const MAX_RANK_DELAY: Duration = Duration::from_secs(2);

/// Position of this entry in the order in which entries read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    /// Number of entries that precede this one.
    rank: usize,
    /// Number of preceding entries whose store calls fail.
    failing: usize,
    /// Whether no other entry was heard for [`ISOLATION_TIMEOUT`].
    isolated: bool,
}

impl Position {
    /// Computes the position from the membership. Entries of larger capacity precede
    /// others. Those of equal capacity are ranked by their index in their zone, so that
    /// the first ones are in different zones.
    pub(crate) fn of(own: &Identity, membership: &Membership, now: Instant) -> Self {
        let zones = membership.ranked(own, now);
        let ordered = zones.iter().flat_map(|(zone, candidates)| {
            let candidates = candidates.iter().enumerate();
            candidates.map(move |(index, candidate)| {
                ((Reverse(candidate.capacity), index, zone), candidate)
            })
        });
        let mut ordered: Vec<_> = ordered.collect();
        ordered.sort_unstable_by_key(|(order, _)| *order);
        let preceding = ordered
            .iter()
            .map(|(_, candidate)| candidate)
            .take_while(|candidate| candidate.address != own.address);
        let (mut rank, mut failing) = (0, 0);
        for candidate in preceding {
            rank += 1;
            failing += usize::from(candidate.store == StoreHealth::Failing);
        }
        Self {
            rank,
            failing,
            isolated: membership.contact_age(now) > ISOLATION_TIMEOUT,
        }
    }

    /// Returns whether no other entry was heard recently.
    pub(crate) fn is_isolated(self) -> bool {
        self.isolated
    }

    /// Returns whether this entry should read the store, given the age of the
    /// newest store response that it knows of.
    pub(crate) fn should_read(self, store_age: Duration) -> bool {
        if self.isolated || self.rank < READER_COUNT {
            return true;
        }
        if self.rank < MAX_READERS && self.rank - self.failing < READER_COUNT {
            return true;
        }
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        let delay = RANK_DELAY.saturating_mul(rank).min(MAX_RANK_DELAY);
        self.rank < MAX_READERS && store_age > STORE_STALE_TIMEOUT + delay
    }
}
