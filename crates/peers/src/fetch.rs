//! Fetches of the data of other entries, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_http1::{Connection, ExchangeError, OpenError, ReadError, encode_request};
use carobdrift_units::{StoreRevision, Version};
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::{Instant, timeout};

use crate::answer::{Answer, Targets, Update};

/// Time limit for the connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a received byte after which a fetch fails. The time of a whole fetch
/// depends on its size and on what else the links carry.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for a whole fetch, after which another entry is asked.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest response.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Error of a failed fetch.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The connection to the entry could not be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The exchange over the connection failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The connection ended within the response.
    #[error("{cause} after {received} bytes of the response")]
    Interrupted {
        /// Bytes of the response that were received.
        received: usize,
        /// Underlying failure.
        #[source]
        cause: ReadError,
    },
    /// No byte arrived for 800 ms, or the response was not complete after 10 s.
    #[error("no response within the fetch timeout, {received} bytes in {elapsed_ms} ms")]
    TimedOut {
        /// Bytes of the response that were received.
        received: usize,
        /// Time since the start of the fetch, in milliseconds.
        elapsed_ms: u128,
    },
    /// The entry answered with an unexpected status.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The response can't be decoded. Entries of another build may encode their data
    /// differently.
    #[error("response can't be decoded: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Fetches the desired state of an entry if it is newer than version `since`.
///
/// # Errors
///
/// Fails when the entry can't be reached, sends nothing for 800 ms, or does not
/// complete its response within 10 s.
pub async fn fetch_state(
    address: SocketAddr,
    since: Version,
) -> Result<Answer<Update>, FetchError> {
    fetch(address, &format!("/state/{since}")).await
}

/// Fetches the registered targets of an entry if they are newer than store revision
/// `since`; `None` stands for a requester without any.
///
/// # Errors
///
/// Fails like [`fetch_state`].
pub async fn fetch_targets(
    address: SocketAddr,
    since: Option<StoreRevision>,
) -> Result<Answer<Targets>, FetchError> {
    let since = since.map(|revision| revision.to_string());
    fetch(address, &format!("/targets/{}", since.unwrap_or_default())).await
}

async fn fetch<T: DeserializeOwned>(
    address: SocketAddr,
    target: &str,
) -> Result<Answer<T>, FetchError> {
    let start = Instant::now();
    let mut body = Vec::new();
    let status = match timeout(FETCH_TIMEOUT, read(address, target, &mut body)).await {
        Ok(Ok(Some(status))) => status,
        Ok(Err(error)) => return Err(error),
        Ok(Ok(None)) | Err(_) => {
            return Err(FetchError::TimedOut {
                received: body.len(),
                elapsed_ms: start.elapsed().as_millis(),
            });
        }
    };
    match status {
        StatusCode::OK => Ok(Answer::Newer(postcard::from_bytes(&body)?)),
        StatusCode::NO_CONTENT => Ok(Answer::Current),
        StatusCode::SERVICE_UNAVAILABLE => Ok(Answer::Busy(postcard::from_bytes(&body)?)),
        status => Err(FetchError::Status(status)),
    }
}

/// Reads a response into `body` as it arrives, and returns its status; `None` if
/// nothing arrived for [`STALL_TIMEOUT`].
async fn read(
    address: SocketAddr,
    target: &str,
    body: &mut Vec<u8>,
) -> Result<Option<StatusCode>, FetchError> {
    let mut connection = Connection::open(address, CONNECT_TIMEOUT, MAX_RESPONSE_BYTES).await?;
    let request = encode_request(&Method::GET, target, &HeaderMap::new(), &[]).freeze();
    let mut sent = 0;
    let response = connection.start(&Method::GET, request, 1, &mut sent);
    let Ok(response) = timeout(STALL_TIMEOUT, response).await else {
        return Ok(None);
    };
    let response = response?;
    body.extend_from_slice(&response.body);
    loop {
        let Ok(part) = timeout(STALL_TIMEOUT, connection.next_part()).await else {
            return Ok(None);
        };
        match part {
            Ok(Some(part)) => body.extend_from_slice(&part),
            Ok(None) => return Ok(Some(response.status)),
            Err(cause) => {
                return Err(FetchError::Interrupted {
                    received: body.len(),
                    cause,
                });
            }
        }
    }
}
