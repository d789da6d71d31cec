//! Startup, operation and shutdown of an entry.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use carobdrift_gateway::{Dialect, Gateway, Listener, Metrics, Suspension};
use carobdrift_http1::{Budget, Drain};
use carobdrift_peers::{Data, Heartbeat, Peers, Phase, StoreHealth, Targets, Update, Watermark};
use carobdrift_routing::{Difference, History, State};
use carobdrift_units::{StoreRevision, Version, Zone};
use prometheus::Registry;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::directory::{self, Candidate};
use crate::era::Eras;
use crate::evacuation::Evacuations;
use crate::exporter::Exporter;
use crate::follower;
use crate::quota::{self, Quota};
use crate::replica::Replica;
use crate::settings::Settings;
use crate::start::Start;
use crate::status::Status;
use crate::store::{Store, Subject};
use crate::task;

/// TTL of an address answer.
const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// Multiple of the TTL for which some callers keep using an answer.
const TTL_OVERRUN_FACTOR: u32 = 3;

/// Time that a graceful shutdown leaves before the forced end of the process.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(150);

/// Interval at which the clock and idle connections are checked.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of maintenance intervals in a second.
const MAINTENANCE_RUNS_PER_SECOND: u32 = 4;

/// Number of announcements that an entry is leaving, because datagrams may be
/// lost.
const LEAVING_ANNOUNCEMENTS: usize = 3;

/// Interval between two announcements that an entry is leaving.
const LEAVING_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(60);

/// Error of an entry's startup.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {cause}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// A metric can't be registered.
    #[error(transparent)]
    Metrics(#[from] prometheus::Error),
}

/// State that the tasks of an entry share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) start: Start,
    pub(crate) quota: Quota,
    replica: Mutex<Replica>,
    evacuations: Mutex<Evacuations>,
    pub(crate) eras: Eras,
    store_status: Mutex<Status>,
    /// Start of the process in Unix milliseconds.
    started_ms: u64,
    pub(crate) started_at: Instant,
    /// Request rate of this entry over about the last second.
    rate: AtomicU32,
    leaving: AtomicBool,
    /// Differences between recent versions of the desired state. Locked while a
    /// version is put in force.
    history: Mutex<History>,
    /// Whether a fetch of the desired state from another entry is in progress.
    pub(crate) fetching_state: Fetching,
    /// Whether a fetch of the targets from another entry is in progress.
    pub(crate) fetching_targets: Fetching,
}

/// Whether a fetch from another entry is in progress.
#[derive(Debug, Default)]
pub(crate) struct Fetching(Arc<AtomicBool>);

/// Fetch from another entry that is in progress until this value is dropped.
#[derive(Debug)]
pub(crate) struct Fetch(Arc<AtomicBool>);

impl Fetching {
    /// Begins a fetch, unless one is in progress already.
    pub(crate) fn try_begin(&self) -> Option<Fetch> {
        let is_first = !self.0.swap(true, Ordering::AcqRel);
        is_first.then(|| Fetch(Arc::clone(&self.0)))
    }
}

impl Drop for Fetch {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Running entry.
pub struct Node {
    shared: Arc<Shared>,
    peers: Peers,
    listener: Listener,
}

impl Node {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails when an address of the settings can't be listened on or a metric
    /// can't be registered.
    pub async fn spawn(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn Store>,
    ) -> Result<Self, Error> {
        let registry = Registry::new();
        let gateway = Gateway::open(&settings.gateway, dialect, Metrics::register(&registry)?);
        let callers = listen(settings.caller).await?;
        let metrics = listen(settings.metrics).await?;
        tokio::spawn(carobdrift_http1::listen(
            metrics,
            Arc::new(Exporter(registry)),
            CancellationToken::new(),
            TaskTracker::new(),
        ));
        let start = Start::new(settings.first_start, Instant::now());
        let shared = Arc::new(Shared {
            start,
            quota: Quota::open(settings.peer.ip()),
            gateway: Arc::clone(&gateway),
            store,
            replica: Mutex::default(),
            evacuations: Mutex::default(),
            eras: Eras::default(),
            store_status: Mutex::default(),
            started_ms: unix_ms(),
            started_at: Instant::now(),
            rate: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            history: Mutex::default(),
            fetching_state: Fetching::default(),
            fetching_targets: Fetching::default(),
            settings,
        });
        let (peers, events) = bind_peers(&shared).await?;
        follower::spawn(&shared, &peers, events);
        quota::spawn(&shared, &peers);
        let (for_maintenance, peers_for_maintenance) = (Arc::clone(&shared), peers.clone());
        task::spawn("maintenance", move || {
            run_maintenance(Arc::clone(&for_maintenance), peers_for_maintenance.clone())
        });
        let listener = Listener::spawn(callers, gateway);
        log::info!(
            target: "entry",
            "event=started name={} zone={} caller={} peer={} started={}",
            shared.settings.name, shared.settings.zone, shared.settings.caller,
            shared.settings.peer, shared.started_ms
        );
        Ok(Self {
            shared,
            peers,
            listener,
        })
    }

