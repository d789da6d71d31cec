//! The link to one peer, opened and used by this side.

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

/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a pong after which a link is closed and dialled again.
const PONG_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after the first failed dial; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// Longest pause between two dials.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Pings that were sent and not answered yet.
#[derive(Debug)]
struct Pings {
    sent: VecDeque<(u64, Instant)>,
    last_pong: Instant,
}

/// Keeps a link to a peer until the peer is forgotten.
pub(crate) async fn run(shared: Arc<Shared>, instance: Instance) {
    let mut backoff = BACKOFF_MIN;
    while let Some(dial) = shared.roster.dial(&instance) {
        let opened = tokio::select! {
            opened = timeout(HANDSHAKE_TIMEOUT, open(&shared, &instance, dial.address)) => {
                opened.unwrap_or(Err(LinkError::HandshakeTimeout))
            }
            () = shared.stopped.cancelled() => return,
        };
        match opened {
            Ok((sink, stream, welcome)) => {
                shared.metrics.count_dial("opened");
                backoff = BACKOFF_MIN;
                let error = keep(&shared, sink, stream, &welcome).await;
                shared.metrics.count_close(error.reason());
                if shared.stopped.is_cancelled() {
                    return;
                }
                log::warn!(target: "links", "link to {instance} at {} closed: {error}", dial.address);
            }
            Err(error) => {
                shared.metrics.count_dial(error.reason());
                log::debug!(target: "links", "can't open a link to {instance} at {}: {error}", dial.address);
                if shared.roster.forget_unreachable(&instance) {
                    shared.metrics.count_forgotten();
                    log::info!(target: "links", "forgot {instance}: it left the instance list and can't be reached");
                    break;
                }
            }
        }
        shared.show_peers();
        let pause = rand::rng().random_range(backoff / 2..=backoff);
        backoff = (backoff * 2).min(BACKOFF_MAX);
        tokio::select! {
            () = sleep(pause) => {}
            () = dial.wake.notified() => {}
            () = shared.stopped.cancelled() => return,
        }
    }
    shared.show_peers();
}

/// Opens a connection and exchanges introductions.
async fn open(
    shared: &Shared,
    instance: &Instance,
    address: std::net::SocketAddr,
) -> Result<(Sink, Stream, Hello), LinkError> {
    let own = &shared.hello;
    let socket: Socket = connect(address, &own.instance, shared.authorization.clone()).await?;
    let (mut sink, mut stream) = socket.split();
    send_frame(&mut sink, &Frame::Hello(own.clone())).await?;
    let welcome = match receive(&mut stream).await?.0 {
        Frame::Welcome(welcome) => welcome,
        Frame::Refusal(refusal) => {
            log::warn!(target: "links", "{instance} at {address} refused a link: {refusal}");
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

/// Uses an open link until it fails.
async fn keep(shared: &Shared, sink: Sink, stream: Stream, welcome: &Hello) -> LinkError {
    let (outbound, frames) = Outbound::open(welcome.incarnation);
    let outbound = Arc::new(outbound);
    if !shared.roster.connect(welcome, Arc::clone(&outbound)) {
        return LinkError::Closed;
    }
    shared.show_peers();
    log::info!(target: "links", "link to {} at {} is open", welcome.instance, welcome.peer);
    let pings = Mutex::new(Pings {
        sent: VecDeque::new(),
        last_pong: Instant::now(),
    });
    // The three parts run in one task. They are polled concurrently, because a
    // peer that does not read must not keep this side from noticing it.
    let error = tokio::select! {
        error = write(shared, sink, frames, &pings) => error,
        error = read(shared, stream, welcome, &outbound, &pings) => error,
        error = watch_pongs(&pings) => error,
        error = outbound.closing() => error,
        () = shared.stopped.cancelled() => LinkError::Closed,
    };
    outbound.shut();
    shared.roster.disconnect(&welcome.instance, &outbound);
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
                // Taken before the write, so that a pong never counts from a
                // moment after the ping left.
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
                let Some(sent) = answered(&mut lock(pings), sequence) else {
                    return LinkError::Unexpected;
                };
                shared.metrics.time_round_trip(sent.elapsed());
                shared
                    .roster
                    .hear(&welcome.instance, outbound, sent, status);
                shared.beat();
            }
            Frame::Reply { request, answer } => outbound.settle(request, answer),
            _ => return LinkError::Unexpected,
        }
    }
}

/// Send time of the ping that a pong answers; earlier pings are dropped.
fn answered(pings: &mut Pings, sequence: u64) -> Option<Instant> {
    while let Some((number, sent)) = pings.sent.pop_front() {
        if number == sequence {
            pings.last_pong = Instant::now();
            return Some(sent);
        }
    }
    None
}

async fn watch_pongs(pings: &Mutex<Pings>) -> LinkError {
    loop {
        let silent = lock(pings).last_pong.elapsed();
        if silent >= PONG_TIMEOUT {
            return LinkError::Silent(silent.as_millis());
        }
        sleep(PONG_TIMEOUT.saturating_sub(silent)).await;
    }
}
