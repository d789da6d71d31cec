//! Relay of the rest of a response from a target to its caller.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use carobdrift_http1::{ReadError, Rest};
use carobdrift_placement::Endpoint;
use futures_util::stream::{StreamExt, unfold};
use tokio::time::timeout_at;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::upstream::Upstream;

/// Request and connection of a target that sent the first part of a response.
struct Relay {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    endpoint: Endpoint,
    upstream: Upstream,
}

/// Returns the rest of the body of a response. Each part is read from the target
/// when the caller has taken the part before. The rest ends with an error if the
/// target breaks off or the deadline of the request passes; dropping the rest
/// closes the connection.
pub(crate) fn rest(
    gateway: &Arc<Gateway>,
    call: &Arc<Call>,
    endpoint: &Endpoint,
    upstream: Upstream,
) -> Rest {
    let length = upstream.connection.remaining();
    let relay = Relay {
        gateway: Arc::clone(gateway),
        call: Arc::clone(call),
        endpoint: endpoint.clone(),
        upstream,
    };
    Rest {
        length,
        parts: unfold(Some(relay), next).boxed(),
    }
}

/// Reads the next part. After the last part the connection is kept for reuse.
async fn next(relay: Option<Relay>) -> Option<(io::Result<Bytes>, Option<Relay>)> {
    let mut relay = relay?;
    let read = relay.upstream.connection.next_part();
    match timeout_at(relay.call.deadline, read).await {
        Ok(Ok(Some(part))) => Some((Ok(part), Some(relay))),
        Ok(Ok(None)) => {
            relay.gateway.upstreams.put(&relay.endpoint, relay.upstream);
            None
        }
        Ok(Err(error)) => {
            relay.gateway.services.record_failure(&relay.endpoint);
            Some((Err(relay.broken_off(error)), None))
        }
        Err(_) => {
            let error = ReadError::Io(io::ErrorKind::TimedOut.into());
            Some((Err(relay.broken_off(error)), None))
        }
    }
}

impl Relay {
    /// Logs that the response breaks off and returns the error for its caller.
    fn broken_off(&self, error: ReadError) -> io::Error {
        log::info!(
            target: "attempt",
            "event=broken-off id={} target={} ms={} error=\"{error}\"",
            self.call.id.as_deref().unwrap_or("-"),
            self.endpoint.id,
            self.call.received.elapsed().as_millis()
        );
        self.gateway
            .metrics
            .attempts
            .with_label_values(&[self.call.service.as_str(), "broken-off"])
            .inc();
        match error {
            ReadError::Io(error) => error,
            error => io::Error::other(error),
        }
    }
}
