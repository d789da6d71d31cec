//! Reads of the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_platform::{Client, Member};
use rand::RngExt;
use tokio::time::sleep;

use crate::links::Shared;

/// Time between two reads.
const INTERVAL: Duration = Duration::from_secs(2);

/// Time between two reads until the first one has succeeded.
const FIRST_INTERVAL: Duration = Duration::from_millis(500);

/// Spread of the interval, so that entries started together don't read
/// together.
const JITTER: f64 = 0.1;

/// Reads the instance list until the links stop. The latest list stays in force
/// while the platform can't be reached.
pub(crate) async fn run(shared: Arc<Shared>, client: Client) {
    let mut failed = false;
    let mut interval = FIRST_INTERVAL;
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
                interval = INTERVAL;
                take_over(&shared, rows);
            }
            Err(error) => {
                shared.metrics.count_list("failed");
                if !failed {
                    log::warn!(target: "links", "can't read the instance list, keeping the last one: {error}");
                }
                failed = true;
            }
        }
        let pause = interval.mul_f64(rand::rng().random_range(1.0 - JITTER..=1.0 + JITTER));
        tokio::select! {
            () = sleep(pause) => {}
            () = shared.stopped.cancelled() => return,
        }
    }
}

fn take_over(shared: &Arc<Shared>, rows: Vec<Member>) {
    let own = &shared.hello;
    let mut entries = Vec::new();
    let mut targets = Vec::new();
    for row in rows {
        match row {
            Member::Entry(entry) if entry.cell == own.cell && entry.id != own.instance => {
                entries.push(entry);
            }
            Member::Entry(_) => {}
            Member::Target(target) => targets.push(target),
        }
    }
    for instance in shared.roster.apply_list(entries) {
        shared.start_dialler(instance);
    }
    shared.targets.send_if_modified(|known| {
        let changed = **known != targets;
        if changed {
            *known = Arc::new(targets);
        }
        changed
    });
    shared.show_peers();
    shared.beat();
}
