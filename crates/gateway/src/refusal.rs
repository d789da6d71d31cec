//! Answers that the entry makes itself.

use std::time::Duration;

use bytes::Bytes;
use carobdrift_http1::Response;
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};

/// Time after which a caller may return while the entry knows no desired state.
const UNREADY_RETRY: Duration = Duration::from_millis(300);

/// Time after which a caller may return when all targets are busy or away.
const BUSY_RETRY: Duration = Duration::from_millis(150);

/// Why a request got no answer of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No desired state is known yet. Not run.
    Unready,
    /// No route takes the request. Not run.
    NoRoute,
    /// No target takes requests. Not run.
    NoTarget,
    /// No target had room in time. Not run.
    Busy,
    /// The targets that were reached refused to execute it. Not run.
    NotExecuted,
    /// A target may have run it; its answer is lost.
    Broken,
    /// A target may be running it still.
    TimedOut,
}

impl Refusal {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unready => "unready",
            Self::NoRoute => "no-route",
            Self::NoTarget => "no-target",
            Self::Busy => "busy",
            Self::NotExecuted => "not-executed",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
        }
    }

    pub(crate) fn response(self) -> Response {
        let (status, retry) = match self {
            Self::Unready => (StatusCode::SERVICE_UNAVAILABLE, Some(UNREADY_RETRY)),
            Self::NoRoute => (StatusCode::NOT_FOUND, None),
            Self::NoTarget | Self::Busy | Self::NotExecuted => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(BUSY_RETRY))
            }
            Self::Broken => (StatusCode::BAD_GATEWAY, None),
            Self::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
        };
        let mut response = Response::new(status, Bytes::new());
        if let Some(retry) = retry {
            let seconds = format!("{:.2}", retry.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
