//! Entries that are known.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::Instant;

use crate::datagram::{Beat, Phase};

/// Time without a beat after which an entry counts as gone. It covers two lost
/// beats between zones.
pub(crate) const LIFETIME: Duration = Duration::from_millis(2400);

/// Time after which an entry that is gone is not contacted any more.
const FORGOTTEN: Duration = Duration::from_mins(2);

/// Another entry.
#[derive(Debug, Clone)]
pub struct Peer {
    /// What it stated last.
    pub beat: Beat,
    /// When it did.
    pub heard: Instant,
}

/// The other entries as this one knows them.
#[derive(Debug, Default)]
pub struct Roster {
    peers: HashMap<IpAddr, Peer>,
    /// Entries that were named by others and have not been heard of, with the
    /// moment at which they were named.
    named: HashMap<IpAddr, Instant>,
}

impl Peer {
    /// Whether it was heard of lately.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) <= LIFETIME
    }

    /// Age of its last good answer of the store.
    #[must_use]
    pub fn store_age(&self, now: Instant) -> Duration {
        let stated = Duration::from_millis(u64::from(self.beat.store_age_ms));
        stated + now.saturating_duration_since(self.heard)
    }
}

impl Roster {
    /// Notes an entry that may exist.
    pub(crate) fn name(&mut self, address: IpAddr, now: Instant) {
        if !self.peers.contains_key(&address) {
            self.named.insert(address, now);
        }
    }

    /// Takes in a beat; returns whether the entry is new, or another process.
    pub(crate) fn hear(&mut self, address: IpAddr, beat: Beat, now: Instant) -> bool {
        self.named.remove(&address);
        let known = self.peers.get(&address);
        let new = known.is_none_or(|peer| {
            peer.beat.incarnation != beat.incarnation || !peer.is_alive(now)
        });
        self.peers.insert(address, Peer { beat, heard: now });
        new
    }

    /// Entries to which beats go.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = (IpAddr, Option<&Peer>)> {
        let heard = self.peers.iter().map(|(address, peer)| (*address, Some(peer)));
        heard.chain(self.named.keys().map(|address| (*address, None)))
    }

    /// Forgets entries that have been gone for long.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < FORGOTTEN;
        self.peers.retain(|_, peer| recent(peer.heard));
        self.named.retain(|_, named| recent(*named));
    }

    /// Entries that were heard of lately.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (IpAddr, &Peer)> {
        let peers = self.peers.iter().map(|(address, peer)| (*address, peer));
        peers.filter(move |(_, peer)| peer.is_alive(now))
    }

    /// Entries that take callers: zone and address.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = (&carobdrift_units::Zone, SocketAddr)> {
        self.alive(now)
            .filter(|(_, peer)| peer.beat.phase == Phase::Ready)
            .map(|(_, peer)| (&peer.beat.zone, peer.beat.caller))
    }
}
