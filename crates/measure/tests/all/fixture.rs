//! Entries that measure, and a platform stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::{Config, Pool};
use carobdrift_document::Document;
use carobdrift_measure::{Leases, Metrics, Owner, Prober, Settings, Subject, Subjects, Timing};
use carobdrift_platform::Client;
use carobdrift_test_support::platform::{self, StandIn};
use carobdrift_units::{Cell, Incarnation, Instance, Version};
use prometheus::Registry;
use serde_json::json;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

/// Lease times that are shorter than in production. The margin still spans the
/// window of the probe budget.
pub(crate) const TIMING: Timing = Timing {
    duration: Duration::from_secs(3),
    renewal: Duration::from_millis(700),
    margin: Duration::from_secs(1),
    rank_step: Duration::from_millis(100),
};

/// Timeout of probes.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Waits until the condition holds, for at most 10 s.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(10), "waited in vain");
        sleep(Duration::from_millis(5)).await;
    }
}

pub(crate) async fn platform() -> StandIn {
    StandIn::bind(platform::Settings::default()).await.unwrap()
}

pub(crate) fn client(platform: SocketAddr) -> Client {
    carobdrift_test_support::platform::open_client(platform, Duration::from_millis(300))
}

pub(crate) fn cell() -> Cell {
    "main".parse().unwrap()
}

pub(crate) fn instance(number: usize) -> Instance {
    format!("e-{number}").parse().unwrap()
}

pub(crate) fn metrics() -> Metrics {
    Metrics::register(&Registry::new()).unwrap()
}

/// Starts the leases of entry `number` among the entries 0 to 3.
pub(crate) fn leases(number: usize, platform: SocketAddr) -> Leases {
    let settings = Settings {
        cell: cell(),
        owner: Owner {
            instance: instance(number),
            incarnation: Incarnation::random(),
        },
        timing: TIMING,
    };
    let (members, receiver) = watch::channel((0..4).map(instance).collect());
    // The members never change, and the receiver keeps the last value.
    drop(members);
    Leases::spawn(settings, client(platform), receiver, metrics())
}

/// Creates a service with one target.
pub(crate) fn subject(service: &str, budget: u32, target: SocketAddr) -> Subject {
    let text = json!({
        "service": service,
        "team": "meets",
        "targets": [{"id": "t1", "address": target, "zone": "hobart", "slots": 2}],
        "routes": [{"name": "view", "methods": ["GET"], "path": "/**", "kind": "idempotent",
            "class": "view", "deadline_ms": 400}],
        "classes": [{"name": "view", "weight": 4, "max_queue": 200}],
        "limits": {"max_in_flight": 400, "max_per_second": 4000},
        "measuring": {"probes_per_second_per_target": budget, "path": "/health",
            "timeout_ms": PROBE_TIMEOUT.as_millis()}
    });
    let document = Arc::new(Document::parse(text.to_string().as_bytes()).unwrap());
    let config = Config::new(instance(0), "hobart".parse().unwrap());
    let metrics = carobdrift_balance::Metrics::register(&Registry::new()).unwrap();
    Subject {
        pool: Pool::new(Arc::clone(&document), Version(1), config, metrics),
        document,
    }
}

pub(crate) fn subjects(subjects: Vec<Subject>) -> (watch::Sender<Arc<Vec<Subject>>>, Subjects) {
    watch::channel(Arc::new(subjects))
}

/// Entry that probes the given services.
pub(crate) struct Entry {
    pub(crate) leases: Leases,
    _prober: Prober,
    _subjects: watch::Sender<Arc<Vec<Subject>>>,
}

impl Entry {
    pub(crate) fn start(number: usize, platform: SocketAddr, services: Vec<Subject>) -> Self {
        Self::start_with_hook(number, platform, services, Arc::new(|| {}))
    }

    pub(crate) fn start_with_hook(
        number: usize,
        platform: SocketAddr,
        services: Vec<Subject>,
        before_send: Arc<dyn Fn() + Send + Sync>,
    ) -> Self {
        let leases = leases(number, platform);
        let (sender, receiver) = subjects(services);
        let (samples, _) = mpsc::channel(16);
        let prober =
            Prober::spawn_with_hook(leases.clone(), receiver, samples, metrics(), before_send);
        Self {
            leases,
            _prober: prober,
            _subjects: sender,
        }
    }
}

/// Proxy to the platform. Dropping the proxy cuts the connections.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl Proxy {
    pub(crate) async fn open(platform: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((mut near, _)) = listener.accept().await {
                connections.spawn(async move {
                    let mut far = TcpStream::connect(platform).await.unwrap();
                    let _ = copy_bidirectional(&mut near, &mut far).await;
                });
            }
        });
        Self { address, task }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}
