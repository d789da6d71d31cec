//! Membership of the installation as one entry knows it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use carobdrift_units::Zone;
use tokio::time::Instant;

use crate::datagram::{Heartbeat, Member, Phase, StoreHealth, Summary, Watermark};

/// Number of hubs in each zone. Two, so that the loss of one leaves no gap.
pub(crate) const HUBS_PER_ZONE: usize = 2;

/// Time without contact with an entry after which it counts as lost. Tolerates two
/// lost datagrams on the path through a hub.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without contact with an entry of the same zone after which callers are not
/// directed to it. Tolerates two lost datagrams within a zone, and is short
/// because a frozen entry delays the requests of its callers.
const RESPONSIVE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time without news of an entry that reads the store after which it counts as lost
/// for this purpose. Such entries send four heartbeats a second to all hubs; one of them
/// may be lost, and the next one late.
const READER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without a datagram of any entry after which this one is out of contact. A hub
/// gets at least four a second.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest number of entries to which one requester of data is referred.
const MAX_PROVIDERS: usize = 12;

/// Time for which a lost entry, or a candidate that never answered, is kept.
const RETENTION_PERIOD: Duration = Duration::from_mins(2);

/// Another entry of the installation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Start of the process in Unix milliseconds, and sequence number of the
    /// last heartbeat.
    pub(crate) version: (u64, u32),
    /// Availability zone.
    pub zone: Zone,
    /// Lifecycle phase of the entry.
    pub phase: Phase,
    /// Processor capacity of the entry, in thousandths of a core.
    pub capacity: u32,
    /// Request rate of the entry over about the last second, per second.
    pub rate: u32,
    /// Health of the entry's connection to the platform's store.
    pub store: StoreHealth,
    /// Time of the last contact with the entry, directly or through a hub.
    pub last_heard: Instant,
}

/// This entry as the others know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Address of the entry.
    pub address: IpAddr,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Processor capacity of the entry, in thousandths of a core.
    pub capacity: u32,
}

/// Entry that may act for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Address of the entry.
    pub address: IpAddr,
    /// Processor capacity of the entry, in thousandths of a core.
    pub capacity: u32,
    /// Health of the entry's connection to the platform's store.
    pub store: StoreHealth,
    /// Whether the store is known to answer the entry now.
    pub is_reader: bool,
}

impl Candidate {
    fn order(&self) -> (Reverse<u32>, IpAddr) {
        (Reverse(self.capacity), self.address)
    }
}

impl From<&Identity> for Candidate {
    fn from(own: &Identity) -> Self {
        Self {
            address: own.address,
            capacity: own.capacity,
            store: StoreHealth::Idle,
            is_reader: false,
        }
    }
}

/// With which other entries this one is in contact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Hubs of all zones in ascending order: the entries that may grant tokens.
    pub hubs: Vec<IpAddr>,
    /// Whether more than half of the known entries are alive, this one included, and
    /// any of them was heard just now.
    pub is_majority: bool,
    /// Entries that do not count as running and did not leave.
    pub lost: Vec<IpAddr>,
    /// Entries that are not responsive and did not leave, with the time of the last
    /// contact.
    pub silent: Vec<(IpAddr, Instant)>,
}

/// Other entries as this one knows them.
#[derive(Debug, Default)]
pub struct Membership {
    peers: HashMap<IpAddr, Peer>,
    /// Addresses that may belong to entries but have not answered yet, with the
    /// time at which they were added.
    candidates: HashMap<IpAddr, Instant>,
    /// Versions of the data that entries last stated to have, directly to this one.
    watermarks: HashMap<IpAddr, Watermark>,
    /// Time at which a datagram of any entry last arrived.
    last_contact: Option<Instant>,
}

impl Peer {
    /// Returns whether the last contact with the entry is recent enough to direct
    /// callers of the same zone to it.
    #[must_use]
    pub fn is_responsive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) <= RESPONSIVE_TIMEOUT
    }

    /// Returns whether the store answers the entry, as of recent news.
    #[must_use]
    pub fn is_reader(&self, now: Instant) -> bool {
        self.store == StoreHealth::Answering
            && self.phase != Phase::Leaving
            && now.saturating_duration_since(self.last_heard) <= READER_TIMEOUT
    }

    /// Returns whether the entry counts as running.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) <= ALIVE_TIMEOUT
    }
}

