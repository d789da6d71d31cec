//! Bodies of responses, on their way to a caller.

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

/// Why a response body ends early. The caller's connection or stream is
/// aborted, so that the response does not look complete.
#[derive(Debug, Error)]
pub(crate) enum Cut {
    /// The target broke off.
    #[error("the target broke off its response: {0}")]
    Broken(#[from] hyper::Error),
    /// It is larger than the document permits.
    #[error("the response is larger than the service permits")]
    TooLarge,
    /// The deadline passed.
    #[error("the response did not end before the deadline")]
    Deadline,
}

/// Body of a target's response. When it ends, its connection goes back to the
/// pool; when it is dropped before, or its deadline passes, its connection is
/// closed.
#[derive(Debug)]
pub(crate) struct Relay {
    body: Incoming,
    shared: Arc<Shared>,
    /// Ends the exchange at its deadline, even while the caller reads nothing
    /// and the body is not polled.
    watchdog: Option<AbortHandle>,
    ended: bool,
    received: u64,
    limit: u64,
    /// Begin of the request and where its time is recorded.
    timing: Option<(Instant, Histogram)>,
}

/// What an exchange holds until its response has ended.
#[derive(Debug)]
pub(crate) struct Hold {
    pub(crate) exchange: Exchange,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) slot: Slot,
    /// How the attempt counts once its response has ended.
    pub(crate) outcome: Outcome,
    /// State of a request body that is streamed.
    pub(crate) upload: Option<Arc<upload::State>>,
}

#[derive(Debug)]
struct Shared {
    hold: Mutex<Option<Hold>>,
    /// Whether the target is waited for, and not the caller.
    waiting: AtomicBool,
}

impl Shared {
    fn take(&self) -> Option<Hold> {
        let mut hold = self.hold.lock().unwrap_or_else(PoisonError::into_inner);
        hold.take()
    }

    fn is_over(&self) -> bool {
        let hold = self.hold.lock().unwrap_or_else(PoisonError::into_inner);
        hold.is_none()
    }

    async fn watch(self: Arc<Self>, deadline: Instant) {
        tokio::time::sleep_until(deadline).await;
        if let Some(hold) = self.take() {
            let outcome = if self.waiting.load(Ordering::Acquire) {
                Outcome::TimedOut
            } else {
                hold.outcome
            };
            hold.slot.finish(&Observation::new(outcome));
        }
    }
}

impl Relay {
    pub(crate) fn new(body: Incoming, hold: Hold, limit: u64, deadline: Instant) -> Self {
        let shared = Shared {
            hold: Mutex::new(Some(hold)),
            waiting: AtomicBool::new(true),
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
            let watch = Arc::clone(&relay.shared).watch(deadline);
            relay.watchdog = Some(tokio::spawn(watch).abort_handle());
        }
        relay
    }

    /// Records the time from `begin` to the end of the body.
    pub(crate) fn time(&mut self, begin: Instant, histogram: Histogram) {
        if self.body.is_end_stream() {
            histogram.observe(begin.elapsed().as_secs_f64());
        } else {
            self.timing = Some((begin, histogram));
        }
    }

    /// Counts the attempt without reading its response to the end.
    pub(crate) fn discard(self) {
        if let Some(hold) = self.shared.take() {
            hold.slot.finish(&Observation::new(hold.outcome));
        }
    }

    /// Gives back what the exchange holds once the body has ended.
    fn finish(&mut self) {
        self.ended = true;
        let Some(hold) = self.shared.take() else {
            return;
        };
        hold.slot.finish(&Observation::new(hold.outcome));
        if hold.upload.is_none_or(|upload| upload.is_complete()) {
            hold.upstream.end(hold.exchange);
        }
        if let Some((begin, histogram)) = self.timing.take() {
            histogram.observe(begin.elapsed().as_secs_f64());
        }
    }

    fn cut(&mut self, outcome: Outcome, cut: Cut) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(hold) = self.shared.take() {
            hold.slot.finish(&Observation::new(outcome));
        }
        Poll::Ready(Some(Err(cut)))
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
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        this.shared
            .waiting
            .store(polled.is_pending(), Ordering::Release);
        // Checked after the poll, so that a connection closed by the watchdog
        // is never taken for the end of a body without a stated length.
        if this.shared.is_over() {
            return Poll::Ready(Some(Err(Cut::Deadline)));
        }
        match ready!(polled) {
            Some(Ok(frame)) => {
                this.received += frame.data_ref().map_or(0, |data| data.len() as u64);
                if this.received > this.limit {
                    return this.cut(Outcome::Success, Cut::TooLarge);
                }
                // The HTTP library may not poll a body again that says it has
                // ended.
                if this.body.is_end_stream() {
                    this.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => this.cut(Outcome::Failure, error.into()),
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
