//! One attempt of a request on a target.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_http1::{ExchangeError, Response, encode_request_parts};
use carobdrift_placement::Outcome;
use http::StatusCode;
use tokio::time::Instant;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::place::Placement;
use crate::relay;
use crate::upstream::Upstream;

/// Idle time up to which a kept connection is reused for a non-idempotent
/// request. The target may reset a connection that was idle for longer, and the
/// outcome of the request would be unknown.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1500);

/// Size of the first part of a response's body, which is read before the response
/// is passed on. A response that breaks off within this part can be replaced by
/// one of another target; a larger part would cost memory.
const RESPONSE_WINDOW_BYTES: usize = 64 * 1024;

/// Completion of an attempt.
#[derive(Debug)]
pub(crate) enum Completion {
    /// The target answered. The rest of a large response is still to come.
    Answered(Response),
    /// The target states that it did not execute the request.
    NotExecuted,
    /// No byte of the request was sent.
    NotSent,
    /// The target may have executed the request, but there is no valid complete
    /// response.
    Broken(&'static str),
    /// The target no longer accepts requests, so nothing was sent.
    Withdrawn,
    /// The API key of the request was revoked, so nothing was sent.
    Unauthorized,
}

impl Completion {
    /// Whether nothing of the request was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent | Self::Withdrawn | Self::Unauthorized)
    }

    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(response) if response.status.is_server_error() => "server-error",
            Self::Answered(_) => "answered",
            Self::NotExecuted => "not-executed",
            Self::NotSent => "not-sent",
            Self::Broken(reason) => reason,
            Self::Withdrawn => "withdrawn",
            Self::Unauthorized => "unauthorized",
        }
    }
}

impl Gateway {
    /// Sends a request to the target that was selected for it.
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        call: &Arc<Call>,
        placement: Placement,
    ) -> Completion {
        let endpoint = placement.endpoint.clone();
        let started = Instant::now();
        let completion = self.send(call, &placement).await;
        let outcome = match &completion {
            Completion::Answered(response) if response.status.is_server_error() => Outcome::Failure,
            Completion::Answered(_) => Outcome::Success,
            Completion::NotExecuted => Outcome::Refused,
            Completion::NotSent | Completion::Broken(_) => Outcome::Failure,
            Completion::Withdrawn | Completion::Unauthorized => Outcome::Cancelled,
        };
        placement.end(outcome);
        self.metrics
            .attempts
            .with_label_values(&[call.service.as_str(), completion.as_str()])
            .inc();
        if !matches!(completion, Completion::Answered(_)) {
            log::info!(
                target: "attempt",
                "event=failed id={} target={} result={} ms={} version={}",
                call.id.as_deref().unwrap_or("-"),
                endpoint.id,
                completion.as_str(),
                started.elapsed().as_millis(),
                call.version
            );
        }
        completion
    }

    async fn send(self: &Arc<Self>, call: &Arc<Call>, placement: &Placement) -> Completion {
        let endpoint = &placement.endpoint;
        let max_idle = if call.is_idempotent() {
            Duration::MAX
        } else {
            MAX_IDLE_NON_IDEMPOTENT
        };
        let mut kept = self.upstreams.take(endpoint, max_idle);
        loop {
            let reused = kept.is_some();
            let mut upstream = match kept.take() {
                Some(upstream) => upstream,
                None => match self.upstreams.open(endpoint).await {
                    Ok(upstream) => upstream,
                    Err(error) => {
                        self.mark_unreachable(endpoint, "request", &error);
                        return Completion::NotSent;
                    }
                },
            };
            // The target may have been withdrawn while the connection was being
            // opened or the machine was suspended.
            if !self.accepts(endpoint) {
                self.upstreams.put(endpoint, upstream);
                return Completion::Withdrawn;
            }
            // The request may have waited since its key was checked.
            if !self.is_authorized(call) {
                self.upstreams.put(endpoint, upstream);
                return Completion::Unauthorized;
            }
            match self.exchange(call, placement, &mut upstream).await {
                Ok(Completion::Answered(mut response))
                    if upstream.connection.is_within_response() =>
                {
                    response.rest = Some(relay::rest(self, call, endpoint, upstream));
                    return Completion::Answered(response);
                }
                // The answer to this attempt may still follow a foreign one.
                Ok(completion @ Completion::Broken(_)) => return completion,
                Ok(completion) => {
                    self.upstreams.put(endpoint, upstream);
                    return completion;
                }
                Err(error) => {
                    log::info!(
                        target: "attempt",
                        "event=no-answer id={} target={} connection={} sent={} error=\"{}\"",
                        call.id.as_deref().unwrap_or("-"),
                        endpoint.id,
                        if reused { "kept" } else { "new" },
                        error.sent,
                        error.cause
                    );
                    match error.sent {
                        // The target closed the kept connection before any
                        // byte of this request was sent.
                        0 if reused => {}
                        0 => return Completion::NotSent,
                        _ => return Completion::Broken("broken"),
                    }
                }
            }
        }
    }

    /// Sends the request over a connection and classifies the response, once it is
    /// complete or its first part was read.
    async fn exchange(
        &self,
        call: &Call,
        placement: &Placement,
        upstream: &mut Upstream,
    ) -> Result<Completion, ExchangeError> {
        let endpoint = &placement.endpoint;
        let mut headers = call.headers.clone();
        self.dialect
            .set_target_headers(&mut headers, call.remaining(), &endpoint.id);
        let request = encode_request_parts(&call.method, &call.target, &headers, &call.body);
        call.begin_dispatch();
        let mut sent = 0;
        let result = upstream
            .start(
                call.id.as_deref(),
                &call.method,
                request,
                RESPONSE_WINDOW_BYTES,
                &mut sent,
                self.dialect.as_ref(),
            )
            .await;
        upstream.last_attempt.clone_from(&call.id);
        if sent == 0 {
            call.undo_dispatch();
        }
        let response = result?;
        let echoed_id = self.dialect.attempt_id(&response.headers);
        let is_echoed = echoed_id.is_some() && echoed_id == call.id.as_deref();
        // A response without the id of this attempt can belong to an earlier exchange
        // of the connection, however long ago.
        let is_own = is_echoed || (echoed_id.is_none() && !upstream.reused);
        // One with status 421 may come from another target.
        if is_own && response.status != StatusCode::MISDIRECTED_REQUEST {
            self.record_statements(endpoint, &response);
        }
        if is_own
            && self
                .dialect
                .is_not_executed(response.status, &response.headers)
        {
            call.undo_dispatch();
            return Ok(Completion::NotExecuted);
        }
        if !is_echoed {
            return Ok(Completion::Broken("foreign-answer"));
        }
        if !self.dialect.is_signed(&response.headers) && response.status.is_success() {
            return Ok(Completion::Broken("unsigned-answer"));
        }
        Ok(Completion::Answered(response))
    }
}
