//! Tasks that keep an entry's data current from the store and from other
//! entries.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_peers::{
    Delta, Evacuation, Event, Identity, Peers, Row, Update, Watermark, fetch_state, fetch_targets,
};
use carobdrift_platform::{CallFuture, Cause};
use carobdrift_routing::{Difference, Mismatch, State};
use carobdrift_units::{StoreRevision, Version, Zone};
use tokio::sync::{Mutex, mpsc};
use tokio::time::Instant;

use crate::node::Shared;
use crate::quota;
use crate::reader::Position;
use crate::sources::Sources;
use crate::start::{Data, Knowledge};
use crate::store::{Batch, Item, Subject};
use crate::task;

/// Share of the time within which a change must be in force for which the store is asked
/// to wait for one. A reader whose connection died silently notices it after this time, and
/// the rest is for other entries to take over and to pass the change on. A waiting call
/// also shows that the store has returned from an older copy, for which half of that time
/// is allowed.
const WATCH_SHARE: f64 = 0.4;

/// Delay after a change, so that one call returns changes in quick succession.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(120);

/// Delay after the first failed call; doubles with each further failure, up to a bound that
/// depends on the position.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Delay after failed calls while the store answers other entries, which then read it in
/// place of this one.
const REPLACED_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Age of the newest store response of another entry up to which the store
/// answers others: that of a reader that waits for a change.
const MAX_REPLACED_AGE: Duration = Duration::from_millis(2500);

/// A response to another entry shows that the store answers others once its age is below
/// this share of the time for which calls of this one fail. Not the whole time: entries
/// report ages to each other, and each report makes a response look newer by the delay of
/// the datagram.
const MAX_REPLACED_AGE_SHARE: f64 = 0.75;

/// Interval at which an entry that does not read the store checks whether it
/// should start to.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a reader checks whether its call is overdue.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the usual readers begin at a start in which other entries don't take over.
const START_GRACE: Duration = Duration::from_millis(500);

/// Interval at which an entry that is not registered checks whether it is a hub
/// and must register in the store.
const REGISTER_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which held removals are checked.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before newer targets of another entry are fetched, because the changes
/// usually arrive as datagrams first.
const FETCH_DELAY: Duration = Duration::from_millis(150);

/// Starts all tasks that keep the data current.
pub(crate) fn spawn(shared: &Arc<Shared>, peers: &Peers, events: mpsc::Receiver<Event>) {
    let context = || (Arc::clone(shared), peers.clone());
    for subject in [Subject::State, Subject::Targets] {
        let (shared, peers) = context();
        task::spawn("watch", move || {
            watch_subject(Arc::clone(&shared), peers.clone(), subject)
        });
    }
    let (shared, peers) = context();
    task::spawn("removals", move || {
        run_removals(Arc::clone(&shared), peers.clone())
    });
    let (shared, peers) = context();
    let events = Arc::new(Mutex::new(events));
    task::spawn("events", move || {
        handle_events(Arc::clone(&shared), peers.clone(), Arc::clone(&events))
    });
    let (shared, peers) = context();
    task::spawn("join", move || join(Arc::clone(&shared), peers.clone()));
}

