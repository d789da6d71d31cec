//! The data path of an entry, with targets and callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use carobdrift_balance::Config;
use carobdrift_catalog::{Edition, Standing};
use carobdrift_document::Document;
use carobdrift_idempotency::{Claims, Ledger, Limits, PeerError, Peers, Reply};
use carobdrift_proxy::{Confirmation, Documents, Listener, Metrics, Services, Settings};
use carobdrift_test_support::target::{Faults, Run, StandIn, Status};
use carobdrift_units::{Incarnation, Instance, Service, Version};
use carobdrift_wire::Query;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use prometheus::Registry;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Name of the service of the fixture's document.
pub(crate) const SERVICE: &str = "sheets";

/// Time for which [`FakeDocuments::change_at_read`] blocks the reading thread.
const PAUSE: Duration = Duration::from_millis(600);

/// Source of documents that a test puts in force.
#[derive(Debug)]
pub(crate) struct FakeDocuments {
    edition: Mutex<Edition>,
    standing: Mutex<Standing>,
    /// Number of reads of the document until its version is incremented; 0 when
    /// the version is not incremented.
    reads_until_change: AtomicU32,
    unreadable: AtomicBool,
}

impl FakeDocuments {
    pub(crate) fn set_standing(&self, standing: Standing) {
        *self.standing.lock().unwrap_or_else(PoisonError::into_inner) = standing;
    }

    /// Blocks the given read of the document for a while, after which a newer
    /// version of the same document is in force.
    pub(crate) fn change_at_read(&self, read: u32) {
        self.reads_until_change.store(read, Ordering::SeqCst);
    }

    /// Replaces the document by one that this build cannot read.
    pub(crate) fn make_unreadable(&self) {
        self.unreadable.store(true, Ordering::SeqCst);
    }

    /// Puts a new version of the document in force.
    pub(crate) fn put(&self, document: &Value) {
        let mut edition = self.edition.lock().unwrap_or_else(PoisonError::into_inner);
        edition.document = parse(document);
        edition.version = edition.version.next();
    }
}

impl Documents for FakeDocuments {
    fn edition(&self, service: &Service) -> Option<Arc<Edition>> {
        let mut edition = self.edition.lock().unwrap_or_else(PoisonError::into_inner);
        let decrement = |left: u32| left.checked_sub(1);
        let before =
            self.reads_until_change
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
        if before == Ok(1) {
            std::thread::sleep(PAUSE);
            edition.version = edition.version.next();
        }
        let in_force = edition.document.service == *service && !self.is_unreadable(service);
        in_force.then(|| Arc::new(edition.clone()))
    }

    fn is_unreadable(&self, service: &Service) -> bool {
        service.as_str() == SERVICE && self.unreadable.load(Ordering::SeqCst)
    }

    fn standing(&self) -> Standing {
        *self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_for_confirmation(&self, max_wait: Duration) -> Confirmation {
        let standing = self.standing();
        Box::pin(async move {
            tokio::time::sleep(max_wait).await;
            standing
        })
    }
}

/// Peers of an entry that has none.
#[derive(Debug)]
struct NoPeers;

impl Peers for NoPeers {
    fn query(&self, _: &Instance, _: Query, _: Duration) -> Reply {
        Box::pin(async { Err(PeerError::NotConnected) })
    }
}

/// Data path of an entry, with its targets.
pub(crate) struct Entry {
    pub(crate) listener: Listener,
    pub(crate) targets: Vec<StandIn>,
    pub(crate) documents: Arc<FakeDocuments>,
    pub(crate) ledger: Ledger,
    pub(crate) registry: Registry,
    services: Services,
    http1: Client<HttpConnector, Full<Bytes>>,
}

/// Complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the status, outcome and reason.
    pub(crate) fn summary(&self) -> (u16, Option<&str>, Option<&str>) {
        let outcome = self.header("carobdrift-outcome");
        (
            self.status.as_u16(),
            outcome,
            self.header("carobdrift-reason"),
        )
    }

