//! Response bodies that are relayed from targets to callers.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use carobdrift_balance::{Observation, Outcome, Slot};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use prometheus::Histogram;
use thiserror::Error;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::upload;
use crate::upstream::{Exchange, Upstream};

/// Interruption of a response body. The caller's connection or stream is
/// aborted, so that the truncated response does not look complete. The text is
/// sent in the response body when the response to a keyed request is recorded.
#[derive(Debug, Error)]
pub(crate) enum Interruption {
    /// The connection to the target failed within the response.
    #[error("the target broke off its response: {0}")]
    Failed(#[from] hyper::Error),
    /// The body is larger than the document permits.
    #[error("the response is larger than the service permits")]
    TooLarge,
    /// The deadline passed within the response.
    #[error("the response did not end before the deadline")]
    Deadline,
}

/// Body of a target's response. When the body ends, the connection returns to
/// its pool. When the body is dropped before its end, or the deadline passes,
/// the connection is closed.
#[derive(Debug)]
pub(crate) struct Relay {
    body: Incoming,
    shared: Arc<Shared>,
    /// Task that ends the exchange at its deadline, even while the caller reads
    /// nothing and the body is not polled.
    watchdog: Option<AbortHandle>,
    ended: bool,
    received: u64,
    limit: u64,
    /// Start of the request, and the histogram that records its duration.
    timing: Option<(Instant, Histogram)>,
}

/// Resources that an exchange occupies until its response has ended.
#[derive(Debug)]
pub(crate) struct Resources {
    pub(crate) exchange: Exchange,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) slot: Slot,
    /// Outcome to report for the target when the response ends normally.
    pub(crate) outcome: Outcome,
    /// State of the request body, if the body is streamed.
    pub(crate) upload: Option<Arc<upload::State>>,
}

/// State that a [`Relay`] shares with its watchdog.
#[derive(Debug)]
struct Shared {
    resources: Mutex<Option<Resources>>,
    /// Whether the relay waits for the target, and not for the caller.
    awaiting_target: AtomicBool,
}

impl Shared {
    fn take(&self) -> Option<Resources> {
        let mut resources = self
            .resources
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        resources.take()
    }

    fn is_over(&self) -> bool {
        let resources = self
            .resources
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        resources.is_none()
    }

    async fn enforce_deadline(self: Arc<Self>, deadline: Instant) {
        tokio::time::sleep_until(deadline).await;
        if let Some(resources) = self.take() {
            let outcome = if self.awaiting_target.load(Ordering::Acquire) {
                Outcome::TimedOut
            } else {
                resources.outcome
            };
            resources.slot.finish(&Observation::new(outcome));
        }
    }
}

impl Relay {
    pub(crate) fn new(body: Incoming, resources: Resources, limit: u64, deadline: Instant) -> Self {
        let shared = Shared {
            resources: Mutex::new(Some(resources)),
            awaiting_target: AtomicBool::new(true),
        };
        let mut relay = Self {
            body,
            shared: Arc::new(shared),
            watchdog: None,
            ended: false,
            received: 0,
            limit,
            timing: None,
        };
        if relay.body.is_end_stream() {
            relay.finish();
        } else {
            let watchdog = Arc::clone(&relay.shared).enforce_deadline(deadline);
            relay.watchdog = Some(tokio::spawn(watchdog).abort_handle());
        }
        relay
    }

    /// Records the time from `started_at` to the end of the body in `histogram`.
    pub(crate) fn record_duration(&mut self, started_at: Instant, histogram: Histogram) {
        if self.body.is_end_stream() {
            histogram.observe(started_at.elapsed().as_secs_f64());
        } else {
            self.timing = Some((started_at, histogram));
        }
    }

    /// Reports the outcome of the attempt without reading the rest of the
    /// response. The connection is closed.
    pub(crate) fn discard(self) {
        if let Some(resources) = self.shared.take() {
            resources.slot.finish(&Observation::new(resources.outcome));
        }
    }

    /// Releases the resources of the exchange once the body has ended.
    fn finish(&mut self) {
        self.ended = true;
        let Some(resources) = self.shared.take() else {
            return;
        };
        resources.slot.finish(&Observation::new(resources.outcome));
        if resources.upload.is_none_or(|upload| upload.is_complete()) {
            resources.upstream.release(resources.exchange);
        }
        if let Some((started_at, histogram)) = self.timing.take() {
            histogram.observe(started_at.elapsed().as_secs_f64());
        }
    }

    fn interrupt(
        &mut self,
        outcome: Outcome,
        interruption: Interruption,
    ) -> Poll<Option<Result<Frame<Bytes>, Interruption>>> {
        if let Some(resources) = self.shared.take() {
            resources.slot.finish(&Observation::new(outcome));
        }
        Poll::Ready(Some(Err(interruption)))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(watchdog) = &self.watchdog {
            watchdog.abort();
        }
        drop(self.shared.take());
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Interruption;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interruption>>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        this.shared
            .awaiting_target
            .store(polled.is_pending(), Ordering::Release);
        // Checked after the poll, so that a connection that the watchdog closed
        // is never taken for the end of a body without a stated length.
        if this.shared.is_over() {
            return Poll::Ready(Some(Err(Interruption::Deadline)));
        }
        match ready!(polled) {
            Some(Ok(frame)) => {
                this.received += frame.data_ref().map_or(0, |data| data.len() as u64);
                if this.received > this.limit {
                    return this.interrupt(Outcome::Success, Interruption::TooLarge);
                }
                // The HTTP library may not poll a body again after
                // `is_end_stream` returned true.
                if this.body.is_end_stream() {
                    this.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => this.interrupt(Outcome::Failure, error.into()),
            None => {
                this.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
