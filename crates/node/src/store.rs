//! Interface to the platform's store, which holds all persistent data.

use std::fmt;
use std::net::IpAddr;
use std::time::Duration;

use carobdrift_peers::Evacuation;
use carobdrift_placement::Endpoint;
use carobdrift_platform::CallFuture;
use carobdrift_routing::State;
use carobdrift_units::{Era, StoreRevision, Target};
use tokio::time::Instant;

/// Platform store as an entry uses it.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads all records of a subject.
    fn read(&self, subject: Subject) -> CallFuture<Batch>;

    /// Waits for changes of a subject after a revision, for at most `wait`, and
    /// returns them; the batch is empty if there were none. A batch of a newer era than
    /// `after` lacks changes.
    fn watch(&self, subject: Subject, after: StoreRevision, wait: Duration) -> CallFuture<Batch>;

    /// Returns the time at which the last byte of the store arrived, if this is known.
    fn last_received(&self) -> Option<Instant> {
        None
    }

    /// Registers the address of an entry, so that other entries find it. Returns the era
    /// of the store that has the registration.
    fn register(&self, entry: IpAddr) -> CallFuture<Era>;
}

/// Kind of records in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Desired state, and evacuations of zones.
    State,
    /// Registrations of targets.
    Targets,
    /// Registrations of entries.
    Entries,
}

/// Batch of records: all records as of one revision, or the changes up to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Store revision up to which the batch is complete.
    pub revision: StoreRevision,
    /// Records of the batch.
    pub records: Vec<Record>,
}

/// Record in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Store revision that wrote the record.
    pub revision: StoreRevision,
    /// Content of the record.
    pub item: Item,
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// Desired state.
    State(State),
    /// Begin or end of the evacuation of a zone.
    Evacuation(Evacuation),
    /// Registered target.
    Target(Endpoint),
    /// Target whose registration was removed or can't be decoded.
    Removed(Target),
    /// Registered entry.
    Entry(IpAddr),
}
