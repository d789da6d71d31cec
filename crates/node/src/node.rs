//! Start, life and stop of an entry.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use carobdrift_gateway::{Dialect, Gateway, Listener, Metrics, Suspension};
use carobdrift_peers::{
    Baseline, Heartbeat, Peers, Phase, Snapshot, StoreHealth, Targets, Watermark,
};
use carobdrift_units::{Version, Zone};
use prometheus::Registry;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::directory::{self, Ready};
use crate::follower;
use crate::monitor::Monitor;
use crate::replica::Replica;
use crate::settings::Settings;
use crate::store::{Store, Subject};

/// Time for which callers may keep an address answer.
const TTL: Duration = Duration::from_secs(1);

/// Some callers keep an answer for this many times as long.
const TTL_FACTOR: u32 = 3;

/// Time before the end of the process by which it has stopped by itself.
const STOP_MARGIN: Duration = Duration::from_millis(150);

/// Interval at which the clock and idle connections are looked at.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The same as a number.
const INTERVALS_PER_SECOND: u32 = 4;

/// Announcements of an entry that leaves; datagrams may be lost.
const LEAVING_BEATS: usize = 3;

/// Pause between these.
const LEAVING_PAUSE: Duration = Duration::from_millis(60);

/// Why an entry could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
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
    replica: Mutex<Replica>,
    /// Last good answer of the store for the desired state and the targets.
    answers: Mutex<Answers>,
    /// Start of the process in Unix milliseconds.
    started_ms: u64,
    /// Requests of the last second.
    rate: AtomicU32,
    leaving: AtomicBool,
    fetching: AtomicBool,
}

/// Answers of the store.
#[derive(Debug, Default)]
struct Answers {
    /// Last good answer to this entry.
    state: Option<Instant>,
    targets: Option<Instant>,
    /// Last good answer that another entry had, as far as it is known.
    others: Option<Instant>,
    /// Whether the last call failed.
    state_fails: bool,
    targets_fail: bool,
}

/// A running entry.
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
    /// Fails when an address of the settings can't be listened on.
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
            Arc::new(Monitor(registry)),
            CancellationToken::new(),
            TaskTracker::new(),
        ));
        let shared = Arc::new(Shared {
            gateway: Arc::clone(&gateway),
            store,
            replica: Mutex::default(),
            answers: Mutex::default(),
            started_ms: unix_ms(),
            rate: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            fetching: AtomicBool::new(false),
            settings,
        });
        let (peers, events) = bind_peers(&shared).await?;
        follower::spawn(&shared, &peers, events);
        tokio::spawn(upkeep(Arc::clone(&shared), peers.clone()));
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

    /// Whether the entry takes callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.phase() == Phase::Ready
    }

    /// Entries that the callers of a host should use, and how long they may
    /// keep the answer. Empty while none is ready.
    #[must_use]
    pub fn addresses(&self, host: &str, zone: Option<&Zone>) -> (Vec<SocketAddr>, Duration) {
        let now = Instant::now();
        let port = self.shared.settings.caller.port();
        let mut ready: Vec<Ready> = self
            .peers
            .membership()
            .alive(now)
            .filter(|(_, peer)| {
                let local = peer.zone == self.shared.settings.zone;
                peer.phase == Phase::Ready && (!local || peer.is_responsive(now))
            })
            .map(|(address, peer)| Ready {
                zone: peer.zone.clone(),
                caller: SocketAddr::new(address, port),
                capacity: peer.capacity,
                rate: peer.rate,
            })
            .collect();
        if self.is_ready() {
            ready.push(Ready {
                zone: self.shared.settings.zone.clone(),
                caller: self.shared.settings.caller,
                capacity: self.shared.settings.capacity,
                rate: self.shared.rate.load(Ordering::Relaxed),
            });
        }
        let table = self.shared.gateway.table();
        let chosen = directory::choose(table.as_deref(), host, zone, &ready);
        (chosen, TTL.min(self.shared.settings.max_ttl))
    }

    /// Stops gracefully: leaves the address answers of all entries, serves
    /// callers until none can hold its address any more, and ends the requests
    /// in progress.
    pub async fn shut_down(&self) {
        let begin = Instant::now();
        self.shared.leaving.store(true, Ordering::Release);
        self.shared.gateway.start_draining();
        log::info!(target: "entry", "event=leaving");
        for _ in 0..LEAVING_BEATS {
            self.peers.announce().await;
            tokio::time::sleep(LEAVING_PAUSE).await;
        }
        let grace = self.shared.settings.grace;
        let serving = (TTL * TTL_FACTOR).min(grace / 2);
        tokio::time::sleep_until(begin + serving).await;
        let end = begin + grace.saturating_sub(STOP_MARGIN);
        let ended = tokio::time::timeout_at(end, self.listener.drain()).await;
        log::info!(
            target: "entry",
            "event=stopped whole={} ms={}",
            ended.is_ok(), begin.elapsed().as_millis()
        );
    }
}

