//! Listener for the connections that peers open to this entry.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carobdrift_wire::{Frame, Hello, Refusal, encode};
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use crate::error::LinkError;
use crate::inbox::{Envelope, Responder};
use crate::links::Shared;
use crate::outbound::Outbound;
use crate::socket::{HANDSHAKE_TIMEOUT, Sink, Stream, accept, receive, send_bytes, send_frame};

/// Time without a frame after which the connection of a peer is closed. Peers send
/// a ping every 500 ms and replace a link without a pong after 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest number of connections open at the same time, which is several times the
/// size of the largest cell.
const MAX_CONNECTIONS: usize = 256;

/// Delay after a failed accept, which is usually caused by a lack of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts the connections of peers until the links stop.
pub(crate) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let stopped = shared.stopped.clone();
    let accept_loop = async {
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let shared = Arc::clone(&shared);
                    tokio::spawn(async move {
                        serve(&shared, stream).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    log::warn!(target: "links", "can't accept a connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    tokio::select! {
        () = accept_loop => {}
        () = stopped.cancelled() => {}
    }
}

async fn serve(shared: &Arc<Shared>, stream: TcpStream) {
    let opened = timeout(HANDSHAKE_TIMEOUT, handshake(shared, stream))
        .await
        .unwrap_or(Err(LinkError::HandshakeTimeout));
    match opened {
        Ok((sink, stream, hello)) => {
            let error = serve_peer(shared, sink, stream, &hello).await;
            log::debug!(target: "links", "connection from {} closed: {error}", hello.instance);
        }
        Err(error) => {
            shared.metrics.count_refusal(error.reason());
            log::debug!(target: "links", "connection refused: {error}");
        }
    }
}

/// Upgrades a connection, receives the `Hello` and answers it.
async fn handshake(shared: &Shared, stream: TcpStream) -> Result<(Sink, Stream, Hello), LinkError> {
    let socket = accept(stream, &shared.secret).await?;
    let (mut sink, mut stream) = socket.split();
    let Frame::Hello(hello) = receive(&mut stream).await?.0 else {
        return Err(LinkError::Unexpected);
    };
    if let Some(refusal) = check_hello(&shared.hello, &hello) {
        log::warn!(target: "links", "refused a connection from {}: {refusal}", hello.instance);
        send_frame(&mut sink, &Frame::Refusal(refusal.clone())).await?;
        return Err(LinkError::Refused(refusal));
    }
    send_frame(&mut sink, &Frame::Welcome(shared.hello.clone())).await?;
    Ok((sink, stream, hello))
}

/// Checks the `Hello` of a peer. Returns the reason to refuse it, if there is one.
fn check_hello(local: &Hello, remote: &Hello) -> Option<Refusal> {
    if remote.protocol != local.protocol {
        Some(Refusal::Protocol {
            ours: local.protocol,
            theirs: remote.protocol,
        })
    } else if remote.cell != local.cell {
        Some(Refusal::Cell {
            ours: local.cell.clone(),
            theirs: remote.cell.clone(),
        })
    } else if remote.instance == local.instance {
        Some(Refusal::Duplicate(local.instance.clone()))
    } else {
        None
    }
}

/// Serves the connection of a peer until it fails.
async fn serve_peer(shared: &Arc<Shared>, sink: Sink, stream: Stream, hello: &Hello) -> LinkError {
    if shared.directory.admit(hello) {
        log::info!(target: "links", "new peer {} at {} connected", hello.instance, hello.peer);
        shared.start_dialler(hello.instance.clone());
    }
    let (outbound, frames) = Outbound::open(hello.incarnation);
    let outbound = Arc::new(outbound);
    let error = tokio::select! {
        error = write(shared, sink, frames) => error,
        error = read(shared, stream, hello, &outbound) => error,
        error = outbound.closing() => error,
        () = shared.stopped.cancelled() => LinkError::Closed,
    };
    outbound.fail_pending();
    error
}

async fn write(shared: &Shared, mut sink: Sink, mut frames: mpsc::Receiver<Bytes>) -> LinkError {
    while let Some(bytes) = frames.recv().await {
        match send_bytes(&mut sink, bytes).await {
            Ok(size) => shared.metrics.count_bytes("sent", size),
            Err(error) => return error,
        }
    }
    LinkError::Closed
}

async fn read(
    shared: &Shared,
    mut stream: Stream,
    hello: &Hello,
    outbound: &Arc<Outbound>,
) -> LinkError {
    loop {
        let (frame, size) = match timeout(IDLE_TIMEOUT, receive(&mut stream)).await {
            Ok(Ok(received)) => received,
            Ok(Err(error)) => return error,
            Err(_) => return LinkError::Silent(IDLE_TIMEOUT.as_millis()),
        };
        shared.metrics.count_bytes("received", size);
        let responder = match &frame {
            Frame::Ping { sequence, revision } => {
                shared.directory.record_ping(hello, *revision);
                // The status is taken after the ping arrived, so that the peer may
                // count its age from the time at which the ping was sent.
                let pong = Frame::Pong {
                    sequence: *sequence,
                    status: shared.status(),
                };
                let bytes = match encode(&pong) {
                    Ok(bytes) => bytes,
                    Err(error) => return error.into(),
                };
                if outbound.push(bytes.into()).is_err() {
                    return LinkError::QueueFull;
                }
                continue;
            }
            Frame::Query { request, .. } => Some(Responder {
                request: *request,
                outbound: Arc::clone(outbound),
                metrics: shared.metrics.clone(),
            }),
            Frame::Announce { .. }
            | Frame::Leaving { .. }
            | Frame::Recall { .. }
            | Frame::Sample(_) => None,
            Frame::Hello(_)
            | Frame::Welcome(_)
            | Frame::Refusal(_)
            | Frame::Pong { .. }
            | Frame::Reply { .. } => return LinkError::Unexpected,
        };
        let envelope = Envelope {
            from: hello.instance.clone(),
            frame,
            responder,
        };
        if shared.inbox.send(envelope).await.is_err() {
            shared.metrics.count_dropped_frame("inbound");
        }
    }
}
