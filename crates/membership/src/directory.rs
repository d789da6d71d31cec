//! Table of the known peers.

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

/// Time for which a peer must be unreachable and missing from the instance list
/// before it is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The known peers of an entry.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    state: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    peers: BTreeMap<Instance, Known>,
    /// Entries on the latest instance list, the own one included.
    listed: Option<usize>,
    /// When the latest instance list was read.
    read: Option<Instant>,
    /// Largest cell size that a peer stated.
    stated: u32,
}

#[derive(Debug)]
struct Known {
    peer: Peer,
    /// Address on the latest instance list.
    listed_at: Option<SocketAddr>,
    outbound: Option<Arc<Outbound>>,
    /// Wakes the dialler from its backoff.
    wake: Arc<Notify>,
    /// Since when no link is open.
    lost: Instant,
}

/// What a dialler does next.
#[derive(Debug)]
pub(crate) struct Dial {
    pub(crate) address: SocketAddr,
    pub(crate) wake: Arc<Notify>,
}

impl Roster {
    /// Takes over an instance list; `rows` are the other entries of the cell.
    /// Returns the peers that became known.
    pub(crate) fn apply_list(&self, rows: Vec<Entry>) -> Vec<Instance> {
        let mut table = lock(&self.state);
        table.listed = Some(rows.len() + 1);
        table.read = Some(Instant::now());
        for known in table.peers.values_mut() {
            known.peer.member = false;
        }
        let mut added = Vec::new();
        for row in rows {
            let leaving = row.state == State::Leaving;
            if let Some(known) = table.peers.get_mut(&row.id) {
                known.peer.member = true;
                known.peer.leaving =
                    leaving || known.peer.status.as_ref().is_some_and(|s| s.leaving);
                // A peer's own statement is newer than a row that did not change.
                if known.listed_at != Some(row.peer) {
                    known.listed_at = Some(row.peer);
                    known.move_to(&row);
                }
            } else {
                added.push(row.id.clone());
                table.peers.insert(row.id.clone(), Known::listed(row));
            }
        }
        for known in table.peers.values_mut().filter(|known| !known.peer.member) {
            known.listed_at = None;
        }
        added
    }

