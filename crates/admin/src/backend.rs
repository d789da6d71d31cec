//! What the API needs from the rest of the entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::TargetView;
use carobdrift_document::Document;
use carobdrift_units::{EditId, Instance, Revision, Service, Version, Zone};
use carobdrift_wire::Status;
use futures_util::future::BoxFuture;
use thiserror::Error;

/// The parts of an entry that the API shows and edits.
pub trait Backend: Send + Sync + 'static {
    /// Documents in force, from memory.
    fn documents(&self) -> Vec<Held>;

    /// The document in force of a service, from memory.
    fn held(&self, service: &Service) -> Option<Held>;

    /// How current the documents in force are.
    fn standing(&self) -> Standing;

    /// This entry, as it presents itself to its peers.
    fn itself(&self) -> Entry;

    /// Peers that this entry knows.
    fn peers(&self) -> Vec<Entry>;

    /// Targets of a service as this entry sees them; `None` when the entry
    /// has no document of it.
    fn targets(&self, service: &Service) -> Option<Vec<TargetView>>;

    /// Issues a prefix for idempotency keys.
    fn key_prefix(&self) -> String;

    /// Edits a document.
    ///
    /// # Errors
    ///
    /// Every error except [`EditError::Unknown`] means that this edit has not
    /// taken effect.
    fn edit(&self, edit: Edit) -> BoxFuture<'_, Result<Accepted, EditError>>;

    /// Accepted versions of a service, newest first.
    fn history(&self, service: Service) -> BoxFuture<'_, Result<Vec<Past>, ReadError>>;

    /// The document of a past version.
    fn past(
        &self,
        service: Service,
        version: Version,
    ) -> BoxFuture<'_, Result<Option<Document>, ReadError>>;

    /// Outcome of an edit; `None` when no edit of this id was accepted so far.
    fn outcome(&self, id: EditId) -> BoxFuture<'_, Result<Option<Outcome>, ReadError>>;

    /// Asks every entry of the cell for its version of a service.
    fn in_force(&self, service: Service) -> BoxFuture<'_, Vec<InForce>>;
}

/// A document in force.
#[derive(Debug, Clone)]
pub struct Held {
    /// The document.
    pub document: Arc<Document>,
    /// Its version.
    pub version: Version,
}

/// How current the documents in force are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// They were the newest at a moment that long ago.
    Confirmed {
        /// Time since that moment.
        age: Duration,
    },
    /// The store can't be reached, and no entry that is heard has newer ones.
    Outage,
    /// Newer ones may exist.
    Unconfirmed,
}

/// An entry of the cell.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Instance id.
    pub instance: Instance,
    /// Availability zone.
    pub zone: Zone,
    /// Address of its caller listener.
    pub caller: SocketAddr,
    /// Address of its administration API.
    pub admin: SocketAddr,
    /// What it last stated of itself.
    pub status: Status,
    /// Time since it was last heard; `None` when it was not heard yet. Zero for
    /// this entry.
    pub heard: Option<Duration>,
}

/// A conditional edit.
#[derive(Debug, Clone)]
pub struct Edit {
    /// Id by which its outcome can be asked for.
    pub id: EditId,
    /// The new document; names the service.
    pub document: Document,
    /// Version that must be in force.
    pub expected: Version,
}

/// An edit that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Version of the new document.
    pub version: Version,
    /// Position in the change log.
    pub revision: Revision,
    /// Instances that have it in force, this one included.
    pub in_force: u32,
    /// Instances of the cell.
    pub cell_size: u32,
}

/// Why an edit was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EditError {
    /// Another version is in force than the edit is based on.
    #[error("version {current} is in force, not the version that the edit is based on")]
    Conflict {
        /// Version in force.
        current: Version,
    },
    /// The edit id belongs to an accepted edit of another service or document.
    #[error("the edit id is already used for another edit")]
    Reused,
    /// The entry hears too few of its peers.
    #[error("this entry hears {heard} of {cell_size} entries of its cell, not more than half")]
    NoQuorum {
        /// Entries heard, this one included.
        heard: u32,
        /// Entries of the cell.
        cell_size: u32,
    },
    /// The store could not be reached.
    #[error("the store is unavailable; nothing was written")]
    Unavailable,
    /// The edit may have taken effect.
    #[error("the store did not confirm the edit; it may have taken effect")]
    Unknown,
}

/// Why a read from the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The store could not be reached.
    #[error("the store is unavailable")]
    Unavailable,
    /// The store holds something that can't be read.
    #[error("the store holds an unreadable record: {0}")]
    Unreadable(String),
}

/// An accepted version of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Past {
    /// The version.
    pub version: Version,
    /// Edit that made it.
    pub edit: EditId,
}

/// Outcome of an accepted edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Service that was edited.
    pub service: Service,
    /// Version that the edit made.
    pub version: Version,
}

/// What an entry answered about its version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// The entry.
    pub instance: Instance,
    /// Version in force there; `None` when it has no document.
    pub version: Option<Version>,
    /// Whether the entry answered.
    pub answered: bool,
}
