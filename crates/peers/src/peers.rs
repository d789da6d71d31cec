//! Datagram exchange with the other entries.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_quota::{Grants, Request};
use carobdrift_units::{BitRate, StoreRevision, Version, Zone};
use futures_util::FutureExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::{Targets, Update};
use crate::datagram::{
    Datagram, Delta, Digest, Evacuation, Heartbeat, MAX_DATAGRAM_BYTES, Member, Row, StoreHealth,
    Watermark,
};
use crate::digest::Tracker;
use crate::membership::{Contact, Identity, Membership, Peer};
use crate::server::{Server, Source, Subject};

/// Interval of heartbeats and digests within a zone.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Heartbeat intervals between two digests to other zones, where traffic is
/// expensive.
const REMOTE_DIGEST_INTERVALS: u32 = 4;

/// Number of heartbeat intervals between two digests that list the entries of
/// other zones. Entries count as alive for two seconds without contact.
const REMOTE_MEMBERS_INTERVALS: u32 = 2;

/// Shortest interval between two requests for all entries of the zone.
const MEMBERS_REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Heartbeat interval of an entry that has received no datagram for
/// [`SILENT_INTERVALS`], so that an entry that starts joins quickly and a zone that
/// lost its hubs soon has others.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Number of heartbeat intervals without a datagram after which an entry sends its
/// heartbeats more often.
const SILENT_INTERVALS: u32 = 3;

/// Largest number of entries of each other zone that a hub lists to its own zone.
/// Callers are directed to entries of other zones only if the zone has too few of
/// its own.
const MAX_REMOTE_MEMBERS: usize = 8;

/// Largest number of lost entries to which one heartbeat of a hub is sent.
const MAX_LOST_RECIPIENTS: usize = 2;

/// Largest number of entries that one digest lists, so that the digest fits into
/// one packet.
const MAX_DIGEST_MEMBERS: usize = 28;

/// Largest number of rows in one datagram; with ids of usual length the datagram
/// fits into one packet.
const MAX_DELTA_ROWS: usize = 8;

/// Events that may wait to be processed. Further ones are dropped: digests
/// repeat, and missed rows are fetched.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// Settings of the exchange between entries.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of this entry for datagrams and fetches; all entries use the
    /// same port.
    pub address: SocketAddr,
    /// Availability zone of this entry.
    pub zone: Zone,
    /// Start of this process in Unix milliseconds.
    pub started_ms: u64,
    /// Processor capacity of this entry, in thousandths of a core.
    pub capacity: u32,
    /// Bandwidth of the machine's link.
    pub link: BitRate,
}

/// Data of this entry as the exchange needs it.
pub struct Data {
    /// Returns this entry's heartbeat for a sequence number.
    pub heartbeat: Box<dyn Fn(u32) -> Heartbeat + Send + Sync>,
    /// Returns what is newer than a version of the desired state.
    pub state: Box<dyn Fn(Version) -> Option<Update> + Send + Sync>,
    /// Returns the targets if they are newer than a store revision; `None` stands for
    /// a requester without any.
    pub targets: Box<dyn Fn(Option<StoreRevision>) -> Option<Targets> + Send + Sync>,
}

/// Event received from another entry.
#[derive(Debug, Clone)]
pub enum Event {
    /// Versions of the data that the entry at this address has, and the evacuations
    /// that it knows.
    Watermark(IpAddr, Watermark, Vec<Evacuation>),
    /// Changes to the registered targets.
    Delta(Delta),
    /// Request of the entry at this address for tokens of limits.
    QuotaRequest(IpAddr, Request),
    /// Tokens that the entry at this address granted.
    QuotaGrants(IpAddr, Grants),
}

/// Handle of the running exchange with the other entries; cheap to clone.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

struct Shared {
    socket: UdpSocket,
    settings: Settings,
    own: Identity,
    membership: Mutex<Membership>,
    sequence: AtomicU32,
    /// Whether the store answered this entry as of its last heartbeat.
    answered: AtomicBool,
    /// Tracker of the entries that this entry, as a hub, listed in digests.
    tracker: Mutex<Tracker>,
    /// Time of the last request for all entries of the zone.
    requested: Mutex<Option<Instant>>,
    heartbeat: Box<dyn Fn(u32) -> Heartbeat + Send + Sync>,
}

