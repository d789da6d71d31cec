//! The catalog of documents.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use carobdrift_membership::Links;
use carobdrift_platform::{Client, Error};
use carobdrift_units::{Cell, EditId, Instance, Revision, Service, Version};
use carobdrift_wire::{Answer, Frame, Query, Replica};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::edit::{self, Acceptance, Edit};
use crate::edition::{Documents, Edition};
use crate::error::EditError;
use crate::history::{self, object_name};
use crate::metrics::Metrics;
use crate::recover::fetch;
use crate::standing::Standing;
use crate::state::State;
use crate::store::{Outcome, StoreError, read_edit};
use crate::{observe, poll};

/// Documents of the cell; cheap to clone. Its tasks stop once the last clone is
/// dropped.
#[derive(Debug, Clone)]
pub struct Catalog {
    shared: Arc<Shared>,
    _guard: Arc<DropGuard>,
}

/// State that the tasks of the catalog share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) state: State,
    pub(crate) client: Client,
    pub(crate) links: Links,
    pub(crate) cell: Cell,
    pub(crate) metrics: Metrics,
    /// Asks for a poll at once.
    pub(crate) demand: Notify,
    pub(crate) stopped: CancellationToken,
    pub(crate) history: mpsc::Sender<Replica>,
    /// Services whose document is being fetched from a peer.
    fetching: Mutex<HashSet<Service>>,
}

impl Catalog {
    /// Starts to keep the documents of the cell current. It holds none until
    /// the first poll or until a peer hands them over.
    #[must_use]
    pub fn spawn(client: Client, links: Links, metrics: Metrics) -> Self {
        let (history, queue) = mpsc::channel(history::QUEUE_BODIES);
        let stopped = CancellationToken::new();
        let shared = Arc::new(Shared {
            state: State::new(links.clone(), metrics.clone()),
            client,
            cell: links.hello().cell.clone(),
            links,
            metrics,
            demand: Notify::new(),
            stopped: stopped.clone(),
            history,
            fetching: Mutex::default(),
        });
        tokio::spawn(observe::run(Arc::clone(&shared)));
        tokio::spawn(poll::run(Arc::clone(&shared)));
        tokio::spawn(history::run(Arc::clone(&shared), queue));
        Self {
            shared,
            _guard: Arc::new(stopped.drop_guard()),
        }
    }

    /// The document in force of a service.
    #[must_use]
    pub fn edition(&self, service: &Service) -> Option<Arc<Edition>> {
        self.shared.state.documents().get(service).cloned()
    }

    /// All documents in force.
    #[must_use]
    pub fn documents(&self) -> Arc<Documents> {
        self.shared.state.documents()
    }

    /// Whether the newest version of the service's document can't be parsed by
    /// this build. Such a service is not served.
    #[must_use]
    pub fn is_unreadable(&self, service: &Service) -> bool {
        self.shared.state.is_unreadable(service)
    }

    /// All documents in force, and every change of them.
    #[must_use]
    pub fn watch_documents(&self) -> watch::Receiver<Arc<Documents>> {
        self.shared.state.watch_documents()
    }

