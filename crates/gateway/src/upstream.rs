//! Connection pool to the targets.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_http1::{Connection, ExchangeError, OpenError, Outgoing, Response};
use carobdrift_placement::Endpoint;
use carobdrift_units::Target;
use http::Method;
use prometheus::IntCounter;

use crate::dialect::Dialect;

/// Timeout of opening a connection to a target. It covers one retransmission of a
/// lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle connections kept per target.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Idle time after which a connection is closed. Targets close idle connections
/// after some seconds, and a request sent while its target closes the connection
/// has an unknown outcome.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// Shortest time that must remain until the target closes an idle connection for
/// the connection to be reused.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Size of the kernel's receive buffer of a connection in bytes. It holds what a target
/// sends while the caller is slow. A target 6 ms away can still send 20 MB per second.
const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;

/// Largest number of late copies that are skipped before a response.
const MAX_LATE_COPIES: usize = 2;

/// Connection to a target.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) connection: Connection,
    /// Attempt id of the last request on the connection, by which a late copy of
    /// its response is recognized.
    pub(crate) last_attempt: Option<String>,
    /// Whether the connection carried an exchange before the current one, a response to
    /// which may arrive once more.
    pub(crate) reused: bool,
    /// Whether an exchange was started on the connection.
    started: bool,
}

/// Idle connections by target. The key includes the start of the target's
/// process, because another process may reuse an address and even an id.
#[derive(Debug)]
pub(crate) struct Upstreams {
    idle: Mutex<HashMap<(Target, u64), Vec<Upstream>>>,
    opened: IntCounter,
}

impl Upstream {
    /// Sends an encoded request and reads the first part of its response, of at
    /// least `window` bytes or complete. Late copies of the response to the request
    /// before are skipped, unless both requests have the same attempt id.
    pub(crate) async fn start(
        &mut self,
        attempt: Option<&str>,
        method: &Method,
        request: impl Into<Outgoing>,
        window: usize,
        sent: &mut usize,
        dialect: &dyn Dialect,
    ) -> Result<Response, ExchangeError> {
        self.reused = std::mem::replace(&mut self.started, true);
        let mut response = self.connection.start(method, request, window, sent).await?;
        let mut skipped = 0;
        while skipped < MAX_LATE_COPIES
            && self.last_attempt.is_some()
            && self.last_attempt.as_deref() != attempt
            && dialect.attempt_id(&response.headers) == self.last_attempt.as_deref()
        {
            skipped += 1;
            response = self.connection.skip_response(method, window, sent).await?;
        }
        Ok(response)
    }
}

impl Upstreams {
    pub(crate) fn new(opened: IntCounter) -> Self {
        Self {
            idle: Mutex::default(),
            opened,
        }
    }

    /// Takes the most recently used idle connection unless it has been idle for
    /// longer than `max_idle`.
    pub(crate) fn take(&self, endpoint: &Endpoint, max_idle: Duration) -> Option<Upstream> {
        let mut idle = self.lock();
        let upstreams = idle.get_mut(&key(endpoint))?;
        while let Some(mut upstream) = upstreams.pop() {
            let idle_time = upstream.connection.idle_time();
            if !upstream.connection.is_reusable(EXPIRY_MARGIN) || idle_time > MAX_IDLE_TIME {
                continue;
            }
            if idle_time > max_idle {
                upstreams.push(upstream);
                return None;
            }
            return Some(upstream);
        }
        None
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, endpoint: &Endpoint) -> Result<Upstream, OpenError> {
        self.opened.inc();
        // Responses are relayed in parts, so their size is not limited.
        let connection = Connection::open(endpoint.address, CONNECT_TIMEOUT, u64::MAX).await?;
        // Fails only on a connection that has already ended.
        let _ = connection.limit_receive_buffer(RECEIVE_BUFFER_BYTES);
        Ok(Upstream {
            connection,
            last_attempt: None,
            reused: false,
            started: false,
        })
    }

    /// Keeps a connection for reuse after a complete exchange.
    pub(crate) fn put(&self, endpoint: &Endpoint, mut upstream: Upstream) {
        if !upstream.connection.is_reusable(EXPIRY_MARGIN) {
            return;
        }
        let mut idle = self.lock();
        let upstreams = idle.entry(key(endpoint)).or_default();
        if upstreams.len() < MAX_IDLE_CONNECTIONS {
            upstreams.push(upstream);
        }
    }

    /// Closes the idle connections of a target.
    pub(crate) fn remove(&self, target: &Target) {
        self.lock().retain(|(id, _), _| id != target);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Closes connections that exceeded the idle time limit.
    pub(crate) fn close_expired(&self) {
        self.lock().retain(|_, upstreams| {
            upstreams.retain(|upstream| upstream.connection.idle_time() <= MAX_IDLE_TIME);
            !upstreams.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(Target, u64), Vec<Upstream>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(endpoint: &Endpoint) -> (Target, u64) {
    (endpoint.id.clone(), endpoint.started_ms)
}
