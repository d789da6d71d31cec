//! Polls of the change log, and catching up from the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_units::{Revision, Service, Version, rank};
use carobdrift_wire::Replica;
use futures_util::{StreamExt, TryStreamExt, stream};
use rand::RngExt;
use tokio::time::sleep_until;

use crate::catalog::Shared;
use crate::recover::recover;
use crate::store::{ChangeLog, DOCUMENTS, StoreError, document_key, read_document, read_log};

/// Age of a confirmation at which the first ranks poll.
const POLL_AGE: Duration = Duration::from_secs(1);

/// Ranks that poll without a further delay.
const FIRST_RANKS: usize = 2;

/// Delay of each rank after the first ones.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Longest delay of a rank.
const RANK_DELAY_MAX: Duration = Duration::from_secs(1);

/// Shortest time between the starts of two polls.
const GAP: Duration = Duration::from_millis(100);

/// Time between polls after a first failure; doubles with each further one.
const FAILURE_GAP_MIN: Duration = Duration::from_millis(250);

/// Longest time between polls while the store can't be reached.
const FAILURE_GAP_MAX: Duration = Duration::from_secs(2);

/// Documents read at the same time while catching up.
const CONCURRENT_READS: usize = 8;

/// Rows asked for at a time by a scan.
const SCAN_ROWS: u32 = 200;

/// Polls the change log whenever the confirmation grows old.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut failure_gap = FAILURE_GAP_MIN;
    let mut earliest = Instant::now();
    loop {
        let due = due(&shared).max(earliest);
        let demanded = tokio::select! {
            () = sleep_until(due.into()) => false,
            () = shared.demand.notified() => true,
            () = shared.stopped.cancelled() => return,
        };
        // Pongs may have confirmed the entry meanwhile.
        if !demanded && self::due(&shared) > Instant::now() {
            continue;
        }
        if demanded {
            let pause = earliest.min(Instant::now() + FAILURE_GAP_MIN);
            sleep_until(pause.into()).await;
        }
        let started = Instant::now();
        if poll(&shared).await {
            failure_gap = FAILURE_GAP_MIN;
            earliest = started + GAP;
        } else {
            recover(&shared).await;
            let jitter = rand::rng().random_range(0.8..=1.2);
            earliest = Instant::now() + failure_gap.mul_f64(jitter);
            failure_gap = (failure_gap * 2).min(FAILURE_GAP_MAX);
        }
    }
}

/// When the next poll is due.
fn due(shared: &Shared) -> Instant {
    match shared.state.confirmed() {
        Some(confirmed) => confirmed + POLL_AGE + rank_delay(shared),
        None => Instant::now(),
    }
}

/// Delay by rank: the first ranks poll, and confirm the others by their pongs
/// before these have to poll.
fn rank_delay(shared: &Shared) -> Duration {
    let own = shared.links.hello();
    let peers = shared.links.peers();
    let members = peers
        .iter()
        .filter(|peer| !peer.leaving)
        .map(|peer| &peer.instance)
        .chain([&own.instance]);
    let ranked = rank(own.cell.as_str(), members);
    let position = ranked
        .iter()
        .position(|instance| **instance == own.instance)
        .unwrap_or(0);
    let steps = u32::try_from((position + 1).saturating_sub(FIRST_RANKS)).unwrap_or(u32::MAX);
    RANK_DELAY.saturating_mul(steps).min(RANK_DELAY_MAX)
}

/// Polls once. Returns whether the store confirmed the documents.
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
            // From the moment of sending: later edits may be missing.
            shared.state.confirm(sent, revision);
            // Stated after the confirmation. A peer in an outage that saw the
            // store reachable before would have to refuse in between.
            note_store(shared, true);
            true
        }
        Err(error) => {
            shared.metrics.count_poll("failed");
            log::debug!(target: "catalog", "poll failed: {error}");
            note_store(shared, false);
            false
        }
    }
}

fn note_store(shared: &Shared, reachable: bool) {
    if shared.state.set_store_reachable(reachable) {
        if reachable {
            log::info!(target: "catalog", "the store can be reached");
        } else {
            log::warn!(target: "catalog", "the store can't be reached");
        }
    }
}

/// Brings everything up to the position of the log into force.
async fn catch_up(shared: &Shared, log: ChangeLog) -> Result<(), StoreError> {
    let own = shared.state.own();
    if log.revision < own.revision {
        log::warn!(target: "catalog", "the change log is at {}, behind {} which is in force", log.revision, own.revision);
        return Ok(());
    }
    // A fresh entry may lack documents that are older than the log.
    let changes = if own.recovered || own.revision > Revision::default() {
        log.after(own.revision)
    } else {
        None
    };
    match changes {
        Some(changes) => {
            let lacking = changes
                .iter()
                .filter(|change| shared.state.version(&change.1) < change.2)
                .map(|change| (change.1.clone(), change.2));
            read_documents(shared, lacking.collect()).await?;
        }
        None => scan(shared).await?,
    }
    shared.state.reach(log.revision);
    Ok(())
}

async fn read_documents(
    shared: &Shared,
    mut lacking: Vec<(Service, Version)>,
) -> Result<(), StoreError> {
    lacking.sort_unstable();
    lacking.dedup_by(|a, b| a.0 == b.0);
    let copies: Vec<Option<Replica>> = stream::iter(lacking)
        .map(|(service, _)| read_copy(shared, service))
        .buffer_unordered(CONCURRENT_READS)
        .try_collect()
        .await?;
    shared
        .state
        .adopt(copies.into_iter().flatten().collect(), "store");
    Ok(())
}

async fn read_copy(shared: &Shared, service: Service) -> Result<Option<Replica>, StoreError> {
    let Some(row) = shared.client.read(&document_key(&service)).await? else {
        log::warn!(target: "catalog", "the store has no document of {service}, which its change log names");
        return Ok(None);
    };
    let (version, body, _) = read_document(&row);
    Ok(Some(Replica {
        service,
        version,
        body,
    }))
}

/// Reads all documents of the cell.
async fn scan(shared: &Shared) -> Result<(), StoreError> {
    log::info!(target: "catalog", "reading all documents");
    let mut after = String::new();
    loop {
        let rows = shared.client.scan(DOCUMENTS, &after, SCAN_ROWS).await?;
        let Some(last) = rows.last() else {
            return Ok(());
        };
        last.key.clone_into(&mut after);
        let copies = rows.into_iter().filter_map(|row| {
            let Ok(service) = row.key.strip_prefix(DOCUMENTS)?.parse::<Service>() else {
                log::warn!(target: "catalog", "row {} names no service", row.key);
                return None;
            };
            let (version, body, document) = read_document(&row);
            if document.is_ok_and(|document| document.cell != shared.cell) {
                return None;
            }
            Some(Replica {
                service,
                version,
                body,
            })
        });
        shared.state.adopt(copies.collect(), "store");
    }
}
