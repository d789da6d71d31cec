//! Metrics over HTTP.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_http1::{Limits, Request, Response, Service, serve};
use http::StatusCode;
use prometheus::{Registry, TextEncoder};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Time limits of a connection that reads metrics.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

struct Monitor(Registry);

/// Serves the metrics of a registry.
pub(crate) async fn run(listener: TcpListener, registry: Registry) {
    let monitor = Arc::new(Monitor(registry));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let monitor = Arc::clone(&monitor);
                tokio::spawn(serve(stream, monitor, CancellationToken::new()));
            }
            Err(error) => {
                log::warn!(target: "entry", "event=accept-failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Service for Monitor {
    fn limits(&self) -> Limits {
        Limits {
            head: 8192,
            body: 0,
        }
    }

    fn head_timeout(&self) -> Duration {
        TIMEOUT
    }

    fn idle_timeout(&self) -> Duration {
        TIMEOUT
    }

    fn is_closing(&self) -> bool {
        false
    }

    async fn call(self: Arc<Self>, _: Request) -> Response {
        match TextEncoder::new().encode_to_string(&self.0.gather()) {
            Ok(text) => Response::new(StatusCode::OK, text.into()),
            Err(error) => {
                log::error!(target: "entry", "event=metrics-failed error=\"{error}\"");
                Response::new(StatusCode::INTERNAL_SERVER_ERROR, bytes::Bytes::new())
            }
        }
    }
}
