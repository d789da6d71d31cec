//! Datagrams between entries.

use std::net::IpAddr;

use carobdrift_placement::Endpoint;
use carobdrift_units::{Target, Version, Zone};
use serde::{Deserialize, Serialize};

/// Largest datagram, in bytes; it fits into one packet of an ordinary network.
pub(crate) const MAX_DATAGRAM: usize = 1400;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// What an entry states of itself.
    Heartbeat(Heartbeat),
    /// What a hub knows of the entries.
    Digest(Digest),
    /// Changes of targets.
    Delta(Delta),
    /// Asks a hub to state all entries of its zone one by one.
    Ask,
}

/// Whether an entry takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It knows no desired state or no targets yet.
    Starting,
    /// It takes callers.
    Ready,
    /// It finishes what it has and takes no new callers.
    Leaving,
}

/// How an entry stands to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreHealth {
    /// It does not read the store, or its last calls had answers.
    Healthy,
    /// Its last call of the store failed.
    Failing,
}

/// What an entry states of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Start of the process in Unix milliseconds; orders two processes of one
    /// machine.
    pub started_ms: u64,
    /// Number of the statement; orders those of one process.
    pub sequence: u32,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Whether it takes callers.
    pub phase: Phase,
    /// Processor that it has, in thousandths of a core.
    pub capacity: u32,
    /// Requests that it served in the last second.
    pub rate: u32,
    /// How it stands to the platform's store.
    pub store: StoreHealth,
    /// What it knows.
    pub watermark: Watermark,
}

/// How much an entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// Version of the desired state in force.
    pub state: Version,
    /// Revision of the store up to which it knows all targets.
    pub targets: u64,
    /// Age of the newest good answer of the store that it knows of, in
    /// milliseconds.
    pub store_age_ms: u32,
}

/// What a hub knows of the entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// Entries that are stated one by one.
    pub(crate) members: Vec<Member>,
    /// The other entries of the hub's zone, where the digest confirms them.
    pub(crate) rest: Option<Rest>,
    /// What the hub knows.
    pub(crate) watermark: Watermark,
}

/// Entries of a zone that a digest does not state one by one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Rest {
    /// Combined fingerprint of their addresses and processes.
    pub(crate) fingerprint: u64,
    /// Age of the oldest of their last words, in milliseconds.
    pub(crate) oldest_ms: u32,
}

/// One entry in a digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) address: IpAddr,
    pub(crate) started_ms: u64,
    pub(crate) sequence: u32,
    pub(crate) zone: Zone,
    pub(crate) phase: Phase,
    pub(crate) capacity: u32,
    pub(crate) rate: u32,
    pub(crate) store: StoreHealth,
    /// Age of the entry's last word, in milliseconds.
    pub(crate) age_ms: u32,
}

/// Changes of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the store after which the changes were made.
    pub after: u64,
    /// Revision up to which they are complete.
    pub revision: u64,
    /// The changes.
    pub rows: Vec<Row>,
}

/// Newest registration of one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Revision of the store that made it.
    pub revision: u64,
    /// The target.
    pub target: Target,
    /// Its registration; absent once it is gone.
    pub endpoint: Option<Endpoint>,
}