    /// Returns whether the entry accepts callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.phase() == Phase::Ready
    }

    /// Returns the budget of the connections of callers.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        self.shared.gateway.budget()
    }

    /// Returns the caller addresses of the entries that callers of a host should
    /// use, and the TTL of the answer. There are no addresses while no entry is
    /// ready.
    #[must_use]
    pub fn addresses(&self, host: &str, zone: Option<&Zone>) -> (Vec<SocketAddr>, Duration) {
        let now = Instant::now();
        let port = self.shared.settings.caller.port();
        let mut candidates: Vec<Candidate> = self
            .peers
            .membership()
            .alive(now)
            .filter(|(_, peer)| {
                let is_local = peer.zone == self.shared.settings.zone;
                peer.phase == Phase::Ready && (!is_local || peer.is_responsive(now))
            })
            .map(|(address, peer)| Candidate {
                zone: peer.zone.clone(),
                caller: SocketAddr::new(address, port),
                capacity: peer.capacity,
                rate: peer.rate,
            })
            .collect();
        if self.is_ready() {
            candidates.push(Candidate {
                zone: self.shared.settings.zone.clone(),
                caller: self.shared.settings.caller,
                capacity: self.shared.settings.capacity,
                rate: self.shared.rate.load(Ordering::Relaxed),
            });
        }
        let table = self.shared.gateway.table();
        let chosen = directory::choose(table.as_deref(), host, zone, &candidates);
        (chosen, ADDRESS_TTL.min(self.shared.settings.max_ttl))
    }

    /// Shuts the entry down gracefully: announces to all entries that their
    /// address answers must leave it out, serves callers until the answers that
    /// list it have expired, and finishes the requests in progress.
    pub async fn shut_down(&self) {
        let start = Instant::now();
        self.shared.leaving.store(true, Ordering::Release);
        self.shared.gateway.start_draining();
        log::info!(target: "entry", "event=leaving");
        for _ in 0..LEAVING_ANNOUNCEMENTS {
            self.peers.announce().await;
            tokio::time::sleep(LEAVING_ANNOUNCEMENT_INTERVAL).await;
        }
        let grace = self.shared.settings.grace;
        let serving_time = (ADDRESS_TTL * TTL_OVERRUN_FACTOR).min(grace / 2);
        tokio::time::sleep_until(start + serving_time).await;
        let drain = Drain::new(start, grace, SHUTDOWN_MARGIN);
        let drained = self.listener.drain(drain).await;
        log::info!(
            target: "entry",
            "event=stopped whole={drained} ms={}",
            start.elapsed().as_millis()
        );
    }
}

impl Shared {
    pub(crate) fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        let evacuations = self.evacuations.lock();
        evacuations.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn store_status(&self) -> MutexGuard<'_, Status> {
        self.store_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how the store answers this entry.
    pub(crate) fn store_health(&self) -> StoreHealth {
        let received = self.store.last_received();
        self.store_status().health(received, Instant::now())
    }

    /// Returns whether the entry has the data of a subject, from the store or
    /// from another entry.
    pub(crate) fn has_data(&self, subject: Subject) -> bool {
        match subject {
            Subject::State => self.gateway.version() > Version::NONE,
            Subject::Targets | Subject::Entries => self.replica().is_complete(),
        }
    }

    /// Returns the store revision after which this entry lacks changes of a subject;
    /// `None` if it must read the whole subject.
    pub(crate) fn known_revision(&self, subject: Subject) -> Option<StoreRevision> {
        let known = self.store_status().known();
        let start = StoreRevision::start_of(self.eras.newest());
        (self.has_data(subject) && known > start).then_some(known)
    }

    /// Records that this entry has all changes that another one has, if it has the same
    /// data.
    pub(crate) fn record_known(&self, watermark: Watermark) {
        let has_targets = {
            let replica = self.replica();
            replica.is_complete() && replica.revision() >= watermark.targets
        };
        if has_targets && self.gateway.version() >= watermark.state {
            self.store_status().record_known(watermark.known);
        }
    }

