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
use crate::{monitor, poll};

/// Catalog of the cell's documents; cheap to clone. Its tasks stop when the last
/// clone is dropped.
#[derive(Debug, Clone)]
pub struct Catalog {
    shared: Arc<Shared>,
    _guard: Arc<DropGuard>,
}

/// State shared by the tasks of the catalog.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) state: State,
    pub(crate) client: Client,
    pub(crate) links: Links,
    pub(crate) cell: Cell,
    pub(crate) metrics: Metrics,
    /// Requests an immediate poll of the change log.
    pub(crate) poll_request: Notify,
    pub(crate) stopped: CancellationToken,
    /// Queue of document bodies to write to the object store.
    pub(crate) history: mpsc::Sender<Replica>,
    /// Services whose document is being fetched from a peer.
    fetching: Mutex<HashSet<Service>>,
}

impl Catalog {
    /// Starts the tasks that keep the documents of the cell up to date. The
    /// catalog is empty until the first poll succeeds or a peer sends documents.
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
            poll_request: Notify::new(),
            stopped: stopped.clone(),
            history,
            fetching: Mutex::default(),
        });
        tokio::spawn(monitor::run(Arc::clone(&shared)));
        tokio::spawn(poll::run(Arc::clone(&shared)));
        tokio::spawn(history::run(Arc::clone(&shared), queue));
        Self {
            shared,
            _guard: Arc::new(stopped.drop_guard()),
        }
    }

    /// Returns the document in force of a service.
    #[must_use]
    pub fn edition(&self, service: &Service) -> Option<Arc<Edition>> {
        self.shared.state.documents().get(service).cloned()
    }

    /// Returns all documents in force.
    #[must_use]
    pub fn documents(&self) -> Arc<Documents> {
        self.shared.state.documents()
    }

    /// Returns whether the newest version of the service's document can't be
    /// parsed by this build. Such a service is not served.
    #[must_use]
    pub fn is_unreadable(&self, service: &Service) -> bool {
        self.shared.state.is_unreadable(service)
    }

    /// Returns a receiver of all documents in force that is notified of every
    /// change.
    #[must_use]
    pub fn watch_documents(&self) -> watch::Receiver<Arc<Documents>> {
        self.shared.state.watch_documents()
    }

    /// Returns whether calls may be dispatched with the documents in force. Cheap
    /// enough to be called before every dispatch.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.shared.state.standing()
    }

    /// Waits for at most `max_wait` until the standing permits calls, and returns
    /// the standing.
    pub async fn wait_for_confirmation(&self, max_wait: Duration) -> Standing {
        let mut confirmations = self.shared.state.watch_confirmations();
        let standing = self.standing();
        if standing.permits_calls() {
            return standing;
        }
        self.shared.poll_request.notify_one();
        let wait = async {
            while !self.standing().permits_calls() {
                if confirmations.changed().await.is_err() {
                    return;
                }
            }
        };
        // The standing is returned in either case, also after a timeout.
        let _ = timeout(max_wait, wait).await;
        self.standing()
    }

    /// Replaces a document and sends it to the other entries. The edit runs to
    /// completion even if the returned future is dropped.
    ///
    /// # Errors
    ///
    /// [`EditError::Unknown`] and [`EditError::Stopping`] if the document may have
    /// been replaced; with any other error it was not replaced.
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

    /// Returns the outcome of an edit; `None` if no edit with this id has been
    /// accepted so far.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached or the row of the edit is malformed.
    pub async fn edit_outcome(&self, edit: &EditId) -> Result<Option<Outcome>, Error> {
        match read_edit(&self.shared.client, edit).await {
            Ok(row) => Ok(row.map(|row| row.outcome)),
            Err(StoreError::Platform(error)) => Err(error),
            Err(StoreError::Malformed { cause, .. }) => Err(Error::Protocol(cause.into())),
        }
    }

    /// Returns the versions that the document of a service has had, the newest
    /// one last.
    #[must_use]
    pub fn history(&self, service: &Service) -> Vec<Version> {
        let newest = self.shared.state.version(service);
        (1..=newest.0).map(Version).collect()
    }

    /// Returns the body of one version of a document; `None` if the version does
    /// not exist or has not been written to the object store yet.
    ///
    /// # Errors
    ///
    /// Fails if the object store can't be reached.
    pub async fn body(&self, service: &Service, version: Version) -> Result<Option<String>, Error> {
        match self.shared.state.replica(service) {
            Some(replica) if replica.version == version => return Ok(Some(replica.body)),
            _ => {}
        }
        let name = object_name(service, version);
        let body = self.shared.client.get_object(&name).await?;
        Ok(body.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()))
    }

    /// Returns the position in the change log and the newest known version of
    /// each service, including versions that can't be parsed.
    #[must_use]
    pub fn versions(&self) -> (Revision, Vec<(Service, Version)>) {
        let (revision, versions, _) = self.shared.state.versions();
        (revision, versions)
    }

    /// Answers a query of a peer; `None` if the query does not concern documents.
    #[must_use]
    pub fn answer(&self, from: &Instance, query: &Query) -> Option<Answer> {
        match query {
            Query::Document { service } => {
                Some(Answer::Document(self.shared.state.replica(service)))
            }
            Query::Versions => {
                // Read before the versions, so that the versions are at least as
                // new as the state that the standing describes.
                let current = self.standing().permits_calls();
                let (revision, versions, unreadable) = self.shared.state.versions();
                Some(Answer::Versions {
                    revision,
                    versions,
                    unreadable,
                    current,
                })
            }
            Query::Adopt {
                copy: replica,
                revision,
            } => {
                log::debug!(target: "catalog", "{from} sent version {} of {}", replica.version, replica.service);
                adopt(&self.shared, replica.clone(), *revision);
                let unreadable = self.shared.state.is_unreadable(&replica.service);
                Some(if unreadable {
                    Answer::Unavailable
                } else {
                    Answer::Done
                })
            }
            _ => None,
        }
    }

    /// Handles a frame of a peer; frames that don't concern documents are ignored.
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
            self.shared
                .state
                .record_change(*revision, service, *version);
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
                shared.state.record_change(revision, &service, version);
                announce(&shared, service, version, revision);
            }
        });
    }
}

impl Shared {
    /// Marks the document of a service as being fetched. Returns whether the
    /// caller has to fetch it, which is the case if no other task does.
    fn start_fetch(&self, service: &Service) -> bool {
        let mut fetching = self.fetching.lock().unwrap_or_else(PoisonError::into_inner);
        fetching.insert(service.clone())
    }

    fn end_fetch(&self, service: &Service) {
        let mut fetching = self.fetching.lock().unwrap_or_else(PoisonError::into_inner);
        fetching.remove(service);
    }
}

/// Puts a document sent by a peer into force and announces it.
fn adopt(shared: &Shared, replica: Replica, revision: Revision) {
    let service = replica.service.clone();
    let version = replica.version;
    let adopted = shared.state.adopt(vec![replica], "peer");
    shared.state.record_change(revision, &service, version);
    if !adopted.is_empty() {
        announce(shared, service, version, revision);
    }
}

/// Announces to all peers that a version is in force at this entry.
fn announce(shared: &Shared, service: Service, version: Version, revision: Revision) {
    shared.links.broadcast(&Frame::Announce {
        service,
        version,
        revision,
    });
}
