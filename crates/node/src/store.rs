//! What lasts: the platform's store, as an entry uses it.

use std::fmt;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

use carobdrift_placement::Endpoint;
use carobdrift_routing::State;
use carobdrift_units::Target;
use thiserror::Error;

/// A call of the store.
pub type Pending<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send>>;

/// The platform's store.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads everything of a subject.
    fn read(&self, subject: Subject) -> Pending<Reading>;

    /// Waits for changes of a subject after a revision, for at most `wait`.
    fn follow(&self, subject: Subject, after: u64, wait: Duration) -> Pending<Reading>;

    /// Registers this entry, so that others find it.
    fn register(&self) -> Pending<()>;
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
pub struct Reading {
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
    Gone(Target),
    /// A registered entry.
    Entry(IpAddr),
}

/// Why a call of the store has no result.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The changes after the revision are no longer kept.
    #[error("the history is no longer kept")]
    Compacted,
    /// The rate of calls is exceeded.
    #[error("the store is busy")]
    Busy,
    /// The store is unavailable; nothing was done.
    #[error("the store is unavailable (status {0})")]
    Unavailable(u16),
    /// The store can't be reached, or its answer is lost.
    #[error("no answer of the store: {0}")]
    Lost(String),
    /// The answer can't be read.
    #[error("the answer of the store can't be read: {0}")]
    Malformed(String),
}
