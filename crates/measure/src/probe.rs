//! One probe of a target.

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

/// What a target stated in its answer.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Health {
    pub(crate) healthy: bool,
    pub(crate) in_flight: Option<u32>,
    pub(crate) draining: bool,
    pub(crate) start: Option<String>,
    pub(crate) latency: Duration,
}

/// Why a probe has no answer.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The lease or the target's state no longer permits it; nothing was sent.
    #[error("no longer permitted")]
    Refused,
    /// No connection could be opened; nothing was sent.
    #[error("can't connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection was not ready within the timeout; nothing was sent.
    #[error("no connection within the timeout")]
    ConnectTimedOut,
    /// The connection broke, or the answer is malformed.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The request can't be built; nothing was sent.
    #[error("malformed request: {0}")]
    Request(#[from] http::Error),
    /// No answer within the timeout.
    #[error("no answer within the timeout")]
    TimedOut,
}

/// Optional content of a health answer; headers take precedence.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Content {
    status: Option<String>,
    in_flight: Option<u32>,
    start: Option<String>,
}

/// Sends one probe on a connection of its own, so that a connection that went
/// silent can't be mistaken for a silent target.
///
/// `permit` is called immediately before the request is handed over, and
/// `before_send` between the two.
pub(crate) async fn send(
    service: &Service,
    address: SocketAddr,
    measuring: &Measuring,
    permit: impl FnOnce() -> Option<Permit>,
    before_send: impl FnOnce(),
) -> Result<Health, Failure> {
    let timeout = measuring.timeout_ms.duration();
    let deadline = Instant::now() + timeout;
    let request = Request::get(&measuring.path)
        .header(HOST, service.as_str())
        .header(CONNECTION, "close")
        .header("carobdrift-deadline-ms", measuring.timeout_ms.0)
        .body(Empty::<Bytes>::new())?;
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| Failure::ConnectTimedOut)?
        .map_err(Failure::Connect)?;
    stream.set_nodelay(true).map_err(Failure::Connect)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let mut connection = pin!(connection);

    let Some(_permit) = permit() else {
        return Err(Failure::Refused);
    };
    before_send();
    let sent = Instant::now();
    let deadline = sent + timeout;
    // Polled together with the connection in one task, so that nothing but the
    // write itself lies between the check and the send.
    let exchange = async {
        let mut exchange = pin!(async {
            let response = sender.send_request(request).await?;
            let latency = sent.elapsed();
            Ok(read(response, latency).await)
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
        .map_err(|_| Failure::TimedOut)?
}

async fn read(response: Response<Incoming>, latency: Duration) -> Health {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, BODY_LIMIT).collect().await;
    let content = body
        .ok()
        .and_then(|body| serde_json::from_slice::<Content>(&body.to_bytes()).ok())
        .unwrap_or_default();
    let load = text(&head.headers, "carobdrift-load")
        .and_then(|load| load.split_once('/')?.0.trim().parse().ok());
    let draining = text(&head.headers, "carobdrift-draining") == Some("1");
    Health {
        healthy: head.status.is_success(),
        in_flight: load.or(content.in_flight),
        draining: draining || content.status.as_deref() == Some("draining"),
        start: text(&head.headers, "carobdrift-start")
            .map(str::to_owned)
            .or(content.start),
        latency,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