/// Searches for the other entries, and registers this one if it is a hub.
/// Entries that start find a hub through their seeds, or else through the store.
async fn join(shared: Arc<Shared>, peers: Peers) {
    peers.add_candidates(shared.settings.seeds.iter().copied());
    tokio::time::sleep_until(shared.start.joined_at()).await;
    let mut registered = None;
    let mut searched = false;
    loop {
        let is_isolated = position(&shared, &peers, Instant::now()).is_isolated;
        if is_isolated && !searched {
            match shared.store.read(Subject::Entries).await {
                Ok(batch) => {
                    searched = true;
                    let entries = batch.records.into_iter().filter_map(|r| match r.item {
                        Item::Entry(address) => Some(address),
                        _ => None,
                    });
                    peers.add_candidates(entries);
                }
                Err(error) => log::warn!(target: "store", "event=search-failed error=\"{error}\""),
            }
        }
        let era = shared.eras.newest();
        let is_due = registered.is_some() || peers.is_hub();
        if is_due && registered < Some(era) {
            match shared.store.register(shared.settings.peer.ip()).await {
                Ok(era) => {
                    shared.eras.observe(era, "store");
                    registered = Some(era);
                }
                Err(error) => {
                    log::warn!(target: "store", "event=register-failed error=\"{error}\"");
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(REGISTER_INTERVAL) => {}
            // A return from an older copy loses registrations.
            () = shared.eras.wait_for_newer(era), if registered.is_some() => {}
        }
    }
}

/// Watches one subject of the store while this entry is one of its readers.
async fn watch_subject(shared: Arc<Shared>, peers: Peers, subject: Subject) {
    let mut after = None;
    let mut is_reading = false;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut failing_since = None;
    loop {
        let position = position(&shared, &peers, Instant::now());
        let was_reading = is_reading;
        is_reading = should_read(&shared, position, was_reading, subject);
        set_reading(&shared, position, is_reading, subject);
        let is_taking_over = is_reading && !was_reading;
        if is_taking_over {
            after = shared.known_revision(subject);
        }
        if !is_reading {
            failing_since = None;
            retry_delay = MIN_RETRY_DELAY;
            announce_health(&shared, &peers).await;
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        // A store that has just returned shows its era only at the end of a wait, and an
        // entry that takes over shows others that the store answers it.
        let wait = if failing_since.is_some() || is_taking_over {
            Duration::ZERO
        } else {
            shared.settings.max_change_delay.mul_f64(WATCH_SHARE)
        };
        let Some(result) = call_store(&shared, &peers, subject, after, wait).await else {
            after = None;
            continue;
        };
        match result {
            Ok(batch) => {
                if failing_since.take().is_some() {
                    log::info!(target: "store", "event=regained subject={subject:?}");
                }
                retry_delay = MIN_RETRY_DELAY;
                let era = batch.revision.era;
                shared
                    .store_status()
                    .record_response(subject, Instant::now());
                announce_health(&shared, &peers).await;
                shared.eras.observe(era, "store");
                let previous = after.replace(batch.revision);
                if previous.is_some_and(|previous| previous.era != era) {
                    // Changes below the previous position are missing.
                    after = None;
                    continue;
                }
                if previous > Some(batch.revision) {
                    // The position that another entry stated is not one of the store.
                    log::warn!(target: "store", "event=ahead subject={subject:?}");
                    after = None;
                    tokio::time::sleep(CHANGE_BATCH_DELAY).await;
                    continue;
                }
                if era < shared.eras.newest() {
                    // Sent before the store returned from an older copy.
                    after = None;
                    tokio::time::sleep(CHANGE_BATCH_DELAY).await;
                    continue;
                }
                let is_full = previous.is_none();
                let revision = batch.revision;
                let changed = apply_batch(&shared, &peers, subject, batch, is_full).await;
                // Not before: another entry that takes over continues after it.
                shared.store_status().record_applied(subject, revision);
                if is_full {
                    // After a loss of all entries many read, and few go on.
                    tokio::time::sleep_until(shared.start.ranked_at()).await;
                } else if changed {
                    tokio::time::sleep(CHANGE_BATCH_DELAY).await;
                }
            }
            Err(Cause::Compacted) => {
                log::info!(target: "store", "event=compacted subject={subject:?}");
                after = None;
            }
            Err(error) => {
                let now = Instant::now();
                let since = *failing_since.get_or_insert(now);
                if since == now {
                    log::warn!(
                        target: "store",
                        "event=lost subject={subject:?} error=\"{error}\""
                    );
                }
                shared.store_status().record_failure(subject);
                announce_health(&shared, &peers).await;
                let age = shared.store_status().peer_age(now);
                let failing_time = now.saturating_duration_since(since);
                let is_replaced =
                    age <= MAX_REPLACED_AGE && age < failing_time.mul_f64(MAX_REPLACED_AGE_SHARE);
                let delay = if is_replaced {
                    REPLACED_RETRY_DELAY
                } else {
                    retry_delay
                };
                retry_delay = (retry_delay * 2).min(position.retry_limit());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Reads a subject, or waits for changes after a revision. Returns `None` if the revision
/// turns out to be of an older era of the store meanwhile.
async fn call_store(
    shared: &Shared,
    peers: &Peers,
    subject: Subject,
    after: Option<StoreRevision>,
    wait: Duration,
) -> Option<Result<Batch, Cause>> {
    let now = Instant::now();
    let Some(after) = after else {
        shared
            .store_status()
            .begin_call(subject, Duration::ZERO, now);
        let read = shared.store.read(subject);
        return Some(announcing_health(shared, peers, read).await);
    };
    shared.store_status().begin_call(subject, wait, now);
    let watch = shared.store.watch(subject, after, wait);
    tokio::select! {
        result = announcing_health(shared, peers, watch) => Some(result),
        () = shared.eras.wait_for_newer(after.era) => None,
    }
}

/// Waits for the result of a call. Meanwhile announces to the other entries when the
/// store begins to answer, or the call is overdue.
async fn announcing_health<T>(
    shared: &Shared,
    peers: &Peers,
    mut call: CallFuture<T>,
) -> Result<T, Cause> {
    loop {
        match tokio::time::timeout(HEALTH_CHECK_INTERVAL, &mut call).await {
            Ok(result) => return result,
            Err(_) => announce_health(shared, peers).await,
        }
    }
}

/// Announces how the store answers this entry, if that has changed.
async fn announce_health(shared: &Shared, peers: &Peers) {
    let health = shared.store_health();
    if shared.store_status().replace_announced(health) != health {
        log::info!(target: "store", "event=health state={health:?}");
        peers.announce().await;
    }
}

/// Records whether this entry reads a subject, and logs a change.
fn set_reading(shared: &Shared, position: Position, is_reading: bool, subject: Subject) {
    let now = Instant::now();
    if shared.store_status().set_reading(subject, is_reading, now) {
        log::info!(
            target: "store",
            "event=reading subject={subject:?} state={is_reading} rank={} failing={} readers={}",
            position.rank, position.failing, position.readers
        );
    }
}

/// Returns whether this entry should read the store.
fn should_read(shared: &Shared, position: Position, is_reading: bool, subject: Subject) -> bool {
    let now = Instant::now();
    let (store_age, unread_for) = {
        let mut status = shared.store_status();
        let started_at = shared.start.ranked_at() + START_GRACE;
        let unread_for = status.unread_for(position.is_read, started_at, now);
        (status.age(now), unread_for)
    };
    let knowledge = Knowledge {
        is_isolated: position.is_isolated,
        data: if shared.has_data(subject) {
            Data::Here
        } else if store_age < Duration::MAX {
            Data::Elsewhere
        } else {
            Data::Nowhere
        },
        is_reader: position.should_read(is_reading, unread_for),
    };
    shared.start.should_read(knowledge, now)
}

/// Applies a batch read from the store and publishes the changes. Returns
/// whether anything changed.
async fn apply_batch(
    shared: &Shared,
    peers: &Peers,
    subject: Subject,
    batch: Batch,
    is_full: bool,
) -> bool {
    let now = Instant::now();
    if subject == Subject::State {
        let mut changed = false;
        let mut evacuations = Vec::new();
        for record in batch.records {
            match record.item {
                Item::State(state) => {
                    changed |= put_state(shared, state, Vec::new(), "store");
                }
                Item::Evacuation(evacuation) => evacuations.push(evacuation),
                Item::Target(_) | Item::Removed(_) | Item::Entry(_) => {}
            }
        }
        let full_revision = is_full.then_some(batch.revision);
        changed |= apply_evacuations(shared, evacuations, full_revision, "store");
        if changed {
            peers.announce().await;
        }
        return changed;
    }
    observe_store_age(shared, now);
    let revision = batch.revision;
    let (is_first, is_new_era, delta) = {
        let mut replica = shared.replica();
        let is_first = !replica.is_complete();
        let mut after = replica.revision();
        let changed = if is_full {
            replica.replace(batch.records, revision, now)
        } else {
            replica.apply_changes(batch.records, now)
        };
        let revision = replica.revision();
        let is_new_era = after.era < revision.era;
        if is_new_era {
            // Others may lack what this entry knew before, and must fetch all targets.
            after = revision;
        }
        let delta = Delta {
            after,
            revision,
            rows: changed,
        };
        (is_first, is_new_era, delta)
    };
    apply_rows(shared, &delta.rows, "store");
    // The first full read of an entry holds no changes for the others.
    if !is_first {
        peers.publish(&delta).await;
    }
    if is_first || is_new_era {
        peers.announce().await;
    }
    is_new_era || !delta.rows.is_empty()
}

/// Applies and publishes held removals once they are due.
async fn run_removals(shared: Arc<Shared>, peers: Peers) {
    let mut interval = tokio::time::interval(REMOVAL_INTERVAL);
    loop {
        interval.tick().await;
        let now = Instant::now();
        observe_store_age(&shared, now);
        apply_due_ends(&shared, &peers, now).await;
        let (revision, changed) = {
            let mut replica = shared.replica();
            (replica.revision(), replica.apply_due_removals(now))
        };
        if changed.is_empty() {
            continue;
        }
        apply_rows(&shared, &changed, "held");
        let delta = Delta {
            after: revision,
            revision,
            rows: changed,
        };
        peers.publish(&delta).await;
    }
}

/// Processes the events that other entries send.
async fn handle_events(
    shared: Arc<Shared>,
    peers: Peers,
    events: Arc<Mutex<mpsc::Receiver<Event>>>,
) {
    let mut events = events.lock().await;
    while let Some(event) = events.recv().await {
        match event {
            Event::Delta(delta) => {
                let now = Instant::now();
                let changed =
                    shared
                        .replica()
                        .apply_delta(delta.rows, delta.after, delta.revision, now);
                apply_rows(&shared, &changed, "peer");
                if !changed.is_empty() {
                    let delta = Delta {
                        after: delta.after,
                        revision: delta.revision,
                        rows: changed,
                    };
                    peers.relay(&delta).await;
                }
            }
            Event::QuotaRequest(from, request) => {
                quota::answer(&shared, &peers, from, request).await;
            }
            Event::QuotaGrants(from, grants) => {
                shared.gateway.quotas().apply(from, &grants);
            }
            Event::Watermark(from, watermark, evacuations) => {
                if apply_evacuations(&shared, evacuations, None, "peer") {
                    peers.announce().await;
                }
                shared.eras.observe(watermark.targets.era, "peer");
                if watermark.store_age_ms < u32::MAX {
                    let store_age = Duration::from_millis(watermark.store_age_ms.into());
                    shared
                        .store_status()
                        .record_peer_age(store_age, Instant::now());
                }
                shared.record_known(watermark);
                begin_catch_up(&shared, &peers, from, watermark);
            }
        }
    }
}

/// Begins to fetch the data that another entry states to have and this one lacks. The
/// desired state can be large, and must not delay the targets.
fn begin_catch_up(shared: &Arc<Shared>, peers: &Peers, from: IpAddr, watermark: Watermark) {
    if watermark.state > shared.gateway.version()
        && let Some(fetch) = shared.fetching_state.try_begin()
    {
        let (shared, peers) = (Arc::clone(shared), peers.clone());
        tokio::spawn(async move {
            catch_up_state(&shared, &peers, from, watermark.state).await;
            drop(fetch);
        });
    }
    if watermark.targets > shared.replica().revision()
        && let Some(fetch) = shared.fetching_targets.try_begin()
    {
        let (shared, peers) = (Arc::clone(shared), peers.clone());
        tokio::spawn(async move {
            catch_up_targets(&shared, &peers, from, watermark.targets).await;
            drop(fetch);
        });
    }
}

/// Fetches the desired state until this entry has a version at least as new as
/// `wanted`.
async fn catch_up_state(shared: &Shared, peers: &Peers, from: IpAddr, wanted: Version) {
    let mut sources = Sources::new(from);
    // After a difference that does not apply, the whole state is asked for.
    let mut whole = false;
    while shared.gateway.version() < wanted
        && let Some(source) = sources.next().await
    {
        let since = if whole {
            Version::NONE
        } else {
            shared.gateway.version()
        };
        let answer = fetch_state(peers.data_address(source), since).await;
        let Some(update) = sources.resolve(source, answer) else {
            continue;
        };
        match resolve_update(shared, update) {
            Ok((state, differences)) => {
                if put_state(shared, state, differences, "peer") {
                    // Lets the hubs refer other entries to this one, and the zone of a
                    // hub fetch the state.
                    peers.announce().await;
                }
            }
            // Another version was put in force meanwhile.
            Err(Mismatch::Version { .. }) => sources.retry(source),
            Err(mismatch @ Mismatch::Content(_)) => {
                log::warn!(
                    target: "peers",
                    "event=difference-rejected peer={source} error=\"{mismatch}\""
                );
                whole = true;
                sources.retry(source);
            }
        }
    }
}

/// Returns the state that an update results in, and the differences that led to it.
fn resolve_update(
    shared: &Shared,
    update: Update,
) -> Result<(State, Vec<Arc<Difference>>), Mismatch> {
    let differences = match update {
        Update::Whole(state) => return Ok((state, Vec::new())),
        Update::Differences(differences) => differences,
    };
    let table = shared.gateway.table();
    let found = table
        .as_ref()
        .map_or(Version::NONE, |table| table.state().version);
    let (Some(table), Some((first, others))) = (table, differences.split_first()) else {
        return Err(Mismatch::Content(found));
    };
    let mut state = first.apply(table.state())?;
    for difference in others {
        state = difference.apply(&state)?;
    }
    Ok((state, differences))
}

/// Fetches the targets until this entry has a revision at least as new as `wanted`.
async fn catch_up_targets(shared: &Shared, peers: &Peers, from: IpAddr, wanted: StoreRevision) {
    let (is_complete, known) = {
        let replica = shared.replica();
        (replica.is_complete(), replica.revision())
    };
    // Datagrams never complete the first changes of an era.
    if is_complete && known.era == wanted.era {
        tokio::time::sleep(FETCH_DELAY).await;
    }
    let mut sources = Sources::new(from);
    while shared.replica().revision() < wanted
        && let Some(source) = sources.next().await
    {
        let since = {
            let replica = shared.replica();
            replica.is_complete().then(|| replica.revision())
        };
        let answer = fetch_targets(peers.data_address(source), since).await;
        let Some(targets) = sources.resolve(source, answer) else {
            continue;
        };
        let changed =
            shared
                .replica()
                .apply_snapshot(targets.rows, targets.revision, Instant::now());
        apply_rows(shared, &changed, "peer");
        peers.announce().await;
    }
}

/// Puts a desired state in force unless the current one is as new. Returns whether it
/// was put in force.
fn put_state(
    shared: &Shared,
    state: State,
    differences: Vec<Arc<Difference>>,
    source: &str,
) -> bool {
    let version = state.version;
    let faults = state.validate();
    for fault in &faults {
        log::warn!(target: "state", "event=fault version={version} fault=\"{fault}\"");
    }
    let routes = state.routes.len();
    let applied = shared.put_state(state, differences);
    if applied {
        log::info!(
            target: "state",
            "event=in-force version={version} routes={routes} source={source}"
        );
    }
    applied
}

/// Applies evacuations that were read from the store or received from another entry.
/// `full_revision` is the revision of a full read of the store. Returns whether a zone
/// was evacuated or taken back into use.
fn apply_evacuations(
    shared: &Shared,
    reported: Vec<Evacuation>,
    full_revision: Option<StoreRevision>,
    source: &str,
) -> bool {
    let zones = {
        let mut evacuations = shared.evacuations();
        let changed = match full_revision {
            Some(revision) => evacuations.replace(reported, revision, Instant::now()),
            None => evacuations.apply(reported),
        };
        if !changed {
            return false;
        }
        evacuations.active()
    };
    put_evacuated(shared, zones, source);
    true
}

/// Ends the evacuations that a newer era of the store lacks and that were not written
/// again in time.
async fn apply_due_ends(shared: &Shared, peers: &Peers, now: Instant) {
    let zones = {
        let mut evacuations = shared.evacuations();
        if !evacuations.apply_due_ends(now) {
            return;
        }
        evacuations.active()
    };
    put_evacuated(shared, zones, "held");
    peers.announce().await;
}

fn put_evacuated(shared: &Shared, zones: HashSet<Zone>, source: &str) {
    let mut names: Vec<&str> = zones.iter().map(Zone::as_str).collect();
    names.sort_unstable();
    log::info!(
        target: "state",
        "event=evacuated zones={} source={source}",
        names.join(",")
    );
    shared.gateway.set_evacuated(zones);
}

fn apply_rows(shared: &Shared, changed: &[Row], source: &str) {
    for row in changed {
        if let Some(endpoint) = &row.endpoint {
            log::info!(
                target: "target",
                "event=registered target={} service={} address={} state={:?} revision={} \
                 source={source}",
                row.target, endpoint.service, endpoint.address, endpoint.lifecycle, row.revision
            );
            shared.gateway.put_target(endpoint.clone());
        } else {
            log::info!(
                target: "target",
                "event=gone target={} revision={} source={source}",
                row.target, row.revision
            );
            shared.gateway.remove_target(&row.target);
        }
    }
}

fn position(shared: &Shared, peers: &Peers, now: Instant) -> Position {
    let own = Identity {
        address: shared.settings.peer.ip(),
        zone: shared.settings.zone.clone(),
        capacity: shared.settings.capacity,
    };
    Position::of(&own, &peers.membership(), now)
}

/// Records the age of the newest store response that any entry knows of.
fn observe_store_age(shared: &Shared, now: Instant) {
    let age = shared.store_status().age(now);
    shared.replica().observe_store_age(age, now);
}
