//! Installation of three entries and several targets as processes, and the check
//! of the callers' records against those of the targets.
//!
//! The programs of the stand-ins are built with the package
//! `carobdrift-test-support`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carobdrift_test_support::caller::{Call, Caller, Error, Key, Response};
use carobdrift_test_support::fleet::{Fleet, Service};
use carobdrift_test_support::load::{Outcome, Record, Stream};
use carobdrift_test_support::target::Run;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};

pub(crate) const ZONES: [&str; 3] = ["hobart", "launceston", "burnie"];

/// Service that most tests call.
pub(crate) const SERVICE: &str = "desk";

/// Time to live of the address lists.
pub(crate) const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// Time within which an accepted edit must be in force on all entries (invariant
/// I7), and the maximum age of a confirmation.
pub(crate) const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// Maximum number of concurrent installations; with more of them, the load of
/// the machine makes deadlines expire.
const MAX_INSTALLATIONS: usize = 4;

/// Time within which each entry must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

static PERMITS: Semaphore = Semaphore::const_new(MAX_INSTALLATIONS);

pub(crate) struct Installation {
    pub(crate) fleet: Fleet,
    _permit: SemaphorePermit<'static>,
}

impl Installation {
    /// Starts three entries, one in each availability zone, without a service.
    pub(crate) async fn start() -> Self {
        let mut installation = Self::without_entries().await;
        for _ in ZONES {
            // The tests send more caller-chosen keys per second than the default
            // limit permits.
            let flags = ["--key-writes-per-second=1000"];
            installation.fleet.start_entry(&flags).await.unwrap();
        }
        installation.wait_ready().await;
        installation
    }

    pub(crate) async fn without_entries() -> Self {
        let permit = PERMITS.acquire().await.unwrap();
        Self {
            fleet: Fleet::spawn(&ZONES, None).await.unwrap(),
            _permit: permit,
        }
    }

    pub(crate) async fn wait_ready(&self) {
        for entry in &self.fleet.entries {
            assert!(
                self.fleet.wait_ready(entry.admin, READY_TIMEOUT).await,
                "{} did not become ready",
                entry.id
            );
        }
    }

    /// Starts targets for a service, puts its first document and waits until the
    /// document is in force on all entries.
    pub(crate) async fn serve(&mut self, service: &str, targets: u32, mean_ms: f64) {
        let service_settings = Service {
            name: service.to_owned(),
            targets,
            slots: 6,
            zones: ZONES.map(str::to_owned).to_vec(),
            mean_ms,
            sigma: 0.1,
            noise: None,
        };
        self.fleet.start_targets(&service_settings).await.unwrap();
        let document = self.document(service);
        let (status, response) = self.put(0, service, 0, "first", &document).await;
        assert_eq!(status, StatusCode::OK, "{response}");
        let all: Vec<usize> = (0..self.fleet.entries.len()).collect();
        self.wait_version(&all, service, 1).await;
    }

    /// Returns a document with all targets of the service.
    pub(crate) fn document(&self, service: &str) -> Value {
        json!({
            "service": service,
            "team": "desk-team",
            "targets": self.fleet.document_targets(service),
            "routes": [
                {"name": "view", "methods": ["GET"], "path": "/orders/*", "kind": "idempotent",
                    "class": "all", "deadline_ms": 5000},
                {"name": "order", "methods": ["POST"], "path": "/orders",
                    "kind": "non-idempotent", "class": "all", "deadline_ms": 5000,
                    "keys": "issued"},
                {"name": "payment", "methods": ["POST"], "path": "/payments",
                    "kind": "non-idempotent", "class": "all", "deadline_ms": 5000,
                    "keys": "caller"},
            ],
            "classes": [{"name": "all", "weight": 1, "max_queue": 1000}],
            "limits": {"max_in_flight": 100_000, "max_per_second": 1_000_000},
            "measuring": {"probes_per_second_per_target": 5, "path": "/health",
                "timeout_ms": 200},
            "retries": {"max_attempts": 3, "budget_percent": 20},
            "hedging": {"after_percentile": 95, "min_delay_ms": 5, "budget_percent": 10},
            "steering": {"entries_per_zone": 1, "ttl_ms": millis(ADDRESS_TTL)},
        })
    }

    /// Puts a document through an entry. The service name is prepended to the
    /// edit id, so that it differs between services.
    pub(crate) async fn put(
        &self,
        entry: usize,
        service: &str,
        expected: u64,
        edit: &str,
        document: &Value,
    ) -> (StatusCode, Value) {
        let path =
            format!("/v1/documents/{service}?expected_version={expected}&edit_id={service}-{edit}");
        let admin = self.fleet.entries[entry].admin;
        self.fleet
            .call_admin(admin, Method::PUT, &path, Some(document))
            .await
            .unwrap()
    }

    /// Returns the version that is in force on an entry.
    pub(crate) async fn version(&self, entry: usize, service: &str) -> Option<u64> {
        let path = format!("/v1/documents/{service}");
        let admin = self.fleet.entries[entry].admin;
        let response = self.fleet.call_admin(admin, Method::GET, &path, None).await;
        response.ok()?.1["version"].as_u64()
    }

