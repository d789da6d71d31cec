//! Probe of a target.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use carobdrift_document::Measuring;
use carobdrift_units::Service;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use thiserror::Error;
use tokio::net::TcpStream;
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
    Broken(#[from] hyper::Error),
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
    let deadline = Instant::now() + timeout;
    let request = Request::get(&measuring.path)
        .header(HOST, service.as_str())
        .header(CONNECTION, "close")
        .header("carobdrift-deadline-ms", measuring.timeout_ms.0)
        .body(Empty::<Bytes>::new())?;
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| Error::ConnectTimedOut)?
        .map_err(Error::Connect)?;
    stream.set_nodelay(true).map_err(Error::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let mut connection = pin!(connection);

    let Some(_permit) = permit() else {
        return Err(Error::NotPermitted);
    };
    before_send();
    let sent = Instant::now();
    let deadline = sent + timeout;
    // The request and the connection are polled in one task, so that only the
    // write itself lies between the permission and the send.
    let exchange = async {
        let mut exchange = pin!(async {
            let response = sender.send_request(request).await?;
            let latency = sent.elapsed();
            Ok(parse_answer(response, latency).await)
        });
        tokio::select! {
            biased;
            result = &mut exchange => return result,
            _ = &mut connection => {}
        }
        exchange.await
    };
    timeout_at(deadline, exchange)
        .await
        .map_err(|_| Error::TimedOut)?
}

async fn parse_answer(response: Response<Incoming>, latency: Duration) -> Answer {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, BODY_LIMIT).collect().await;
    let body = body
        .ok()
        .and_then(|body| serde_json::from_slice::<Body>(&body.to_bytes()).ok())
        .unwrap_or_default();
    let in_flight = header_text(&head.headers, "carobdrift-load")
        .and_then(|load| load.split_once('/')?.0.trim().parse().ok());
    let draining = header_text(&head.headers, "carobdrift-draining") == Some("1");
    Answer {
        healthy: head.status.is_success(),
        in_flight: in_flight.or(body.in_flight),
        draining: draining || body.status.as_deref() == Some("draining"),
        start: header_text(&head.headers, "carobdrift-start")
            .map(str::to_owned)
            .or(body.start),
        latency,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