impl From<(&Heartbeat, Instant)> for Peer {
    fn from((heartbeat, last_heard): (&Heartbeat, Instant)) -> Self {
        Self {
            version: (heartbeat.started_ms, heartbeat.sequence),
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
    /// Adds the address of an entry that may exist.
    pub(crate) fn add_candidate(&mut self, address: IpAddr, now: Instant) {
        if !self.peers.contains_key(&address) {
            self.candidates.insert(address, now);
        }
    }

    /// Applies the reported state of an entry. Returns whether the entry is new
    /// or back, is another process, changed its phase, or began or ceased to be answered
    /// by the store.
    pub(crate) fn update(&mut self, address: IpAddr, peer: Peer, now: Instant) -> bool {
        self.candidates.remove(&address);
        let Some(known) = self.peers.get_mut(&address) else {
            self.peers.insert(address, peer);
            return true;
        };
        // The version orders reports only while the known process is alive.
        // Afterwards any report counts, so that a process whose clock is behind
        // that of its predecessor is accepted.
        let newer = peer.version > known.version || !known.is_alive(now);
        let last_heard = known.last_heard.max(peer.last_heard);
        if !newer {
            known.last_heard = if peer.version == known.version {
                last_heard
            } else {
                known.last_heard
            };
            return false;
        }
        let is_answered = |peer: &Peer| peer.store == StoreHealth::Answering;
        let changed = known.version.0 != peer.version.0
            || known.phase != peer.phase
            || is_answered(known) != is_answered(&peer)
            || !known.is_alive(now);
        *known = Peer { last_heard, ..peer };
        changed
    }

    /// Applies an entry that a digest lists. Returns what
    /// [`update`](Self::update) returns.
    pub(crate) fn apply_member(&mut self, member: Member, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(member.age_ms));
        let Some(last_heard) = now.checked_sub(age) else {
            return false;
        };
        let peer = Peer {
            version: (member.started_ms, member.sequence),
            zone: member.zone,
            phase: member.phase,
            capacity: member.capacity,
            rate: member.rate,
            store: member.store,
            last_heard,
        };
        self.update(member.address, peer, now)
    }

    /// Applies a hub's summary of the entries of its zone that are not in
    /// `listed`. `own` is the address and the process start of this entry.
    /// Returns whether the summary matches the entries that this one knows; if
    /// it does not, nothing changes.
    pub(crate) fn apply_summary(
        &mut self,
        zone: &Zone,
        own: (IpAddr, u64),
        listed: &[IpAddr],
        summary: Summary,
        now: Instant,
    ) -> bool {
        let mut known = Summary::default();
        if !listed.contains(&own.0) {
            known.add(own.0, own.1);
        }
        let is_covered = |address: &IpAddr, peer: &Peer| {
            peer.zone == *zone && peer.is_alive(now) && !listed.contains(address)
        };
        for (address, peer) in &self.peers {
            if is_covered(address, peer) {
                known.add(*address, peer.version.0);
            }
        }
        if known.fingerprint != summary.fingerprint {
            return false;
        }
        let age = Duration::from_millis(summary.oldest_ms.into());
        let Some(last_heard) = now.checked_sub(age) else {
            return true;
        };
        for (address, peer) in &mut self.peers {
            if is_covered(address, peer) {
                peer.last_heard = peer.last_heard.max(last_heard);
            }
        }
        true
    }

    /// Returns the entries of a zone that digests report. A silent entry is
    /// reported for twice the time that it counts as alive, so that no receiver
    /// still counts the entry as alive when digests leave it out.
    pub(crate) fn reportable<'a>(
        &'a self,
        zone: &'a Zone,
        now: Instant,
    ) -> impl Iterator<Item = (IpAddr, &'a Peer)> {
        let peers = self.peers.iter().map(|(address, peer)| (*address, peer));
        peers.filter(move |(_, peer)| {
            peer.zone == *zone
                && now.saturating_duration_since(peer.last_heard) <= ALIVE_TIMEOUT * 2
        })
    }

    /// Records that a datagram of another entry arrived.
    pub(crate) fn record_contact(&mut self, now: Instant) {
        self.last_contact = Some(now);
    }

    /// Records the versions of the data that an entry states to have.
    pub(crate) fn record_watermark(&mut self, address: IpAddr, watermark: Watermark) {
        self.watermarks.insert(address, watermark);
    }

    /// Returns responsive entries of a zone whose data fulfils a condition, at most
    /// [`MAX_PROVIDERS`].
    pub(crate) fn having(
        &self,
        zone: &Zone,
        condition: impl Fn(Watermark) -> bool,
        now: Instant,
    ) -> Vec<IpAddr> {
        let peers = self.peers.iter().filter(|(address, peer)| {
            peer.zone == *zone
                && peer.is_responsive(now)
                && self
                    .watermarks
                    .get(address)
                    .copied()
                    .is_some_and(&condition)
        });
        peers
            .map(|(address, _)| *address)
            .take(MAX_PROVIDERS)
            .collect()
    }

