//! Attempts: one exchange with one target on one connection.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use carobdrift_balance::{Call, Load, Observation, Report, Slot};
use carobdrift_document::Kind;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::{Body, Incoming};
use log::debug;
use thiserror::Error;
use tokio::time::Instant;

use crate::failure::{Failure, Outcome};
use crate::fields;
use crate::relay::{Relay, Resources};
use crate::services::{ActiveService, Services};
use crate::upload::{self, Upload};
use crate::upstream::{Exchange, Freshness, OpenError, Upstream};

/// Time for which a request that was routed by an older version of the document
/// may still be sent. Longer than the delay of hedges, and far below the 5 s
/// within which a new document must be in force.
const OUTDATED_GRACE: Duration = Duration::from_millis(500);

/// Outbound request, ready to be sent to targets.
#[derive(Debug)]
pub(crate) struct Outbound {
    pub(crate) services: Services,
    pub(crate) active: Arc<ActiveService>,
    pub(crate) call: Call,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// State of the request body, if the body is streamed.
    pub(crate) upload: Option<Arc<upload::State>>,
    /// Time at which the request was routed by the document in force.
    pub(crate) routed_at: Instant,
    /// Time at which the first attempt was sent.
    pub(crate) first_sent_at: OnceLock<Instant>,
}

/// Response of a target, with an unread body.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub(crate) head: Parts,
    pub(crate) body: Relay,
    /// Whether the target states that it refused the request without running
    /// it.
    pub(crate) refused: bool,
}

/// Failure of an attempt that got no response.
#[derive(Debug)]
pub(crate) struct AttemptError {
    pub(crate) outcome: Outcome,
    pub(crate) cause: Cause,
}

/// Cause of a failed attempt. The text is sent in response bodies.
#[derive(Debug, Error)]
pub(crate) enum Cause {
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("the exchange with the target broke: {0}")]
    Failed(hyper::Error),
    #[error("the target gave no answer before the deadline")]
    TimedOut,
    #[error("the deadline passed before the request was sent")]
    Expired,
    #[error("this entry can't confirm that its documents are the newest ones")]
    Unconfirmed,
    #[error("the document of the service changed before the request was sent")]
    Outdated,
    #[error("the target's response has no stated length")]
    Unframed,
    #[error("the response is larger than the service permits")]
    TooLarge,
    #[error("{0}")]
    Upload(upload::Fault),
}

impl TargetResponse {
    /// Returns whether another attempt may get a better response.
    pub(crate) fn is_retryable(&self) -> bool {
        self.refused
            || matches!(
                self.head.status,
                StatusCode::INTERNAL_SERVER_ERROR
                    | StatusCode::BAD_GATEWAY
                    | StatusCode::SERVICE_UNAVAILABLE
                    | StatusCode::GATEWAY_TIMEOUT
            )
    }
}

impl From<AttemptError> for Failure {
    fn from(error: AttemptError) -> Self {
        let (status, reason) = match &error.cause {
            Cause::Open(_) => (StatusCode::BAD_GATEWAY, "no-connection"),
            Cause::Failed(_) | Cause::Unframed => (StatusCode::BAD_GATEWAY, "target-failed"),
            Cause::TooLarge => (StatusCode::BAD_GATEWAY, "response-too-large"),
            Cause::TimedOut | Cause::Expired => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
            Cause::Unconfirmed => (StatusCode::SERVICE_UNAVAILABLE, "unconfirmed"),
            Cause::Outdated => (StatusCode::SERVICE_UNAVAILABLE, "document-changed"),
            Cause::Upload(fault) => return Self::from_upload_fault(*fault, error.outcome),
        };
        Self::new(status, error.outcome, reason, error.cause.to_string())
    }
}

impl Failure {
    /// Creates the failure for a fault in the request body.
    pub(crate) fn from_upload_fault(fault: upload::Fault, outcome: Outcome) -> Self {
        let (status, reason) = match fault {
            upload::Fault::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            upload::Fault::TimedOut => (StatusCode::BAD_REQUEST, "body-timeout"),
            upload::Fault::Malformed => (StatusCode::BAD_REQUEST, "body-broken"),
        };
        Self {
            close_connection: true,
            ..Self::new(status, outcome, reason, fault.to_string())
        }
    }
}

