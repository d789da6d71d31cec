//! Pool of connections to one target.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_document::Connections;
use log::debug;
use thiserror::Error;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

use super::connection::{Connection, Exchange};

/// Time after its last exchange for which a connection counts as recently used.
/// Non-idempotent requests are sent on new or recently used connections only,
/// because such requests cannot be repeated when the connection turns out to be
/// unresponsive. Also limits the wait for an idle connection to become ready.
const RECENT_USE_WINDOW: Duration = Duration::from_millis(200);

/// Requirement on the connection of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// Any open connection.
    Any,
    /// A new connection, or a connection that completed an exchange recently.
    Recent,
    /// A new connection.
    New,
}

/// Failure to acquire a connection. No byte of the request was sent. The text is
/// sent in response bodies.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    /// The target refused the connection or is unreachable.
    #[error("the connection to the target failed: {0}")]
    Connect(#[from] std::io::Error),
    /// The target did not accept the connection in time.
    #[error("the target did not accept a connection in time")]
    TimedOut,
    /// All permitted connections to the target are in use.
    #[error("all connections to the target are in use")]
    Exhausted,
}

/// Pool of connections to one target.
#[derive(Debug)]
pub(crate) struct Upstream {
    address: SocketAddr,
    settings: Connections,
    permits: Arc<Semaphore>,
    /// Idle connections; the most recently used connection is at the back.
    idle: Mutex<VecDeque<Connection>>,
    returned: Notify,
}

impl Upstream {
    pub(crate) fn new(address: SocketAddr, settings: Connections) -> Arc<Self> {
        Arc::new(Self {
            address,
            permits: Arc::new(Semaphore::new(settings.max_per_target as usize)),
            settings,
            idle: Mutex::default(),
            returned: Notify::new(),
        })
    }

    pub(crate) fn settings(&self) -> &Connections {
        &self.settings
    }

    /// Begins an exchange on an idle connection or on a new connection.
    pub(crate) async fn acquire(
        &self,
        freshness: Freshness,
        deadline: Instant,
    ) -> Result<Exchange, OpenError> {
        loop {
            while let Some(mut connection) = self.take_idle(freshness) {
                let ready = tokio::time::timeout(RECENT_USE_WINDOW, connection.wait_ready()).await;
                if ready == Ok(true) {
                    return Ok(connection.begin());
                }
            }
            let returned = self.returned.notified();
            if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
                return self.open(permit, deadline).await;
            }
            if freshness != Freshness::Any {
                // Idle connections must not prevent a new connection. The
                // permit of the closed connection is available once its task
                // has ended.
                drop(self.lock().pop_front());
            }
            tokio::select! {
                () = returned => {}
                permit = Arc::clone(&self.permits).acquire_owned() => {
                    let permit = permit.map_err(|_| OpenError::Exhausted)?;
                    return self.open(permit, deadline).await;
                }
                () = tokio::time::sleep_until(deadline) => return Err(OpenError::Exhausted),
            }
        }
    }

    /// Returns a connection to the pool after a completed exchange.
    pub(crate) fn release(&self, exchange: Exchange) {
        let connection = exchange.finish();
        if !connection.is_closed() {
            self.lock().push_back(connection);
        }
        self.returned.notify_one();
    }

    /// Closes the idle connections that completed no exchange since `time`.
    /// Called when one connection became unresponsive, because the others
    /// probably are too.
    pub(crate) fn close_unused_since(&self, time: Instant) {
        let mut idle = self.lock();
        let before = idle.len();
        idle.retain(|connection| connection.last_used() >= Some(time));
        let closed = before - idle.len();
        if closed > 0 {
            debug!(target: "proxy", "closed {closed} idle connections to {}", self.address);
        }
    }

    /// Closes the connections that were idle for too long.
    pub(crate) fn close_expired(&self) {
        if let Some(oldest) = Instant::now().checked_sub(self.settings.idle_timeout_ms.duration()) {
            self.lock().retain(|connection| {
                !connection.is_closed() && connection.last_used() >= Some(oldest)
            });
        }
    }

    fn take_idle(&self, freshness: Freshness) -> Option<Connection> {
        let max_idle = match freshness {
            Freshness::New => return None,
            Freshness::Recent => RECENT_USE_WINDOW,
            Freshness::Any => self.settings.idle_timeout_ms.duration(),
        };
        let mut idle = self.lock();
        while let Some(connection) = idle.pop_back() {
            if connection.is_closed() {
                continue;
            }
            let usable = connection
                .last_used()
                .is_some_and(|last_used| last_used.elapsed() < max_idle);
            if !usable {
                idle.push_back(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    async fn open(
        &self,
        permit: tokio::sync::OwnedSemaphorePermit,
        deadline: Instant,
    ) -> Result<Exchange, OpenError> {
        let connect_deadline = Instant::now() + self.settings.connect_timeout_ms.duration();
        let open = Connection::open(self.address, permit);
        match tokio::time::timeout_at(connect_deadline.min(deadline), open).await {
            Ok(opened) => Ok(opened?.begin()),
            Err(_) => Err(OpenError::TimedOut),
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
