//! Probe of a target.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_document::Measuring;
use carobdrift_http1::{Connection, ExchangeError, OpenError, ReadError, encode_request};
use carobdrift_units::Service;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, Request, StatusCode};
use serde::Deserialize;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::permit::Permit;

/// Largest body of a health answer that is read, in bytes.
const BODY_LIMIT: usize = 16 * 1024;

/// Answer of a target to a probe.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) healthy: bool,
    pub(crate) in_flight: Option<u32>,
    pub(crate) draining: bool,
    pub(crate) start: Option<String>,
    pub(crate) latency: Duration,
}

/// Reason for which a probe has no answer.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// The lease or the state of the target no longer permits the probe;
    /// nothing was sent.
    #[error("lease or target state no longer permits the probe")]
    NotPermitted,
    /// The connection failed to open; nothing was sent.
    #[error("connection failed: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection did not open within the timeout; nothing was sent.
    #[error("connection not established within the timeout")]
    ConnectTimedOut,
    /// The connection failed, or the answer is malformed.
    #[error("connection broken or answer malformed: {0}")]
    Broken(#[from] ExchangeError),
    /// The request is invalid; nothing was sent.
    #[error("invalid request: {0}")]
    Request(#[from] http::Error),
    /// The target did not answer within the timeout.
    #[error("no answer within the timeout")]
    TimedOut,
}

/// Optional body of a health answer. Headers take precedence over the body.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Body {
    status: Option<String>,
    in_flight: Option<u32>,
    start: Option<String>,
}

/// Sends one probe on a new connection, so that a connection that stopped
/// working is not mistaken for a target that does not answer.
///
/// `permit` is called immediately before the request is sent, and `before_send`
/// between the two.
pub(crate) async fn send(
    service: &Service,
    address: SocketAddr,
    measuring: &Measuring,
    permit: impl FnOnce() -> Option<Permit>,
    before_send: impl FnOnce(),
) -> Result<Answer, Error> {
    let timeout = measuring.timeout_ms.duration();
    let (request, ()) = Request::get(&measuring.path)
        .header(HOST, service.as_str())
        .header(CONNECTION, "close")
        .header("carobdrift-deadline-ms", measuring.timeout_ms.0)
        .body(())?
        .into_parts();
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let bytes = encode_request(&request.method, path, &request.headers, &[]).freeze();
    // The part of a body that exceeds the limit is not read.
    let mut connection = Connection::open(address, timeout, u64::MAX)
        .await
        .map_err(|error| match error {
            OpenError::Io(error) => Error::Connect(error),
            OpenError::TimedOut => Error::ConnectTimedOut,
        })?;

    let Some(_permit) = permit() else {
        return Err(Error::NotPermitted);
    };
    before_send();
    let started_at = Instant::now();
    let mut sent = 0;
    // The request is written in this task, so that only the write itself lies between
    // the permission and the send.
    let exchange = async {
        let response = connection
            .start(&request.method, bytes, 0, &mut sent)
            .await?;
        let latency = started_at.elapsed();
        let mut body = response.body.to_vec();
        let read = read_body(&mut connection, &mut body).await;
        read.map_err(|cause| ExchangeError { sent, cause })?;
        Ok(parse_answer(
            response.status,
            &response.headers,
            &body,
            latency,
        ))
    };
    timeout_at(started_at + timeout, exchange)
        .await
        .map_err(|_| Error::TimedOut)?
}

/// Reads the rest of a body, or of its first part if it exceeds [`BODY_LIMIT`].
async fn read_body(connection: &mut Connection, body: &mut Vec<u8>) -> Result<(), ReadError> {
    while body.len() <= BODY_LIMIT
        && let Some(part) = connection.next_part().await?
    {
        body.extend_from_slice(&part);
    }
    Ok(())
}

fn parse_answer(status: StatusCode, headers: &HeaderMap, body: &[u8], latency: Duration) -> Answer {
    let body = if body.len() <= BODY_LIMIT {
        serde_json::from_slice::<Body>(body).unwrap_or_default()
    } else {
        Body::default()
    };
    let in_flight = header_text(headers, "carobdrift-load")
        .and_then(|load| load.split_once('/')?.0.trim().parse().ok());
    let draining = header_text(headers, "carobdrift-draining") == Some("1");
    Answer {
        healthy: status.is_success(),
        in_flight: in_flight.or(body.in_flight),
        draining: draining || body.status.as_deref() == Some("draining"),
        start: header_text(headers, "carobdrift-start")
            .map(str::to_owned)
            .or(body.start),
        latency,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
