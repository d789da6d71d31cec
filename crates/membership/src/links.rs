//! Links of an entry to its peers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use carobdrift_platform::{Client, Target};
use carobdrift_units::{Instance, Secret};
use carobdrift_wire::{Answer, Frame, Hello, PROTOCOL_VERSION, Query, Status, encode};
use http::HeaderValue;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::directory::Directory;
use crate::error::{Error, QueryError};
use crate::inbox::{Envelope, Inbox};
use crate::metrics::Metrics;
use crate::outbound::{Outbound, PushError, lock};
use crate::peer::Peer;
use crate::settings::{Settings, bearer};
use crate::status::{Confirmation, Serving, build_status};
use crate::{dialler, list, listener};

/// Capacity of the inbox, in frames.
const INBOX_FRAMES: usize = 1_024;

/// Links to the other entries of the cell; cheap to clone. They close once the
/// last clone is dropped.
#[derive(Debug, Clone)]
pub struct Links {
    shared: Arc<Shared>,
    local_address: SocketAddr,
    _guard: Arc<DropGuard>,
}

/// State shared by the tasks of the links.
#[derive(Debug)]
pub(crate) struct Shared {
    /// `Hello` that this entry sends to its peers.
    pub(crate) hello: Hello,
    pub(crate) secret: Secret,
    /// Value of the `authorization` header field that this entry sends.
    pub(crate) authorization: HeaderValue,
    pub(crate) directory: Directory,
    /// Sending side of the [`Inbox`].
    pub(crate) inbox: mpsc::Sender<Envelope>,
    pub(crate) metrics: Metrics,
    pub(crate) stopped: CancellationToken,
    /// Number of pongs received and instance lists read.
    pub(crate) heartbeat: watch::Sender<u64>,
    /// Targets on the latest instance list.
    pub(crate) targets: watch::Sender<Arc<Vec<Target>>>,
    /// Local state that is reported to peers.
    published: Mutex<(Confirmation, Serving)>,
    /// Number of the next query.
    next_request: AtomicU64,
}

impl Links {
    /// Opens the peer listener and starts the tasks that read the instance list and
    /// dial the other entries of the cell.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be opened or the secret is not a valid header
    /// value.
    pub async fn bind(
        settings: Settings,
        client: Client,
        metrics: Metrics,
    ) -> Result<(Self, Inbox), Error> {
        let address = settings.listen;
        let failed = |cause| Error::Listen { address, cause };
        let tcp = TcpListener::bind(address).await.map_err(failed)?;
        let local_address = tcp.local_addr().map_err(failed)?;
        let mut authorization =
            HeaderValue::try_from(bearer(&settings.secret)).map_err(|_| Error::Secret)?;
        authorization.set_sensitive(true);

        let mut peer = settings.advertise.unwrap_or(local_address);
        if peer.port() == 0 {
            peer.set_port(local_address.port());
        }
        let (inbox, receiver) = mpsc::channel(INBOX_FRAMES);
        let stopped = CancellationToken::new();
        let shared = Arc::new(Shared {
            hello: Hello {
                protocol: PROTOCOL_VERSION,
                instance: settings.instance,
                incarnation: settings.incarnation,
                cell: settings.cell,
                zone: settings.zone,
                caller: settings.caller,
                admin: settings.admin,
                peer,
            },
            secret: settings.secret,
            authorization,
            directory: Directory::default(),
            inbox,
            metrics,
            stopped: stopped.clone(),
            heartbeat: watch::Sender::new(0),
            targets: watch::Sender::new(Arc::default()),
            published: Mutex::default(),
            next_request: AtomicU64::new(1),
        });
        log::info!(target: "links", "listening for peers on {local_address}, advertised as {peer}");
        tokio::spawn(listener::run(Arc::clone(&shared), tcp));
        tokio::spawn(list::run(Arc::clone(&shared), client));
        let links = Self {
            shared,
            local_address,
            _guard: Arc::new(stopped.drop_guard()),
        };
        Ok((links, receiver))
    }

    /// Returns the `Hello` that this entry sends to its peers. Its `peer` field is
    /// the address at which peers reach this entry.
    #[must_use]
    pub fn hello(&self) -> &Hello {
        &self.shared.hello
    }

    /// Returns the current status of this entry.
    #[must_use]
    pub fn status(&self) -> Status {
        self.shared.status()
    }