    /// Puts a desired state in force unless the current one is as new. Returns whether
    /// it was put in force. `differences` lead to it from the current one; if they are
    /// not known, the difference is computed.
    pub(crate) fn put_state(&self, state: State, differences: Vec<Arc<Difference>>) -> bool {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let differences = match self.gateway.table() {
            Some(table) if differences.is_empty() => {
                vec![Arc::new(Difference::between(table.state(), &state))]
            }
            _ => differences,
        };
        let applied = self.gateway.put_state(state);
        if applied {
            for difference in differences {
                history.record(difference);
            }
        }
        applied
    }

    pub(crate) fn phase(&self) -> Phase {
        if self.leaving.load(Ordering::Acquire) {
            Phase::Leaving
        } else if self.has_data(Subject::State) && self.has_data(Subject::Targets) {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    fn heartbeat(&self, sequence: u32) -> Heartbeat {
        Heartbeat {
            started_ms: self.started_ms,
            sequence,
            zone: self.settings.zone.clone(),
            phase: self.phase(),
            capacity: self.settings.capacity,
            rate: self.rate.load(Ordering::Relaxed),
            store: self.store_health(),
            watermark: self.watermark(),
            evacuations: self.evacuations().list(),
        }
    }

    fn watermark(&self) -> Watermark {
        let (age, known) = {
            let status = self.store_status();
            (status.age(Instant::now()).as_millis(), status.known())
        };
        let replica = self.replica();
        Watermark {
            state: self.gateway.version(),
            targets: replica.revision(),
            known: replica.without_held(known),
            store_age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Returns what leads from a version of the desired state to the current one;
    /// `None` if this entry has none or it is not newer.
    fn state_since(&self, version: Version) -> Option<Update> {
        let table = self.gateway.table()?;
        let state = table.state();
        if state.version <= version {
            return None;
        }
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        Some(
            match history.since(version, state.routes.len() + state.workspaces.len()) {
                Some(differences) => Update::Differences(differences),
                None => Update::Whole(state.clone()),
            },
        )
    }

    /// Returns the targets if this entry has all of them and they are newer than a
    /// store revision.
    fn targets_since(&self, revision: Option<StoreRevision>) -> Option<Targets> {
        let replica = self.replica();
        let newest = replica.revision();
        (replica.is_complete() && revision < Some(newest)).then(|| Targets {
            revision: newest,
            rows: replica.rows(),
        })
    }
}

async fn bind_peers(
    shared: &Arc<Shared>,
) -> Result<(Peers, tokio::sync::mpsc::Receiver<carobdrift_peers::Event>), Error> {
    let address = shared.settings.peer;
    let settings = carobdrift_peers::Settings {
        address,
        zone: shared.settings.zone.clone(),
        started_ms: shared.started_ms,
        capacity: shared.settings.capacity,
        link: shared.settings.link,
    };
    let for_heartbeat = Arc::clone(shared);
    let for_state = Arc::clone(shared);
    let for_targets = Arc::clone(shared);
    let data = Data {
        heartbeat: Box::new(move |sequence| for_heartbeat.heartbeat(sequence)),
        state: Box::new(move |since| for_state.state_since(since)),
        targets: Box::new(move |since| for_targets.targets_since(since)),
    };
    Peers::bind(settings, data)
        .await
        .map_err(|cause| Error::Listen { address, cause })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Listen { address, cause })
}

/// Returns the time of day in Unix milliseconds, or 0 if the clock is before
/// 1970.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

/// Detects suspensions of the process, closes idle connections and updates the
/// number of entries and the request rate.
async fn run_maintenance(shared: Arc<Shared>, peers: Peers) {
    let mut suspension = Suspension::default();
    let mut requests = shared.gateway.request_count();
    let mut due = Instant::now();
    loop {
        due += MAINTENANCE_INTERVAL;
        tokio::time::sleep_until(due).await;
        // The runtime has one thread, so all other tasks were as late.
        let lag = due.elapsed();
        shared.gateway.record_timer_lag(lag);
        due = Instant::now();
        if let Some(duration) = suspension.take() {
            log::warn!(target: "entry", "event=suspended ms={}", duration.as_millis());
            shared.gateway.close_idle();
        }
        shared.gateway.close_expired();
        let alive = peers.membership().alive(Instant::now()).count();
        shared.gateway.set_entries(alive + 1);
        let total = shared.gateway.request_count();
        update_rate(&shared.rate, total - requests);
        requests = total;
    }
}

/// Updates the request rate per second with the requests of one interval.
fn update_rate(rate: &AtomicU32, requests: u64) {
    let current = u32::try_from(requests).unwrap_or(u32::MAX);
    let current = current.saturating_mul(MAINTENANCE_RUNS_PER_SECOND);
    let previous = rate.load(Ordering::Relaxed);
    // The rate rises at once and falls over about a second.
    let next = current.max(previous - previous / MAINTENANCE_RUNS_PER_SECOND);
    rate.store(next, Ordering::Relaxed);
}
