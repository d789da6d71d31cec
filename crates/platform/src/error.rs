//! Failures of a call to the platform.

use thiserror::Error;

use crate::table::Conflict;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A condition of the transaction did not hold; nothing was written.
    #[error("{} condition(s) of the transaction did not hold", .0.len())]
    Conflict(Vec<Conflict>),
    /// The platform could not be reached or refused to serve; nothing was
    /// written.
    #[error("platform unavailable: {0}")]
    Unavailable(#[source] Cause),
    /// A write was sent and no response arrived; it may have taken effect.
    #[error("outcome of the write is unknown: {0}")]
    Unknown(#[source] Cause),
    /// The platform answered in a way that its protocol does not define.
    #[error("unexpected answer of the platform: {0}")]
    Protocol(#[source] Cause),
}

/// What made a call fail.
#[derive(Debug, Error)]
pub enum Cause {
    /// The connection could not be opened; nothing was sent.
    #[error("the platform can't be reached: {0}")]
    Unreachable(String),
    /// The connection broke before the whole response arrived.
    #[error("no response: {0}")]
    Lost(String),
    /// No response within the timeout.
    #[error("no response within {0} ms")]
    TimedOut(u128),
    /// The platform is unavailable, or the status is not one that its protocol
    /// defines for the call.
    #[error("status {0}")]
    Status(u16),
    /// The rate of calls is exceeded; nothing was done.
    #[error("the rate of calls is exceeded")]
    RateLimited,
    /// The changes after the revision are no longer kept.
    #[error("the history is no longer kept")]
    Compacted,
    /// The response can't be read.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The call can't be made in this form; nothing was sent.
    #[error("invalid call: {0}")]
    Invalid(String),
}

impl From<serde_json::Error> for Cause {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}
