//! Periodic reads of the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_platform::{Client, Member};
use rand::RngExt;
use tokio::time::sleep;

use crate::links::Shared;

/// Time between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two reads until the first read has succeeded.
const INITIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Relative jitter of the interval, so that entries that were started together
/// don't read at the same time.
const JITTER_FRACTION: f64 = 0.1;

/// Reads the instance list periodically until the links stop. The latest list is
/// used while the platform can't be reached.
pub(crate) async fn run(shared: Arc<Shared>, client: Client) {
    let mut failed = false;
    let mut interval = INITIAL_INTERVAL;
    loop {
        let read = tokio::select! {
            read = client.instances() => read,
            () = shared.stopped.cancelled() => return,
        };
        match read {
            Ok(rows) => {
                shared.metrics.count_list("read");
                if failed {
                    log::info!(target: "links", "the instance list can be read again");
                }
                failed = false;
                interval = READ_INTERVAL;
                apply(&shared, rows);
            }
            Err(error) => {
                shared.metrics.count_list("failed");
                if !failed {
                    log::warn!(target: "links", "can't read the instance list, using the last one: {error}");
                }
                failed = true;
            }
        }
        let pause = interval
            .mul_f64(rand::rng().random_range(1.0 - JITTER_FRACTION..=1.0 + JITTER_FRACTION));
        tokio::select! {
            () = sleep(pause) => {}
            () = shared.stopped.cancelled() => return,
        }
    }
}

/// Applies an instance list: adds new peers and publishes the targets.
fn apply(shared: &Arc<Shared>, rows: Vec<Member>) {
    let local = &shared.hello;
    let mut entries = Vec::new();
    let mut targets = Vec::new();
    for row in rows {
        match row {
            Member::Entry(entry) if entry.cell == local.cell && entry.id != local.instance => {
                entries.push(entry);
            }
            Member::Entry(_) => {}
            Member::Target(target) => targets.push(target),
        }
    }
    for instance in shared.directory.apply_list(entries) {
        shared.start_dialler(instance);
    }
    shared.targets.send_if_modified(|current| {
        let changed = **current != targets;
        if changed {
            *current = Arc::new(targets);
        }
        changed
    });
    shared.update_peer_metrics();
    shared.notify_heartbeat();
}
