//! Server connections.

use std::collections::VecDeque;
use std::future::ready;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use http::{Method, StatusCode};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::Framing;
use crate::budget::{Budget, Hold, Phase, RECEIVE_BUFFER_BYTES, Share};
use crate::message::{Request, Response};
use crate::output::Output;
use crate::reader::{ReadError, Reader};
use crate::refusal::error_response;
use crate::service::Service;

/// Largest number of requests that one connection serves concurrently.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// Interval of the checks whether a caller left while no request may be read.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which the server keeps reading after it shut a connection down.
/// Closing with unread bytes would reset the connection and could discard the
/// last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after a stop for which connections and requests that are on their way are
/// still accepted.
const STOP_DELAY: Duration = Duration::from_millis(100);

/// Memory of a response of which a part is still to come, in bytes: what the kernel
/// receives of it while the caller is slow.
const RELAYED_BYTES: usize = 256 * 1024;

/// Delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the connections of a listener. From 100 ms after `stop` is cancelled, no
/// further connection is accepted and no further request is read; `connections`
/// tracks the open connections.
pub async fn listen<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    stop: CancellationToken,
    connections: TaskTracker,
) {
    let mut stopped = pin!(stopped(&stop));
    if service.budget().is_some()
        && let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
    {
        log::debug!(target: "entry", "event=receive-buffer-failed error=\"{error}\"");
    }
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut stopped => return,
            accepted = accept(&listener, service.budget()) => accepted,
        };
        match accepted {
            Ok(stream) => {
                let share = service.budget().map(Budget::admit);
                connections.spawn(run(stream, Arc::clone(&service), stop.clone(), share));
            }
            Err(error) => {
                log::warn!(target: "entry", "event=accept-failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of a connection until the connection ends. From 100 ms
/// after `stop` is cancelled, no further request is read.
pub async fn serve<S: Service>(stream: TcpStream, service: Arc<S>, stop: CancellationToken) {
    let share = service.budget().map(Budget::admit);
    run(stream, service, stop, share).await;
}

/// Accepts a connection and waits until the budget allows it.
async fn accept(listener: &TcpListener, budget: Option<&Budget>) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept().await?;
    if let Some(budget) = budget {
        budget.connection_available().await;
    }
    Ok(stream)
}

/// Serves the requests of a connection that counts to a budget with its share.
async fn run<S: Service>(
    stream: TcpStream,
    service: Arc<S>,
    stop: CancellationToken,
    share: Option<Share>,
) {
    // Without TCP_NODELAY, small responses wait for delayed acknowledgements.
    // Setting the option fails only on a connection that has already ended.
    let _ = stream.set_nodelay(true);
    if let Some(size) = service.send_buffer()
        && let Err(error) = SockRef::from(&stream).set_send_buffer_size(size)
    {
        log::debug!(target: "entry", "event=send-buffer-failed error=\"{error}\"");
    }
    let (read, writer) = stream.into_split();
    // Dropping the writer would shut the connection down gracefully, which can make a
    // response that broke off look complete, also when the process ends.
    let mut writer = scopeguard::guard(writer, OwnedWriteHalf::forget);
    let mut reader = Reader::new(read, service.limits());
    let share = share.map(Arc::new);
    reader.set_share(share.clone());
    if run_exchanges(&mut reader, &mut writer, &service, &stop, share.as_deref()).await
        && writer.shutdown().await.is_ok()
    {
        // The time-out bounds the wait for a peer that does not close the
        // connection.
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, reader.discard()) => {}
            () = closed(share.as_deref()) => {}
        }
    }
}

/// Response of the service, with what determines its encoding.
struct Answer {
    response: Response,
    method: Method,
    accepts_chunks: bool,
    /// Memory of the response.
    hold: Option<Hold>,
}

