//! Server connections.

use std::future::ready;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use http::{Method, StatusCode};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::encode::encode_response;
use crate::message::{Request, Response};
use crate::reader::{Limits, ReadError, Reader};

/// Largest number of requests that one connection serves concurrently.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// Time within which a response must be written. A peer that does not read
/// would otherwise hold memory indefinitely.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the server keeps reading after it shut a connection down.
/// Closing with unread bytes would reset the connection and could discard the
/// last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Default limit for the head of a request, in bytes.
const DEFAULT_HEAD_BYTES: usize = 8 * 1024;

/// Default for the time limits of a connection.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handler for the requests of a connection.
pub trait Service: Send + Sync + 'static {
    /// Returns the size limits for the next request. By default a request has a
    /// small head and no body.
    fn limits(&self) -> Limits {
        Limits {
            head: DEFAULT_HEAD_BYTES,
            body: 0,
        }
    }

    /// Returns the time within which the head of a request must arrive, from
    /// its first byte.
    fn head_timeout(&self) -> Duration {
        DEFAULT_TIMEOUT
    }

    /// Returns the time for which a connection without requests is kept open. A
    /// request with a body must be complete within the same time from its first
    /// byte.
    fn idle_timeout(&self) -> Duration {
        DEFAULT_TIMEOUT
    }

    /// Returns whether connections are to be closed after the requests in
    /// progress.
    fn is_closing(&self) -> bool {
        false
    }

    /// Serves a request. The future is dropped when the caller disconnects.
    fn call(self: Arc<Self>, request: Request) -> impl Future<Output = Response> + Send;
}

/// Serves the connections of a listener. Once `stop` is cancelled, no further
/// connection is accepted and no further request is read; `connections` tracks
/// the open connections.
pub async fn listen<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    stop: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, Arc::clone(&service), stop.clone()));
            }
            Err(error) => {
                log::warn!(target: "entry", "event=accept-failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of a connection until the connection ends. Once `stop`
/// is cancelled, no further request is read.
pub async fn serve<S: Service>(stream: TcpStream, service: Arc<S>, stop: CancellationToken) {
    // Without TCP_NODELAY, small responses wait for delayed acknowledgements.
    // Setting the option fails only on a connection that has already ended.
    let _ = stream.set_nodelay(true);
    let (read, mut writer) = stream.into_split();
    let mut reader = Reader::new(read, service.limits());
    if run_exchanges(&mut reader, &mut writer, &service, &stop).await
        && writer.shutdown().await.is_ok()
    {
        // The time-out bounds the wait for a peer that does not close the
        // connection.
        let _ = timeout(LINGER_TIMEOUT, reader.discard()).await;
    }
}

/// Runs the exchanges of a connection; returns whether the connection can be
/// shut down gracefully.
async fn run_exchanges<S: Service>(
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
    service: &Arc<S>,
    stop: &CancellationToken,
) -> bool {
    let mut pending = FuturesOrdered::new();
    let mut last = false;
    let mut idle_since = Instant::now();
    loop {
        if last && pending.is_empty() {
            return true;
        }
        let reading = !last && pending.len() < MAX_PIPELINED_REQUESTS;
        let deadline = deadline(reader, service.as_ref(), idle_since, pending.is_empty());
        let mid_message = reader.is_within_message();
        tokio::select! {
            biased;
            Some((response, method)) = pending.next(), if !pending.is_empty() => {
                let mut response: Response = response;
                last |= !response.keep_alive;
                // `Connection: close` must be on the last response only:
                // clients treat later requests as unprocessed and resend them,
                // so none of those may have run.
                last |= service.is_closing() && pending.is_empty() && !mid_message;
                response.keep_alive = !(last && pending.is_empty());
                let bytes = encode_response(&response, &method);
                if !matches!(timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await, Ok(Ok(()))) {
                    return false;
                }
                idle_since = Instant::now();
            }
            read = read_request(reader, last), if reading || last => match read {
                Ok(Some(request)) => {
                    last = !request.keep_alive;
                    let method = request.method.clone();
                    let call = Arc::clone(service).call(request);
                    pending.push_back(pending_response(call, method));
                    reader.set_limits(service.limits());
                    idle_since = Instant::now();
                }
                // The caller has disconnected; requests in progress are
                // cancelled.
                Ok(None) | Err(ReadError::Io(_) | ReadError::Truncated) => return false,
                Err(error) => {
                    last = true;
                    pending.push_back(pending_response(ready(error_response(&error)), Method::GET));
                }
            },
            () = stop.cancelled(), if !last && !mid_message => last = true,
            () = tokio::time::sleep_until(deadline), if reading => {
                // A message that began in the meantime extends the deadline.
                let due = self::deadline(reader, service.as_ref(), idle_since, pending.is_empty());
                if due <= Instant::now() {
                    last = true;
                    if reader.is_within_message() {
                        let response = Response::new(StatusCode::REQUEST_TIMEOUT, Bytes::new());
                        pending.push_back(pending_response(ready(response), Method::GET));
                    }
                }
            }
        }
    }
}

type PendingResponse = Pin<Box<dyn Future<Output = (Response, Method)> + Send>>;

fn pending_response(
    call: impl Future<Output = Response> + Send + 'static,
    method: Method,
) -> PendingResponse {
    Box::pin(async move { (call.await, method) })
}

/// Reads the next request. After the last request, discards input until the
/// caller disconnects.
async fn read_request(reader: &mut Reader, last: bool) -> Result<Option<Request>, ReadError> {
    if last {
        reader.discard().await;
        return Ok(None);
    }
    reader.request().await
}

/// Returns the time by which the current read must be complete.
fn deadline<S: Service>(reader: &Reader, service: &S, idle_since: Instant, idle: bool) -> Instant {
    match reader.started_at() {
        Some(start) if reader.is_within_body() => start + service.idle_timeout(),
        Some(start) => start + service.head_timeout(),
        None if idle => idle_since + service.idle_timeout(),
        // Requests in progress have time limits of their own.
        None => Instant::now() + service.idle_timeout(),
    }
}

fn error_response(error: &ReadError) -> Response {
    let status = match error {
        ReadError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        ReadError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    Response::new(status, Bytes::new())
}
