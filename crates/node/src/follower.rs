//! Keeps an entry's replica current from the store and from other entries.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_peers::{Baseline, Delta, Event, Peers, Row, Watermark, fetch};
use carobdrift_platform::Cause;
use carobdrift_routing::State;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::node::Shared;
use crate::reader::Position;
use crate::store::{Batch, Item, Subject};

/// Time for which the store is asked to wait for a change. A connection that
/// went silent is noticed after this time.
const FOLLOW_WAIT: Duration = Duration::from_millis(1500);

/// Pause after a change, so that changes in quick succession come in one call.
const CHANGE_PAUSE: Duration = Duration::from_millis(120);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed calls; it doubles up to this.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which an entry that does not read the store looks whether it
/// should.
const ROLE_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which an entry waits for a word of the others before it reads the
/// store, when all entries start together: few of them need to read it.
const FIRST_JOIN_TIME: Duration = Duration::from_millis(1500);

/// The same when this entry starts again. Others that run answer within some
/// milliseconds; where all were lost, callers are waiting.
const JOIN_TIME: Duration = Duration::from_millis(80);

/// Time after a first start in which the entries learn of each other.
const ROSTER_TIME: Duration = Duration::from_millis(700);

/// Time after that from which an entry that still knows nothing reads the store,
/// whoever else does.
const START_TIME: Duration = Duration::from_millis(1500);

/// Interval at which a hub makes sure that it is registered in the store.
const REGISTER_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which held removals are looked through.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a revision that another entry knows may be missing before it
/// is fetched: the changes themselves are on their way as datagrams.
const FETCH_DELAY: Duration = Duration::from_millis(150);

/// Starts all tasks that keep the replica current.
pub(crate) fn spawn(shared: &Arc<Shared>, peers: &Peers, events: mpsc::Receiver<Event>) {
    for subject in [Subject::State, Subject::Targets] {
        tokio::spawn(follow(Arc::clone(shared), peers.clone(), subject));
    }
    tokio::spawn(settle(Arc::clone(shared), peers.clone()));
    tokio::spawn(listen(Arc::clone(shared), peers.clone(), events));
    tokio::spawn(join(Arc::clone(shared), peers.clone()));
}

fn join_time(shared: &Shared) -> Duration {
    if shared.settings.first_start {
        FIRST_JOIN_TIME
    } else {
        JOIN_TIME
    }
}

/// Finds the other entries, and registers this one if it is a hub: entries that
/// start find a hub by the seeds or else by the store.
async fn join(shared: Arc<Shared>, peers: Peers) {
    peers.add_candidates(shared.settings.seeds.iter().copied());
    tokio::time::sleep(join_time(&shared)).await;
    let mut registered = false;
    let mut searched = false;
    loop {
        let alone = position(&shared, &peers, Instant::now()).is_alone();
        if alone && !searched {
            match shared.store.read(Subject::Entries).await {
                Ok(reading) => {
                    searched = true;
                    let entries = reading.records.into_iter().filter_map(|r| match r.item {
                        Item::Entry(address) => Some(address),
                        _ => None,
                    });
                    peers.add_candidates(entries);
                }
                Err(error) => log::warn!(target: "store", "event=search-failed error=\"{error}\""),
            }
        }
        if !registered && peers.is_hub() {
            match shared.store.register(shared.settings.peer.ip()).await {
                Ok(()) => registered = true,
                Err(error) => {
                    log::warn!(target: "store", "event=register-failed error=\"{error}\"");
                }
            }
        }
        tokio::time::sleep(REGISTER_INTERVAL).await;
    }
}

