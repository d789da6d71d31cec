//! Directory of the known peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carobdrift_platform::{Entry, State};
use carobdrift_units::{Instance, Revision};
use carobdrift_wire::{Hello, Status};
use tokio::sync::Notify;

use crate::outbound::{Outbound, lock};
use crate::peer::Peer;

/// Shortest time from the loss of the link to a peer to the read of an instance
/// list without the peer, for the peer to be forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Directory of the peers that an entry knows.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    table: Mutex<Table>,
}

/// Table of the known peers.
#[derive(Debug, Default)]
struct Table {
    peers: BTreeMap<Instance, Record>,
    /// Number of entries on the latest instance list, including this entry.
    listed_count: Option<usize>,
    /// Time at which the latest instance list was read.
    list_read_at: Option<Instant>,
    /// Largest cell size that a peer reported.
    reported_size: u32,
}

/// Record of a known peer.
#[derive(Debug)]
struct Record {
    peer: Peer,
    /// Address on the latest instance list; `None` if the peer is not on the list.
    listed_address: Option<SocketAddr>,
    /// Sending side of the open link.
    outbound: Option<Arc<Outbound>>,
    /// Ends the backoff of the dialler.
    wake: Arc<Notify>,
    /// Time at which the last link closed, or at which the peer became known.
    disconnected_at: Instant,
}

/// Destination of the next dial of a dialler.
#[derive(Debug)]
pub(crate) struct Dial {
    pub(crate) address: SocketAddr,
    pub(crate) wake: Arc<Notify>,
}

impl Directory {
    /// Applies an instance list. `rows` are the other entries of the cell. Returns
    /// the peers that were not known before.
    pub(crate) fn apply_list(&self, rows: Vec<Entry>) -> Vec<Instance> {
        let mut table = lock(&self.table);
        table.listed_count = Some(rows.len() + 1);
        table.list_read_at = Some(Instant::now());
        for record in table.peers.values_mut() {
            record.peer.member = false;
        }
        let mut added = Vec::new();
        for row in rows {
            let leaving = row.state == State::Leaving;
            if let Some(record) = table.peers.get_mut(&row.id) {
                record.peer.member = true;
                record.peer.leaving =
                    leaving || record.peer.status.as_ref().is_some_and(|s| s.leaving);
                // Addresses that the peer sent in its `Hello` are newer than a row
                // that has not changed.
                if record.listed_address != Some(row.peer) {
                    record.listed_address = Some(row.peer);
                    record.apply_row(&row);
                }
            } else {
                added.push(row.id.clone());
                table.peers.insert(row.id.clone(), Record::from_row(row));
            }
        }
        for record in table
            .peers
            .values_mut()
            .filter(|record| !record.peer.member)
        {
            record.listed_address = None;
        }
        added
    }

    /// Records the `Hello` of a process that dialled this entry. Returns whether the
    /// peer was not known before.
    pub(crate) fn admit(&self, hello: &Hello) -> bool {
        let mut table = lock(&self.table);
        let member = table.listed_count.is_none();
        if let Some(record) = table.peers.get_mut(&hello.instance) {
            record.apply_hello(hello);
            record.wake.notify_one();
            return false;
        }
        let peer = Peer {
            instance: hello.instance.clone(),
            incarnation: Some(hello.incarnation),
            zone: hello.zone.clone(),
            caller: hello.caller,
            admin: hello.admin,
            peer: hello.peer,
            status: None,
            last_ack: None,
            revision: Revision::default(),
            last_received: None,
            member,
            leaving: false,
            connected: false,
        };
        table
            .peers
            .insert(hello.instance.clone(), Record::new(peer, None));
        true
    }

    /// Returns the address to dial for a peer; `None` if the peer was forgotten.
    pub(crate) fn dial(&self, instance: &Instance) -> Option<Dial> {
        let table = lock(&self.table);
        table.peers.get(instance).map(|record| Dial {
            address: record.peer.peer,
            wake: Arc::clone(&record.wake),
        })
    }

    /// Records that a link was opened. Returns whether the peer is still known.
    pub(crate) fn connect(&self, welcome: &Hello, outbound: Arc<Outbound>) -> bool {
        let mut table = lock(&self.table);
        let Some(record) = table.peers.get_mut(&welcome.instance) else {
            return false;
        };
        record.apply_hello(welcome);
        record.peer.connected = true;
        record.outbound = Some(outbound);
        true
    }

    /// Records that a link closed.
    pub(crate) fn disconnect(&self, instance: &Instance, outbound: &Arc<Outbound>) {
        let mut table = lock(&self.table);
        if let Some(record) = table.peers.get_mut(instance)
            && record
                .outbound
                .as_ref()
                .is_some_and(|current| Arc::ptr_eq(current, outbound))
        {
            record.outbound = None;
            record.peer.connected = false;
            record.disconnected_at = Instant::now();
        }
    }

    /// Forgets a peer that has no link and is not on the instance list. The peer is
    /// kept while no list can be read, so that an isolated entry does not take
    /// itself for the whole cell. Returns whether the peer was forgotten.
    pub(crate) fn forget_unreachable(&self, instance: &Instance) -> bool {
        let mut table = lock(&self.table);
        let list_read_at = table.list_read_at;
        let forget = table.peers.get(instance).is_some_and(|record| {
            record.listed_address.is_none()
                && record.outbound.is_none()
                && list_read_at.is_some_and(|read_at| {
                    read_at.saturating_duration_since(record.disconnected_at) >= FORGET_AFTER
                })
        });
        if forget {
            table.peers.remove(instance);
        }
        forget
    }

