//! Snapshots of an entry's data, which other entries fetch over HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use carobdrift_http1::{
    Connection, ExchangeError, OpenError, Request, Response, Service, encode_request,
};
use carobdrift_routing::State;
use carobdrift_units::Version;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::Instant;

use crate::datagram::{Row, Watermark};

/// Time limit for a whole fetch, connection included.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for the connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest snapshot.
const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// Data of an entry that the requester does not have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Desired state in force, if it is newer than the requester's.
    pub state: Option<State>,
    /// Registered targets, if they are newer than the requester's.
    pub targets: Option<Targets>,
}

/// Registered targets as of one store revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    /// Store revision up to which the registrations are complete.
    pub revision: u64,
    /// Registrations of the targets.
    pub rows: Vec<Row>,
}

/// Versions of the data that the requester of a snapshot has already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Baseline {
    /// Version of the requester's desired state.
    pub state: Version,
    /// Store revision of the requester's targets; absent while the requester has
    /// none.
    pub targets: Option<u64>,
}

/// Contents of an encoded snapshot. Requesters that need the same contents get
/// the same bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Contents {
    /// Versions of the data that this entry has.
    newest: Watermark,
    /// Whether the snapshot includes the desired state.
    state: bool,
    /// Whether the snapshot includes the targets.
    targets: bool,
}

/// Error of a failed fetch.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The connection to the entry could not be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The exchange over the connection failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The entry did not answer within 800 ms.
    #[error("no response within the fetch timeout, {received} bytes of it were received")]
    TimedOut {
        /// Bytes of the response that were received.
        received: usize,
    },
    /// The response can't be decoded. Entries of another build may encode
    /// snapshots differently.
    #[error("response can't be decoded: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Fetches the data of an entry that is newer than the baseline.
///
/// # Errors
///
/// Fails when the entry does not answer within 800 ms.
pub async fn fetch(address: SocketAddr, baseline: Baseline) -> Result<Snapshot, FetchError> {
    let mut received = Vec::new();
    let fetch = read(address, baseline, &mut received);
    match tokio::time::timeout(FETCH_TIMEOUT, fetch).await {
        Ok(result) => result?,
        Err(_) => {
            return Err(FetchError::TimedOut {
                received: received.len(),
            });
        }
    }
    Ok(postcard::from_bytes(&received)?)
}

/// Reads the response of an entry as far as it arrives.
async fn read(
    address: SocketAddr,
    baseline: Baseline,
    received: &mut Vec<u8>,
) -> Result<(), FetchError> {
    let mut connection = Connection::open(address, CONNECT_TIMEOUT, MAX_SNAPSHOT_BYTES).await?;
    let targets = baseline.targets.map(|revision| revision.to_string());
    let target = format!("/{}/{}", baseline.state, targets.unwrap_or_default());
    let request = encode_request(&Method::GET, &target, &HeaderMap::new(), &[]);
    let mut sent = 0;
    let response = connection
        .start(&Method::GET, request.into(), 1, &mut sent)
        .await?;
    received.extend_from_slice(&response.body);
    let failed = |cause| ExchangeError { sent, cause };
    while let Some(part) = connection.next_part().await.map_err(failed)? {
        received.extend_from_slice(&part);
    }
    Ok(())
}

/// Source of the snapshots that this entry serves.
pub(crate) struct Source {
    /// Returns the versions of the data that this entry has.
    pub(crate) watermark: Box<dyn Fn() -> Watermark + Send + Sync>,
    /// Returns the data of this entry that is newer than a baseline.
    pub(crate) snapshot: Box<dyn Fn(Baseline) -> Snapshot + Send + Sync>,
}

/// HTTP service that sends snapshots to other entries.
pub(crate) struct Server {
    source: Source,
    /// Last encoded snapshot, kept because many entries request the same
    /// contents at the same time.
    last: Mutex<Option<(Contents, Bytes)>>,
}

impl Server {
    pub(crate) fn new(source: Source) -> Self {
        Self {
            source,
            last: Mutex::new(None),
        }
    }

    fn encode(&self, baseline: Baseline) -> Result<Bytes, postcard::Error> {
        let newest = (self.source.watermark)();
        let contents = Contents {
            // The store age changes all the time, so the comparison ignores it.
            newest: Watermark {
                store_age_ms: 0,
                ..newest
            },
            state: baseline.state < newest.state,
            targets: baseline.targets < Some(newest.targets),
        };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((last_contents, bytes)) = &*last
            && *last_contents == contents
        {
            return Ok(bytes.clone());
        }
        let snapshot = (self.source.snapshot)(baseline);
        let bytes = Bytes::from(postcard::to_allocvec(&snapshot)?);
        // An entry that has not read everything yet sends an incomplete
        // snapshot, which must not be kept for later requests.
        let is_complete = snapshot.state.is_some() == contents.state
            && snapshot.targets.is_some() == contents.targets;
        *last = is_complete.then(|| (contents, bytes.clone()));
        Ok(bytes)
    }
}

impl Service for Server {
    fn is_closing(&self) -> bool {
        true
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        let Some(baseline) = parse(request.path()) else {
            return Response::new(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let start = Instant::now();
        match self.encode(baseline) {
            Ok(body) => {
                log::info!(
                    target: "peers",
                    "event=snapshot-served since={} bytes={} encode_us={}",
                    baseline.state, body.len(), start.elapsed().as_micros()
                );
                Response::new(StatusCode::OK, body)
            }
            Err(error) => {
                log::error!(target: "peers", "event=snapshot-failed error=\"{error}\"");
                Response::new(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }
}

/// Parses the baseline from a request path, `/<state version>/<target revision>`.
fn parse(path: &str) -> Option<Baseline> {
    let (state, targets) = path.strip_prefix('/')?.split_once('/')?;
    Some(Baseline {
        state: state.parse().ok()?,
        targets: match targets {
            "" => None,
            revision => Some(revision.parse().ok()?),
        },
    })
}
