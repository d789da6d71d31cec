//! Handler of requests.

use std::sync::Arc;
use std::time::Duration;

use crate::budget::Budget;
use crate::message::{Request, Response};
use crate::reader::Limits;

/// Default limit for the head of a request, in bytes.
const DEFAULT_HEAD_BYTES: usize = 8 * 1024;

/// Default for the time limits of a connection.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Handler for the requests of a connection.
pub trait Service: Send + Sync + 'static {
    /// Returns the size limits for the next request. By default a request has a
    /// small head and no body.
    fn limits(&self) -> Limits {
        Limits {
            head: DEFAULT_HEAD_BYTES,
            body: 0,
        }
    }

    /// Returns the time within which the head of a request must arrive, from
    /// its first byte.
    fn head_timeout(&self) -> Duration {
        DEFAULT_TIMEOUT
    }

    /// Returns the time for which a connection without requests is kept open. A
    /// request with a body must be complete within the same time from its first
    /// byte.
    fn idle_timeout(&self) -> Duration {
        DEFAULT_TIMEOUT
    }

    /// Returns whether connections are to be closed after the requests in
    /// progress.
    fn is_closing(&self) -> bool {
        false
    }

    /// Returns the size of the kernel's send buffer of a connection in bytes, or
    /// `None` for the system's default.
    fn send_buffer(&self) -> Option<usize> {
        None
    }

    /// Returns the budget to which the connections count; `None` for a service that
    /// only trusted callers reach.
    fn budget(&self) -> Option<&Budget> {
        None
    }

    /// Serves a request. The future is dropped when the caller disconnects.
    fn call(self: Arc<Self>, request: Request) -> impl Future<Output = Response> + Send;
}
