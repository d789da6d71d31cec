//! One attempt: one request on one connection.

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
use crate::relay::{Hold, Relay};
use crate::services::{Served, Services};
use crate::upload::{self, Upload};
use crate::upstream::{Exchange, Freshness, OpenError, Upstream};

/// Time after which a request that was routed by an older document is not sent
/// any more. Longer than hedges take to go out, and far below the 5 s within
/// which a document must be in force.
const OUTDATED_AFTER: Duration = Duration::from_millis(500);

/// A request that is ready to be sent to targets.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) services: Services,
    pub(crate) served: Arc<Served>,
    pub(crate) call: Call,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// State of a request body that is streamed.
    pub(crate) upload: Option<Arc<upload::State>>,
    /// Moment at which the document was last found to be in force.
    pub(crate) routed: Instant,
    /// Moment at which the first attempt was sent.
    pub(crate) first_sent: OnceLock<Instant>,
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: Parts,
    pub(crate) body: Relay,
    /// Whether the target refused by contract.
    pub(crate) refused: bool,
}

/// An attempt without a response.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) outcome: Outcome,
    pub(crate) cause: Cause,
}

/// Why an attempt got no response.
#[derive(Debug, Error)]
pub(crate) enum Cause {
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error("the exchange with the target broke: {0}")]
    Broken(hyper::Error),
    #[error("the target gave no answer before the deadline")]
    TimedOut,
    #[error("the deadline passed before the request was sent")]
    TooLate,
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

impl Answer {
    /// Whether another attempt may give a better response.
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

impl From<Failed> for Failure {
    fn from(failed: Failed) -> Self {
        let (status, reason) = match &failed.cause {
            Cause::Open(_) => (StatusCode::BAD_GATEWAY, "no-connection"),
            Cause::Broken(_) | Cause::Unframed => (StatusCode::BAD_GATEWAY, "target-failed"),
            Cause::TooLarge => (StatusCode::BAD_GATEWAY, "response-too-large"),
            Cause::TimedOut | Cause::TooLate => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
            Cause::Unconfirmed => (StatusCode::SERVICE_UNAVAILABLE, "unconfirmed"),
            Cause::Outdated => (StatusCode::SERVICE_UNAVAILABLE, "document-changed"),
            Cause::Upload(fault) => return Self::of_upload(*fault, failed.outcome),
        };
        Self::new(status, failed.outcome, reason, failed.cause.to_string())
    }
}

impl Failure {
    /// A request whose body can't be taken.
    pub(crate) fn of_upload(fault: upload::Fault, outcome: Outcome) -> Self {
        let (status, reason) = match fault {
            upload::Fault::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            upload::Fault::Slow => (StatusCode::BAD_REQUEST, "body-timeout"),
            upload::Fault::Broken => (StatusCode::BAD_REQUEST, "body-broken"),
        };
        Self {
            close: true,
            ..Self::new(status, outcome, reason, fault.to_string())
        }
    }
}

/// An attempt that has a connection and was not sent.
#[derive(Debug)]
pub(crate) struct Opened {
    slot: Slot,
    upstream: Arc<Upstream>,
    exchange: Exchange,
}

impl Order {
    /// Runs one attempt to the head of its response. `reused` is set while it
    /// waits on a connection that had an exchange before.
    pub(crate) async fn attempt(
        &self,
        slot: Slot,
        freshness: Freshness,
        upload: Upload,
        retries_left: Option<u32>,
        reused: Option<&AtomicBool>,
    ) -> Result<Answer, Failed> {
        let opened = self.open(slot, freshness).await?;
        if let Some(reused) = reused {
            reused.store(opened.exchange.is_reused(), Ordering::Relaxed);
        }
        self.send(opened, upload, retries_left).await
    }