/// Follows one subject of the store while it is this entry's turn.
async fn follow(shared: Arc<Shared>, peers: Peers, subject: Subject) {
    let begin = Instant::now();
    let mut after = None;
    let mut pause = FAILURE_PAUSE;
    let mut failing = false;
    loop {
        if !reads(&shared, &peers, subject, begin) {
            after = None;
            if std::mem::take(&mut failing) {
                shared.note_failure(subject, false);
            }
            tokio::time::sleep(ROLE_INTERVAL).await;
            continue;
        }
        let result = match after {
            None => shared.store.read(subject).await,
            Some(after) => shared.store.watch(subject, after, FOLLOW_WAIT).await,
        };
        match result {
            Ok(reading) => {
                if std::mem::take(&mut failing) {
                    log::info!(target: "store", "event=regained subject={subject:?}");
                    shared.note_failure(subject, false);
                }
                pause = FAILURE_PAUSE;
                shared.note_answer(subject, Instant::now());
                let whole = after.is_none();
                after = Some(reading.revision);
                let changed = take(&shared, &peers, subject, reading, whole).await;
                if changed && !whole {
                    tokio::time::sleep(CHANGE_PAUSE).await;
                }
            }
            Err(Cause::Compacted) => {
                log::info!(target: "store", "event=compacted subject={subject:?}");
                after = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(
                        target: "store",
                        "event=lost subject={subject:?} error=\"{error}\""
                    );
                    shared.note_failure(subject, true);
                    peers.announce().await;
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Whether it is the turn of this entry, started at `begin`, to read the store.
fn reads(shared: &Shared, peers: &Peers, subject: Subject, begin: Instant) -> bool {
    let now = Instant::now();
    let position = position(shared, peers, now);
    let joined = if position.is_alone() {
        begin + join_time(shared) <= now
    } else {
        !shared.settings.first_start || begin + ROSTER_TIME <= now
    };
    let unknown = !shared.has_read(subject) && begin + join_time(shared) + START_TIME <= now;
    joined && (unknown || position.reads(shared.known_store_age(now)))
}

/// Takes in a reading of the store and passes on what changed. Returns whether
/// anything did.
async fn take(
    shared: &Shared,
    peers: &Peers,
    subject: Subject,
    reading: Batch,
    whole: bool,
) -> bool {
    let now = Instant::now();
    if subject == Subject::State {
        let mut changed = false;
        for record in reading.records {
            if let Item::State(state) = record.item {
                changed |= put_state(shared, state, "store");
            }
        }
        if changed {
            peers.announce().await;
        }
        return changed;
    }
    observe(shared, now);
    let revision = reading.revision;
    let (started, rows) = {
        let mut replica = shared.replica();
        let started = !replica.is_complete();
        let after = replica.revision();
        let changed = if whole {
            replica.replace(reading.records, revision, now)
        } else {
            replica.apply_changes(reading.records, now)
        };
        let revision = replica.revision();
        let rows = Delta {
            after,
            revision,
            rows: changed,
        };
        (started, rows)
    };
    apply(shared, &rows.rows, "store");
    if rows.rows.is_empty() {
        return false;
    }
    // An entry that has just started has nothing new for the others.
    if started {
        peers.announce().await;
    } else {
        peers.publish(&rows).await;
    }
    true
}

/// Carries out removals that were held while targets could register again.
async fn settle(shared: Arc<Shared>, peers: Peers) {
    let mut interval = tokio::time::interval(SETTLE_INTERVAL);
    loop {
        interval.tick().await;
        let now = Instant::now();
        observe(&shared, now);
        let (revision, changed) = {
            let mut replica = shared.replica();
            (replica.revision(), replica.apply_due_removals(now))
        };
        if changed.is_empty() {
            continue;
        }
        apply(&shared, &changed, "held");
        let rows = Delta {
            after: revision,
            revision,
            rows: changed,
        };
        peers.publish(&rows).await;
    }
}

/// Takes in what other entries tell.
async fn listen(shared: Arc<Shared>, peers: Peers, mut events: mpsc::Receiver<Event>) {
    while let Some(event) = events.recv().await {
        match event {
            Event::Delta(rows) => {
                let now = Instant::now();
                let changed =
                    shared
                        .replica()
                        .apply_delta(rows.rows, rows.after, rows.revision, now);
                apply(&shared, &changed, "peer");
                if !changed.is_empty() {
                    let rows = Delta {
                        after: rows.after,
                        revision: rows.revision,
                        rows: changed,
                    };
                    peers.relay(&rows).await;
                }
            }
            Event::Watermark(from, watermark) => {
                shared.note_store_age(Duration::from_millis(watermark.store_age_ms.into()));
                if is_newer(&shared, watermark) && shared.begin_fetch() {
                    tokio::spawn(catch_up(
                        Arc::clone(&shared),
                        peers.clone(),
                        from,
                        watermark,
                    ));
                }
            }
        }
    }
}

fn is_newer(shared: &Shared, watermark: Watermark) -> bool {
    watermark.state > shared.gateway.version() || watermark.targets > shared.replica().revision()
}

/// Fetches what another entry knows and this one does not.
async fn catch_up(shared: Arc<Shared>, peers: Peers, from: IpAddr, watermark: Watermark) {
    if watermark.state <= shared.gateway.version() {
        tokio::time::sleep(FETCH_DELAY).await;
    }
    let mut announces = false;
    if is_newer(&shared, watermark) {
        let known = {
            let replica = shared.replica();
            Baseline {
                state: shared.gateway.version(),
                targets: replica.is_complete().then(|| replica.revision()),
            }
        };
        match fetch(peers.snapshot_address(from), known).await {
            Ok(snapshot) => {
                if let Some(state) = snapshot.state {
                    announces = put_state(&shared, state, "peer");
                }
                if let Some(targets) = snapshot.targets {
                    let changed = shared.replica().apply_snapshot(
                        targets.rows,
                        targets.revision,
                        Instant::now(),
                    );
                    apply(&shared, &changed, "peer");
                }
            }
            Err(error) => {
                log::warn!(target: "peers", "event=fetch-failed peer={from} error=\"{error}\"");
            }
        }
    }
    shared.end_fetch();
    if announces && peers.is_hub() {
        peers.announce().await;
    }
}

fn put_state(shared: &Shared, state: State, source: &str) -> bool {
    let version = state.version;
    let faults = state.validate();
    for fault in &faults {
        log::warn!(target: "state", "event=fault version={version} fault=\"{fault}\"");
    }
    let routes = state.routes.len();
    let put = shared.gateway.put_state(state);
    if put {
        log::info!(
            target: "state",
            "event=in-force version={version} routes={routes} source={source}"
        );
    }
    put
}

fn apply(shared: &Shared, changed: &[Row], source: &str) {
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
    let own = shared.settings.peer.ip();
    Position::of(own, &shared.settings.zone, &peers.membership(), now)
}

/// Notes how long the store has been away, as far as any entry knows.
fn observe(shared: &Shared, now: Instant) {
    let age = shared.known_store_age(now);
    shared.replica().observe_store_age(age, now);
}