/// Attempt that has a connection but was not sent yet.
#[derive(Debug)]
pub(crate) struct OpenAttempt {
    slot: Slot,
    upstream: Arc<Upstream>,
    exchange: Exchange,
}

impl Outbound {
    /// Runs one attempt until the head of its response arrives. Sets `reused`
    /// to whether the attempt uses a connection that had an exchange before.
    pub(crate) async fn attempt(
        &self,
        slot: Slot,
        freshness: Freshness,
        upload: Upload,
        retries_left: Option<u32>,
        reused: Option<&AtomicBool>,
    ) -> Result<TargetResponse, AttemptError> {
        let open_attempt = self.open(slot, freshness).await?;
        if let Some(reused) = reused {
            reused.store(open_attempt.exchange.is_reused(), Ordering::Relaxed);
        }
        self.send(open_attempt, upload, retries_left).await
    }

    /// Acquires a connection to the target of the slot.
    pub(crate) async fn open(
        &self,
        slot: Slot,
        freshness: Freshness,
    ) -> Result<OpenAttempt, AttemptError> {
        let upstream = self.active.upstream(slot.address());
        match upstream.acquire(freshness, self.call.deadline).await {
            Ok(exchange) => Ok(OpenAttempt {
                slot,
                upstream,
                exchange,
            }),
            Err(error) => {
                debug!(target: "proxy", "target {}: {error}", slot.target());
                slot.finish(&Observation::new(match error {
                    OpenError::Exhausted => carobdrift_balance::Outcome::Connection,
                    OpenError::Connect(_) | OpenError::TimedOut => {
                        carobdrift_balance::Outcome::Failure
                    }
                }));
                Err(AttemptError {
                    outcome: Outcome::NotRun,
                    cause: error.into(),
                })
            }
        }
    }

    /// Returns whether this entry may dispatch the request now.
    pub(crate) fn may_dispatch(&self) -> bool {
        self.is_confirmed() && self.is_current()
    }

    fn is_confirmed(&self) -> bool {
        self.services.documents().standing().permits_calls()
    }

    /// Returns whether the version of the document that routed the request is
    /// in force, or was until recently. An edit must not cause the refusal of
    /// requests that are already being dispatched.
    fn is_current(&self) -> bool {
        let edition = self
            .services
            .documents()
            .edition(&self.active.document.service);
        edition.is_some_and(|edition| edition.version <= self.active.version)
            || self.routed_at.elapsed() < OUTDATED_GRACE
    }

    /// Checks the conditions for dispatch, which may have changed while the
    /// request waited, for example during a pause of the process.
    fn check_dispatch_conditions(&self, now: Instant) -> Result<(), AttemptError> {
        let cause = if now >= self.call.deadline {
            Cause::Expired
        } else if !self.is_confirmed() {
            Cause::Unconfirmed
        } else if !self.is_current() {
            Cause::Outdated
        } else {
            return Ok(());
        };
        Err(AttemptError {
            outcome: Outcome::NotRun,
            cause,
        })
    }

    /// Sends the request and waits for the head of its response. When a reused
    /// connection turns out to be closed before any byte was written, the
    /// request is sent on a new connection.
    pub(crate) async fn send(
        &self,
        mut open_attempt: OpenAttempt,
        mut upload: Upload,
        retries_left: Option<u32>,
    ) -> Result<TargetResponse, AttemptError> {
        loop {
            let sent_at = Instant::now();
            self.check_dispatch_conditions(sent_at)?;
            let _ = self.first_sent_at.set(sent_at);
            let request = self.build_request(upload, retries_left);
            let exchange = open_attempt.exchange.send(request);
            let error = match tokio::time::timeout_at(self.call.deadline, exchange).await {
                Ok(Ok(response)) => return self.accept_response(open_attempt, response),
                Ok(Err(error)) => error,
                Err(_) => return Err(time_out(open_attempt, sent_at)),
            };
            let sent_bytes = open_attempt.exchange.stop();
            let reused = open_attempt.exchange.is_reused();
            let mut error = error;
            if let Some(request) = error.take_message()
                && reused
                && sent_bytes == 0
            {
                upload = request.into_body();
                open_attempt = self.open(open_attempt.slot, Freshness::New).await?;
                continue;
            }
            let fault = self.upload.as_ref().and_then(|state| state.fault());
            open_attempt.slot.finish(&Observation::new(match fault {
                // A fault of the caller is no evidence against the target.
                Some(_) => carobdrift_balance::Outcome::Connection,
                None if reused => carobdrift_balance::Outcome::Connection,
                None => carobdrift_balance::Outcome::Failure,
            }));
            let cause = fault.map_or_else(|| Cause::Failed(error.into_error()), Cause::Upload);
            return Err(AttemptError {
                outcome: Outcome::from_sent_bytes(sent_bytes),
                cause,
            });
        }
    }

