//! Everything that an entry knows, as another one fetches it.

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

use crate::datagram::{Row, Watermark};

/// Time for a snapshot to be fetched.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for the connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest snapshot, in bytes.
const MAX_SNAPSHOT: u64 = 64 * 1024 * 1024;

/// What an entry knows of the installation beyond what the asker knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The desired state in force, if it is newer than the asker's.
    pub state: Option<State>,
    /// The targets, if they are newer than the asker's.
    pub targets: Option<Targets>,
}

/// The targets as of one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    /// Revision up to which they are complete.
    pub revision: u64,
    /// The targets.
    pub rows: Vec<Row>,
}

/// How much the asker of a snapshot knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Baseline {
    /// Version of its desired state.
    pub state: Version,
    /// Revision of its targets; absent while it knows none.
    pub targets: Option<u64>,
}

/// What a snapshot consists of. Askers for which it is the same get the same
/// bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Part {
    /// How much this entry knows.
    newest: Watermark,
    /// Whether the asker lacks the desired state.
    state: bool,
    /// Whether the asker lacks the targets.
    targets: bool,
}

/// Why a snapshot could not be fetched.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The entry can't be reached.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The connection failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The entry did not answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer can't be read, such as one of another build.
    #[error("the answer can't be read: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Fetches what an entry knows beyond `known`.
///
/// # Errors
///
/// Fails when the entry does not answer within 800 ms.
pub async fn fetch(address: SocketAddr, known: Baseline) -> Result<Snapshot, FetchError> {
    let fetch = async {
        let mut connection = Connection::open(address, CONNECT_TIMEOUT, MAX_SNAPSHOT).await?;
        let targets = known.targets.map(|revision| revision.to_string());
        let target = format!("/{}/{}", known.state, targets.unwrap_or_default());
        let request = encode_request(&Method::GET, &target, &HeaderMap::new(), &[]);
        let mut sent = 0;
        let response = connection
            .exchange(&Method::GET, &request, &mut sent)
            .await?;
        Ok(postcard::from_bytes(&response.body)?)
    };
    tokio::time::timeout(FETCH_TIMEOUT, fetch)
        .await
        .map_err(|_| FetchError::TimedOut)?
}

/// Source of the snapshots that this entry serves.
pub(crate) struct Source {
    /// How much this entry knows.
    pub(crate) watermark: Box<dyn Fn() -> Watermark + Send + Sync>,
    /// What it knows beyond an asker's knowledge.
    pub(crate) snapshot: Box<dyn Fn(Baseline) -> Snapshot + Send + Sync>,
}

/// Serves snapshots to other entries.
pub(crate) struct Server {
    source: Source,
    /// The last snapshot, encoded. Many entries ask for the same one at a time.
    last: Mutex<Option<(Part, Bytes)>>,
}

impl Server {
    pub(crate) fn new(source: Source) -> Self {
        Self {
            source,
            last: Mutex::new(None),
        }
    }

    fn encode(&self, known: Baseline) -> Result<Bytes, postcard::Error> {
        let newest = (self.source.watermark)();
        let part = Part {
            // The age of the store's answer changes all the time.
            newest: Watermark {
                store_age_ms: 0,
                ..newest
            },
            state: known.state < newest.state,
            targets: known.targets < Some(newest.targets),
        };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((of, bytes)) = &*last
            && *of == part
        {
            return Ok(bytes.clone());
        }
        let snapshot = (self.source.snapshot)(known);
        let bytes = Bytes::from(postcard::to_allocvec(&snapshot)?);
        // An entry that has not read everything yet leaves out what it lacks.
        let is_whole =
            snapshot.state.is_some() == part.state && snapshot.targets.is_some() == part.targets;
        *last = is_whole.then(|| (part, bytes.clone()));
        Ok(bytes)
    }
}

impl Service for Server {
    fn is_closing(&self) -> bool {
        true
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        let Some(known) = parse(request.path()) else {
            return Response::new(StatusCode::BAD_REQUEST, Bytes::new());
        };
        match self.encode(known) {
            Ok(body) => Response::new(StatusCode::OK, body),
            Err(error) => {
                log::error!(target: "peers", "event=snapshot-failed error=\"{error}\"");
                Response::new(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }
}

/// What the asker knows, as its question states it.
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