impl Shared {
    pub(crate) fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answers(&self) -> MutexGuard<'_, Answers> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a good answer of the store.
    pub(crate) fn note_answer(&self, subject: Subject, now: Instant) {
        let mut answers = self.answers();
        match subject {
            Subject::State => answers.state = Some(now),
            Subject::Targets => answers.targets = Some(now),
            Subject::Entries => {}
        }
    }

    /// Notes whether calls of the store fail.
    pub(crate) fn note_failure(&self, subject: Subject, fails: bool) {
        let mut answers = self.answers();
        match subject {
            Subject::State => answers.state_fails = fails,
            Subject::Targets => answers.targets_fail = fails,
            Subject::Entries => {}
        }
    }

    /// Notes the age of an answer of the store that another entry knows of.
    pub(crate) fn note_store_age(&self, age: Duration) {
        let at = Instant::now().checked_sub(age);
        let mut answers = self.answers();
        answers.others = answers.others.max(at);
    }

    /// Age of the newest good answer of the store that this entry knows of.
    pub(crate) fn known_store_age(&self, now: Instant) -> Duration {
        let answers = self.answers();
        let own = answers.state.min(answers.targets);
        own.max(answers.others)
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Whether a subject is known, from the store or from another entry.
    pub(crate) fn has_read(&self, subject: Subject) -> bool {
        match subject {
            Subject::State => self.gateway.version() > Version::NONE,
            Subject::Targets | Subject::Entries => self.replica().is_complete(),
        }
    }

    /// Begins to fetch from another entry unless this is going on.
    pub(crate) fn begin_fetch(&self) -> bool {
        !self.fetching.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn end_fetch(&self) {
        self.fetching.store(false, Ordering::Release);
    }

    fn phase(&self) -> Phase {
        if self.leaving.load(Ordering::Acquire) {
            Phase::Leaving
        } else if self.has_read(Subject::State) && self.has_read(Subject::Targets) {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    fn beat(&self, sequence: u32) -> Heartbeat {
        let fails = {
            let answers = self.answers();
            answers.state_fails || answers.targets_fail
        };
        Heartbeat {
            started_ms: self.started_ms,
            sequence,
            zone: self.settings.zone.clone(),
            phase: self.phase(),
            capacity: self.settings.capacity,
            rate: self.rate.load(Ordering::Relaxed),
            store: if fails {
                StoreHealth::Failing
            } else {
                StoreHealth::Healthy
            },
            watermark: self.watermark(),
        }
    }

    fn watermark(&self) -> Watermark {
        let age = self.known_store_age(Instant::now()).as_millis();
        Watermark {
            state: self.gateway.version(),
            targets: self.replica().revision(),
            store_age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// What another entry lacks.
    fn snapshot(&self, known: Baseline) -> Snapshot {
        let table = self.gateway.table();
        let state = table
            .map(|table| table.state().clone())
            .filter(|state| state.version > known.state);
        let replica = self.replica();
        let revision = replica.revision();
        let targets = (replica.is_complete() && known.targets < Some(revision)).then(|| Targets {
            revision,
            rows: replica.rows(),
        });
        Snapshot { state, targets }
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
    };
    let stating = Arc::clone(shared);
    let telling = Arc::clone(shared);
    let source = Arc::clone(shared);
    Peers::bind(
        settings,
        Box::new(move |sequence| stating.beat(sequence)),
        Box::new(move || telling.watermark()),
        Box::new(move |known| source.snapshot(known)),
    )
    .await
    .map_err(|cause| Error::Listen { address, cause })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Listen { address, cause })
}

/// Time of day in Unix milliseconds; 0 on a clock that is before 1970.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

/// Looks after the clock, idle connections and the number of entries.
async fn upkeep(shared: Arc<Shared>, peers: Peers) {
    let mut suspension = Suspension::default();
    let mut requests = shared.gateway.request_count();
    let mut due = Instant::now();
    loop {
        due += UPKEEP_INTERVAL;
        tokio::time::sleep_until(due).await;
        // What runs late here ran late everywhere: this thread serves all.
        let late = due.elapsed();
        shared.gateway.record_timer_lag(late);
        due = Instant::now();
        if let Some(slept) = suspension.take() {
            log::warn!(target: "entry", "event=suspended ms={}", slept.as_millis());
            shared.gateway.close_idle();
        }
        shared.gateway.close_expired();
        let alive = peers.membership().alive(Instant::now()).count();
        shared.gateway.set_entries(alive + 1);
        let total = shared.gateway.request_count();
        note_rate(&shared.rate, total - requests);
        requests = total;
    }
}

/// Takes the requests of one interval into the rate of a second.
fn note_rate(rate: &AtomicU32, requests: u64) {
    let now = u32::try_from(requests).unwrap_or(u32::MAX);
    let now = now.saturating_mul(INTERVALS_PER_SECOND);
    let before = rate.load(Ordering::Relaxed);
    // A rising rate counts at once, a falling one over about a second.
    let next = now.max(before - before / INTERVALS_PER_SECOND);
    rate.store(next, Ordering::Relaxed);
}