    /// Returns whether this is the complete response of a stand-in to a request
    /// with this token and body.
    pub(crate) fn echoes(&self, token: &str, body: &str) -> bool {
        self.status == StatusCode::OK && self.body == format!("{token}\n{body}").as_bytes()
    }
}

/// Request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) token: String,
    pub(crate) body: Bytes,
    pub(crate) headers: Vec<(&'static str, String)>,
}

pub(crate) fn get(token: &str) -> Call {
    Call {
        method: Method::GET,
        path: "/heats/7".to_owned(),
        token: token.to_owned(),
        body: Bytes::new(),
        headers: Vec::new(),
    }
}

/// Returns a non-idempotent request.
pub(crate) fn post(token: &str) -> Call {
    Call {
        method: Method::POST,
        path: "/seedings".to_owned(),
        body: Bytes::from_static(b"heat 7"),
        ..get(token)
    }
}

impl Call {
    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub(crate) fn path(self, path: &str) -> Self {
        Self {
            path: path.to_owned(),
            ..self
        }
    }

    pub(crate) fn body(self, body: impl Into<Bytes>) -> Self {
        Self {
            body: body.into(),
            ..self
        }
    }

    pub(crate) fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.path))
            .header("carobdrift-service", SERVICE)
            .header("stand-in-token", &self.token);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request
            .body(Full::new(self.body.clone()))
            .expect("the request is valid")
    }
}

/// Returns the fixture's document for targets at these addresses.
pub(crate) fn document(addresses: &[SocketAddr]) -> Value {
    let targets = addresses.iter().enumerate().map(|(index, address)| {
        json!({"id": format!("t{index}"), "address": address.to_string(), "zone": "hobart",
            "slots": 64})
    });
    json!({
        "service": SERVICE,
        "team": "meets",
        "targets": targets.collect::<Vec<_>>(),
        "routes": [
            {"name": "view", "methods": ["GET", "HEAD", "PUT"], "path": "/heats/*",
                "kind": "idempotent", "class": "view", "deadline_ms": 1000},
            {"name": "seed", "methods": ["POST"], "path": "/seedings",
                "kind": "non-idempotent", "class": "view", "deadline_ms": 1000,
                "keys": "issued"}
        ],
        "classes": [{"name": "view", "weight": 1, "max_queue": 2000}],
        // High limits, so that only the limits that a test sets take effect.
        "limits": {"max_in_flight": 400_000, "max_per_second": 10_000_000},
        "retries": {"max_attempts": 3, "budget_percent": 100},
        "hedging": {"budget_percent": 0},
        "balancing": {"policy": "round-robin"},
        "bodies": {"max_request_bytes": 1_000_000, "max_response_bytes": 1_000_000}
    })
}

pub(crate) fn parse(document: &Value) -> Arc<Document> {
    let document = Document::parse(document.to_string().as_bytes());
    Arc::new(document.expect("the document is valid"))
}

pub(crate) async fn target(faults: Faults) -> StandIn {
    target_with(carobdrift_test_support::target::Settings {
        slots: 64,
        faults,
        ..Default::default()
    })
    .await
}

pub(crate) async fn target_with(settings: carobdrift_test_support::target::Settings) -> StandIn {
    StandIn::bind(settings)
        .await
        .expect("loopback is available")
}

impl Entry {
    /// Starts an entry with one target per set of faults.
    pub(crate) async fn with_faults(faults: &[Faults]) -> Self {
        let mut targets = Vec::new();
        for faults in faults {
            targets.push(target(faults.clone()).await);
        }
        Self::with_targets(targets, |_| {}).await
    }

    /// Starts an entry with these targets and a changed document.
    pub(crate) async fn with_targets(
        targets: Vec<StandIn>,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        Self::with_settings(targets, change, Settings::default()).await
    }