    /// Records a pong that answers a ping sent at `sent`.
    pub(crate) fn record_pong(
        &self,
        instance: &Instance,
        outbound: &Arc<Outbound>,
        sent: Instant,
        status: Status,
    ) {
        let mut table = lock(&self.table);
        table.reported_size = table.reported_size.max(status.cell_size);
        let Some(record) = table.peers.get_mut(instance) else {
            return;
        };
        // The pong comes from an earlier process of the peer and does not apply to
        // the current one.
        if record.peer.incarnation != Some(outbound.incarnation) {
            return;
        }
        record.peer.revision = record.peer.revision.max(status.revision);
        record.peer.last_received = Some(Instant::now());
        record.peer.leaving |= status.leaving;
        if record.peer.last_ack.is_none_or(|last_ack| last_ack <= sent) {
            record.peer.last_ack = Some(sent);
            record.peer.status = Some(status);
        }
    }

    /// Records a ping of a peer and the revision that it reports.
    pub(crate) fn record_ping(&self, hello: &Hello, revision: Revision) {
        let mut table = lock(&self.table);
        if let Some(record) = table.peers.get_mut(&hello.instance)
            && record.peer.incarnation == Some(hello.incarnation)
        {
            record.peer.revision = record.peer.revision.max(revision);
            record.peer.last_received = Some(Instant::now());
        }
    }

    pub(crate) fn outbound(&self, instance: &Instance) -> Option<Arc<Outbound>> {
        let table = lock(&self.table);
        table.peers.get(instance)?.outbound.clone()
    }

    pub(crate) fn outbounds(&self) -> Vec<Arc<Outbound>> {
        let table = lock(&self.table);
        table
            .peers
            .values()
            .filter_map(|record| record.outbound.clone())
            .collect()
    }

    pub(crate) fn peers(&self) -> Vec<Peer> {
        let table = lock(&self.table);
        table
            .peers
            .values()
            .map(|record| record.peer.clone())
            .collect()
    }

    /// Returns the number of entries on the latest instance list; 0 if no list has
    /// been read.
    pub(crate) fn listed_count(&self) -> u32 {
        let count = lock(&self.table).listed_count.unwrap_or(0);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the number of entries of the cell. An entry that has not read an
    /// instance list uses the size that its peers report, so that a few restarted
    /// entries don't take themselves for the whole cell.
    pub(crate) fn cell_size(&self) -> usize {
        let table = lock(&self.table);
        table.listed_count.unwrap_or_else(|| {
            let reported = usize::try_from(table.reported_size).unwrap_or(usize::MAX);
            reported.max(table.peers.len() + 1)
        })
    }

    /// Returns the number of known peers and of open links.
    pub(crate) fn count(&self) -> (usize, usize) {
        let table = lock(&self.table);
        let open = table.peers.values().filter(|record| record.peer.connected);
        (table.peers.len(), open.count())
    }
}

impl Record {
    fn new(peer: Peer, listed_address: Option<SocketAddr>) -> Self {
        Self {
            peer,
            listed_address,
            outbound: None,
            wake: Arc::new(Notify::new()),
            disconnected_at: Instant::now(),
        }
    }

    fn from_row(row: Entry) -> Self {
        let listed_address = Some(row.peer);
        let peer = Peer {
            instance: row.id,
            incarnation: None,
            zone: row.zone,
            caller: row.caller,
            admin: row.admin,
            peer: row.peer,
            status: None,
            last_ack: None,
            revision: Revision::default(),
            last_received: None,
            member: true,
            leaving: row.state == State::Leaving,
            connected: false,
        };
        Self::new(peer, listed_address)
    }

    /// Applies the zone and the addresses of a changed row of the instance list.
    fn apply_row(&mut self, row: &Entry) {
        if self.peer.peer != row.peer {
            self.replace_link();
        }
        self.peer.zone = row.zone.clone();
        self.peer.caller = row.caller;
        self.peer.admin = row.admin;
        self.peer.peer = row.peer;
        self.wake.notify_one();
    }

    /// Applies the `Hello` or `Welcome` of a process. The state reported by an
    /// earlier process of the same instance is dropped and its link is closed,
    /// because that process has ended.
    fn apply_hello(&mut self, hello: &Hello) {
        if self.peer.incarnation != Some(hello.incarnation) {
            self.peer.incarnation = Some(hello.incarnation);
            self.peer.status = None;
            self.peer.last_ack = None;
            self.peer.revision = Revision::default();
            self.peer.last_received = None;
            self.peer.leaving = false;
            self.replace_link();
        }
        self.peer.zone = hello.zone.clone();
        self.peer.caller = hello.caller;
        self.peer.admin = hello.admin;
        self.peer.peer = hello.peer;
    }

    /// Closes the open link, so that the dialler opens a new one.
    fn replace_link(&mut self) {
        if let Some(outbound) = self.outbound.take() {
            self.peer.connected = false;
            self.disconnected_at = Instant::now();
            outbound.replace();
        }
    }
}
