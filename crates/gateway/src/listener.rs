//! Listener for callers.

use std::sync::Arc;

use carobdrift_http1::listen;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gateway::Gateway;

/// Listener for callers, with its open connections.
#[derive(Debug)]
pub struct Listener {
    stop: CancellationToken,
    connections: TaskTracker,
}

impl Listener {
    /// Starts to serve callers. Must be called within a Tokio runtime.
    #[must_use]
    pub fn spawn(listener: TcpListener, gateway: Arc<Gateway>) -> Self {
        let this = Self {
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

    /// Stops accepting connections and reading requests, and waits until the
    /// requests in progress have ended.
    pub async fn drain(&self) {
        self.stop.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}
