//! Connections to one target.

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

/// Time for which a connection that completed an exchange counts as proven.
/// Non-idempotent requests are sent on fresh or proven connections only,
/// because they can't be repeated when the connection turns out to be silent.
const PROVEN: Duration = Duration::from_millis(200);

/// Which connections an exchange may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// Any open one.
    Any,
    /// A fresh one, or one that completed an exchange a moment ago.
    Proven,
    /// A fresh one.
    Fresh,
}

/// Why no connection could be had. No byte of the request was sent.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    /// The target refused or is not reachable.
    #[error("the connection to the target failed: {0}")]
    Connect(#[from] std::io::Error),
    /// The target did not accept in time.
    #[error("the target did not accept a connection in time")]
    TimedOut,
    /// All connections to the target are in use.
    #[error("all connections to the target are in use")]
    Exhausted,
}

/// Pool of connections to one target.
#[derive(Debug)]
pub(crate) struct Upstream {
    address: SocketAddr,
    rules: Connections,
    permits: Arc<Semaphore>,
    /// Idle connections; the one used last is at the back.
    idle: Mutex<VecDeque<Connection>>,
    returned: Notify,
}

impl Upstream {
    pub(crate) fn new(address: SocketAddr, rules: Connections) -> Arc<Self> {
        Arc::new(Self {
            address,
            permits: Arc::new(Semaphore::new(rules.max_per_target as usize)),
            rules,
            idle: Mutex::default(),
            returned: Notify::new(),
        })
    }

    pub(crate) fn rules(&self) -> &Connections {
        &self.rules
    }

    /// Begins an exchange on an idle connection or a new one.
    pub(crate) async fn begin(
        &self,
        freshness: Freshness,
        deadline: Instant,
    ) -> Result<Exchange, OpenError> {
        loop {
            while let Some(mut connection) = self.take(freshness) {
                let ready = tokio::time::timeout(PROVEN, connection.ready()).await;
                if ready == Ok(true) {
                    return Ok(connection.begin());
                }
            }
            let returned = self.returned.notified();
            if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
                return self.open(permit, deadline).await;
            }
            if freshness != Freshness::Any {
                // Idle connections must not keep a fresh one from being
                // opened. The permit is free once its task has ended.
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

    /// Takes a connection back after a complete exchange.
    pub(crate) fn end(&self, exchange: Exchange) {
        let connection = exchange.end();
        if !connection.is_closed() {
            self.lock().push_back(connection);
        }
        self.returned.notify_one();
    }

    /// Closes the idle connections that completed no exchange since `moment`.
    /// When one connection went silent, those are suspected too.
    pub(crate) fn suspect(&self, moment: Instant) {
        let mut idle = self.lock();
        let before = idle.len();
        idle.retain(|connection| connection.used() >= Some(moment));
        let closed = before - idle.len();
        if closed > 0 {
            debug!(target: "proxy", "closed {closed} idle connections to {}", self.address);
        }
    }

    /// Closes the connections that were idle for too long.
    pub(crate) fn sweep(&self) {
        if let Some(moment) = Instant::now().checked_sub(self.rules.idle_timeout_ms.duration()) {
            self.lock()
                .retain(|connection| !connection.is_closed() && connection.used() >= Some(moment));
        }
    }

    fn take(&self, freshness: Freshness) -> Option<Connection> {
        let limit = match freshness {
            Freshness::Fresh => return None,
            Freshness::Proven => PROVEN,
            Freshness::Any => self.rules.idle_timeout_ms.duration(),
        };
        let mut idle = self.lock();
        while let Some(connection) = idle.pop_back() {
            if connection.is_closed() {
                continue;
            }
            let proven = connection.used().is_some_and(|used| used.elapsed() < limit);
            if !proven {
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
        let limit = Instant::now() + self.rules.connect_timeout_ms.duration();
        let open = Connection::open(self.address, permit);
        match tokio::time::timeout_at(limit.min(deadline), open).await {
            Ok(opened) => Ok(opened?.begin()),
            Err(_) => Err(OpenError::TimedOut),
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
