//! Failures of a start.

use thiserror::Error as ThisError;

/// Why an entry could not start.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The address for callers can't be listened on.
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
    /// The links can't start.
    #[error(transparent)]
    Links(#[from] carobdrift_membership::Error),
    /// Two metrics have the same name.
    #[error("metric refused: {0}")]
    Metric(#[from] prometheus::Error),
}