    /// Whether calls may be dispatched with the documents held. Cheap enough to
    /// be asked before every dispatch.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.shared.state.standing()
    }

    /// Waits at most `max_wait` for a standing that permits to serve.
    pub async fn wait_for_confirmation(&self, max_wait: Duration) -> Standing {
        let mut confirmations = self.shared.state.watch_confirmations();
        let standing = self.standing();
        if standing.permits_calls() {
            return standing;
        }
        self.shared.demand.notify_one();
        let wait = async {
            while !self.standing().permits_calls() {
                if confirmations.changed().await.is_err() {
                    return;
                }
            }
        };
        // On a timeout the standing tells.
        let _ = timeout(max_wait, wait).await;
        self.standing()
    }

    /// Replaces a document and hands it to the other entries. The edit is
    /// carried through even if the returned future is dropped.
    ///
    /// # Errors
    ///
    /// [`EditError::Unknown`] when the document may have been replaced; after
    /// all other errors it was not.
    pub async fn edit(&self, edit: Edit) -> Result<Acceptance, EditError> {
        let id = edit.id.clone();
        let shared = Arc::clone(&self.shared);
        let running = tokio::spawn(async move { edit::run(&shared, &edit).await });
        let result = running.await.unwrap_or(Err(EditError::Stopping(id)));
        self.shared.metrics.count_edit(match &result {
            Ok(_) => "accepted",
            Err(error) => error.reason(),
        });
        result
    }

    /// Outcome of an edit; `None` when no edit with this id was accepted so
    /// far.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached.
    pub async fn edit_outcome(&self, edit: &EditId) -> Result<Option<Outcome>, Error> {
        match read_edit(&self.shared.client, edit).await {
            Ok(row) => Ok(row.map(|row| row.outcome)),
            Err(StoreError::Platform(error)) => Err(error),
            Err(StoreError::Malformed { cause, .. }) => Err(Error::Protocol(cause.into())),
        }
    }

    /// Versions that the document of a service has had, the one in force last.
    #[must_use]
    pub fn history(&self, service: &Service) -> Vec<Version> {
        let newest = self.shared.state.version(service);
        (1..=newest.0).map(Version).collect()
    }

    /// Body of one version of a document; `None` when there is none or when it
    /// has not reached the object store.
    ///
    /// # Errors
    ///
    /// Fails when the object store can't be reached.
    pub async fn body(&self, service: &Service, version: Version) -> Result<Option<String>, Error> {
        match self.shared.state.copy(service) {
            Some(copy) if copy.version == version => return Ok(Some(copy.body)),
            _ => {}
        }
        let name = object_name(service, version);
        let body = self.shared.client.get_object(&name).await?;
        Ok(body.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// The position in the change log and the versions in force. Versions that
    /// can't be parsed are included.
    #[must_use]
    pub fn versions(&self) -> (Revision, Vec<(Service, Version)>) {
        let (revision, versions, _) = self.shared.state.versions();
        (revision, versions)
    }

    /// Answers the queries of a peer that concern documents.
    #[must_use]
    pub fn answer(&self, from: &Instance, query: &Query) -> Option<Answer> {
        match query {
            Query::Document { service } => Some(Answer::Document(self.shared.state.copy(service))),
            Query::Versions => {
                // Taken before the versions: what is held later is no older.
                let current = self.standing().permits_calls();
                let (revision, versions, unreadable) = self.shared.state.versions();
                Some(Answer::Versions {
                    revision,
                    versions,
                    unreadable,
                    current,
                })
            }
            Query::Adopt { copy, revision } => {
                log::debug!(target: "catalog", "{from} hands over version {} of {}", copy.version, copy.service);
                adopt(&self.shared, copy.clone(), *revision);
                let unreadable = self.shared.state.is_unreadable(&copy.service);
                Some(if unreadable {
                    Answer::Unavailable
                } else {
                    Answer::Done
                })
            }
            _ => None,
        }
    }

    /// Takes in a frame of a peer; frames that don't concern documents are
    /// ignored.
    pub fn handle_frame(&self, from: &Instance, frame: &Frame) {
        let Frame::Announce {
            service,
            version,
            revision,
        } = frame
        else {
            return;
        };
        if self.shared.state.version(service) >= *version {
            self.shared.state.mark(*revision, service, *version);
            return;
        }
        if !self.shared.start_fetch(service) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let (from, service) = (from.clone(), service.clone());
        let (version, revision) = (*version, *revision);
        tokio::spawn(async move {
            let fetched = fetch(&shared, &from, service.clone(), version).await;
            shared.end_fetch(&service);
            if fetched {
                shared.state.mark(revision, &service, version);
                announce(&shared, service, version, revision);
            }
        });
    }
}

impl Shared {
    /// Whether the caller is the one to fetch the document of a service.
    fn start_fetch(&self, service: &Service) -> bool {
        let mut fetching = self.fetching.lock().unwrap_or_else(PoisonError::into_inner);
        fetching.insert(service.clone())
    }

    fn end_fetch(&self, service: &Service) {
        let mut fetching = self.fetching.lock().unwrap_or_else(PoisonError::into_inner);
        fetching.remove(service);
    }
}

/// Brings a document that a peer hands over into force and announces it.
fn adopt(shared: &Shared, copy: Replica, revision: Revision) {
    let service = copy.service.clone();
    let version = copy.version;
    let adopted = shared.state.adopt(vec![copy], "peer");
    shared.state.mark(revision, &service, version);
    if !adopted.is_empty() {
        announce(shared, service, version, revision);
    }
}

/// Tells all peers once that a version is in force here.
fn announce(shared: &Shared, service: Service, version: Version, revision: Revision) {
    shared.links.broadcast(&Frame::Announce {
        service,
        version,
        revision,
    });
}
