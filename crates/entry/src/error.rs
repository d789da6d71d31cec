//! Startup errors.

use thiserror::Error as ThisError;

/// Startup error of an entry.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The listener for callers can't be bound.
    #[error("can't listen for callers: {0}")]
    Caller(#[source] std::io::Error),
    /// The data path can't start.
    #[error(transparent)]
    Proxy(#[from] carobdrift_proxy::Error),
    /// The API can't start.
    #[error(transparent)]
    Admin(#[from] carobdrift_admin::Error),
    /// A token is invalid.
    #[error(transparent)]
    Token(#[from] carobdrift_admin::TokenError),
    /// The links to peers can't start.
    #[error(transparent)]
    Links(#[from] carobdrift_membership::Error),
    /// A metric is invalid or already registered.
    #[error("can't register a metric: {0}")]
    Metric(#[from] prometheus::Error),
}