    /// Returns the time since a datagram of any entry arrived.
    #[must_use]
    pub fn contact_age(&self, now: Instant) -> Duration {
        self.last_contact
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Returns the addresses of entries that have not answered yet.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = IpAddr> {
        self.candidates.keys().copied()
    }

    /// Returns up to `count` known entries that do not count as running. Successive
    /// values of `turn` return all of them in turn.
    pub(crate) fn lost(&self, turn: u32, count: usize, now: Instant) -> Vec<IpAddr> {
        let peers = self.peers.iter();
        let lost = peers.filter(|(_, peer)| !peer.is_alive(now));
        let mut lost: Vec<IpAddr> = lost.map(|(address, _)| *address).collect();
        if lost.len() > count {
            lost.sort_unstable();
            let first = usize::try_from(turn).unwrap_or_default() * count % lost.len();
            lost.rotate_left(first);
            lost.truncate(count);
        }
        lost
    }

    /// Removes entries and candidates whose retention period is over.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < RETENTION_PERIOD;
        self.peers.retain(|_, peer| recent(peer.last_heard));
        self.candidates.retain(|_, added| recent(*added));
        let peers = &self.peers;
        self.watermarks
            .retain(|address, _| peers.contains_key(address));
    }

    /// Returns the entries that count as running.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (IpAddr, &Peer)> {
        let peers = self.peers.iter().map(|(address, peer)| (*address, peer));
        peers.filter(move |(_, peer)| peer.is_alive(now))
    }

    /// Returns whether all entries that count as running started within a time of
    /// `started_ms`, and none is known that does not run.
    pub(crate) fn started_together(&self, started_ms: u64, range: Duration, now: Instant) -> bool {
        let is_close = |peer: &Peer| {
            let difference = Duration::from_millis(peer.version.0.abs_diff(started_ms));
            peer.is_alive(now) && difference <= range
        };
        self.peers.values().all(is_close)
    }

    /// Returns the entries of each zone that may act for others, as hubs or as readers
    /// of the store, this one included. Those with the largest capacity come first,
    /// because they have the bandwidth and the processor for it, and those of equal
    /// capacity in the order of their addresses.
    #[must_use]
    pub fn ranked(&self, own: &Identity, now: Instant) -> BTreeMap<Zone, Vec<Candidate>> {
        let mut zones: BTreeMap<Zone, Vec<Candidate>> = BTreeMap::new();
        zones
            .entry(own.zone.clone())
            .or_default()
            .push(Candidate::from(own));
        for (address, peer) in self.alive(now) {
            // News of other zones arrive once a second.
            let is_present = peer.zone != own.zone || peer.is_responsive(now);
            if peer.phase != Phase::Leaving && is_present {
                zones.entry(peer.zone.clone()).or_default().push(Candidate {
                    address,
                    capacity: peer.capacity,
                    store: peer.store,
                    is_reader: peer.is_reader(now),
                });
            }
        }
        for candidates in zones.values_mut() {
            candidates.sort_unstable_by_key(Candidate::order);
        }
        zones
    }

    /// Returns the hubs of each zone.
    #[must_use]
    pub fn hubs(&self, own: &Identity, now: Instant) -> BTreeMap<Zone, Vec<IpAddr>> {
        let zones = self.ranked(own, now).into_iter();
        let hubs = zones.map(|(zone, candidates)| {
            let first = candidates.into_iter().take(HUBS_PER_ZONE);
            (zone, first.map(|candidate| candidate.address).collect())
        });
        hubs.collect()
    }

    /// Returns with which other entries this one is in contact. Entries that may exist
    /// but never answered count as known, and those that left do not. `is_leaving`
    /// states that this entry does.
    #[must_use]
    pub fn contact(&self, own: &Identity, is_leaving: bool, now: Instant) -> Contact {
        let zones = self.ranked(own, now).into_values();
        let zones = zones.map(|candidates| {
            let addresses = candidates.into_iter().map(|candidate| candidate.address);
            let present = addresses.filter(|address| !is_leaving || *address != own.address);
            present.take(HUBS_PER_ZONE).collect::<Vec<_>>()
        });
        let mut hubs: Vec<IpAddr> = zones.flatten().collect();
        hubs.sort_unstable();
        let present = self.peers.iter();
        let present = present.filter(|(_, peer)| peer.phase != Phase::Leaving);
        let silent: Vec<_> = present
            .filter(|(_, peer)| !peer.is_responsive(now))
            .map(|(address, peer)| (*address, peer.last_heard))
            .collect();
        let lost = silent.iter().map(|(address, _)| *address);
        let lost: Vec<_> = lost
            .filter(|address| !self.peers[address].is_alive(now))
            .collect();
        let alive = self.alive(now).count() + 1;
        let known = alive + lost.len() + self.candidates.len();
        let is_isolated = known > 1 && self.contact_age(now) > ISOLATION_TIMEOUT;
        Contact {
            hubs,
            is_majority: alive * 2 > known && !is_isolated,
            lost,
            silent,
        }
    }

    /// Returns the availability zone of another entry, if it is known.
    pub(crate) fn zone_of(&self, address: IpAddr) -> Option<&Zone> {
        self.peers.get(&address).map(|peer| &peer.zone)
    }
}
