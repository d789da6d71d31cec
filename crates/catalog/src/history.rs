//! History of document bodies in the object store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carobdrift_units::{Service, Version};
use carobdrift_wire::Replica;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::catalog::Shared;

/// Capacity of the queue of unwritten bodies.
pub(crate) const QUEUE_BODIES: usize = 1_024;

/// Pause after the first failed write; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest pause after a failed write.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Returns the name of the object that holds the body of a version.
pub(crate) fn object_name(service: &Service, version: Version) -> String {
    format!("history/{service}/{version}")
}

/// Writes the queued bodies to the object store, retrying each until the write
/// succeeds.
///
/// Every edit queues its own body and the body that it replaces. A body is
/// therefore lost only if the entries that made both edits stop before the
/// object store is available again.
pub(crate) async fn run(shared: Arc<Shared>, mut queue: mpsc::Receiver<Replica>) {
    loop {
        let replica = tokio::select! {
            replica = queue.recv() => replica,
            () = shared.stopped.cancelled() => return,
        };
        let Some(replica) = replica else {
            return;
        };
        let name = object_name(&replica.service, replica.version);
        let body = Bytes::from(replica.body);
        let mut backoff = MIN_BACKOFF;
        while let Err(error) = shared.client.put_object(&name, body.clone()).await {
            shared.metrics.count_history_write("failed");
            log::warn!(target: "catalog", "can't write object {name}: {error}");
            tokio::select! {
                () = sleep(backoff) => {}
                () = shared.stopped.cancelled() => return,
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        shared.metrics.count_history_write("written");
    }
}

/// Queues a body to be written.
pub(crate) fn enqueue(shared: &Shared, replica: Replica) {
    if let Err(error) = shared.history.try_send(replica) {
        shared.metrics.count_history_write("dropped");
        log::error!(target: "catalog", "a document version is not written to the history: {error}");
    }
}