/// Runs the exchanges of a connection; returns whether the connection can be
/// shut down gracefully.
async fn run_exchanges<S: Service>(
    reader: &mut Reader,
    writer: &mut OwnedWriteHalf,
    service: &Arc<S>,
    stop: &CancellationToken,
    share: Option<&Share>,
) -> bool {
    let mut pending = FuturesOrdered::new();
    // Answers that wait for the one that is being written.
    let mut queue: VecDeque<Answer> = VecDeque::new();
    let mut output: Option<Output> = None;
    // Memory of the response that is being written.
    let mut output_hold: Option<Hold> = None;
    let mut last = false;
    // Whether the request that was being read was given up for others.
    let mut refused = false;
    // Whether only a request that has arrived in part is still read.
    let mut stopping = false;
    let mut idle_since = Instant::now();
    let mut stopped = pin!(stopped(stop));
    loop {
        let mid_message = reader.is_within_message();
        if output.is_none()
            && let Some(answer) = queue.pop_front()
        {
            let is_newest = pending.is_empty() && queue.is_empty();
            last |= !answer.response.keep_alive;
            // `Connection: close` must be on the last response only: clients
            // treat later requests as unprocessed and resend them, so none of
            // those may have run.
            let is_closing = service.is_closing() || stop.is_cancelled();
            last |= is_closing && is_newest && !mid_message;
            let closes = last && is_newest;
            let (response, hold) = start_output(answer, closes, writer);
            output = Some(response);
            output_hold = hold;
        }
        if let Some(share) = share {
            share.set_phase(phase(output.is_some(), pending.is_empty()));
        }
        let is_idle = output.is_none() && pending.is_empty();
        if last && is_idle {
            return true;
        }
        let reading = !last && pending.len() + queue.len() < MAX_PIPELINED_REQUESTS;
        let read_deadline = deadline(reader, service.as_ref(), idle_since, is_idle);
        let write_deadline = output.as_ref().and_then(Output::deadline);
        tokio::select! {
            biased;
            closes = evicted(share), if !refused => {
                if closes {
                    return false;
                }
                refused = true;
                reader.release();
                if !last {
                    last = true;
                    pending.push_back(ready_answer(error_response(&ReadError::Overloaded)));
                }
            }
            // First, so that the requests of a caller that left are cancelled before they
            // continue, also after a pause of the process.
            read = read_request(reader, last, reading) => match read {
                // The caller has disconnected while the request waited to be read.
                Ok(Some(_)) if reader.is_closed_by_peer() => return false,
                Ok(Some(request)) => {
                    last = stopping || !request.keep_alive;
                    let (method, accepts_chunks) = (request.method.clone(), request.accepts_chunks);
                    let call = Arc::clone(service).call(request);
                    pending.push_back(pending_answer(call, method, accepts_chunks));
                    reader.set_limits(service.limits());
                    idle_since = Instant::now();
                }
                // The caller has disconnected; requests in progress are
                // cancelled.
                Ok(None) | Err(ReadError::Io(_) | ReadError::Truncated) => return false,
                Err(error) => {
                    last = true;
                    reader.release();
                    pending.push_back(ready_answer(error_response(&error)));
                }
            },
            Some(mut answer) = pending.next(), if !pending.is_empty() => {
                answer.hold = share.map(|share| hold(share, &answer.response));
                queue.push_back(answer);
            }
            written = advance(&mut output, writer), if output.is_some() => match written {
                Ok(None) => {
                    if let Some(share) = share {
                        share.record_written();
                    }
                }
                Ok(Some(Framing::Close)) => return true,
                Ok(Some(_)) => {
                    idle_since = Instant::now();
                    drop(output_hold.take());
                }
                Err(()) => return false,
            },
            () = &mut stopped, if !last && !stopping => {
                stopping = true;
                last = !reader.is_within_message();
            }
            () = sleep_until(write_deadline), if write_deadline.is_some() => return false,
            () = sleep_until(Some(read_deadline)), if reading => {
                // A message that began in the meantime extends the deadline.
                if deadline(reader, service.as_ref(), idle_since, is_idle) <= Instant::now() {
                    last = true;
                    if reader.is_within_message() {
                        reader.release();
                        let response = Response::new(StatusCode::REQUEST_TIMEOUT, Bytes::new());
                        pending.push_back(ready_answer(response));
                    }
                }
            }
        }
    }
}

