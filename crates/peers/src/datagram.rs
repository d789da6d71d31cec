//! Datagrams exchanged between entries.

use std::net::IpAddr;

use carobdrift_placement::Endpoint;
use carobdrift_quota::{Grants, Request};
use carobdrift_units::{StoreRevision, Target, Version, Zone};
use serde::{Deserialize, Serialize};

/// Largest datagram; fits into one packet at a usual network MTU.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1400;

/// Datagram between two entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// State that an entry reports about itself.
    Heartbeat(Heartbeat),
    /// Membership as a hub knows it.
    Digest(Digest),
    /// Changes to the registered targets.
    Delta(Delta),
    /// Asks a hub to list all entries of its zone individually.
    MembersRequest,
    /// Requests tokens of limits from their grantor.
    QuotaRequest(Request),
    /// Response to a request for tokens.
    QuotaGrants(Grants),
}

/// Lifecycle phase of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for the desired state or the targets.
    Starting,
    /// Accepts callers.
    Ready,
    /// Finishes its requests in progress and accepts no new callers.
    Leaving,
}

/// Health of an entry's connection to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreHealth {
    /// The entry does not read the store, or has had no answer yet.
    Idle,
    /// The entry reads the store, which answers its calls.
    Answering,
    /// The entry's last call to the store failed, or is overdue.
    Failing,
}

/// State that an entry reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Start of the process in Unix milliseconds; orders the processes of one
    /// machine.
    pub started_ms: u64,
    /// Sequence number; orders the heartbeats of one process.
    pub sequence: u32,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Lifecycle phase of the entry.
    pub phase: Phase,
    /// Processor capacity of the entry, in thousandths of a core.
    pub capacity: u32,
    /// Request rate of the entry over about the last second, per second.
    pub rate: u32,
    /// Health of the entry's connection to the platform's store.
    pub store: StoreHealth,
    /// Versions of the data that the entry has.
    pub watermark: Watermark,
    /// Evacuations that the entry knows, ended ones included. They are few, so that
    /// every heartbeat and digest repeats all of them.
    pub evacuations: Vec<Evacuation>,
}

/// Begin or end of the evacuation of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: Zone,
    /// Store revision of the begin or end.
    pub revision: StoreRevision,
    /// Whether the targets of the zone get no requests.
    pub active: bool,
}

/// Versions of the data that an entry has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// Version of the desired state in force.
    pub state: Version,
    /// Store revision up to which the entry has all target registrations.
    pub targets: StoreRevision,
    /// Store revision up to which the entry has all changes: of the desired state, the
    /// targets and the evacuations. It also grows while nothing changes.
    pub known: StoreRevision,
    /// Age of the newest successful store response that the entry knows of, at
    /// itself or at another entry, in milliseconds; `u32::MAX` if it knows of none.
    pub store_age_ms: u32,
}

/// Membership as a hub knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// Entries that are listed individually.
    pub(crate) members: Vec<Member>,
    /// The other entries of the hub's zone; absent if the digest covers only
    /// the listed entries.
    pub(crate) summary: Option<Summary>,
    /// Versions of the data that the hub has.
    pub(crate) watermark: Watermark,
    /// Evacuations that the hub knows.
    pub(crate) evacuations: Vec<Evacuation>,
}

/// Summary of the entries of a zone that a digest does not list individually.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Summary {
    /// Combined fingerprint of the addresses and processes of these entries.
    pub(crate) fingerprint: u64,
    /// Longest time since one of these entries was last heard, in milliseconds.
    pub(crate) oldest_ms: u32,
}

/// Entry that a digest lists individually.
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
    /// Time since the entry was last heard, in milliseconds.
    pub(crate) age_ms: u32,
}

/// Changes to the registered targets between two store revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Store revision after which the changes were made.
    pub after: StoreRevision,
    /// Store revision up to which the changes are complete.
    pub revision: StoreRevision,
    /// Changed registrations.
    pub rows: Vec<Row>,
}

/// Newest registration of one target, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Store revision that wrote the registration.
    pub revision: StoreRevision,
    /// Id of the target.
    pub target: Target,
    /// Registration of the target; absent once the target is removed.
    pub endpoint: Option<Endpoint>,
}
