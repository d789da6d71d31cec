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

/// Requests of one connection that are served at a time.
const PIPELINE: usize = 16;

/// Time for the peer to take a response. A peer that takes nothing would hold
/// memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a connection that was shut down is read on, so that bytes on
/// the way do not reset it before the last response has arrived.
const LINGER: Duration = Duration::from_secs(1);

/// Largest head of a request to a service that sets no limits, in bytes.
const QUESTION_BYTES: usize = 8 * 1024;

/// Time limits of a connection to a service that sets none.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What serves the requests of a connection.
pub trait Service: Send + Sync + 'static {
    /// Limits for the next request; small questions unless told otherwise.
    fn limits(&self) -> Limits {
        Limits {
            head: QUESTION_BYTES,
            body: 0,
        }
    }

    /// Time for the head of a request, counted from its first byte.
    fn head_timeout(&self) -> Duration {
        QUESTION_TIMEOUT
    }

    /// Time for which a connection without requests is kept, and for which a
    /// body may make no progress.
    fn idle_timeout(&self) -> Duration {
        QUESTION_TIMEOUT
    }

    /// Whether connections are to be closed after the requests in progress.
    fn is_closing(&self) -> bool {
        false
    }

    /// Serves a request. The future is dropped when the caller leaves.
    fn call(self: Arc<Self>, request: Request) -> impl Future<Output = Response> + Send;
}

/// Serves the connections of a listener. Once `stop` is cancelled no further
/// connection is accepted and no further request is read; `connections` tracks
/// those that are open.
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves the requests of a connection until it ends. Once `stop` is cancelled
/// no further request is read.
pub async fn serve<S: Service>(stream: TcpStream, service: Arc<S>, stop: CancellationToken) {
    // Without it small responses wait for delayed acknowledgements. It fails
    // only on a connection that has ended already.
    let _ = stream.set_nodelay(true);
    let (read, mut writer) = stream.into_split();
    let mut reader = Reader::new(read, service.limits());
    if exchange(&mut reader, &mut writer, &service, &stop).await && writer.shutdown().await.is_ok()
    {
        // The time-out ends the wait for a peer that does not close.
        let _ = timeout(LINGER, reader.discard()).await;
    }
}

/// Runs the exchanges; returns whether the connection ends in good order.
async fn exchange<S: Service>(
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
    service: &Arc<S>,
    stop: &CancellationToken,
) -> bool {
    let mut pending = FuturesOrdered::new();
    let mut last = false;
    let mut since = Instant::now();
    loop {
        if last && pending.is_empty() {
            return true;
        }
        let reading = !last && pending.len() < PIPELINE;
        let deadline = deadline(reader, service.as_ref(), since, pending.is_empty());
        let within = reader.is_within_message();
        tokio::select! {
            biased;
            Some((response, method)) = pending.next(), if !pending.is_empty() => {
                let mut response: Response = response;
                last |= !response.keep_alive;
                // A closing response must be the last one: what was sent behind
                // it counts as unread, so nothing behind it may have run.
                last |= service.is_closing() && pending.is_empty() && !within;
                response.keep_alive = !(last && pending.is_empty());
                let bytes = encode_response(&response, &method);
                if !matches!(timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await, Ok(Ok(()))) {
                    return false;
                }
                since = Instant::now();
            }
            read = read(reader, last), if reading || last => match read {
                Ok(Some(request)) => {
                    last = !request.keep_alive;
                    let method = request.method.clone();
                    let call = Arc::clone(service).call(request);
                    pending.push_back(answer(call, method));
                    reader.set_limits(service.limits());
                    since = Instant::now();
                }
                // The caller has left; the requests in progress are cancelled.
                Ok(None) | Err(ReadError::Io(_) | ReadError::Truncated) => return false,
                Err(error) => {
                    last = true;
                    pending.push_back(answer(ready(refusal(&error)), Method::GET));
                }
            },
            () = stop.cancelled(), if !last && !within => last = true,
            () = tokio::time::sleep_until(deadline), if reading => {
                // The deadline is later when a message began meanwhile.
                let due = self::deadline(reader, service.as_ref(), since, pending.is_empty());
                if due <= Instant::now() {
                    last = true;
                    if reader.is_within_message() {
                        let response = Response::new(StatusCode::REQUEST_TIMEOUT, Bytes::new());
                        pending.push_back(answer(ready(response), Method::GET));
                    }
                }
            }
        }
    }
}

type Answer = Pin<Box<dyn Future<Output = (Response, Method)> + Send>>;

fn answer(call: impl Future<Output = Response> + Send + 'static, method: Method) -> Answer {
    Box::pin(async move { (call.await, method) })
}

/// Reads the next request. After the last one it reads until the caller leaves.
async fn read(reader: &mut Reader, last: bool) -> Result<Option<Request>, ReadError> {
    if last {
        reader.discard().await;
        return Ok(None);
    }
    reader.request().await
}

/// Moment by which what is read now must be complete.
fn deadline<S: Service>(reader: &Reader, service: &S, since: Instant, idle: bool) -> Instant {
    match reader.started_at() {
        Some(begun) if reader.is_within_body() => begun + service.idle_timeout(),
        Some(begun) => begun + service.head_timeout(),
        None if idle => since + service.idle_timeout(),
        // A request in progress ends by limits of its own.
        None => Instant::now() + service.idle_timeout(),
    }
}

fn refusal(error: &ReadError) -> Response {
    let status = match error {
        ReadError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        ReadError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    Response::new(status, Bytes::new())
}