    /// Waits until a version is in force on the given entries and returns the
    /// time that this took. Panics after [`IN_FORCE_BOUND`].
    pub(crate) async fn wait_version(
        &self,
        entries: &[usize],
        service: &str,
        version: u64,
    ) -> Duration {
        let start = Instant::now();
        for entry in entries {
            while self.version(*entry, service).await < Some(version) {
                assert!(
                    start.elapsed() < IN_FORCE_BOUND,
                    "version {version} is not in force on entry {entry}"
                );
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        start.elapsed()
    }

    /// Creates one caller in each availability zone.
    pub(crate) fn callers(&self) -> Vec<Caller> {
        let admins: Vec<SocketAddr> = self.fleet.entries.iter().map(|entry| entry.admin).collect();
        ZONES
            .iter()
            .map(|zone| Caller::new(zone, admins.clone()))
            .collect()
    }

    /// Creates a caller that discovers entries through the given entry and is in
    /// the same availability zone, so that its keys have that entry's prefix.
    pub(crate) fn caller_of(&self, entry: usize) -> Caller {
        Caller::new(ZONES[entry % 3], vec![self.fleet.entries[entry].admin])
    }

    pub(crate) async fn send(&self, caller: &Caller, entry: usize, call: &Call) -> Attempt {
        let address = self.fleet.entries[entry].caller;
        Attempt::new(call, caller.send_to(address, call).await)
    }

    /// Returns the runs of each target of a service.
    pub(crate) async fn runs(&self, service: &str) -> Vec<Vec<Run>> {
        let mut runs = Vec::new();
        for target in self.fleet.targets_of(service) {
            runs.push(self.fleet.runs(target).await.unwrap());
        }
        runs
    }

    /// Returns the number of runs of each token.
    pub(crate) async fn counts(&self, service: &str) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs(service).await.into_iter().flatten() {
            *counts.entry(run.token.unwrap_or_default()).or_default() += 1;
        }
        counts
    }

    /// Returns the number of runs of requests with the given idempotency key.
    pub(crate) async fn runs_of_key(&self, service: &str, key: &str) -> usize {
        let runs = self.runs(service).await;
        runs.iter()
            .flatten()
            .filter(|run| run.key.as_deref() == Some(key))
            .count()
    }

    /// Checks the callers' records against the runs of the targets: no request
    /// with an idempotency key ran twice, and no outcome contradicts the runs.
    pub(crate) async fn check_records(&self, service: &str, records: &[Record]) {
        let counts = self.counts(service).await;
        for record in records {
            let runs = counts.get(&record.token).copied().unwrap_or(0);
            assert_ne!(record.outcome, Outcome::Crossed, "{record:?}");
            assert!(
                !record.at_most_once || runs <= 1,
                "ran {runs} times: {record:?}"
            );
            match record.outcome {
                Outcome::Complete => assert!(runs >= 1, "complete without a run: {record:?}"),
                Outcome::NotRun | Outcome::Refused => assert_eq!(runs, 0, "{record:?}"),
                Outcome::Crossed | Outcome::Unknown | Outcome::Broken => {}
            }
        }
    }
}

/// Attempt of a call: the token that was sent and the statements of the response.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) token: String,
    pub(crate) status: Option<u16>,
    pub(crate) outcome: Option<String>,
    pub(crate) reason: Option<String>,
    /// Whether the load balancer states that this attempt did not run.
    pub(crate) not_run: bool,
    pub(crate) replayed: bool,
    /// Token of the call to which the target responded.
    pub(crate) response_token: Option<String>,
}

impl Attempt {
    fn new(call: &Call, result: Result<Response, Error>) -> Self {
        let response = result.ok();
        let field = |name: &str| {
            let value = response.as_ref()?.headers.get(name)?;
            Some(value.to_str().unwrap_or_default().to_owned())
        };
        Self {
            token: call.token.clone(),
            status: response.as_ref().map(|response| response.status.as_u16()),
            outcome: field("carobdrift-outcome"),
            reason: field("carobdrift-reason"),
            not_run: field("carobdrift-attempt").as_deref() == Some("not-run"),
            replayed: field("carobdrift-replayed").is_some(),
            response_token: field("stand-in-token"),
        }
    }

    /// Returns whether the complete response of a target to this attempt
    /// arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.status == Some(200) && self.response_token.as_deref() == Some(&self.token)
    }

    /// Returns whether the load balancer states that this attempt, or the
    /// request as a whole, did not run.
    pub(crate) fn claims_not_run(&self) -> bool {
        self.not_run || self.outcome.as_deref() == Some("not-run")
    }
}

pub(crate) fn view(caller: &Caller) -> Call {
    Call {
        service: SERVICE.to_owned(),
        method: Method::GET,
        path: "/orders/7".to_owned(),
        body: bytes::Bytes::new(),
        key: Key::None,
        token: caller.fresh_token(),
        deadline: Duration::from_secs(3),
    }
}

pub(crate) fn order(caller: &Caller, key: &str) -> Call {
    Call {
        method: Method::POST,
        path: "/orders".to_owned(),
        key: Key::Given(key.to_owned()),
        ..view(caller)
    }
}

pub(crate) fn payment(caller: &Caller, key: &str) -> Call {
    Call {
        path: "/payments".to_owned(),
        ..order(caller, key)
    }
}

pub(crate) fn views(rate: f64) -> Stream {
    Stream {
        service: SERVICE.to_owned(),
        method: Method::GET,
        path: "/orders/7".to_owned(),
        rate,
        keyed: false,
    }
}

pub(crate) fn orders(rate: f64) -> Stream {
    Stream {
        method: Method::POST,
        path: "/orders".to_owned(),
        keyed: true,
        ..views(rate)
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the records of calls that got no complete response.
pub(crate) fn incomplete(records: &[Record]) -> Vec<&Record> {
    records
        .iter()
        .filter(|record| record.outcome != Outcome::Complete)
        .collect()
}