    /// Gets a connection to the slot's target.
    pub(crate) async fn open(&self, slot: Slot, freshness: Freshness) -> Result<Opened, Failed> {
        let upstream = self.served.upstream(slot.address());
        match upstream.begin(freshness, self.call.deadline).await {
            Ok(exchange) => Ok(Opened {
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
                Err(Failed {
                    outcome: Outcome::NotRun,
                    cause: error.into(),
                })
            }
        }
    }

    /// Whether this entry may dispatch the request now.
    pub(crate) fn serves(&self) -> bool {
        self.is_confirmed() && self.is_current()
    }

    fn is_confirmed(&self) -> bool {
        self.services.documents().standing().permits_calls()
    }

    /// Whether the document by which the request was routed is in force, or was
    /// a moment ago. An edit must not refuse the calls that are on their way.
    fn is_current(&self) -> bool {
        let held = self
            .services
            .documents()
            .held(&self.served.document.service);
        held.is_some_and(|held| held.version <= self.served.version)
            || self.routed.elapsed() < OUTDATED_AFTER
    }

    /// Checks what may have changed while the request waited, such as by a
    /// pause of the process.
    fn check_dispatch(&self, now: Instant) -> Result<(), Failed> {
        let cause = if now >= self.call.deadline {
            Cause::TooLate
        } else if !self.is_confirmed() {
            Cause::Unconfirmed
        } else if !self.is_current() {
            Cause::Outdated
        } else {
            return Ok(());
        };
        Err(Failed {
            outcome: Outcome::NotRun,
            cause,
        })
    }

    /// Sends the request and waits for the head of its response. A reused
    /// connection that turns out to be closed before it took any byte is
    /// replaced by a fresh one.
    pub(crate) async fn send(
        &self,
        mut opened: Opened,
        mut upload: Upload,
        retries_left: Option<u32>,
    ) -> Result<Answer, Failed> {
        loop {
            let sent = Instant::now();
            self.check_dispatch(sent)?;
            let _ = self.first_sent.set(sent);
            let request = self.request(upload, retries_left);
            let exchange = opened.exchange.send(request);
            let error = match tokio::time::timeout_at(self.call.deadline, exchange).await {
                Ok(Ok(response)) => return self.answer(opened, response),
                Ok(Err(error)) => error,
                Err(_) => return Err(time_out(opened, sent)),
            };
            let bytes = opened.exchange.stop();
            let reused = opened.exchange.is_reused();
            let mut error = error;
            if let Some(request) = error.take_message()
                && reused
                && bytes == 0
            {
                upload = request.into_body();
                opened = self.open(opened.slot, Freshness::Fresh).await?;
                continue;
            }
            let fault = self.upload.as_ref().and_then(|state| state.fault());
            opened.slot.finish(&Observation::new(match fault {
                // The caller's fault says nothing of the target.
                Some(_) => carobdrift_balance::Outcome::Connection,
                None if reused => carobdrift_balance::Outcome::Connection,
                None => carobdrift_balance::Outcome::Failure,
            }));
            let cause = fault.map_or_else(|| Cause::Broken(error.into_error()), Cause::Upload);
            return Err(Failed {
                outcome: Outcome::of_bytes(bytes),
                cause,
            });
        }
    }

    fn request(&self, upload: Upload, retries_left: Option<u32>) -> Request<Upload> {
        let mut request = Request::new(upload);
        request.method_mut().clone_from(&self.method);
        request.uri_mut().clone_from(&self.uri);
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(fields::DEADLINE, HeaderValue::from(left));
        if let Some(retries) = retries_left {
            headers.insert(fields::RETRIES_LEFT, HeaderValue::from(retries));
        }
        request
    }

    fn answer(&self, opened: Opened, response: Response<Incoming>) -> Result<Answer, Failed> {
        let (head, body) = response.into_parts();
        opened.slot.report(&report(&head.headers));
        if is_unframed(&head, &body) {
            let failure = carobdrift_balance::Outcome::Failure;
            opened.slot.finish(&Observation::new(failure));
            return Err(Failed {
                outcome: Outcome::Unknown,
                cause: Cause::Unframed,
            });
        }
        let limit = self.served.document.bodies.max_response_bytes.0;
        if body.size_hint().lower() > limit {
            let success = carobdrift_balance::Outcome::Success;
            opened.slot.finish(&Observation::new(success));
            return Err(Failed {
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
        let hold = Hold {
            exchange: opened.exchange,
            upstream: opened.upstream,
            slot: opened.slot,
            outcome,
            upload: self.upload.clone(),
        };
        let body = Relay::new(body, hold, limit, self.call.deadline);
        Ok(Answer {
            head,
            body,
            refused,
        })
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.call.kind == Kind::Idempotent
    }
}

/// Ends an attempt whose deadline passed. A reused connection is suspected
/// before its target.
fn time_out(opened: Opened, sent: Instant) -> Failed {
    let bytes = opened.exchange.stop();
    let reused = opened.exchange.is_reused();
    if reused {
        opened.upstream.suspect(sent);
    }
    opened.slot.finish(&Observation::new(if reused {
        carobdrift_balance::Outcome::Connection
    } else {
        carobdrift_balance::Outcome::TimedOut
    }));
    Failed {
        outcome: Outcome::of_bytes(bytes),
        cause: Cause::TimedOut,
    }
}

/// Whether the body ends with its connection only, so that its end can't be
/// told from a failure.
fn is_unframed(head: &Parts, body: &Incoming) -> bool {
    !body.is_end_stream()
        && body.size_hint().exact().is_none()
        && !head.headers.contains_key(TRANSFER_ENCODING)
        && !head.headers.contains_key(CONTENT_LENGTH)
}

/// What a target states of itself.
fn report(headers: &HeaderMap) -> Report {
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
