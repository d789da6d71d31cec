//! Listener for callers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_http1::serve;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gateway::Gateway;

/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running listener for callers.
#[derive(Debug)]
pub struct Listener {
    stop: CancellationToken,
    connections: TaskTracker,
}

impl Listener {
    /// Starts to serve callers. Must be called within a runtime.
    #[must_use]
    pub fn spawn(listener: TcpListener, gateway: Arc<Gateway>) -> Self {
        let running = Self {
            stop: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        tokio::spawn(accept(
            listener,
            gateway,
            running.stop.clone(),
            running.connections.clone(),
        ));
        running
    }

    /// Stops to accept connections and to read requests, and waits until the
    /// requests in progress have ended.
    pub async fn drain(&self) {
        self.stop.cancel();
        self.connections.close();
        self.connections.wait().await;
    }
}

async fn accept(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    stop: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let accepted: io::Result<_> = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let gateway = Arc::clone(&gateway);
                let stop = stop.clone();
                let open = gateway.metrics.callers.clone();
                connections.spawn(async move {
                    open.inc();
                    serve(stream, gateway, stop).await;
                    open.dec();
                });
            }
            Err(error) => {
                log::warn!(target: "entry", "event=accept-failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
