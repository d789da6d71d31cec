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
    /// The connection could not be opened or broke.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    /// The response broke off.
    #[error("response broke off: {0}")]
    Body(#[from] hyper::Error),
    /// No response within the timeout.
    #[error("no response within {0} ms")]
    TimedOut(u128),
    /// The status is not one that the protocol defines for the call.
    #[error("status {0}")]
    Status(u16),
    /// The body is not the expected JSON.
    #[error("malformed body: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The request could not be built from the given key or name.
    #[error("malformed request: {0}")]
    Request(#[from] http::Error),
}
