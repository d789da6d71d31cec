//! Bodies of past document versions in the object store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carobdrift_units::{Service, Version};
use carobdrift_wire::Replica;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::catalog::Shared;

/// Bodies that wait to be written.
pub(crate) const QUEUE_BODIES: usize = 1_024;

/// Pause after a failed write; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(250);

/// Longest pause between two writes.
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Name of the object that holds a version.
pub(crate) fn object_name(service: &Service, version: Version) -> String {
    format!("history/{service}/{version}")
}

/// Writes bodies to the object store, each until it succeeds.
///
/// Every edit queues its own body and the one that it replaces, so a body is
/// lost only if both entries stop before the object store is back.
pub(crate) async fn run(shared: Arc<Shared>, mut queue: mpsc::Receiver<Replica>) {
    loop {
        let copy = tokio::select! {
            copy = queue.recv() => copy,
            () = shared.stopped.cancelled() => return,
        };
        let Some(copy) = copy else {
            return;
        };
        let name = object_name(&copy.service, copy.version);
        let body = Bytes::from(copy.body);
        let mut backoff = BACKOFF_MIN;
        while let Err(error) = shared.client.put_object(&name, body.clone()).await {
            shared.metrics.count_object("failed");
            log::warn!(target: "catalog", "can't write object {name}: {error}");
            tokio::select! {
                () = sleep(backoff) => {}
                () = shared.stopped.cancelled() => return,
            }
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
        shared.metrics.count_object("written");
    }
}

/// Queues a body.
pub(crate) fn keep(shared: &Shared, copy: Replica) {
    if let Err(error) = shared.history.try_send(copy) {
        shared.metrics.count_object("dropped");
        log::error!(target: "catalog", "a past document version is not kept: {error}");
    }
}