    pub(crate) async fn with_settings(
        targets: Vec<StandIn>,
        change: impl FnOnce(&mut Value),
        settings: Settings,
    ) -> Self {
        let addresses: Vec<_> = targets.iter().map(StandIn::address).collect();
        let mut document = document(&addresses);
        change(&mut document);
        let documents = Arc::new(FakeDocuments {
            edition: Mutex::new(Edition {
                document: parse(&document),
                version: Version(1),
            }),
            standing: Mutex::new(Standing::Outage),
            reads_until_change: AtomicU32::new(0),
            unreadable: AtomicBool::new(false),
        });
        let instance: Instance = "entry-1".parse().expect("the name is valid");
        let registry = Registry::new();
        let config = Config::new(
            instance.clone(),
            "hobart".parse().expect("the text is valid"),
        );
        let services = Services::new(
            Arc::<FakeDocuments>::clone(&documents),
            config,
            BTreeMap::new(),
            carobdrift_balance::Metrics::register(&registry).expect("the registry is new"),
            Metrics::register(&registry).expect("the registry is new"),
        );
        let ledger = Ledger::open(instance.clone(), Incarnation::random(), Limits::default());
        let unreachable_platform = carobdrift_test_support::platform::open_client(
            ([127, 0, 0, 1], 1).into(),
            Duration::from_millis(100),
        );
        let claims = Claims::open(
            carobdrift_idempotency::Settings::default(),
            ledger.clone(),
            Arc::new(NoPeers),
            unreachable_platform,
            &registry,
        );
        let claims = claims.expect("the registry is new");
        let listener = Listener::bind(settings, &instance, services.clone(), claims).await;
        Self {
            listener: listener.expect("loopback is available"),
            targets,
            documents,
            ledger,
            registry,
            services,
            http1: client(false),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns an idempotency key that this entry decides on.
    pub(crate) fn key(&self, suffix: &str) -> String {
        format!("{}.{suffix}", self.ledger.prefix())
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send(&self, call: Call) -> Result<Response, String> {
        send(&self.http1, &call, self.address()).await
    }

    /// Returns the runs of all requests at all targets.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.targets.iter().flat_map(StandIn::runs).collect()
    }

    /// Returns the runs of the request with this token.
    pub(crate) fn runs_of(&self, token: &str) -> Vec<Run> {
        let runs = self.runs().into_iter();
        runs.filter(|run| run.token.as_deref() == Some(token))
            .collect()
    }

    /// Returns the number of requests in flight to targets.
    pub(crate) fn in_flight(&self) -> u32 {
        let service = SERVICE.parse().expect("the name is valid");
        let pool = self
            .services
            .pool(&service)
            .expect("the service is in force");
        pool.snapshots().iter().map(|target| target.in_flight).sum()
    }

    /// Returns the sum of a counter over all metrics that have the label value
    /// `label`.
    pub(crate) fn counter(&self, name: &str, label: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let metrics = family.map(|family| family.get_metric().to_vec());
        let metrics = metrics.unwrap_or_default().into_iter();
        let matching = metrics.filter(|m| m.get_label().iter().any(|l| l.value() == label));
        matching.map(|m| m.get_counter().get_value()).sum()
    }
}

/// Returns the client of a caller, which pools its connections.
pub(crate) fn client(http2: bool) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .http2_only(http2)
        .build(connector)
}

pub(crate) async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    call: &Call,
    address: SocketAddr,
) -> Result<Response, String> {
    let response = client.request(call.request(address)).await;
    let (head, body) = response.map_err(|error| format!("{error:?}"))?.into_parts();
    let body = body.collect().await.map_err(|error| format!("{error:?}"))?;
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// Sends raw bytes and returns the bytes that are received until the connection
/// closes or the time is over.
pub(crate) async fn send_raw(address: SocketAddr, bytes: &[u8], timeout: Duration) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("loopback is available");
    stream.write_all(bytes).await.expect("the entry reads");
    let mut response = Vec::new();
    // A reset also ends the response.
    let _ = tokio::time::timeout(timeout, stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the number of completed runs.
pub(crate) fn completed(runs: &[Run]) -> usize {
    runs.iter()
        .filter(|run| run.status == Status::Completed)
        .count()
}
