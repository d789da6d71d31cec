//! What the API needs from the rest of the entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::Snapshot;
use carobdrift_catalog::{Acceptance, Documents, Edit, EditError, Outcome, Standing};
use carobdrift_platform::Error;
use carobdrift_units::{EditId, Instance, Service, Version, Zone};
use carobdrift_wire::Status;
use futures_util::future::BoxFuture;

/// The parts of an entry that the API shows and edits.
pub trait Backend: Send + Sync + 'static {
    /// Documents in force, from memory.
    fn documents(&self) -> Arc<Documents>;

    /// How current the documents in force are.
    fn standing(&self) -> Standing;

    /// This entry, as it presents itself to its peers.
    fn local_entry(&self) -> Entry;

    /// Peers that this entry knows.
    fn peers(&self) -> Vec<Entry>;

    /// Targets of a service as this entry sees them; `None` when the entry
    /// does not serve it.
    fn targets(&self, service: &Service) -> Option<Vec<Snapshot>>;

    /// Issues a prefix for idempotency keys.
    ///
    /// `decider` is the entry that decides on its keys, this one or a peer;
    /// `None` when it is not known well enough.
    fn key_prefix(&self, decider: &Instance) -> Option<String>;

    /// Versions that the document of a service has had, the one in force last.
    fn history(&self, service: &Service) -> Vec<Version>;

    /// Body of one version of a document; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the object store can't be reached.
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

    /// Outcome of an edit; `None` when no edit of this id was accepted so far.
    ///
    /// # Errors
    ///
    /// Fails when the table can't be reached.
    fn edit_outcome(&self, id: EditId) -> BoxFuture<'_, Result<Option<Outcome>, Error>>;

    /// Asks every entry of the cell for its version of a service.
    fn adoptions(&self, service: Service) -> BoxFuture<'_, Vec<Adoption>>;
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
    /// What it last stated of itself; `None` when it was not heard yet.
    pub status: Option<Status>,
    /// Whether its status or the platform's instance list shows it as leaving.
    pub leaving: bool,
    /// Time since it was last heard; `None` when it was not heard yet. Zero for
    /// this entry.
    pub contact_age: Option<Duration>,
}

impl Entry {
    /// Whether it stated that it takes calls.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving && self.status.as_ref().is_some_and(|status| status.ready)
    }
}

/// What an entry answered about its version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    /// The entry.
    pub instance: Instance,
    /// Version in force there; `None` when it serves none.
    pub version: Option<Version>,
    /// Whether the entry answered.
    pub answered: bool,
}
