//! Everything that an entry knows, as another one fetches it.

use std::net::SocketAddr;
use std::sync::Arc;
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

use crate::datagram::Row;

/// Time for a snapshot to be fetched.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for the connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest snapshot, in bytes.
const MAX_SNAPSHOT: u64 = 64 * 1024 * 1024;

/// Everything that an entry knows of the installation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The desired state in force, if it is newer than asked for.
    pub state: Option<State>,
    /// Revision of the store up to which the targets are complete.
    pub revision: u64,
    /// The targets.
    pub targets: Vec<Row>,
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

/// Fetches what an entry knows. The desired state is left out unless it is
/// newer than `known`.
///
/// # Errors
///
/// Fails when the entry does not answer within 800 ms.
pub async fn fetch(address: SocketAddr, known: Version) -> Result<Snapshot, FetchError> {
    let fetch = async {
        let mut connection = Connection::open(address, CONNECT_TIMEOUT, MAX_SNAPSHOT).await?;
        let request = encode_request(&Method::GET, &format!("/{known}"), &HeaderMap::new(), &[]);
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
pub(crate) type Source = Arc<dyn Fn(Version) -> Snapshot + Send + Sync>;

/// Serves snapshots to other entries.
pub(crate) struct Server(pub(crate) Source);

impl Service for Server {
    fn is_closing(&self) -> bool {
        true
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        let known = request.path().trim_start_matches('/').parse();
        let Ok(known) = known else {
            return Response::new(StatusCode::BAD_REQUEST, Bytes::new());
        };
        match postcard::to_allocvec(&(self.0)(known)) {
            Ok(body) => Response::new(StatusCode::OK, body.into()),
            Err(error) => {
                log::error!(target: "peers", "event=snapshot-failed error=\"{error}\"");
                Response::new(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }
}
