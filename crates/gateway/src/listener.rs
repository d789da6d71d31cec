//! Listener for callers.

use std::sync::Arc;

use carobdrift_http1::{Drain, listen};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gateway::Gateway;

/// Listener for callers, with its open connections.
#[derive(Debug)]
pub struct Listener {
    gateway: Arc<Gateway>,
    stop: CancellationToken,
    connections: TaskTracker,
}

impl Listener {
    /// Starts to serve callers. Must be called within a Tokio runtime.
    #[must_use]
    pub fn spawn(listener: TcpListener, gateway: Arc<Gateway>) -> Self {
        let this = Self {
            gateway: Arc::clone(&gateway),
            stop: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        // Tracked like a connection, because it accepts some after the stop.
        this.connections.spawn(listen(
            listener,
            gateway,
            this.stop.clone(),
            this.connections.clone(),
        ));
        this
    }

    /// Stops accepting connections and reading requests, and waits until the requests
    /// in progress have ended or the drain ends. Requests that are read from now on are
    /// refused as not executed. Shortly before its end every other request without a
    /// response is answered: it is refused if no target has it. Returns whether all
    /// requests have ended.
    pub async fn drain(&self, drain: Drain) -> bool {
        self.gateway.stopped.cancel();
        self.stop.cancel();
        self.connections.close();
        drain.run(&self.connections, &self.gateway.ending).await
    }
}
