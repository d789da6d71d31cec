//! Errors of calls to the platform.

use thiserror::Error;

use crate::table::Conflict;

/// Error of a call to the platform.
#[derive(Debug, Error)]
pub enum Error {
    /// A condition of the transaction was not met; nothing was written.
    #[error("{} condition(s) of the transaction did not hold", .0.len())]
    Conflict(Vec<Conflict>),
    /// The platform could not be reached or refused to serve; nothing was
    /// written.
    #[error("platform unavailable: {0}")]
    Unavailable(#[source] Cause),
    /// A write was sent and no response arrived; it may have taken effect.
    #[error("outcome of the write is unknown: {0}")]
    Unknown(#[source] Cause),
    /// The platform answered in a way that its protocol does not define, or the
    /// call was invalid.
    #[error("unexpected answer of the platform: {0}")]
    Protocol(#[source] Cause),
}

/// Cause of a failed call.
#[derive(Debug, Error)]
pub enum Cause {
    /// The connection could not be opened, or it failed before anything was sent.
    #[error("the platform can't be reached: {0}")]
    Unreachable(String),
    /// The connection failed before the whole response arrived.
    #[error("no response: {0}")]
    Lost(String),
    /// No response arrived within the timeout, in milliseconds.
    #[error("no response within {0} ms")]
    TimedOut(u128),
    /// The platform is unavailable, or its protocol does not define this HTTP
    /// status for the call.
    #[error("status {0}")]
    Status(u16),
    /// The platform's rate limit is exceeded; the call was not processed.
    #[error("the rate of calls is exceeded")]
    RateLimited,
    /// The platform no longer keeps the changes after the requested revision.
    #[error("the history is no longer kept")]
    Compacted,
    /// The response can't be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The call is invalid; nothing was sent.
    #[error("invalid call: {0}")]
    Invalid(String),
}

impl From<serde_json::Error> for Cause {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}
