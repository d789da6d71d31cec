//! Which entries read the store.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use carobdrift_peers::{Membership, Phase, StoreHealth};
use carobdrift_units::Zone;
use tokio::time::Instant;

/// Entries that read the store. Two in different zones, so that the loss of one
/// leaves no gap.
const READERS: usize = 2;

/// Entries that call a store that fails; more calls would not help it to
/// return.
const MOST_READERS: usize = 8;

/// Time without a word of any other entry after which this one relies on
/// itself.
const ALONE_AFTER: Duration = Duration::from_millis(1300);

/// Age of the newest answer of the store that any entry has, from which further
/// entries read it, whatever the readers state.
const STALE_AFTER: Duration = Duration::from_millis(4500);

/// Time by which each further entry waits longer, and its bound.
const RANK_DELAY: Duration = Duration::from_millis(100);
const LONGEST_DELAY: Duration = Duration::from_secs(2);

/// This entry among the others, as far as reading the store goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    /// Entries that read the store before this one.
    rank: usize,
    /// Those of them whose calls fail.
    failing: usize,
    alone: bool,
}

impl Position {
    /// Computes the position from what is known of the others. Entries are
    /// ranked by their place in their zone first, so that the first ones are in
    /// different zones.
    pub(crate) fn of(own: IpAddr, zone: &Zone, membership: &Membership, now: Instant) -> Self {
        let mut zones: BTreeMap<&Zone, Vec<(IpAddr, StoreHealth)>> = BTreeMap::new();
        zones
            .entry(zone)
            .or_default()
            .push((own, StoreHealth::Healthy));
        for (address, peer) in membership.alive(now) {
            if peer.phase != Phase::Leaving {
                zones
                    .entry(&peer.zone)
                    .or_default()
                    .push((address, peer.store));
            }
        }
        for entries in zones.values_mut() {
            entries.sort_unstable_by_key(|(address, _)| *address);
        }
        let own_place = zones[zone].partition_point(|(address, _)| *address < own);
        let (mut rank, mut failing) = (0, 0);
        for (other, entries) in &zones {
            // Before this entry come all of a lower place, and those of the same
            // place in zones that come first.
            let count = own_place + usize::from(*other < zone);
            for (_, store) in entries.iter().take(count) {
                rank += 1;
                failing += usize::from(*store == StoreHealth::Failing);
            }
        }
        Self {
            rank,
            failing,
            alone: membership.contact_age(now) > ALONE_AFTER,
        }
    }

    /// Whether no other entry was heard of lately.
    pub(crate) fn is_alone(self) -> bool {
        self.alone
    }

    /// Whether this entry reads the store, given the age of the newest answer
    /// that it knows of.
    pub(crate) fn reads(self, store_age: Duration) -> bool {
        if self.alone || self.rank < READERS {
            return true;
        }
        if self.rank < MOST_READERS && self.rank - self.failing < READERS {
            return true;
        }
        let rank = u32::try_from(self.rank).unwrap_or(u32::MAX);
        let delay = RANK_DELAY.saturating_mul(rank).min(LONGEST_DELAY);
        self.rank < MOST_READERS && store_age > STALE_AFTER + delay
    }
}