impl Peers {
    /// Starts to exchange messages with the other entries and to serve this entry's
    /// data to them.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind(settings: Settings, data: Data) -> io::Result<(Self, mpsc::Receiver<Event>)> {
        let socket = UdpSocket::bind(settings.address).await?;
        let listener = TcpListener::bind(settings.address).await?;
        let peers = Self {
            shared: Arc::new(Shared {
                socket,
                own: Identity {
                    address: settings.address.ip(),
                    zone: settings.zone.clone(),
                    capacity: settings.capacity,
                },
                settings,
                membership: Mutex::default(),
                sequence: AtomicU32::new(0),
                answered: AtomicBool::new(false),
                tracker: Mutex::default(),
                requested: Mutex::new(None),
                heartbeat: data.heartbeat,
            }),
        };
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        tokio::spawn(peers.clone().receive(sender));
        tokio::spawn(peers.clone().run_heartbeats());
        let for_providers = peers.clone();
        let source = Source {
            state: data.state,
            targets: data.targets,
            providers: Box::new(move |subject| for_providers.providers(subject)),
        };
        let link = peers.shared.settings.link;
        tokio::spawn(carobdrift_http1::listen(
            listener,
            Arc::new(Server::new(source, link)),
            CancellationToken::new(),
            TaskTracker::new(),
        ));
        Ok((peers, events))
    }

    /// Adds addresses of entries that may exist; heartbeats are sent there too.
    pub fn add_candidates(&self, addresses: impl IntoIterator<Item = IpAddr>) {
        let now = Instant::now();
        let own_ip = self.own_ip();
        let mut membership = self.membership();
        for address in addresses {
            if address != own_ip {
                membership.add_candidate(address, now);
            }
        }
    }

    /// Locks and returns the other entries.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        let membership = self.shared.membership.lock();
        membership.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address at which an entry serves its data to others.
    #[must_use]
    pub fn data_address(&self, entry: IpAddr) -> SocketAddr {
        SocketAddr::new(entry, self.shared.settings.address.port())
    }

    /// Returns with which other entries this one is in contact.
    /// `is_leaving` states that this one is about to end.
    #[must_use]
    pub fn contact(&self, is_leaving: bool) -> Contact {
        let now = Instant::now();
        self.membership().contact(&self.shared.own, is_leaving, now)
    }

    /// Returns whether all known entries started within a time of this one's start.
    #[must_use]
    pub fn started_together(&self, range: Duration) -> bool {
        let started_ms = self.shared.settings.started_ms;
        self.membership()
            .started_together(started_ms, range, Instant::now())
    }

    /// Returns whether this entry is a hub of its zone.
    #[must_use]
    pub fn is_hub(&self) -> bool {
        let zone = &self.shared.settings.zone;
        let hubs = self.hubs();
        hubs.get(zone)
            .is_some_and(|hubs| hubs.contains(&self.own_ip()))
    }

    /// Sends a heartbeat, and digests if this entry is a hub, at once instead of
    /// at the next interval, because the state of this entry changed.
    pub async fn announce(&self) {
        if self.is_hub() {
            self.send_remote_members().await;
            self.send_digest(true).await;
        }
        self.send_heartbeat().await;
    }

    /// Sends changes of targets that this entry read from the store to the hubs
    /// of all zones, which relay the changes to their zones.
    pub async fn publish(&self, delta: &Delta) {
        let mut addresses = self.all_hubs();
        if self.is_hub() {
            addresses.extend(self.zone_spokes());
        }
        self.send_delta(delta, &addresses).await;
    }

    /// Sends changes that another entry published on to this entry's zone, if
    /// this entry is a hub.
    pub async fn relay(&self, delta: &Delta) {
        if self.is_hub() {
            let addresses = self.zone_spokes();
            self.send_delta(delta, &addresses).await;
        }
    }

    /// Returns entries of this zone that are known to have data as new as this
    /// entry's.
    fn providers(&self, subject: Subject) -> Vec<IpAddr> {
        let own = self.heartbeat().watermark;
        let zone = &self.shared.settings.zone;
        let has_data = |watermark: Watermark| match subject {
            Subject::State => watermark.state >= own.state,
            Subject::Targets => watermark.targets >= own.targets,
        };
        self.membership().having(zone, has_data, Instant::now())
    }

    fn own_ip(&self) -> IpAddr {
        self.shared.settings.address.ip()
    }

    /// Returns the hubs of each zone.
    fn hubs(&self) -> BTreeMap<Zone, Vec<IpAddr>> {
        self.membership().hubs(&self.shared.own, Instant::now())
    }

    /// Returns the hubs of all zones without this entry.
    fn all_hubs(&self) -> Vec<IpAddr> {
        let own_ip = self.own_ip();
        let addresses = self.hubs().into_values().flatten();
        addresses.filter(|address| *address != own_ip).collect()
    }

    /// Returns the hubs of this entry's zone without this entry.
    fn zone_hubs(&self) -> Vec<IpAddr> {
        let own_ip = self.own_ip();
        let zone = &self.shared.settings.zone;
        let addresses = self.hubs().remove(zone).unwrap_or_default();
        addresses
            .into_iter()
            .filter(|address| *address != own_ip)
            .collect()
    }

    /// Returns the entries of this entry's zone that are not hubs.
    fn zone_spokes(&self) -> Vec<IpAddr> {
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

    async fn run_heartbeats(self) {
        let mut round = 0_u32;
        let mut was_hub = false;
        loop {
            let contact_age = self.membership().contact_age(Instant::now());
            let is_silent = contact_age > HEARTBEAT_INTERVAL * SILENT_INTERVALS;
            self.send_heartbeat().await;
            let is_hub = self.is_hub();
            // The hubs of other zones answer a new hub that lacks changes.
            let is_new_hub = is_hub && !std::mem::replace(&mut was_hub, is_hub);
            if is_hub {
                if round.is_multiple_of(REMOTE_MEMBERS_INTERVALS) {
                    self.send_remote_members().await;
                }
                self.send_digest(is_new_hub || round.is_multiple_of(REMOTE_DIGEST_INTERVALS))
                    .await;
            }
            round = round.wrapping_add(1);
            self.membership().remove_expired(Instant::now());
            tokio::time::sleep(if is_silent {
                JOIN_INTERVAL
            } else {
                HEARTBEAT_INTERVAL
            })
            .await;
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        (self.shared.heartbeat)(sequence + 1)
    }

    async fn send_heartbeat(&self) {
        let heartbeat = self.heartbeat();
        // The hubs of all zones must notice soon when a reader of the store is lost.
        let is_answered = heartbeat.store == StoreHealth::Answering;
        let was_answered = self.shared.answered.swap(is_answered, Ordering::Relaxed);
        let mut addresses = if is_answered || was_answered {
            self.all_hubs()
        } else {
            self.zone_hubs()
        };
        addresses.extend(self.membership().candidates());
        // Groups of entries that were cut from each other meet again through
        // their hubs. An entry without contact is a hub of its own.
        if self.is_hub() {
            let now = Instant::now();
            let turn = heartbeat.sequence;
            addresses.extend(self.membership().lost(turn, MAX_LOST_RECIPIENTS, now));
        }
        self.send(&Datagram::Heartbeat(heartbeat), &addresses).await;
    }

    /// Sends a digest of this hub's zone to the entries of the zone, and with
    /// `to_other_zones` also to the hubs of the other zones.
    async fn send_digest(&self, to_other_zones: bool) {
        let heartbeat = self.heartbeat();
        let members = self.members(&heartbeat);
        let mut recipients = self.zone_spokes();
        recipients.extend(self.zone_hubs());
        let (listed, summary) = {
            let tracker = self.shared.tracker.lock();
            let mut tracker = tracker.unwrap_or_else(PoisonError::into_inner);
            tracker.partition(&members)
        };
        if listed.len() <= MAX_DIGEST_MEMBERS {
            let digest = Datagram::Digest(Digest {
                members: listed,
                summary: Some(summary),
                watermark: heartbeat.watermark,
                evacuations: heartbeat.evacuations.clone(),
            });
            self.send(&digest, &recipients).await;
        } else {
            self.send_members(&members, &heartbeat, &recipients).await;
        }
        if to_other_zones {
            let mut hubs = self.hubs();
            hubs.remove(&heartbeat.zone);
            let remote: Vec<IpAddr> = hubs.into_values().flatten().collect();
            self.send_members(&members, &heartbeat, &remote).await;
        }
    }

    /// Lists some entries of each other zone to this hub's zone.
    async fn send_remote_members(&self) {
        let now = Instant::now();
        let zone = &self.shared.settings.zone;
        let mut remote: Vec<Member> = {
            let membership = self.membership();
            let others = membership.alive(now).filter(|(_, peer)| peer.zone != *zone);
            others
                .map(|(address, peer)| member(address, peer, now))
                .collect()
        };
        // The hubs of a zone are among its first entries in this order. Entries that read
        // the store come before them, because others read it in their place once they
        // are lost.
        remote.sort_unstable_by_key(|member| {
            let is_answered = member.store == StoreHealth::Answering;
            (Reverse((is_answered, member.capacity)), member.address)
        });
        let mut counts: HashMap<Zone, usize> = HashMap::new();
        remote.retain(|member| {
            let count = counts.entry(member.zone.clone()).or_default();
            *count += 1;
            *count <= MAX_REMOTE_MEMBERS
        });
        let heartbeat = self.heartbeat();
        self.send_members(&remote, &heartbeat, &self.zone_spokes())
            .await;
    }

    /// Returns the entries of this entry's zone, itself included, sorted by
    /// address.
    fn members(&self, heartbeat: &Heartbeat) -> Vec<Member> {
        let now = Instant::now();
        let membership = self.membership();
        let mut members: Vec<Member> = membership
            .reportable(&heartbeat.zone, now)
            .map(|(address, peer)| member(address, peer, now))
            .collect();
        members.push(member(self.own_ip(), &Peer::from((heartbeat, now)), now));
        members.sort_unstable_by_key(|member| member.address);
        members
    }

    /// Lists one entry that changed to this zone and to the hubs of all zones.
    async fn send_change(&self, address: IpAddr, peer: &Peer) {
        let heartbeat = self.heartbeat();
        let mut recipients = self.zone_spokes();
        recipients.extend(self.all_hubs());
        let member = member(address, peer, Instant::now());
        self.send_members(&[member], &heartbeat, &recipients).await;
    }

    async fn send_members(&self, members: &[Member], own: &Heartbeat, recipients: &[IpAddr]) {
        for chunk in members.chunks(MAX_DIGEST_MEMBERS) {
            let digest = Datagram::Digest(Digest {
                members: chunk.to_vec(),
                summary: None,
                watermark: own.watermark,
                evacuations: own.evacuations.clone(),
            });
            self.send(&digest, recipients).await;
        }
    }

    async fn send_delta(&self, delta: &Delta, addresses: &[IpAddr]) {
        let last = delta.rows.len().div_ceil(MAX_DELTA_ROWS).saturating_sub(1);
        for (index, chunk) in delta.rows.chunks(MAX_DELTA_ROWS).enumerate() {
            let chunk: Vec<Row> = chunk.to_vec();
            let datagram = Datagram::Delta(Delta {
                after: delta.after,
                // Only the last datagram completes the revision.
                revision: if index == last {
                    delta.revision
                } else {
                    delta.after
                },
                rows: chunk,
            });
            self.send(&datagram, addresses).await;
        }
    }

    pub(crate) async fn send(&self, datagram: &Datagram, addresses: &[IpAddr]) {
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
            let address = self.data_address(*address);
            if let Err(error) = self.shared.socket.send_to(&bytes, address).await {
                // Not retried: datagrams may be lost anyway, and a later datagram
                // or a snapshot makes up for the loss.
                log::debug!(target: "peers", "event=send-failed peer={address} error=\"{error}\"");
            }
        }
    }

    async fn receive(self, events: mpsc::Sender<Event>) {
        let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
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
            let handled = AssertUnwindSafe(self.handle(from.ip(), datagram)).catch_unwind();
            let Ok(event) = handled.await else {
                log::error!(target: "peers", "event=panicked from={from}");
                continue;
            };
            let Some(event) = event else {
                continue;
            };
            if events.try_send(event).is_err() {
                log::warn!(target: "peers", "event=dropped from={from} reason=queue-full");
            }
        }
    }

    /// Processes a datagram. Returns an event for contents other than membership.
    async fn handle(&self, from: IpAddr, datagram: Datagram) -> Option<Event> {
        let now = Instant::now();
        self.membership().record_contact(now);
        if let Datagram::Heartbeat(Heartbeat { watermark, .. })
        | Datagram::Digest(Digest { watermark, .. }) = &datagram
        {
            self.membership().record_watermark(from, *watermark);
        }
        match datagram {
            Datagram::Heartbeat(heartbeat) => {
                let changed = self
                    .membership()
                    .update(from, Peer::from((&heartbeat, now)), now);
                if changed {
                    log::info!(
                        target: "peers",
                        "event=changed peer={from} zone={} phase={:?} store={:?} started={}",
                        heartbeat.zone, heartbeat.phase, heartbeat.store, heartbeat.started_ms
                    );
                    if self.is_hub() {
                        self.send_change(from, &Peer::from((&heartbeat, now))).await;
                    }
                    // Lets a new entry know this one at once.
                    let reply = Datagram::Heartbeat(self.heartbeat());
                    self.send(&reply, &[from]).await;
                }
                self.answer_outdated(from, heartbeat.watermark).await;
                if !self.is_hub() {
                    self.list_hubs(from, &heartbeat.zone).await;
                }
                Some(Event::Watermark(
                    from,
                    heartbeat.watermark,
                    heartbeat.evacuations,
                ))
            }
            Datagram::Digest(mut digest) => {
                let watermark = digest.watermark;
                let evacuations = std::mem::take(&mut digest.evacuations);
                self.answer_outdated(from, watermark).await;
                if !self.apply_digest(from, digest, now) && self.may_request_members(now) {
                    self.send(&Datagram::MembersRequest, &[from]).await;
                }
                Some(Event::Watermark(from, watermark, evacuations))
            }
            Datagram::MembersRequest => {
                if self.is_hub() {
                    let heartbeat = self.heartbeat();
                    let members = self.members(&heartbeat);
                    self.send_members(&members, &heartbeat, &[from]).await;
                }
                None
            }
            Datagram::Delta(delta) => Some(Event::Delta(delta)),
            Datagram::QuotaRequest(request) => Some(Event::QuotaRequest(from, request)),
            Datagram::QuotaGrants(grants) => Some(Event::QuotaGrants(from, grants)),
        }
    }

    /// Lists the hubs of this zone and of the recipient's to an entry that does not know
    /// them: it sent its heartbeat to this one, which is no hub.
    async fn list_hubs(&self, recipient: IpAddr, zone: &Zone) {
        let now = Instant::now();
        let hubs = self.hubs().into_iter();
        let hubs = hubs.filter(|(other, _)| other == zone || *other == self.shared.own.zone);
        let hubs: Vec<IpAddr> = hubs.flat_map(|(_, hubs)| hubs).collect();
        let members: Vec<Member> = {
            let membership = self.membership();
            let alive = membership.alive(now);
            alive
                .filter(|(address, _)| *address != recipient && hubs.contains(address))
                .map(|(address, peer)| member(address, peer, now))
                .collect()
        };
        let heartbeat = self.heartbeat();
        self.send_members(&members, &heartbeat, &[recipient]).await;
    }

    /// Sends a heartbeat to an entry of another zone that lacks data of this one. It may
    /// be a new hub, to which changes were not sent. Entries of this zone learn of the
    /// data from the digests of their hubs.
    async fn answer_outdated(&self, from: IpAddr, watermark: Watermark) {
        let heartbeat = {
            let membership = self.membership();
            let zone = membership.zone_of(from);
            if zone.is_none_or(|zone| *zone == self.shared.settings.zone) {
                return;
            }
            drop(membership);
            self.heartbeat()
        };
        let own = heartbeat.watermark;
        if watermark.state < own.state || watermark.targets < own.targets {
            self.send(&Datagram::Heartbeat(heartbeat), &[from]).await;
        }
    }

    /// Applies the entries of a digest. Returns whether the summary in the
    /// digest matches the entries that this entry knows.
    fn apply_digest(&self, from: IpAddr, digest: Digest, now: Instant) -> bool {
        let own_ip = self.own_ip();
        let listed: Vec<IpAddr> = digest.members.iter().map(|m| m.address).collect();
        let mut membership = self.membership();
        for member in digest.members {
            if member.address != own_ip {
                membership.apply_member(member, now);
            }
        }
        let Some(summary) = digest.summary else {
            return true;
        };
        // Digests with a summary are sent only within a zone.
        let zone = &self.shared.settings.zone;
        let started_ms = self.shared.settings.started_ms;
        let matches = membership.apply_summary(zone, (own_ip, started_ms), &listed, summary, now);
        if !matches {
            log::debug!(target: "peers", "event=other-entries hub={from}");
        }
        matches
    }

    fn may_request_members(&self, now: Instant) -> bool {
        let requested = self.shared.requested.lock();
        let mut requested = requested.unwrap_or_else(PoisonError::into_inner);
        let is_due = requested
            .is_none_or(|at| now.saturating_duration_since(at) >= MEMBERS_REQUEST_INTERVAL);
        if is_due {
            *requested = Some(now);
        }
        is_due
    }
}

fn member(address: IpAddr, peer: &Peer, now: Instant) -> Member {
    let age = now.saturating_duration_since(peer.last_heard).as_millis();
    Member {
        address,
        started_ms: peer.version.0,
        sequence: peer.version.1,
        zone: peer.zone.clone(),
        phase: peer.phase,
        capacity: peer.capacity,
        rate: peer.rate,
        store: peer.store,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
