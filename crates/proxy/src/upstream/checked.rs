//! Check of the bytes that a connection receives.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use carobdrift_http1::ResponseCheck;
use http::Method;

/// Check of the responses on a connection, shared by the exchange and the task that
/// drives the connection. The HTTP library accepts responses that are not well-formed.
#[derive(Debug, Clone)]
pub(crate) struct SharedCheck {
    check: Arc<Mutex<ResponseCheck>>,
}

impl SharedCheck {
    /// Creates a check of responses whose header has at most `max_head` bytes.
    pub(crate) fn new(max_head: usize) -> Self {
        Self {
            check: Arc::new(Mutex::new(ResponseCheck::new(max_head))),
        }
    }

    /// Begins an exchange: the next bytes are the response to a request with this
    /// method.
    pub(crate) fn begin(&self, method: Method) {
        self.lock().begin(method);
    }

    /// Returns whether bytes arrived that belong to no response.
    pub(crate) fn has_surplus(&self) -> bool {
        self.lock().has_surplus()
    }

    /// Checks received bytes.
    pub(crate) fn receive(&self, bytes: &[u8]) -> io::Result<()> {
        self.lock().receive(bytes).map_err(io::Error::other)
    }

    fn lock(&self) -> MutexGuard<'_, ResponseCheck> {
        self.check.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