/// Starts to write an answer. `closes` states whether the connection ends with
/// it.
fn start_output(answer: Answer, closes: bool, writer: &OwnedWriteHalf) -> (Output, Option<Hold>) {
    let mut response = answer.response;
    response.keep_alive = !closes;
    let output = Output::new(response, &answer.method, answer.accepts_chunks);
    if output.framing() == Framing::Close {
        set_abortive(writer, true);
    }
    (output, answer.hold)
}

/// Counts a response towards the budget.
fn hold(share: &Share, response: &Response) -> Hold {
    let rest = response.rest.as_ref().map_or(0, |_| RELAYED_BYTES);
    share.budget().hold(response.body.len() + rest)
}

/// Returns what a connection is doing.
fn phase(is_writing: bool, is_idle: bool) -> Phase {
    if is_writing {
        Phase::Writing
    } else if is_idle {
        Phase::Idle
    } else {
        Phase::Serving
    }
}

/// Waits until the connection is to be closed.
async fn closed(share: Option<&Share>) {
    match share {
        Some(share) => share.closed().await,
        None => std::future::pending().await,
    }
}

/// Waits until the request that is being read is to be given up. Returns whether the
/// connection is to be closed.
async fn evicted(share: Option<&Share>) -> bool {
    match share {
        Some(share) => share.evicted().await,
        None => std::future::pending().await,
    }
}

/// Writes a part of a response. Returns the framing of its body once the response
/// is complete; then `output` is `None`.
async fn advance(
    output: &mut Option<Output>,
    writer: &mut OwnedWriteHalf,
) -> Result<Option<Framing>, ()> {
    let Some(response) = output else {
        return Ok(None);
    };
    match response.advance(writer).await {
        Ok(false) => Ok(None),
        Ok(true) => {
            let framing = response.framing();
            if framing == Framing::Close {
                set_abortive(writer, false);
            }
            *output = None;
            Ok(Some(framing))
        }
        Err(error) => {
            log::debug!(target: "caller", "event=broken-off error=\"{error}\"");
            Err(())
        }
    }
}

/// Sets whether closing the connection resets it. A response that ends with the
/// connection is shown to be incomplete by a reset alone, also if the process ends.
fn set_abortive(writer: &OwnedWriteHalf, is_abortive: bool) {
    let stream: &TcpStream = writer.as_ref();
    let linger = is_abortive.then_some(Duration::ZERO);
    if let Err(error) = SockRef::from(stream).set_linger(linger) {
        log::debug!(target: "caller", "event=linger-failed error=\"{error}\"");
    }
}

/// Waits until the stop takes effect: closing a listener or a connection at once
/// would discard what its peers have just sent.
async fn stopped(stop: &CancellationToken) {
    stop.cancelled().await;
    tokio::time::sleep(STOP_DELAY).await;
}

/// Sleeps until a time; for ever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

type PendingAnswer = Pin<Box<dyn Future<Output = Answer> + Send>>;

fn pending_answer(
    call: impl Future<Output = Response> + Send + 'static,
    method: Method,
    accepts_chunks: bool,
) -> PendingAnswer {
    Box::pin(async move {
        Answer {
            response: call.await,
            method,
            accepts_chunks,
            hold: None,
        }
    })
}

/// Returns an answer that does not wait for the service.
fn ready_answer(response: Response) -> PendingAnswer {
    pending_answer(ready(response), Method::GET, true)
}

/// Reads the next request. After the last request, discards input until the
/// caller disconnects; while no request may be read, waits until it does.
async fn read_request(
    reader: &mut Reader,
    last: bool,
    reading: bool,
) -> Result<Option<Request>, ReadError> {
    if last {
        reader.discard().await;
        return Ok(None);
    }
    if reading {
        return reader.request().await;
    }
    while !reader.is_closed_by_peer() {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
    Ok(None)
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
