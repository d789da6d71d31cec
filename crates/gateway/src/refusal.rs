//! Responses that the entry generates itself.

use std::time::Duration;

use bytes::Bytes;
use carobdrift_http1::Response;
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};

/// `Retry-After` time while the entry has no desired state.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` time if targets are unavailable or refuse, for a time that the entry
/// does not know.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Reason why a request gets no response from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The entry has no desired state yet. Not executed.
    Unready,
    /// The entry is about to end. Not executed.
    Leaving,
    /// No route matches the request. Not executed.
    NoRoute,
    /// The request has no API key that a workspace holds. Not executed.
    Unauthorized,
    /// The quota of the workspace is used up; it admits a further request after this
    /// time. Not executed.
    OverQuota(Duration),
    /// No target accepts requests. Not executed.
    NoTarget,
    /// No target had a free slot in time. Capacity for the request is expected after
    /// this time. Not executed.
    Busy(Duration),
    /// All targets asked for a pause, the shortest of which lasts for this time.
    /// Not executed.
    Paused(Duration),
    /// The targets that were tried refused to execute the request. Not executed.
    NotExecuted,
    /// A target may have executed the request, but its response is lost or is not
    /// valid.
    Broken,
    /// A target may still be executing the request.
    TimedOut,
    /// The entry ends while a target may still be executing the request.
    Interrupted,
}

impl Refusal {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unready => "unready",
            Self::Leaving => "leaving",
            Self::NoRoute => "no-route",
            Self::Unauthorized => "unauthorized",
            Self::OverQuota(_) => "over-quota",
            Self::NoTarget => "no-target",
            Self::Busy(_) => "busy",
            Self::Paused(_) => "paused",
            Self::NotExecuted => "not-executed",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
            Self::Interrupted => "interrupted",
        }
    }

    pub(crate) fn response(self) -> Response {
        let (status, retry_after) = match self {
            Self::Unready => (StatusCode::SERVICE_UNAVAILABLE, Some(UNREADY_RETRY_AFTER)),
            // Other entries accept the request at once.
            Self::Leaving => (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::ZERO)),
            Self::NoRoute => (StatusCode::NOT_FOUND, None),
            Self::Unauthorized => (StatusCode::UNAUTHORIZED, None),
            Self::OverQuota(due) => (StatusCode::TOO_MANY_REQUESTS, Some(due)),
            Self::NoTarget | Self::NotExecuted => (
                StatusCode::SERVICE_UNAVAILABLE,
                Some(UNAVAILABLE_RETRY_AFTER),
            ),
            Self::Busy(wait) | Self::Paused(wait) => (StatusCode::SERVICE_UNAVAILABLE, Some(wait)),
            Self::Broken => (StatusCode::BAD_GATEWAY, None),
            Self::TimedOut | Self::Interrupted => (StatusCode::GATEWAY_TIMEOUT, None),
        };
        let mut response = Response::new(status, Bytes::new());
        if let Some(retry_after) = retry_after {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
