//! Request bodies that are sent to targets.

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

/// Largest body that is buffered, in bytes. Only requests with a buffered body
/// can be sent again.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Fault in the request body that a caller sends. The text is sent in response
/// bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum Fault {
    /// The body is larger than the document permits.
    #[error("the body is larger than the service permits")]
    TooLarge,
    /// The caller paused for too long within the body.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The body ended prematurely or is malformed.
    #[error("the body broke off")]
    Malformed,
}

/// Body of a request to a target.
#[derive(Debug)]
pub(crate) enum Upload {
    Buffered(Bytes),
    Streamed(Box<CallerBody>),
}

/// Request body that is received from the caller.
#[derive(Debug)]
pub(crate) struct CallerBody {
    body: Incoming,
    /// Bytes that were read before the body turned out to be too large to
    /// buffer.
    read_ahead: Bytes,
    received: u64,
    limit: u64,
    idle_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    state: Arc<State>,
}

/// State of a body, which can be read while another task reads the body.
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

impl CallerBody {
    pub(crate) fn new(body: Incoming, limit: u64, idle_timeout: Duration) -> Self {
        Self {
            body,
            read_ahead: Bytes::new(),
            received: 0,
            limit,
            idle_timeout,
            timer: None,
            state: Arc::default(),
        }
    }

    pub(crate) fn state(&self) -> Arc<State> {
        Arc::clone(&self.state)
    }

    /// Reads the body into memory if it is small; a larger body is streamed.
    pub(crate) async fn buffer(mut self) -> Result<Upload, Fault> {
        if self.body.is_end_stream() {
            self.state.complete.store(true, Ordering::Release);
            return Ok(Upload::Buffered(Bytes::new()));
        }
        if self.body.size_hint().lower() > self.limit {
            return Err(Fault::TooLarge);
        }
        if self.body.size_hint().lower() > MAX_BUFFERED_BYTES as u64 {
            return Ok(Upload::Streamed(Box::new(self)));
        }
        let mut buffered = Bytes::new();
        while let Some(frame) = self.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            buffered = concatenate(&buffered, data);
            if buffered.len() > MAX_BUFFERED_BYTES {
                self.read_ahead = buffered;
                return Ok(Upload::Streamed(Box::new(self)));
            }
        }
        Ok(Upload::Buffered(buffered))
    }

    fn fail(&self, fault: Fault) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let _ = self.state.fault.set(fault);
        Poll::Ready(Some(Err(fault)))
    }
}

/// Concatenates two parts of a body. The first part of a body is not copied.
fn concatenate(first: &Bytes, data: Bytes) -> Bytes {
    if first.is_empty() {
        return data;
    }
    let mut buffer = BytesMut::with_capacity(first.len() + data.len());
    buffer.extend_from_slice(first);
    buffer.extend_from_slice(&data);
    buffer.freeze()
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let this = &mut *self;
        if !this.read_ahead.is_empty() {
            let read_ahead = std::mem::take(&mut this.read_ahead);
            return Poll::Ready(Some(Ok(Frame::data(read_ahead))));
        }
        let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
            let idle_timeout = this.idle_timeout;
            let timer = this
                .timer
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(idle_timeout)));
            ready!(timer.as_mut().poll(cx));
            return this.fail(Fault::TimedOut);
        };
        if let Some(timer) = &mut this.timer {
            timer.as_mut().reset(Instant::now() + this.idle_timeout);
        }
        match frame {
            Some(Ok(frame)) => {
                this.received += frame.data_ref().map_or(0, |data| data.len() as u64);
                if this.received > this.limit {
                    return this.fail(Fault::TooLarge);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(_)) => this.fail(Fault::Malformed),
            None => {
                this.state.complete.store(true, Ordering::Release);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let end = self.read_ahead.is_empty() && self.body.is_end_stream();
        if end {
            self.state.complete.store(true, Ordering::Release);
        }
        end
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = self.body.size_hint();
        let read_ahead = self.read_ahead.len() as u64;
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + read_ahead);
        }
        hint.set_lower(hint.lower() + read_ahead);
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
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Self::Streamed(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(body) => body.size_hint(),
        }
    }
}
