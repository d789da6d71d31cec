//! Bodies of responses, on their way to a caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use carobdrift_balance::{Observation, Outcome, Slot};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use prometheus::Histogram;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

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
/// pool; when it is dropped before, its connection is closed.
#[derive(Debug)]
pub(crate) struct Relay {
    body: Incoming,
    hold: Option<Hold>,
    received: u64,
    limit: u64,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
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

impl Relay {
    pub(crate) fn new(body: Incoming, hold: Hold, limit: u64, deadline: Instant) -> Self {
        let mut relay = Self {
            body,
            hold: Some(hold),
            received: 0,
            limit,
            deadline,
            timer: None,
            timing: None,
        };
        relay.finish_at_end();
        relay
    }

    /// Records the time from `begin` to the end of the body.
    pub(crate) fn time(&mut self, begin: Instant, histogram: Histogram) {
        if self.hold.is_some() {
            self.timing = Some((begin, histogram));
        } else {
            histogram.observe(begin.elapsed().as_secs_f64());
        }
    }

    /// Counts the attempt without reading its response to the end.
    pub(crate) fn discard(mut self) {
        if let Some(hold) = self.hold.take() {
            hold.slot.finish(&Observation::bare(hold.outcome));
        }
    }

    /// Gives back what the exchange holds once the body has ended. The HTTP
    /// library may not poll a body again that says it has ended.
    fn finish_at_end(&mut self) {
        if !self.body.is_end_stream() {
            return;
        }
        let Some(hold) = self.hold.take() else {
            return;
        };
        hold.slot.finish(&Observation::bare(hold.outcome));
        if hold.upload.is_none_or(|upload| upload.is_complete()) {
            hold.upstream.end(hold.exchange);
        }
        if let Some((begin, histogram)) = self.timing.take() {
            histogram.observe(begin.elapsed().as_secs_f64());
        }
    }

    fn cut(&mut self, outcome: Outcome, cut: Cut) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(hold) = self.hold.take() {
            hold.slot.finish(&Observation::bare(outcome));
        }
        Poll::Ready(Some(Err(cut)))
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
        let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
            let deadline = this.deadline;
            let timer = this
                .timer
                .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
            if timer.as_mut().poll(cx).is_ready() {
                return this.cut(Outcome::TimedOut, Cut::Deadline);
            }
            return Poll::Pending;
        };
        match frame {
            Some(Ok(frame)) => {
                this.received += frame.data_ref().map_or(0, |data| data.len() as u64);
                if this.received > this.limit {
                    return this.cut(Outcome::Success, Cut::TooLarge);
                }
                this.finish_at_end();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => this.cut(Outcome::Failure, error.into()),
            None => {
                this.finish_at_end();
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
