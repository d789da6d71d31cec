//! Entries that are known.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use carobdrift_units::Zone;
use tokio::time::Instant;

use crate::datagram::{Heartbeat, Member, Phase, Rest, StoreHealth};

/// Hubs of each zone. Two, so that the loss of one leaves no gap.
pub(crate) const HUBS: usize = 2;

/// Time without a word after which an entry counts as gone. It covers two lost
/// datagrams on the way through a hub.
const LIFETIME: Duration = Duration::from_secs(2);

/// Time without a word after which callers are not sent to an entry of the same
/// zone. It covers two lost datagrams there, and is short because a frozen entry
/// holds the requests of its callers.
const PROMPT: Duration = Duration::from_millis(900);

/// Time after which an entry that is gone is not contacted any more.
const FORGOTTEN: Duration = Duration::from_mins(2);

/// Another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Start of the process and number of the last statement.
    pub(crate) stamp: (u64, u32),
    /// Availability zone.
    pub zone: Zone,
    /// Whether it takes callers.
    pub phase: Phase,
    /// Processor that it has, in thousandths of a core.
    pub capacity: u32,
    /// Requests that it served in the last second.
    pub rate: u32,
    /// How it stands to the platform's store.
    pub store: StoreHealth,
    /// When it was last heard of, directly or through a hub.
    pub last_heard: Instant,
}

/// The other entries as this one knows them.
#[derive(Debug, Default)]
pub struct Membership {
    peers: HashMap<IpAddr, Peer>,
    /// Entries that were named and have not been heard of, with the moment at
    /// which they were named.
    candidates: HashMap<IpAddr, Instant>,
    /// When an entry was last heard of directly.
    last_contact: Option<Instant>,
}

impl Peer {
    /// Whether it was heard of so lately that callers may be sent to it.
    #[must_use]
    pub fn is_responsive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) <= PROMPT
    }

    /// Whether it was heard of lately.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) <= LIFETIME
    }
}

impl From<(&Heartbeat, Instant)> for Peer {
    fn from((heartbeat, last_heard): (&Heartbeat, Instant)) -> Self {
        Self {
            stamp: (heartbeat.started_ms, heartbeat.sequence),
            zone: heartbeat.zone.clone(),
            phase: heartbeat.phase,
            capacity: heartbeat.capacity,
            rate: heartbeat.rate,
            store: heartbeat.store,
            last_heard,
        }
    }
}

impl Membership {
    /// Notes an entry that may exist.
    pub(crate) fn add_candidates(&mut self, address: IpAddr, now: Instant) {
        if !self.peers.contains_key(&address) {
            self.candidates.insert(address, now);
        }
    }

    /// Takes in a statement of an entry; returns whether the entry is new, is
    /// another process, or changed its phase.
    pub(crate) fn hear(&mut self, address: IpAddr, peer: Peer, now: Instant) -> bool {
        self.candidates.remove(&address);
        let Some(known) = self.peers.get_mut(&address) else {
            self.peers.insert(address, peer);
            return true;
        };
        // Without a living process there is nothing that a wrong clock could
        // put into a wrong order.
        let newer = peer.stamp > known.stamp || !known.is_alive(now);
        let last_heard = known.last_heard.max(peer.last_heard);
        if !newer {
            known.last_heard = if peer.stamp == known.stamp {
                last_heard
            } else {
                known.last_heard
            };
            return false;
        }
        let changed =
            known.stamp.0 != peer.stamp.0 || known.phase != peer.phase || !known.is_alive(now);
        *known = Peer { last_heard, ..peer };
        changed
    }

    /// Takes in an entry of a digest.
    pub(crate) fn learn(&mut self, member: Member, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(member.age_ms));
        let Some(last_heard) = now.checked_sub(age) else {
            return false;
        };
        let peer = Peer {
            stamp: (member.started_ms, member.sequence),
            zone: member.zone,
            phase: member.phase,
            capacity: member.capacity,
            rate: member.rate,
            store: member.store,
            last_heard,
        };
        self.hear(member.address, peer, now)
    }

    /// Takes in that a hub confirms all entries of its zone but the listed
    /// ones; `own` is this entry's address and process.
    /// Returns whether these are the entries that this one knows; if not,
    /// nothing changes.
    pub(crate) fn confirm(
        &mut self,
        zone: &Zone,
        own: (IpAddr, u64),
        listed: &[IpAddr],
        rest: Rest,
        now: Instant,
    ) -> bool {
        let mut known = Rest::default();
        if !listed.contains(&own.0) {
            known.add(own.0, own.1);
        }
        let is_meant = |address: &IpAddr, peer: &Peer| {
            peer.zone == *zone && peer.is_alive(now) && !listed.contains(address)
        };
        for (address, peer) in &self.peers {
            if is_meant(address, peer) {
                known.add(*address, peer.stamp.0);
            }
        }
        if known.fingerprint != rest.fingerprint {
            return false;
        }
        let age = Duration::from_millis(rest.oldest_ms.into());
        let Some(last_heard) = now.checked_sub(age) else {
            return true;
        };
        for (address, peer) in &mut self.peers {
            if is_meant(address, peer) {
                peer.last_heard = peer.last_heard.max(last_heard);
            }
        }
        true
    }

    /// Entries of a zone that were heard of so lately that a digest states them.
    /// Those that have gone silent are stated for a while beyond their life, so
    /// that no receiver still counts them when the digest leaves them out.
    pub(crate) fn stated<'a>(
        &'a self,
        zone: &'a Zone,
        now: Instant,
    ) -> impl Iterator<Item = (IpAddr, &'a Peer)> {
        let peers = self.peers.iter().map(|(address, peer)| (*address, peer));
        peers.filter(move |(_, peer)| {
            peer.zone == *zone && now.saturating_duration_since(peer.last_heard) <= LIFETIME * 2
        })
    }

    /// Notes that an entry was heard of directly.
    pub(crate) fn note_contact(&mut self, now: Instant) {
        self.last_contact = Some(now);
    }

    /// Time since any entry was heard of directly.
    #[must_use]
    pub fn contact_age(&self, now: Instant) -> Duration {
        self.last_contact
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Entries that were named and have not been heard of.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = IpAddr> {
        self.candidates.keys().copied()
    }

    /// Forgets entries that have been gone for long.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < FORGOTTEN;
        self.peers.retain(|_, peer| recent(peer.last_heard));
        self.candidates.retain(|_, added| recent(*added));
    }

    /// Entries that were heard of lately.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (IpAddr, &Peer)> {
        let peers = self.peers.iter().map(|(address, peer)| (*address, peer));
        peers.filter(move |(_, peer)| peer.is_alive(now))
    }

    /// Hubs of each zone, given this entry's own address and zone. Leaving
    /// entries are no hubs.
    #[must_use]
    pub fn hubs(&self, own: IpAddr, zone: &Zone, now: Instant) -> BTreeMap<Zone, Vec<IpAddr>> {
        let mut hubs: BTreeMap<Zone, Vec<IpAddr>> = BTreeMap::new();
        hubs.entry(zone.clone()).or_default().push(own);
        for (address, peer) in self.alive(now) {
            if peer.phase == Phase::Leaving {
                continue;
            }
            if let Some(first) = hubs.get_mut(&peer.zone) {
                // Only the first ones are kept at any time.
                let place = first.partition_point(|other| *other < address);
                if place < HUBS {
                    first.insert(place, address);
                    first.truncate(HUBS);
                }
            } else {
                hubs.insert(peer.zone.clone(), vec![address]);
            }
        }
        hubs
    }
}
