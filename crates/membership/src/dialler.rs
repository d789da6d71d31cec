//! Dialler: opens and maintains the link to a peer.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use carobdrift_units::Instance;
use carobdrift_wire::{Frame, Hello};
use futures_util::StreamExt;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::error::LinkError;
use crate::links::Shared;
use crate::outbound::{Outbound, lock};
use crate::socket::{
    HANDSHAKE_TIMEOUT, Sink, Socket, Stream, connect, receive, send_bytes, send_frame,
};

/// Time between two pings on a link.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a pong after which a link is closed and the peer is dialled again.
const PONG_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest pause after the first failed dial; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause after a failed dial.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Pings of a link that have not been answered yet.
#[derive(Debug)]
struct Pings {
    /// Sequence number and send time of each ping, oldest first.
    sent: VecDeque<(u64, Instant)>,
    last_pong: Instant,
}

/// Maintains the link to a peer until the peer is forgotten.
pub(crate) async fn run(shared: Arc<Shared>, instance: Instance) {
    let mut backoff = MIN_BACKOFF;
    while let Some(dial) = shared.directory.dial(&instance) {
        let opened = tokio::select! {
            opened = timeout(HANDSHAKE_TIMEOUT, handshake(&shared, &instance, dial.address)) => {
                opened.unwrap_or(Err(LinkError::HandshakeTimeout))
            }
            () = shared.stopped.cancelled() => return,
        };
        match opened {
            Ok((sink, stream, welcome)) => {
                shared.metrics.count_dial("opened");
                backoff = MIN_BACKOFF;
                let error = run_link(&shared, sink, stream, &welcome).await;
                shared.metrics.count_close(error.reason());
                if shared.stopped.is_cancelled() {
                    return;
                }
                log::warn!(target: "links", "link to {instance} at {} closed: {error}", dial.address);
            }
            Err(error) => {
                shared.metrics.count_dial(error.reason());
                log::debug!(target: "links", "can't open a link to {instance} at {}: {error}", dial.address);
                if shared.directory.forget_unreachable(&instance) {
                    shared.metrics.count_forgotten();
                    log::info!(target: "links", "forgot {instance}, which is not on the instance list and can't be reached");
                    break;
                }
            }
        }
        shared.update_peer_metrics();
        let pause = rand::rng().random_range(backoff / 2..=backoff);
        backoff = (backoff * 2).min(MAX_BACKOFF);
        tokio::select! {
            () = sleep(pause) => {}
            () = dial.wake.notified() => {}
            () = shared.stopped.cancelled() => return,
        }
    }
    shared.update_peer_metrics();
}

/// Opens a connection, sends the `Hello` and checks the answer.
async fn handshake(
    shared: &Shared,
    instance: &Instance,
    address: std::net::SocketAddr,
) -> Result<(Sink, Stream, Hello), LinkError> {
    let local = &shared.hello;
    let socket: Socket = connect(address, &local.instance, shared.authorization.clone()).await?;
    let (mut sink, mut stream) = socket.split();
    send_frame(&mut sink, &Frame::Hello(local.clone())).await?;
    let welcome = match receive(&mut stream).await?.0 {
        Frame::Welcome(welcome) => welcome,
        Frame::Refusal(refusal) => {
            log::warn!(target: "links", "{instance} at {address} refused the link: {refusal}");
            return Err(LinkError::Refused(refusal));
        }
        _ => return Err(LinkError::Unexpected),
    };
    if welcome.instance == *instance {
        Ok((sink, stream, welcome))
    } else {
        Err(LinkError::OtherInstance {
            expected: instance.clone(),
            found: welcome.instance,
        })
    }
}

/// Runs an open link until it fails.
async fn run_link(shared: &Shared, sink: Sink, stream: Stream, welcome: &Hello) -> LinkError {
    let (outbound, frames) = Outbound::open(welcome.incarnation);
    let outbound = Arc::new(outbound);
    if !shared.directory.connect(welcome, Arc::clone(&outbound)) {
        return LinkError::Closed;
    }
    shared.update_peer_metrics();
    log::info!(target: "links", "link to {} at {} is open", welcome.instance, welcome.peer);
    let pings = Mutex::new(Pings {
        sent: VecDeque::new(),
        last_pong: Instant::now(),
    });
    // Writing, reading and the pong timeout run concurrently in one task, so that a
    // blocked write to a peer that does not read can't delay the timeout.
    let error = tokio::select! {
        error = write(shared, sink, frames, &pings) => error,
        error = read(shared, stream, welcome, &outbound, &pings) => error,
        error = watch_pongs(&pings) => error,
        error = outbound.closing() => error,
        () = shared.stopped.cancelled() => LinkError::Closed,
    };
    outbound.fail_pending();
    shared.directory.disconnect(&welcome.instance, &outbound);
    error
}

async fn write(
    shared: &Shared,
    mut sink: Sink,
    mut frames: mpsc::Receiver<Bytes>,
    pings: &Mutex<Pings>,
) -> LinkError {
    let mut ticks = interval(PING_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    loop {
        let written = tokio::select! {
            biased;
            _ = ticks.tick() => {
                sequence += 1;
                // The time is taken before the write, so that it is never later than
                // the time at which the ping left.
                lock(pings).sent.push_back((sequence, Instant::now()));
                let revision = shared.status().revision;
                send_frame(&mut sink, &Frame::Ping { sequence, revision }).await
            }
            frame = frames.recv() => match frame {
                Some(bytes) => send_bytes(&mut sink, bytes).await,
                None => return LinkError::Closed,
            },
        };
        match written {
            Ok(size) => shared.metrics.count_bytes("sent", size),
            Err(error) => return error,
        }
    }
}

async fn read(
    shared: &Shared,
    mut stream: Stream,
    welcome: &Hello,
    outbound: &Arc<Outbound>,
    pings: &Mutex<Pings>,
) -> LinkError {
    loop {
        let (frame, size) = match receive(&mut stream).await {
            Ok(received) => received,
            Err(error) => return error,
        };
        shared.metrics.count_bytes("received", size);
        match frame {
            Frame::Pong { sequence, status } => {
                let Some(sent) = take_sent_time(&mut lock(pings), sequence) else {
                    return LinkError::Unexpected;
                };
                shared.metrics.observe_round_trip(sent.elapsed());
                shared
                    .directory
                    .record_pong(&welcome.instance, outbound, sent, status);
                shared.notify_heartbeat();
            }
            Frame::Reply { request, answer } => outbound.complete_query(request, answer),
            _ => return LinkError::Unexpected,
        }
    }
}

/// Removes the ping that a pong answers, and all earlier ones, and returns its send
/// time.
fn take_sent_time(pings: &mut Pings, sequence: u64) -> Option<Instant> {
    while let Some((number, sent)) = pings.sent.pop_front() {
        if number == sequence {
            pings.last_pong = Instant::now();
            return Some(sent);
        }
    }
    None
}

/// Waits until no pong has been received for [`PONG_TIMEOUT`].
async fn watch_pongs(pings: &Mutex<Pings>) -> LinkError {
    loop {
        let since_pong = lock(pings).last_pong.elapsed();
        if since_pong >= PONG_TIMEOUT {
            return LinkError::Silent(since_pong.as_millis());
        }
        sleep(PONG_TIMEOUT.saturating_sub(since_pong)).await;
    }
}
