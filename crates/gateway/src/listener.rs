//! Listener for callers.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_http1::{STOP_DELAY, listen};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gateway::Gateway;

/// Time before the end of a drain at which requests that wait for a target are refused,
/// so that their callers receive the refusals.
const REFUSAL_MARGIN: Duration = Duration::from_millis(200);

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
    /// in progress have ended or the deadline passes. Requests that would be cut at the
    /// deadline are refused as not executed: those that arrive late because they were
    /// read slowly, and shortly before the deadline those that wait for a target.
    /// Returns whether all requests have ended.
    pub async fn drain(&self, deadline: Instant) -> bool {
        self.stop.cancel();
        self.connections.close();
        let refuse = async {
            tokio::time::sleep(STOP_DELAY).await;
            self.gateway.stopped.cancel();
            tokio::time::sleep_until(deadline - REFUSAL_MARGIN).await;
            self.gateway.ending.cancel();
            tokio::time::sleep_until(deadline).await;
        };
        tokio::select! {
            () = self.connections.wait() => true,
            () = refuse => false,
        }
    }
}
