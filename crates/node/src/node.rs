//! Start, life and stop of an entry.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_gateway::{Dialect, Gateway, Listener, Metrics, Suspension};
use carobdrift_peers::{Beat, Peers, Phase, Snapshot};
use carobdrift_units::{Incarnation, Version, Zone};
use prometheus::Registry;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::directory::{self, Ready};
use crate::follower;
use crate::knowledge::Knowledge;
use crate::monitor;
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
    knowledge: Mutex<Knowledge>,
    /// Last good answer of the store for the desired state and the targets.
    answers: Mutex<[Option<Instant>; 2]>,
    incarnation: Incarnation,
    leaving: AtomicBool,
    fetching: AtomicBool,
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
        tokio::spawn(monitor::run(metrics, registry));
        let shared = Arc::new(Shared {
            gateway: Arc::clone(&gateway),
            store,
            knowledge: Mutex::default(),
            answers: Mutex::default(),
            incarnation: Incarnation::draw(),
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
            "event=started name={} zone={} caller={} peer={} incarnation={}",
            shared.settings.name, shared.settings.zone, shared.settings.caller,
            shared.settings.peer, shared.incarnation
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
        let mut ready: Vec<Ready> = self
            .peers
            .roster()
            .ready(now)
            .map(|(zone, caller)| Ready {
                zone: zone.clone(),
                caller,
            })
            .collect();
        if self.is_ready() {
            ready.push(Ready {
                zone: self.shared.settings.zone.clone(),
                caller: self.shared.settings.caller,
            });
        }
        let table = self.shared.gateway.table();
        let chosen = directory::choose(table.as_deref(), host, zone, &ready);
        (chosen, TTL.min(self.shared.settings.max_ttl))
    }

    /// Stops gracefully: leaves the address answers of all entries, serves
    /// callers until none can hold its address any more, and ends the requests
    /// in progress.
    pub async fn leave(&self) {
        let begin = Instant::now();
        self.shared.leaving.store(true, Ordering::Release);
        self.shared.gateway.set_closing();
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
    pub(crate) fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        self.knowledge
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a good answer of the store.
    pub(crate) fn note_answer(&self, subject: Subject, now: Instant) {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        match subject {
            Subject::State => answers[0] = Some(now),
            Subject::Targets => answers[1] = Some(now),
            Subject::Entries => {}
        }
    }

    /// Age of the last good answer of the store for everything that is
    /// followed.
    pub(crate) fn store_age(&self, now: Instant) -> Duration {
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        match *answers {
            [Some(state), Some(targets)] => now.saturating_duration_since(state.min(targets)),
            _ => Duration::MAX,
        }
    }

    /// Whether a subject is known, from the store or from another entry.
    pub(crate) fn has_read(&self, subject: Subject) -> bool {
        match subject {
            Subject::State => self.gateway.version() > Version::NONE,
            Subject::Targets | Subject::Entries => self.knowledge().is_complete(),
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

    fn beat(&self) -> Beat {
        let age = self.store_age(Instant::now()).as_millis();
        Beat {
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            caller: self.settings.caller,
            phase: self.phase(),
            state: self.gateway.version(),
            targets: self.knowledge().revision(),
            store_age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    fn snapshot(&self, known: Version) -> Snapshot {
        let table = self.gateway.table();
        let state = table
            .map(|table| table.state().clone())
            .filter(|state| state.version > known);
        let knowledge = self.knowledge();
        Snapshot {
            state,
            revision: knowledge.revision(),
            targets: knowledge.rows(),
        }
    }
}

async fn bind_peers(
    shared: &Arc<Shared>,
) -> Result<(Peers, tokio::sync::mpsc::Receiver<carobdrift_peers::Event>), Error> {
    let address = shared.settings.peer;
    let settings = carobdrift_peers::Settings {
        address,
        zone: shared.settings.zone.clone(),
    };
    let stating = Arc::clone(shared);
    let source = Arc::clone(shared);
    Peers::bind(
        settings,
        Box::new(move || stating.beat()),
        Arc::new(move |known| source.snapshot(known)),
    )
    .await
    .map_err(|cause| Error::Listen { address, cause })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| Error::Listen { address, cause })
}

/// Looks after the clock, idle connections and the number of entries.
async fn upkeep(shared: Arc<Shared>, peers: Peers) {
    let mut suspension = Suspension::default();
    let mut interval = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        if let Some(slept) = suspension.take() {
            log::warn!(target: "entry", "event=suspended ms={}", slept.as_millis());
            shared.gateway.close_idle();
        }
        shared.gateway.sweep();
        let alive = peers.roster().alive(Instant::now()).count();
        shared.gateway.set_entries(alive + 1);
    }
}