    /// Takes over the introduction of a process that dialled this entry.
    /// Returns whether the peer became known by it.
    pub(crate) fn admit(&self, hello: &Hello) -> bool {
        let mut table = lock(&self.state);
        let member = table.listed.is_none();
        if let Some(known) = table.peers.get_mut(&hello.instance) {
            known.introduce(hello);
            known.wake.notify_one();
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
            .insert(hello.instance.clone(), Known::open(peer, None));
        true
    }

    /// Where to dial a peer; `None` once it is forgotten.
    pub(crate) fn dial(&self, instance: &Instance) -> Option<Dial> {
        let table = lock(&self.state);
        table.peers.get(instance).map(|known| Dial {
            address: known.peer.peer,
            wake: Arc::clone(&known.wake),
        })
    }

    /// Records an open link. Returns whether the peer is still known.
    pub(crate) fn connect(&self, welcome: &Hello, outbound: Arc<Outbound>) -> bool {
        let mut table = lock(&self.state);
        let Some(known) = table.peers.get_mut(&welcome.instance) else {
            return false;
        };
        known.introduce(welcome);
        known.peer.connected = true;
        known.outbound = Some(outbound);
        true
    }

    /// Records that a link closed.
    pub(crate) fn disconnect(&self, instance: &Instance, outbound: &Arc<Outbound>) {
        let mut table = lock(&self.state);
        if let Some(known) = table.peers.get_mut(instance)
            && known
                .outbound
                .as_ref()
                .is_some_and(|current| Arc::ptr_eq(current, outbound))
        {
            known.outbound = None;
            known.peer.connected = false;
            known.lost = Instant::now();
        }
    }

    /// Forgets a peer that can't be reached and left the instance list. While
    /// no list can be read it is kept, so that an isolated entry does not take
    /// itself for the whole cell. Returns whether it was forgotten.
    pub(crate) fn forget_unreachable(&self, instance: &Instance) -> bool {
        let mut table = lock(&self.state);
        let read = table.read;
        let forget = table.peers.get(instance).is_some_and(|known| {
            known.listed_at.is_none()
                && known.outbound.is_none()
                && read
                    .is_some_and(|read| read.saturating_duration_since(known.lost) >= FORGET_AFTER)
        });
        if forget {
            table.peers.remove(instance);
        }
        forget
    }

    /// Records a pong to a ping that was sent at `sent`.
    pub(crate) fn hear(
        &self,
        instance: &Instance,
        outbound: &Arc<Outbound>,
        sent: Instant,
        status: Status,
    ) {
        let mut table = lock(&self.state);
        table.stated = table.stated.max(status.cell_size);
        let Some(known) = table.peers.get_mut(instance) else {
            return;
        };
        // A pong of a process that was replaced meanwhile says nothing about
        // its successor.
        if known.peer.incarnation != Some(outbound.incarnation) {
            return;
        }
        known.peer.revision = known.peer.revision.max(status.revision);
        known.peer.last_received = Some(Instant::now());
        known.peer.leaving |= status.leaving;
        if known.peer.last_ack.is_none_or(|heard| heard <= sent) {
            known.peer.last_ack = Some(sent);
            known.peer.status = Some(status);
        }
    }

    /// Records the revision that a peer stated in a ping.
    pub(crate) fn note_revision(&self, hello: &Hello, revision: Revision) {
        let mut table = lock(&self.state);
        if let Some(known) = table.peers.get_mut(&hello.instance)
            && known.peer.incarnation == Some(hello.incarnation)
        {
            known.peer.revision = known.peer.revision.max(revision);
            known.peer.last_received = Some(Instant::now());
        }
    }

    pub(crate) fn outbound(&self, instance: &Instance) -> Option<Arc<Outbound>> {
        let table = lock(&self.state);
        table.peers.get(instance)?.outbound.clone()
    }

    pub(crate) fn outbounds(&self) -> Vec<Arc<Outbound>> {
        let table = lock(&self.state);
        table
            .peers
            .values()
            .filter_map(|known| known.outbound.clone())
            .collect()
    }

    pub(crate) fn peers(&self) -> Vec<Peer> {
        let table = lock(&self.state);
        table
            .peers
            .values()
            .map(|known| known.peer.clone())
            .collect()
    }

    /// Entries on the latest instance list; 0 when none was read.
    pub(crate) fn listed(&self) -> u32 {
        let listed = lock(&self.state).listed.unwrap_or(0);
        u32::try_from(listed).unwrap_or(u32::MAX)
    }

    /// Entries of the cell. An entry that has read no instance list goes by
    /// what its peers state, so that a few fresh entries don't take themselves
    /// for the whole cell.
    pub(crate) fn cell_size(&self) -> usize {
        let table = lock(&self.state);
        table.listed.unwrap_or_else(|| {
            let stated = usize::try_from(table.stated).unwrap_or(usize::MAX);
            stated.max(table.peers.len() + 1)
        })
    }

    /// Known peers and open links.
    pub(crate) fn count(&self) -> (usize, usize) {
        let table = lock(&self.state);
        let open = table.peers.values().filter(|known| known.peer.connected);
        (table.peers.len(), open.count())
    }
}

impl Known {
    fn open(peer: Peer, listed_at: Option<SocketAddr>) -> Self {
        Self {
            peer,
            listed_at,
            outbound: None,
            wake: Arc::new(Notify::new()),
            lost: Instant::now(),
        }
    }

    fn listed(row: Entry) -> Self {
        let listed_at = Some(row.peer);
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
        Self::open(peer, listed_at)
    }

    /// Takes over the addresses of a changed row of the instance list.
    fn move_to(&mut self, row: &Entry) {
        if self.peer.peer != row.peer {
            self.replace_link();
        }
        self.peer.zone = row.zone.clone();
        self.peer.caller = row.caller;
        self.peer.admin = row.admin;
        self.peer.peer = row.peer;
        self.wake.notify_one();
    }

    /// Takes over what a process states of itself. What an earlier process of
    /// the same instance stated is dropped with its link, because its memory is
    /// gone.
    fn introduce(&mut self, hello: &Hello) {
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

    fn replace_link(&mut self) {
        if let Some(outbound) = self.outbound.take() {
            self.peer.connected = false;
            self.lost = Instant::now();
            outbound.replace();
        }
    }
}
