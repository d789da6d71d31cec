//! Polling of the change log and reads of new documents from the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_units::{Revision, Service, Version, rank};
use carobdrift_wire::Replica;
use futures_util::{StreamExt, TryStreamExt, stream};
use rand::RngExt;
use tokio::time::sleep_until;

use crate::catalog::Shared;
use crate::recover::recover;
use crate::store::{ChangeLog, DOCUMENTS, StoreError, document_key, parse_document_row, read_log};

/// Age of the confirmation at which the entries of the first ranks poll.
const POLL_AGE: Duration = Duration::from_secs(1);

/// Number of ranks that poll without further delay.
const FIRST_RANKS: usize = 2;

/// Additional delay of each rank after the first ones.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Longest additional delay of a rank.
const MAX_RANK_DELAY: Duration = Duration::from_secs(1);

/// Shortest time from the start of a successful poll to the start of the next one.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after the first failed poll; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Longest pause after a failed poll, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Number of documents read at the same time.
const CONCURRENT_READS: usize = 8;

/// Number of rows per request of a scan.
const SCAN_ROWS: u32 = 200;

/// Polls the change log when the confirmation is as old as [`POLL_AGE`] plus the
/// delay of this entry's rank, or when a poll is requested.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut backoff = MIN_BACKOFF;
    let mut earliest = Instant::now();
    loop {
        let due = next_poll(&shared).max(earliest);
        let requested = tokio::select! {
            () = sleep_until(due.into()) => false,
            () = shared.poll_request.notified() => true,
            () = shared.stopped.cancelled() => return,
        };
        // Pongs may have renewed the confirmation while this task slept.
        if !requested && next_poll(&shared) > Instant::now() {
            continue;
        }
        if requested {
            let pause = earliest.min(Instant::now() + MIN_BACKOFF);
            sleep_until(pause.into()).await;
        }
        let started = Instant::now();
        if poll(&shared).await {
            backoff = MIN_BACKOFF;
            earliest = started + MIN_POLL_INTERVAL;
        } else {
            recover(&shared).await;
            let jitter = rand::rng().random_range(0.8..=1.2);
            earliest = Instant::now() + backoff.mul_f64(jitter);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Returns the time at which the next poll is due.
fn next_poll(shared: &Shared) -> Instant {
    match shared.state.confirmed() {
        Some(confirmed) => confirmed + POLL_AGE + rank_delay(shared),
        None => Instant::now(),
    }
}

/// Returns the additional delay of this entry's rank. The entries of the first
/// ranks poll, and their pongs renew the confirmations of the other entries
/// before these have to poll.
fn rank_delay(shared: &Shared) -> Duration {
    let local = shared.links.hello();
    let peers = shared.links.peers();
    let members = peers
        .iter()
        .filter(|peer| !peer.leaving)
        .map(|peer| &peer.instance)
        .chain([&local.instance]);
    let ranked = rank(local.cell.as_str(), members);
    let position = ranked
        .iter()
        .position(|instance| **instance == local.instance)
        .unwrap_or(0);
    let steps = u32::try_from((position + 1).saturating_sub(FIRST_RANKS)).unwrap_or(u32::MAX);
    RANK_DELAY.saturating_mul(steps).min(MAX_RANK_DELAY)
}

/// Polls the change log once. Returns whether the poll succeeded, which confirms
/// the documents.
async fn poll(shared: &Shared) -> bool {
    let sent = Instant::now();
    let polled = async {
        let (_, log) = read_log(&shared.client, &shared.cell).await?;
        let revision = log.revision;
        catch_up(shared, log).await?;
        Ok::<_, StoreError>(revision)
    };
    match polled.await {
        Ok(revision) => {
            shared.metrics.count_poll("confirmed");
            // Confirmed as of the sending of the request, because the response
            // may lack later edits.
            shared.state.confirm(sent, revision);
            // Published after the confirmation. A peer in an outage that learns
            // first that the store is reachable would have to refuse calls until
            // it receives the confirmation.
            record_store_reachable(shared, true);
            true
        }
        Err(error) => {
            shared.metrics.count_poll("failed");
            log::debug!(target: "catalog", "poll failed: {error}");
            record_store_reachable(shared, false);
            false
        }
    }
}

fn record_store_reachable(shared: &Shared, reachable: bool) {
    if shared.state.set_store_reachable(reachable) {
        if reachable {
            log::info!(target: "catalog", "the store is reachable");
        } else {
            log::warn!(target: "catalog", "the store is unreachable");
        }
    }
}

/// Puts all changes up to the position of the change log into force.
async fn catch_up(shared: &Shared, log: ChangeLog) -> Result<(), StoreError> {
    let local = shared.state.snapshot();
    if log.revision < local.revision {
        log::warn!(target: "catalog", "the change log is at revision {}, older than revision {} which is in force", log.revision, local.revision);
        return Ok(());
    }
    // A restarted entry may lack documents whose changes the log no longer has.
    let changes = if local.recovered || local.revision > Revision::default() {
        log.changes_after(local.revision)
    } else {
        None
    };
    match changes {
        Some(changes) => {
            let outdated = changes
                .iter()
                .filter(|change| shared.state.version(&change.1) < change.2)
                .map(|change| (change.1.clone(), change.2));
            read_documents(shared, outdated.collect()).await?;
        }
        None => scan(shared).await?,
    }
    shared.state.advance_to(log.revision);
    Ok(())
}

/// Reads the documents of the given services and puts newer versions into force.
async fn read_documents(
    shared: &Shared,
    mut outdated: Vec<(Service, Version)>,
) -> Result<(), StoreError> {
    outdated.sort_unstable();
    outdated.dedup_by(|a, b| a.0 == b.0);
    let replicas: Vec<Option<Replica>> = stream::iter(outdated)
        .map(|(service, _)| read_replica(shared, service))
        .buffer_unordered(CONCURRENT_READS)
        .try_collect()
        .await?;
    shared
        .state
        .adopt(replicas.into_iter().flatten().collect(), "store");
    Ok(())
}

async fn read_replica(shared: &Shared, service: Service) -> Result<Option<Replica>, StoreError> {
    let Some(row) = shared.client.read(&document_key(&service)).await? else {
        log::warn!(target: "catalog", "the store has no document of {service} although its change log lists one");
        return Ok(None);
    };
    let (version, body, _) = parse_document_row(&row);
    Ok(Some(Replica {
        service,
        version,
        body,
    }))
}

/// Reads all documents of the cell and puts newer versions into force.
async fn scan(shared: &Shared) -> Result<(), StoreError> {
    log::info!(target: "catalog", "reading all documents from the store");
    let mut after = String::new();
    loop {
        let rows = shared.client.scan(DOCUMENTS, &after, SCAN_ROWS).await?;
        let Some(last) = rows.last() else {
            return Ok(());
        };
        last.key.clone_into(&mut after);
        let replicas = rows.into_iter().filter_map(|row| {
            let Ok(service) = row.key.strip_prefix(DOCUMENTS)?.parse::<Service>() else {
                log::warn!(target: "catalog", "key {} does not end in a valid service name", row.key);
                return None;
            };
            let (version, body, document) = parse_document_row(&row);
            if document.is_ok_and(|document| document.cell != shared.cell) {
                return None;
            }
            Some(Replica {
                service,
                version,
                body,
            })
        });
        shared.state.adopt(replicas.collect(), "store");
    }
}