    fn build_request(&self, upload: Upload, retries_left: Option<u32>) -> Request<Upload> {
        let mut request = Request::new(upload);
        request.method_mut().clone_from(&self.method);
        request.uri_mut().clone_from(&self.uri);
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let remaining = self.call.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(fields::DEADLINE, HeaderValue::from(remaining_ms));
        if let Some(retries) = retries_left {
            headers.insert(fields::RETRIES_LEFT, HeaderValue::from(retries));
        }
        request
    }

    fn accept_response(
        &self,
        open_attempt: OpenAttempt,
        response: Response<Incoming>,
    ) -> Result<TargetResponse, AttemptError> {
        let (head, body) = response.into_parts();
        open_attempt.slot.report(&parse_report(&head.headers));
        if is_unframed(&head, &body) {
            let failure = carobdrift_balance::Outcome::Failure;
            open_attempt.slot.finish(&Observation::new(failure));
            return Err(AttemptError {
                outcome: Outcome::Unknown,
                cause: Cause::Unframed,
            });
        }
        let limit = self.active.document.bodies.max_response_bytes.0;
        if body.size_hint().lower() > limit {
            let success = carobdrift_balance::Outcome::Success;
            open_attempt.slot.finish(&Observation::new(success));
            return Err(AttemptError {
                outcome: Outcome::Unknown,
                cause: Cause::TooLarge,
            });
        }
        let refused = head.status == StatusCode::SERVICE_UNAVAILABLE
            && head
                .headers
                .get(fields::REFUSED)
                .is_some_and(|value| value == fields::NOT_PROCESSED);
        let outcome = if refused {
            carobdrift_balance::Outcome::Refused
        } else if head.status.is_server_error() {
            carobdrift_balance::Outcome::Failure
        } else {
            carobdrift_balance::Outcome::Success
        };
        let resources = Resources {
            exchange: open_attempt.exchange,
            upstream: open_attempt.upstream,
            slot: open_attempt.slot,
            outcome,
            upload: self.upload.clone(),
        };
        let body = Relay::new(body, resources, limit, self.call.deadline);
        Ok(TargetResponse {
            head,
            body,
            refused,
        })
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.call.kind == Kind::Idempotent
    }
}

/// Ends an attempt whose deadline passed. On a reused connection, the time-out
/// is attributed to the connection and not to the target.
fn time_out(open_attempt: OpenAttempt, sent_at: Instant) -> AttemptError {
    let sent_bytes = open_attempt.exchange.stop();
    let reused = open_attempt.exchange.is_reused();
    if reused {
        open_attempt.upstream.close_unused_since(sent_at);
    }
    open_attempt.slot.finish(&Observation::new(if reused {
        carobdrift_balance::Outcome::Connection
    } else {
        carobdrift_balance::Outcome::TimedOut
    }));
    AttemptError {
        outcome: Outcome::from_sent_bytes(sent_bytes),
        cause: Cause::TimedOut,
    }
}

/// Returns whether the body is delimited only by the end of the connection, so
/// that its end cannot be distinguished from a failure.
fn is_unframed(head: &Parts, body: &Incoming) -> bool {
    !body.is_end_stream()
        && body.size_hint().exact().is_none()
        && !head.headers.contains_key(TRANSFER_ENCODING)
        && !head.headers.contains_key(CONTENT_LENGTH)
}

/// Returns the state that a target reports in the fields of a response.
fn parse_report(headers: &HeaderMap) -> Report {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    Report {
        load: text(fields::LOAD).and_then(parse_load),
        draining: text(fields::DRAINING) == Some("1"),
        start: text(fields::START).map(str::to_owned),
    }
}

fn parse_load(text: &str) -> Option<Load> {
    let (in_flight, slots) = text.split_once('/')?;
    Some(Load {
        in_flight: in_flight.parse().ok()?,
        slots: slots.parse().ok()?,
    })
}
