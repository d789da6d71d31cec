//! Datagrams between entries.

use std::net::SocketAddr;

use carobdrift_placement::Endpoint;
use carobdrift_units::{Incarnation, Target, Version, Zone};
use serde::{Deserialize, Serialize};

/// Largest datagram, in bytes; it fits into one packet of an ordinary network.
pub(crate) const MAX_DATAGRAM: usize = 1400;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    Beat(Beat),
    Rows(Rows),
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

/// What an entry states of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Whether it takes callers.
    pub phase: Phase,
    /// Version of the desired state in force.
    pub state: Version,
    /// Revision of the store up to which it knows all targets.
    pub targets: u64,
    /// Age of its last good answer of the store, in milliseconds.
    pub store_age_ms: u32,
}

/// Changes of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
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
