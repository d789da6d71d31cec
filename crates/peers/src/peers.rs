//! Exchange of datagrams with the other entries.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_units::Zone;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::datagram::{Datagram, Delta, Digest, Heartbeat, MAX_DATAGRAM, Member, Row, Watermark};
use crate::digest::Statements;
use crate::membership::{Membership, Peer};
use crate::snapshot::{Baseline, Server, Snapshot, Source};

/// Interval of beats and digests within a zone.
const INTERVAL: Duration = Duration::from_millis(250);

/// Digests to other zones go out each this many intervals: bytes between zones
/// are dear.
const REMOTE_EVERY: u32 = 4;

/// A zone is told of the entries of other zones each this many intervals. They
/// live for two seconds without a word.
const FOREIGN_EVERY: u32 = 2;

/// Pause between two questions for all entries of the zone.
const ASK_PAUSE: Duration = Duration::from_millis(400);

/// Interval at which an entry that nobody answered yet beats to the entries
/// that it was told of.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Entries of another zone that a hub tells its own zone of. They are used only
/// when the zone has none of its own.
const FOREIGN_MEMBERS: usize = 8;

/// Entries of one digest; they fit into one packet.
const MEMBERS: usize = 28;

/// Rows of one datagram; with ids of usual length they fit into one packet.
const ROWS: usize = 8;

/// Events that wait to be taken in. More are dropped: digests repeat, and rows
/// that are missed are fetched.
const EVENTS: usize = 256;

/// Settings of the exchange between entries.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of this entry for datagrams and snapshots; all entries use the
    /// same port.
    pub address: SocketAddr,
    /// Availability zone of this entry.
    pub zone: Zone,
    /// Start of this process in Unix milliseconds.
    pub started_ms: u64,
}

/// What another entry told.
#[derive(Debug, Clone)]
pub enum Event {
    /// How much it knows.
    Watermark(IpAddr, Watermark),
    /// Changes of targets.
    Delta(Delta),
}

/// The running exchange with the other entries; cheap to clone.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

struct Shared {
    socket: UdpSocket,
    settings: Settings,
    membership: Mutex<Membership>,
    sequence: AtomicU32,
    /// What this entry, as a hub, stated of its zone.
    statements: Mutex<Statements>,
    /// When all entries of the zone were asked for last.
    asked: Mutex<Option<Instant>>,
    statement: Box<dyn Fn(u32) -> Heartbeat + Send + Sync>,
}

