//! Which entries read the store.

use std::net::IpAddr;
use std::time::Duration;

use carobdrift_peers::{Phase, Roster};
use carobdrift_units::Zone;
use tokio::time::Instant;

/// Entries that always read the store. Two in different zones, so that the
/// loss of one leaves no gap.
const READERS: usize = 2;

/// Age of the newest answer of the store that any entry has, from which the
/// next entries read it too.
const STALE_AFTER: Duration = Duration::from_millis(1400);

/// Time by which each further entry waits longer, so that not all of them call
/// a store that is away.
const RANK_DELAY: Duration = Duration::from_millis(120);

/// Time without a word of any other entry after which this one relies on
/// itself.
const ALONE_AFTER: Duration = Duration::from_millis(1200);

/// This entry among the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    /// Entries that read the store before this one does.
    pub(crate) rank: usize,
    /// Age of the newest answer of the store that any other entry has.
    pub(crate) peer_age: Duration,
    /// Whether no other entry was heard of lately.
    pub(crate) alone: bool,
}

impl Position {
    /// Computes the position from what is known of the others. Entries are
    /// ranked by their place in their zone first, so that the first ones are in
    /// different zones.
    pub(crate) fn of(own: IpAddr, zone: &Zone, roster: &Roster, now: Instant) -> Self {
        let mut entries: Vec<(&Zone, IpAddr)> = roster
            .alive(now)
            .filter(|(_, peer)| peer.beat.phase != Phase::Leaving)
            .map(|(address, peer)| (&peer.beat.zone, address))
            .collect();
        entries.push((zone, own));
        entries.sort_unstable();
        let place = |zone: &Zone, address: IpAddr| {
            entries
                .iter()
                .filter(|(other, before)| *other == zone && *before < address)
                .count()
        };
        let own_key = (place(zone, own), zone, own);
        let rank = entries
            .iter()
            .filter(|(zone, address)| (place(zone, *address), *zone, *address) < own_key)
            .count();
        let ages = roster.alive(now).map(|(_, peer)| peer.store_age(now));
        let silence = roster
            .alive(now)
            .map(|(_, peer)| now.saturating_duration_since(peer.heard))
            .min();
        Self {
            rank,
            peer_age: ages.min().unwrap_or(Duration::MAX),
            alone: silence.is_none_or(|silence| silence > ALONE_AFTER),
        }
    }

    /// Whether this entry reads the store.
    pub(crate) fn reads(self) -> bool {
        if self.alone || self.rank < READERS {
            return true;
        }
        let rank = u32::try_from(self.rank - READERS).unwrap_or(u32::MAX);
        self.peer_age > STALE_AFTER + RANK_DELAY.saturating_mul(rank)
    }
}
