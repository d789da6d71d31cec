//! Error responses that the entry generates.

use std::borrow::Cow;

use bytes::Bytes;
use carobdrift_balance::Shed;
use carobdrift_idempotency::Refusal;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::fields;

/// Outcome of a request that got no response from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request was certainly not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the outcome of an attempt that failed after `sent` bytes were
    /// handed to the kernel.
    pub(crate) fn from_sent_bytes(sent: u64) -> Self {
        if sent == 0 {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }

    /// Returns the combined outcome of two attempts.
    pub(crate) fn combine(self, other: Self) -> Self {
        if self == Self::NotRun { other } else { self }
    }
}

/// Failure that the entry reports to the caller in an error response.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    pub(crate) reason: &'static str,
    /// Sent in the response body.
    pub(crate) message: Cow<'static, str>,
    /// Whether this attempt was not run although the outcome of the request is
    /// unknown.
    pub(crate) attempt_not_run: bool,
    /// Whether the caller's connection is closed, because the request was not
    /// read completely.
    pub(crate) close_connection: bool,
}

/// JSON body of an error response.
#[derive(Serialize)]
struct Body<'a> {
    outcome: &'static str,
    reason: &'static str,
    message: &'a str,
    request_id: &'a str,
}

impl Failure {
    pub(crate) fn new(
        status: StatusCode,
        outcome: Outcome,
        reason: &'static str,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self {
            status,
            outcome,
            reason,
            message: message.into(),
            attempt_not_run: false,
            close_connection: false,
        }
    }

    /// Creates a failure of a request that was not run.
    pub(crate) fn not_run(
        status: StatusCode,
        reason: &'static str,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self::new(status, Outcome::NotRun, reason, message)
    }

    /// Creates a failure of a request that violates the protocol. The caller's
    /// connection is closed.
    pub(crate) fn malformed(reason: &'static str, message: impl Into<Cow<'static, str>>) -> Self {
        Self {
            close_connection: true,
            ..Self::not_run(StatusCode::BAD_REQUEST, reason, message)
        }
    }

    pub(crate) fn response(&self, request_id: &HeaderValue) -> Response<Bytes> {
        let body = Body {
            outcome: self.outcome.as_str(),
            reason: self.reason,
            message: &self.message,
            request_id: request_id.to_str().unwrap_or_default(),
        };
        let mut response = Response::new(serde_json::to_vec(&body).unwrap_or_default().into());
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let text = HeaderValue::from_static;
        headers.insert(CONTENT_TYPE, text("application/json"));
        headers.insert(fields::OUTCOME, text(self.outcome.as_str()));
        headers.insert(fields::REASON, text(self.reason));
        headers.insert(fields::REQUEST_ID, request_id.clone());
        if self.attempt_not_run {
            headers.insert(fields::ATTEMPT, text("not-run"));
        }
        if self.close_connection {
            headers.insert(CONNECTION, text("close"));
        }
        response
    }
}

impl From<Shed> for Failure {
    fn from(shed: Shed) -> Self {
        let status = match shed {
            Shed::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Shed::Limit(_) => StatusCode::TOO_MANY_REQUESTS,
            Shed::QueueFull | Shed::NoTarget => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self::not_run(status, shed.reason(), shed.to_string())
    }
}

impl From<&Refusal> for Failure {
    /// Converts the refusal of a keyed request. When an earlier attempt with
    /// the same key may have run, the outcome is unknown, although this attempt
    /// was not run.
    fn from(refusal: &Refusal) -> Self {
        let (status, outcome) = match refusal {
            Refusal::Replay(_) | Refusal::AlreadyRun | Refusal::InProgress | Refusal::Expired => {
                (StatusCode::CONFLICT, Outcome::Unknown)
            }
            Refusal::Mismatch => (StatusCode::UNPROCESSABLE_ENTITY, Outcome::NotRun),
            Refusal::DeciderUnreachable | Refusal::StoreUnavailable => {
                (StatusCode::SERVICE_UNAVAILABLE, Outcome::Unknown)
            }
            Refusal::RateLimited => (StatusCode::TOO_MANY_REQUESTS, Outcome::Unknown),
            Refusal::Malformed(_) => (StatusCode::BAD_REQUEST, Outcome::NotRun),
        };
        Self {
            attempt_not_run: outcome == Outcome::Unknown,
            ..Self::new(status, outcome, refusal.reason(), refusal.to_string())
        }
    }
}
