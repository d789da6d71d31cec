//! Interface between the API and the other parts of the entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::Snapshot;
use carobdrift_catalog::{Acceptance, Documents, Edit, EditError, Outcome, Standing};
use carobdrift_platform::Error;
use carobdrift_units::{EditId, Instance, Service, Version, Zone};
use carobdrift_wire::Status;
use futures_util::future::BoxFuture;

/// Source of the state that the API shows, and receiver of its edits.
pub trait Backend: Send + Sync + 'static {
    /// Returns the documents in force, from memory.
    fn documents(&self) -> Arc<Documents>;

    /// Returns whether the documents in force are confirmed to be the newest.
    fn standing(&self) -> Standing;

    /// Returns the description of this entry that it sends to its peers.
    fn local_entry(&self) -> Entry;

    /// Returns the peers that this entry knows.
    fn peers(&self) -> Vec<Entry>;

    /// Returns the targets of a service as this entry sees them; `None` when
    /// this entry does not serve the service.
    fn targets(&self, service: &Service) -> Option<Vec<Snapshot>>;

    /// Issues a prefix for idempotency keys.
    ///
    /// `decider` is the entry that decides on the keys with this prefix: this
    /// entry or a peer. Returns `None` when the peer is unknown or has not yet
    /// announced the values that a prefix is made of.
    fn key_prefix(&self, decider: &Instance) -> Option<String>;

    /// Returns all versions of the document of a service, oldest first; the
    /// last one is in force.
    fn history(&self, service: &Service) -> Vec<Version>;

    /// Returns the JSON text of one version of a document; `None` when this
    /// version is not stored.
    ///
    /// # Errors
    ///
    /// Fails when the object store is unavailable.
    fn body(
        &self,
        service: Service,
        version: Version,
    ) -> BoxFuture<'_, Result<Option<String>, Error>>;

    /// Replaces a document.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    fn edit(&self, edit: Edit) -> BoxFuture<'_, Result<Acceptance, EditError>>;

    /// Returns the outcome of an edit; `None` when no edit with this id has
    /// been accepted.
    ///
    /// # Errors
    ///
    /// Fails when the table service is unavailable.
    fn edit_outcome(&self, id: EditId) -> BoxFuture<'_, Result<Option<Outcome>, Error>>;

    /// Asks every entry of the cell which version of the document of a service
    /// it has in force.
    fn adoptions(&self, service: Service) -> BoxFuture<'_, Vec<Adoption>>;
}

/// Entry of the cell, as this entry knows it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Instance id.
    pub instance: Instance,
    /// Availability zone.
    pub zone: Zone,
    /// Address of the entry's caller listener.
    pub caller: SocketAddr,
    /// Address of the entry's administration API.
    pub admin: SocketAddr,
    /// Last status received from the entry; `None` before the first one.
    pub status: Option<Status>,
    /// Whether the entry's status or the platform's instance list shows that
    /// the entry is leaving.
    pub leaving: bool,
    /// Time since the sending of the last ping that the entry answered; `None`
    /// before the first answer, and zero for this entry.
    pub contact_age: Option<Duration>,
}

impl Entry {
    /// Returns whether the entry states that it accepts calls and is not
    /// leaving.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving && self.status.as_ref().is_some_and(|status| status.ready)
    }
}

/// Adoption of a service's document by one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    /// The entry.
    pub instance: Instance,
    /// Version in force on the entry; `None` when the entry has none in force
    /// or did not answer.
    pub version: Option<Version>,
    /// Whether the entry answered.
    pub answered: bool,
}