    /// Returns the local address of the peer listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.local_address
    }

    /// Publishes the confirmation of the documents to the peers. The age that a
    /// peer receives is computed when the pong is built.
    pub fn publish_confirmation(&self, confirmation: Confirmation) {
        lock(&self.shared.published).0 = confirmation;
    }

    /// Publishes whether this entry takes calls and its call rates to the peers.
    pub fn publish_serving(&self, serving: Serving) {
        lock(&self.shared.published).1 = serving;
    }

    /// Sends a frame to every peer with an open link.
    pub fn broadcast(&self, frame: &Frame) {
        let bytes: Bytes = match encode(frame) {
            Ok(bytes) => bytes.into(),
            Err(error) => {
                log::error!(target: "links", "can't broadcast a frame: {error}");
                return;
            }
        };
        for outbound in self.shared.directory.outbounds() {
            if outbound.push(bytes.clone()).is_err() {
                self.shared.metrics.count_dropped_frame("broadcast");
            }
        }
    }

    /// Sends a query to a peer and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails if no link is open, if the queue of the link is full, if the query
    /// can't be encoded, or if no answer arrives in time. The variant of
    /// [`QueryError`] indicates whether the query may have been sent.
    pub async fn query(
        &self,
        to: &Instance,
        query: Query,
        timeout: Duration,
    ) -> Result<Answer, QueryError> {
        let result = self.send_query(to, query, timeout).await;
        self.shared.metrics.count_query(match &result {
            Ok(_) => "answered",
            Err(QueryError::NotConnected(_)) => "not-connected",
            Err(QueryError::QueueFull(_)) => "queue-full",
            Err(QueryError::Encode(_)) => "too-large",
            Err(QueryError::TimedOut(_)) => "timed-out",
            Err(QueryError::Closed(_)) => "closed",
        });
        result
    }

    async fn send_query(
        &self,
        to: &Instance,
        query: Query,
        timeout: Duration,
    ) -> Result<Answer, QueryError> {
        let outbound = self
            .shared
            .directory
            .outbound(to)
            .ok_or_else(|| QueryError::NotConnected(to.clone()))?;
        let request = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
        let bytes = encode(&Frame::Query { request, query })?;
        let pending = PendingQuery {
            outbound: &outbound,
            request,
        };
        let answer = outbound.register_query(request);
        outbound.push(bytes.into()).map_err(|error| match error {
            PushError::Full => QueryError::QueueFull(to.clone()),
            PushError::Closed => QueryError::NotConnected(to.clone()),
        })?;
        let result = tokio::time::timeout(timeout, answer).await;
        drop(pending);
        match result {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(QueryError::Closed(to.clone())),
            Err(_) => Err(QueryError::TimedOut(to.clone())),
        }
    }

    /// Returns the known other entries of the cell, ordered by id.
    #[must_use]
    pub fn peers(&self) -> Vec<Peer> {
        self.shared.directory.peers()
    }

    /// Returns the number of entries of the cell on the latest instance list,
    /// including this entry. Until the first list is read, this is the largest size
    /// that a peer reported, but at least the number of known entries.
    #[must_use]
    pub fn cell_size(&self) -> usize {
        self.shared.directory.cell_size()
    }

    /// Returns a receiver that is notified of every pong of a peer and of every
    /// instance list read.
    #[must_use]
    pub fn heartbeats(&self) -> watch::Receiver<u64> {
        self.shared.heartbeat.subscribe()
    }

    /// Returns a receiver of the targets on the latest instance list. It is notified
    /// when the targets change, for example when a target is added, leaves or has a
    /// new start id.
    #[must_use]
    pub fn listed_targets(&self) -> watch::Receiver<Arc<Vec<Target>>> {
        self.shared.targets.subscribe()
    }
}

/// Guard of a query that waits for its answer; dropping it cancels the query.
struct PendingQuery<'a> {
    outbound: &'a Outbound,
    request: u64,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.outbound.cancel_query(self.request);
    }
}

impl Shared {
    /// Returns the current status of this entry.
    pub(crate) fn status(&self) -> Status {
        let published = lock(&self.published);
        build_status(
            &published.0,
            &published.1,
            self.directory.listed_count(),
            Instant::now(),
        )
    }

    /// Starts the task that maintains the link to a new peer.
    pub(crate) fn start_dialler(self: &Arc<Self>, instance: Instance) {
        tokio::spawn(dialler::run(Arc::clone(self), instance));
    }

    pub(crate) fn notify_heartbeat(&self) {
        self.heartbeat.send_modify(|count| *count += 1);
    }

    pub(crate) fn update_peer_metrics(&self) {
        let (known, connected) = self.directory.count();
        self.metrics
            .set_peers(known, connected, self.directory.cell_size());
    }
}
