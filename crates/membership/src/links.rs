//! The links of an entry.

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

use crate::error::{Error, QueryError};
use crate::inbox::{Envelope, Inbox};
use crate::metrics::Metrics;
use crate::outbound::{Outbound, PushError, lock};
use crate::peer::Peer;
use crate::roster::Roster;
use crate::settings::{Settings, bearer};
use crate::status::{Confirmation, Serving, compose};
use crate::{dialler, list, listener};

/// Frames of peers that wait to be taken from the inbox.
const INBOX_FRAMES: usize = 1_024;

/// Links to the other entries of the cell; cheap to clone. They close once the
/// last clone is dropped.
#[derive(Debug, Clone)]
pub struct Links {
    shared: Arc<Shared>,
    bound: SocketAddr,
    _guard: Arc<DropGuard>,
}

/// State that the tasks of the links share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// How this entry introduces itself.
    pub(crate) hello: Hello,
    pub(crate) secret: Secret,
    /// Value of the `authorization` field that this entry presents.
    pub(crate) authorization: HeaderValue,
    pub(crate) roster: Roster,
    pub(crate) inbox: mpsc::Sender<Envelope>,
    pub(crate) metrics: Metrics,
    pub(crate) stopped: CancellationToken,
    pub(crate) heartbeat: watch::Sender<u64>,
    pub(crate) targets: watch::Sender<Arc<Vec<Target>>>,
    statement: Mutex<(Confirmation, Serving)>,
    requests: AtomicU64,
}

impl Links {
    /// Opens the peer listener and starts to dial the other entries of the
    /// cell.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be opened or the secret can't be carried
    /// in a header field.
    pub async fn bind(
        settings: Settings,
        client: Client,
        metrics: Metrics,
    ) -> Result<(Self, Inbox), Error> {
        let address = settings.listen;
        let failed = |cause| Error::Listen { address, cause };
        let tcp = TcpListener::bind(address).await.map_err(failed)?;
        let bound = tcp.local_addr().map_err(failed)?;
        let mut authorization =
            HeaderValue::try_from(bearer(&settings.secret)).map_err(|_| Error::Secret)?;
        authorization.set_sensitive(true);

        let mut peer = settings.advertise.unwrap_or(bound);
        if peer.port() == 0 {
            peer.set_port(bound.port());
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
            roster: Roster::default(),
            inbox,
            metrics,
            stopped: stopped.clone(),
            heartbeat: watch::Sender::new(0),
            targets: watch::Sender::new(Arc::default()),
            statement: Mutex::default(),
            requests: AtomicU64::new(1),
        });
        log::info!(target: "links", "listening on {bound} for peers, reachable at {peer}");
        tokio::spawn(listener::run(Arc::clone(&shared), tcp));
        tokio::spawn(list::run(Arc::clone(&shared), client));
        let links = Self {
            shared,
            bound,
            _guard: Arc::new(stopped.drop_guard()),
        };
        Ok((links, receiver))
    }

    /// How this entry introduces itself, with the address at which peers reach
    /// it.
    #[must_use]
    pub fn hello(&self) -> &Hello {
        &self.shared.hello
    }

    /// What this entry states of itself now.
    #[must_use]
    pub fn status(&self) -> Status {
        self.shared.status()
    }

    /// Address on which the peer listener listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.bound
    }

    /// States what this entry knows of the documents. The age that peers see
    /// is taken when a frame is built.
    pub fn publish_confirmation(&self, confirmation: Confirmation) {
        lock(&self.shared.statement).0 = confirmation;
    }

    /// States whether and how much this entry serves.
    pub fn publish_serving(&self, serving: Serving) {
        lock(&self.shared.statement).1 = serving;
    }

    /// Sends a frame to every peer with an open link.
    pub fn broadcast(&self, frame: &Frame) {
        let bytes: Bytes = match encode(frame) {
            Ok(bytes) => bytes.into(),
            Err(error) => {
                log::error!(target: "links", "frame for all peers can't be sent: {error}");
                return;
            }
        };
        for outbound in self.shared.roster.outbounds() {
            if outbound.push(bytes.clone()).is_err() {
                self.shared.metrics.drop_frame("broadcast");
            }
        }
    }

    /// Asks a peer and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when no link is open, when the queue of the link is full, and when
    /// no answer arrives in time; [`QueryError`] tells whether the query was
    /// sent.
    pub async fn query(
        &self,
        to: &Instance,
        query: Query,
        timeout: Duration,
    ) -> Result<Answer, QueryError> {
        let result = self.ask(to, query, timeout).await;
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

    async fn ask(
        &self,
        to: &Instance,
        query: Query,
        timeout: Duration,
    ) -> Result<Answer, QueryError> {
        let outbound = self
            .shared
            .roster
            .outbound(to)
            .ok_or_else(|| QueryError::NotConnected(to.clone()))?;
        let request = self.shared.requests.fetch_add(1, Ordering::Relaxed);
        let bytes = encode(&Frame::Query { request, query })?;
        let pending = Pending {
            outbound: &outbound,
            request,
        };
        let answer = outbound.expect(request);
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

    /// The other entries of the cell that are known, in order of their ids.
    #[must_use]
    pub fn peers(&self) -> Vec<Peer> {
        self.shared.roster.peers()
    }

    /// Entries of the cell on the latest instance list, itself included. Before
    /// the first list this is the largest size that a peer stated.
    #[must_use]
    pub fn cell_size(&self) -> usize {
        self.shared.roster.cell_size()
    }

    /// Changes with every pong of a peer and with every instance list.
    #[must_use]
    pub fn heartbeats(&self) -> watch::Receiver<u64> {
        self.shared.heartbeat.subscribe()
    }

    /// Targets on the latest instance list, with their state and start id.
    /// Changes when a target appears, leaves or shows a new start id.
    #[must_use]
    pub fn listed_targets(&self) -> watch::Receiver<Arc<Vec<Target>>> {
        self.shared.targets.subscribe()
    }
}

/// A query that waits for its answer; dropping it stops the wait.
struct Pending<'a> {
    outbound: &'a Outbound,
    request: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.outbound.forget(self.request);
    }
}

impl Shared {
    /// What this entry states of itself now.
    pub(crate) fn status(&self) -> Status {
        let statement = lock(&self.statement);
        compose(
            &statement.0,
            &statement.1,
            self.roster.listed(),
            Instant::now(),
        )
    }

    /// Starts the task that keeps a link to a peer that became known.
    pub(crate) fn start_dialler(self: &Arc<Self>, instance: Instance) {
        tokio::spawn(dialler::run(Arc::clone(self), instance));
    }

    pub(crate) fn beat(&self) {
        self.heartbeat.send_modify(|count| *count += 1);
    }

    pub(crate) fn show_peers(&self) {
        let (known, connected) = self.roster.count();
        self.metrics
            .show_peers(known, connected, self.roster.cell_size());
    }
}
