//! Responses that the system itself gives.

use std::borrow::Cow;

use bytes::Bytes;
use carobdrift_balance::Shed;
use carobdrift_idempotency::Refusal;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::fields;

/// What is known of a request that got no response of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It truly was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Outcome of an attempt that failed after `sent` bytes were handed to the
    /// kernel.
    pub(crate) fn of_bytes(sent: u64) -> Self {
        if sent == 0 {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }

    /// Outcome of two attempts together.
    pub(crate) fn and(self, other: Self) -> Self {
        if self == Self::NotRun { other } else { self }
    }
}

/// A request that is answered by the system.
#[derive(Debug, Clone)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    pub(crate) reason: &'static str,
    pub(crate) message: Cow<'static, str>,
    /// Whether this attempt did not run although the outcome is unknown.
    pub(crate) attempt_not_run: bool,
    /// Whether the caller's connection is closed, because the request was not
    /// read to its end.
    pub(crate) close: bool,
}

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
            close: false,
        }
    }

    /// A request that was not run.
    pub(crate) fn not_run(
        status: StatusCode,
        reason: &'static str,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self::new(status, Outcome::NotRun, reason, message)
    }

    /// A request that breaks the protocol.
    pub(crate) fn malformed(reason: &'static str, message: impl Into<Cow<'static, str>>) -> Self {
        Self {
            close: true,
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
        if self.close {
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
    /// A repeat of a key whose earlier attempt may have run has an unknown
    /// outcome, although this attempt did not run.
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
