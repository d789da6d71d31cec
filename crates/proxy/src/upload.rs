//! Bodies of requests, on their way to a target.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// Largest body that is held in memory, so that its request can be sent again.
const HELD_LIMIT: usize = 64 * 1024;

/// What is wrong with the body that a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum Fault {
    /// It is larger than the document permits.
    #[error("the body is larger than the service permits")]
    TooLarge,
    /// The caller paused for too long.
    #[error("the body did not arrive in time")]
    Slow,
    /// The caller broke off.
    #[error("the body broke off")]
    Broken,
}

/// Body of a request to a target.
#[derive(Debug)]
pub(crate) enum Upload {
    Whole(Bytes),
    Stream(Box<Intake>),
}

/// Body of a request as it comes from the caller.
#[derive(Debug)]
pub(crate) struct Intake {
    body: Incoming,
    /// Bytes that were read ahead.
    ahead: Bytes,
    received: u64,
    limit: u64,
    pause: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    state: Arc<State>,
}

/// What is known of a body while another task reads it.
#[derive(Debug, Default)]
pub(crate) struct State {
    fault: OnceLock<Fault>,
    complete: AtomicBool,
}

impl State {
    pub(crate) fn fault(&self) -> Option<Fault> {
        self.fault.get().copied()
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Acquire)
    }
}

impl Intake {
    pub(crate) fn new(body: Incoming, limit: u64, pause: Duration) -> Self {
        Self {
            body,
            ahead: Bytes::new(),
            received: 0,
            limit,
            pause,
            timer: None,
            state: Arc::default(),
        }
    }

    pub(crate) fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Reads the body into memory if it is small.
    pub(crate) async fn hold(mut self) -> Result<Upload, Fault> {
        if self.body.is_end_stream() {
            self.state.complete.store(true, Ordering::Release);
            return Ok(Upload::Whole(Bytes::new()));
        }
        if self.body.size_hint().lower() > self.limit {
            return Err(Fault::TooLarge);
        }
        if self.body.size_hint().lower() > HELD_LIMIT as u64 {
            return Ok(Upload::Stream(Box::new(self)));
        }
        let mut held = Bytes::new();
        while let Some(frame) = self.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            held = join(&held, data);
            if held.len() > HELD_LIMIT {
                self.ahead = held;
                return Ok(Upload::Stream(Box::new(self)));
            }
        }
        Ok(Upload::Whole(held))
    }

    fn fail(&self, fault: Fault) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let _ = self.state.fault.set(fault);
        Poll::Ready(Some(Err(fault)))
    }
}

/// Joins two pieces; the first piece of a body is not copied.
fn join(held: &Bytes, data: Bytes) -> Bytes {
    if held.is_empty() {
        return data;
    }
    let mut joined = BytesMut::with_capacity(held.len() + data.len());
    joined.extend_from_slice(held);
    joined.extend_from_slice(&data);
    joined.freeze()
}

impl Body for Intake {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let this = &mut *self;
        if !this.ahead.is_empty() {
            let ahead = std::mem::take(&mut this.ahead);
            return Poll::Ready(Some(Ok(Frame::data(ahead))));
        }
        let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
            let pause = this.pause;
            let timer = this
                .timer
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(pause)));
            ready!(timer.as_mut().poll(cx));
            return this.fail(Fault::Slow);
        };
        if let Some(timer) = &mut this.timer {
            timer.as_mut().reset(Instant::now() + this.pause);
        }
        match frame {
            Some(Ok(frame)) => {
                this.received += frame.data_ref().map_or(0, |data| data.len() as u64);
                if this.received > this.limit {
                    return this.fail(Fault::TooLarge);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => this.fail(Fault::Broken),
            None => {
                this.state.complete.store(true, Ordering::Release);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let end = self.ahead.is_empty() && self.body.is_end_stream();
        if end {
            self.state.complete.store(true, Ordering::Release);
        }
        end
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = self.body.size_hint();
        let ahead = self.ahead.len() as u64;
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + ahead);
        }
        hint.set_lower(hint.lower() + ahead);
        hint
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Self::Stream(intake) => Pin::new(intake.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Stream(intake) => intake.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(intake) => intake.size_hint(),
        }
    }
}
