//! What lasts: the platform's store, as an entry uses it.

use std::fmt;
use std::net::IpAddr;
use std::time::Duration;

use carobdrift_placement::Endpoint;
use carobdrift_platform::CallFuture;
use carobdrift_routing::State;
use carobdrift_units::Target;

/// The platform's store.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads everything of a subject.
    fn read(&self, subject: Subject) -> CallFuture<Batch>;

    /// Waits for changes of a subject after a revision, for at most `wait`.
    fn watch(&self, subject: Subject, after: u64, wait: Duration) -> CallFuture<Batch>;

    /// Registers the entry at an address, so that others find it.
    fn register(&self, entry: IpAddr) -> CallFuture<()>;
}

/// A part of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The desired state.
    State,
    /// Registrations of targets.
    Targets,
    /// Registrations of entries.
    Entries,
}

/// Records as of one revision, or the changes up to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Revision of the store.
    pub revision: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// One record.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Revision that made it.
    pub revision: u64,
    /// What it holds.
    pub item: Item,
}

/// What a record holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Item {
    /// The desired state.
    State(State),
    /// A registered target.
    Target(Endpoint),
    /// A target that is registered no more, or not in a form that can be used.
    Removed(Target),
    /// A registered entry.
    Entry(IpAddr),
}