impl Peers {
    /// Starts to beat and to serve snapshots. `statement` tells what this entry
    /// states of itself, under the number that it is given; `watermark` how much it
    /// knows, and `snapshot` what it knows beyond an asker's knowledge.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind(
        settings: Settings,
        statement: Box<dyn Fn(u32) -> Heartbeat + Send + Sync>,
        watermark: Box<dyn Fn() -> Watermark + Send + Sync>,
        snapshot: Box<dyn Fn(Baseline) -> Snapshot + Send + Sync>,
    ) -> io::Result<(Self, mpsc::Receiver<Event>)> {
        let socket = UdpSocket::bind(settings.address).await?;
        let listener = TcpListener::bind(settings.address).await?;
        let peers = Self {
            shared: Arc::new(Shared {
                socket,
                settings,
                membership: Mutex::default(),
                sequence: AtomicU32::new(0),
                statements: Mutex::default(),
                asked: Mutex::new(None),
                statement,
            }),
        };
        let (sender, events) = mpsc::channel(EVENTS);
        tokio::spawn(peers.clone().receive(sender));
        tokio::spawn(peers.clone().beat());
        tokio::spawn(carobdrift_http1::listen(
            listener,
            Arc::new(Server::new(Source {
                watermark,
                snapshot,
            })),
            CancellationToken::new(),
            TaskTracker::new(),
        ));
        Ok((peers, events))
    }

    /// Contacts entries that may exist.
    pub fn add_candidates(&self, addresses: impl IntoIterator<Item = IpAddr>) {
        let now = Instant::now();
        let own = self.own();
        let mut membership = self.membership();
        for address in addresses {
            if address != own {
                membership.add_candidates(address, now);
            }
        }
    }

    /// The other entries.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        let membership = self.shared.membership.lock();
        membership.unwrap_or_else(PoisonError::into_inner)
    }

    /// Address at which an entry serves snapshots.
    #[must_use]
    pub fn snapshot_address(&self, entry: IpAddr) -> SocketAddr {
        SocketAddr::new(entry, self.shared.settings.address.port())
    }

    /// Whether this entry is a hub of its zone.
    #[must_use]
    pub fn is_hub(&self) -> bool {
        let zone = &self.shared.settings.zone;
        let hubs = self.hubs();
        hubs.get(zone)
            .is_some_and(|hubs| hubs.contains(&self.own()))
    }

    /// Tells the other entries now, because something changed here.
    pub async fn announce(&self) {
        if self.is_hub() {
            self.send_foreign().await;
            self.send_digest(true).await;
        }
        self.send_beat().await;
    }

    /// Passes changes of targets on, from the entry that read them in the
    /// store: to the hubs of all zones, and by them to their zones.
    pub async fn publish(&self, rows: &Delta) {
        let mut addresses = self.all_hubs();
        if self.is_hub() {
            addresses.extend(self.neighbours());
        }
        self.send_rows(rows, &addresses).await;
    }

    /// Passes changes on that another entry told, if this entry is a hub.
    pub async fn relay(&self, rows: &Delta) {
        if self.is_hub() {
            let addresses = self.neighbours();
            self.send_rows(rows, &addresses).await;
        }
    }

    fn own(&self) -> IpAddr {
        self.shared.settings.address.ip()
    }

    /// Hubs of each zone.
    fn hubs(&self) -> BTreeMap<Zone, Vec<IpAddr>> {
        let zone = &self.shared.settings.zone;
        self.membership().hubs(self.own(), zone, Instant::now())
    }

    /// Hubs of all zones but this entry.
    fn all_hubs(&self) -> Vec<IpAddr> {
        let own = self.own();
        let addresses = self.hubs().into_values().flatten();
        addresses.filter(|address| *address != own).collect()
    }

    /// Hubs of this entry's zone but itself.
    fn zone_hubs(&self) -> Vec<IpAddr> {
        let own = self.own();
        let zone = &self.shared.settings.zone;
        let addresses = self.hubs().remove(zone).unwrap_or_default();
        addresses
            .into_iter()
            .filter(|address| *address != own)
            .collect()
    }

    /// Entries of this entry's zone that are no hubs.
    fn neighbours(&self) -> Vec<IpAddr> {
        let hubs = self.zone_hubs();
        let now = Instant::now();
        let zone = &self.shared.settings.zone;
        let membership = self.membership();
        let local = membership.alive(now).filter(|(_, peer)| peer.zone == *zone);
        local
            .map(|(address, _)| address)
            .filter(|address| !hubs.contains(address))
            .collect()
    }

    async fn beat(self) {
        let mut round = 0_u32;
        loop {
            let alone = self.membership().contact_age(Instant::now()) > INTERVAL * 8;
            self.send_beat().await;
            if self.is_hub() {
                if round.is_multiple_of(FOREIGN_EVERY) {
                    self.send_foreign().await;
                }
                self.send_digest(round.is_multiple_of(REMOTE_EVERY)).await;
            }
            round = round.wrapping_add(1);
            self.membership().sweep(Instant::now());
            tokio::time::sleep(if alone { JOIN_INTERVAL } else { INTERVAL }).await;
        }
    }

    fn statement(&self) -> Heartbeat {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        (self.shared.statement)(sequence + 1)
    }

    async fn send_beat(&self) {
        let mut addresses = self.zone_hubs();
        addresses.extend(self.membership().candidates());
        let beat = Datagram::Heartbeat(self.statement());
        self.send(&beat, &addresses).await;
    }

    /// Tells the zone of this hub which entries it has, and with `everywhere` the
    /// hubs of other zones as well.
    async fn send_digest(&self, everywhere: bool) {
        let beat = self.statement();
        let members = self.members(&beat);
        let mut receivers = self.neighbours();
        receivers.extend(self.zone_hubs());
        let (stated, rest) = {
            let statements = self.shared.statements.lock();
            let mut statements = statements.unwrap_or_else(PoisonError::into_inner);
            statements.divide(&members)
        };
        if stated.len() <= MEMBERS {
            let digest = Datagram::Digest(Digest {
                members: stated,
                rest: Some(rest),
                watermark: beat.watermark,
            });
            self.send(&digest, &receivers).await;
        } else {
            self.send_members(&members, beat.watermark, &receivers)
                .await;
        }
        if everywhere {
            let mut hubs = self.hubs();
            hubs.remove(&beat.zone);
            let remote: Vec<IpAddr> = hubs.into_values().flatten().collect();
            self.send_members(&members, beat.watermark, &remote).await;
        }
    }

    /// Tells the zone of this hub of some entries of each other zone.
    async fn send_foreign(&self) {
        let now = Instant::now();
        let zone = &self.shared.settings.zone;
        let mut foreign = Vec::new();
        {
            let membership = self.membership();
            let mut counts = std::collections::HashMap::new();
            for (address, peer) in membership.alive(now).filter(|(_, peer)| peer.zone != *zone) {
                let count = counts.entry(&peer.zone).or_insert(0);
                *count += 1;
                if *count <= FOREIGN_MEMBERS {
                    foreign.push(member(address, peer, now));
                }
            }
        }
        let watermark = self.statement().watermark;
        self.send_members(&foreign, watermark, &self.neighbours())
            .await;
    }

    /// Entries of this entry's zone, itself included, sorted by address.
    fn members(&self, beat: &Heartbeat) -> Vec<Member> {
        let now = Instant::now();
        let membership = self.membership();
        let mut members: Vec<Member> = membership
            .stated(&beat.zone, now)
            .map(|(address, peer)| member(address, peer, now))
            .collect();
        members.push(member(self.own(), &Peer::from((beat, now)), now));
        members.sort_unstable_by_key(|member| member.address);
        members
    }

    /// Tells the zone and the hubs of other zones of one entry that changed.
    async fn send_change(&self, address: IpAddr, peer: &Peer) {
        let watermark = self.statement().watermark;
        let mut receivers = self.neighbours();
        receivers.extend(self.all_hubs());
        let member = member(address, peer, Instant::now());
        self.send_members(&[member], watermark, &receivers).await;
    }

    async fn send_members(&self, members: &[Member], watermark: Watermark, receivers: &[IpAddr]) {
        for part in members.chunks(MEMBERS) {
            let digest = Datagram::Digest(Digest {
                members: part.to_vec(),
                rest: None,
                watermark,
            });
            self.send(&digest, receivers).await;
        }
    }

    async fn send_rows(&self, rows: &Delta, addresses: &[IpAddr]) {
        let last = rows.rows.len().div_ceil(ROWS).saturating_sub(1);
        for (index, part) in rows.rows.chunks(ROWS).enumerate() {
            let part: Vec<Row> = part.to_vec();
            let datagram = Datagram::Delta(Delta {
                after: rows.after,
                // Only the last part completes the revision.
                revision: if index == last {
                    rows.revision
                } else {
                    rows.after
                },
                rows: part,
            });
            self.send(&datagram, addresses).await;
        }
    }

    async fn send(&self, datagram: &Datagram, addresses: &[IpAddr]) {
        if addresses.is_empty() {
            return;
        }
        let bytes = match postcard::to_allocvec(datagram) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "peers", "event=encode-failed error=\"{error}\"");
                return;
            }
        };
        for address in addresses {
            let address = self.snapshot_address(*address);
            if let Err(error) = self.shared.socket.send_to(&bytes, address).await {
                // Datagrams may be lost anyway; the next one makes up for it.
                log::debug!(target: "peers", "event=send-failed peer={address} error=\"{error}\"");
            }
        }
    }

    async fn receive(self, events: mpsc::Sender<Event>) {
        let mut buffer = vec![0; 2 * MAX_DATAGRAM];
        loop {
            let (length, from) = match self.shared.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(target: "peers", "event=receive-failed error=\"{error}\"");
                    continue;
                }
            };
            let datagram = match postcard::from_bytes(&buffer[..length]) {
                Ok(datagram) => datagram,
                Err(error) => {
                    log::warn!(target: "peers", "event=malformed from={from} error=\"{error}\"");
                    continue;
                }
            };
            let Some(event) = self.take(from.ip(), datagram).await else {
                continue;
            };
            if events.try_send(event).is_err() {
                log::warn!(target: "peers", "event=dropped from={from} reason=queue-full");
            }
        }
    }

    /// Takes in a datagram; returns what it tells beyond the entries.
    async fn take(&self, from: IpAddr, datagram: Datagram) -> Option<Event> {
        let now = Instant::now();
        self.membership().note_contact(now);
        match datagram {
            Datagram::Heartbeat(beat) => {
                let changed = self.membership().hear(from, Peer::from((&beat, now)), now);
                if changed {
                    log::info!(
                        target: "peers",
                        "event=changed peer={from} zone={} phase={:?} started={}",
                        beat.zone, beat.phase, beat.started_ms
                    );
                    if self.is_hub() {
                        self.send_change(from, &Peer::from((&beat, now))).await;
                    }
                    // A new entry learns of this one at once.
                    let own = Datagram::Heartbeat(self.statement());
                    self.send(&own, &[from]).await;
                }
                Some(Event::Watermark(from, beat.watermark))
            }
            Datagram::Digest(digest) => {
                let watermark = digest.watermark;
                if !self.learn(from, digest, now) && self.may_ask(now) {
                    self.send(&Datagram::Ask, &[from]).await;
                }
                Some(Event::Watermark(from, watermark))
            }
            Datagram::Ask => {
                if self.is_hub() {
                    let beat = self.statement();
                    let members = self.members(&beat);
                    self.send_members(&members, beat.watermark, &[from]).await;
                }
                None
            }
            Datagram::Delta(rows) => Some(Event::Delta(rows)),
        }
    }

    /// Takes in the entries of a digest. Returns whether the entries that it
    /// confirms are those that this entry knows.
    fn learn(&self, from: IpAddr, digest: Digest, now: Instant) -> bool {
        let own = self.own();
        let listed: Vec<IpAddr> = digest.members.iter().map(|m| m.address).collect();
        let mut membership = self.membership();
        for member in digest.members {
            if member.address != own {
                membership.learn(member, now);
            }
        }
        let Some(rest) = digest.rest else {
            return true;
        };
        // Digests that confirm entries stay within a zone.
        let zone = &self.shared.settings.zone;
        let process = self.shared.settings.started_ms;
        let known = membership.confirm(zone, (own, process), &listed, rest, now);
        if !known {
            log::debug!(target: "peers", "event=other-entries hub={from}");
        }
        known
    }

    fn may_ask(&self, now: Instant) -> bool {
        let asked = self.shared.asked.lock();
        let mut asked = asked.unwrap_or_else(PoisonError::into_inner);
        let due = asked.is_none_or(|at| now.saturating_duration_since(at) >= ASK_PAUSE);
        if due {
            *asked = Some(now);
        }
        due
    }
}

fn member(address: IpAddr, peer: &Peer, now: Instant) -> Member {
    let age = now.saturating_duration_since(peer.last_heard).as_millis();
    Member {
        address,
        started_ms: peer.stamp.0,
        sequence: peer.stamp.1,
        zone: peer.zone.clone(),
        phase: peer.phase,
        capacity: peer.capacity,
        rate: peer.rate,
        store: peer.store,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
