//! Connections to targets.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_http1::{Connection, OpenError};
use carobdrift_placement::Endpoint;
use carobdrift_units::Target;
use prometheus::IntCounter;

/// Time within which a target must accept a connection. It covers one
/// retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle connections that are kept for one target.
const MAX_IDLE: usize = 8;

/// Time for which a connection is kept idle. Targets close theirs after some
/// seconds, and a request that crosses the close has an unknown outcome.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// Time that a connection must still be kept by its target to be used.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Largest body of a response, in bytes.
const MAX_RESPONSE: u64 = 64 * 1024 * 1024;

/// Idle connections by target. The key holds the start of the target's process,
/// because an address, and even an id, may be used again by another process.
#[derive(Debug)]
pub(crate) struct Upstreams {
    idle: Mutex<HashMap<(Target, u64), Vec<Connection>>>,
    opened: IntCounter,
}

impl Upstreams {
    pub(crate) fn new(opened: IntCounter) -> Self {
        Self {
            idle: Mutex::default(),
            opened,
        }
    }

    /// Takes the idle connection that was used last, if one was used within
    /// `max_idle`.
    pub(crate) fn take(&self, endpoint: &Endpoint, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&key(endpoint))?;
        while let Some(mut connection) = connections.pop() {
            if !connection.is_reusable(EXPIRY_MARGIN) || connection.idle_time() > MAX_IDLE_TIME {
                continue;
            }
            if connection.idle_time() > max_idle {
                connections.push(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, endpoint: &Endpoint) -> Result<Connection, OpenError> {
        self.opened.inc();
        Connection::open(endpoint.address, CONNECT_TIMEOUT, MAX_RESPONSE).await
    }

    /// Keeps a connection after a complete exchange.
    pub(crate) fn put(&self, endpoint: &Endpoint, mut connection: Connection) {
        if !connection.is_reusable(EXPIRY_MARGIN) {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(key(endpoint)).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
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

    /// Closes connections that were idle for too long.
    pub(crate) fn sweep(&self) {
        self.lock().retain(|_, connections| {
            connections.retain(|connection| connection.idle_time() <= MAX_IDLE_TIME);
            !connections.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(Target, u64), Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(endpoint: &Endpoint) -> (Target, u64) {
    (endpoint.id.clone(), endpoint.started_ms)
}
