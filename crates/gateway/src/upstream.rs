//! Connection pool to the targets.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_http1::{Connection, OpenError};
use carobdrift_placement::Endpoint;
use carobdrift_units::Target;
use prometheus::IntCounter;

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

/// Idle connections by target. The key includes the start of the target's
/// process, because another process may reuse an address and even an id.
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

    /// Takes the most recently used idle connection unless it has been idle for
    /// longer than `max_idle`.
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
        // Responses are relayed in parts, so their size is not limited.
        Connection::open(endpoint.address, CONNECT_TIMEOUT, u64::MAX).await
    }

    /// Keeps a connection for reuse after a complete exchange.
    pub(crate) fn put(&self, endpoint: &Endpoint, mut connection: Connection) {
        if !connection.is_reusable(EXPIRY_MARGIN) {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(key(endpoint)).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
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

    /// Closes connections that exceeded the idle time limit.
    pub(crate) fn close_expired(&self) {
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
