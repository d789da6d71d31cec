//! A small installation of real processes, and the judgement of its targets'
//! records.
//!
//! The stand-ins' programs are built with the package
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

/// Time to live of address answers.
pub(crate) const TTL: Duration = Duration::from_secs(1);

/// Bound of invariant I7, and the longest age of a confirmation.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(5);

/// Installations that run at the same time; more of them slow each other down
/// until deadlines pass.
const AT_ONCE: usize = 4;

/// Time within which an installation must be ready.
const START: Duration = Duration::from_secs(20);

static TURNS: Semaphore = Semaphore::const_new(AT_ONCE);

pub(crate) struct Installation {
    pub(crate) fleet: Fleet,
    _turn: SemaphorePermit<'static>,
}

impl Installation {
    /// Three entries, one in each zone, without a service.
    pub(crate) async fn start() -> Self {
        let mut installation = Self::without_entries().await;
        for _ in ZONES {
            // The tests claim more keys of callers than the default permits.
            let flags = ["--key-writes-per-second=1000"];
            installation.fleet.start_entry(&flags).await.unwrap();
        }
        installation.wait_ready().await;
        installation
    }

    pub(crate) async fn without_entries() -> Self {
        let turn = TURNS.acquire().await.unwrap();
        Self {
            fleet: Fleet::spawn(&ZONES, None).await.unwrap(),
            _turn: turn,
        }
    }

    pub(crate) async fn wait_ready(&self) {
        for entry in &self.fleet.entries {
            assert!(
                self.fleet.wait_ready(entry.admin, START).await,
                "{} did not become ready",
                entry.id
            );
        }
    }

    /// Starts targets for a service and puts its first document.
    pub(crate) async fn serve(&mut self, service: &str, targets: u32, mean_ms: f64) {
        let shape = Service {
            name: service.to_owned(),
            targets,
            slots: 6,
            zones: ZONES.map(str::to_owned).to_vec(),
            mean_ms,
            sigma: 0.1,
            noise: None,
        };
        self.fleet.start_targets(&shape).await.unwrap();
        let document = self.document(service);
        let (status, answer) = self.put(0, service, 0, "first", &document).await;
        assert_eq!(status, StatusCode::OK, "{answer}");
        let all: Vec<usize> = (0..self.fleet.entries.len()).collect();
        self.wait_version(&all, service, 1).await;
    }

    /// A document with all targets of the service.
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
            "steering": {"entries_per_zone": 1, "ttl_ms": millis(TTL)},
        })
    }

    /// Edits through an entry. The edit id is made unique per service.
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

    /// Version that an entry has in force.
    pub(crate) async fn version(&self, entry: usize, service: &str) -> Option<u64> {
        let path = format!("/v1/documents/{service}");
        let admin = self.fleet.entries[entry].admin;
        let answer = self.fleet.call_admin(admin, Method::GET, &path, None).await;
        answer.ok()?.1["version"].as_u64()
    }

    /// Waits until the entries have a version in force, which must be within
    /// the bound, and returns how long that took.
    pub(crate) async fn wait_version(
        &self,
        entries: &[usize],
        service: &str,
        version: u64,
    ) -> Duration {
        let begin = Instant::now();
        for entry in entries {
            while self.version(*entry, service).await < Some(version) {
                assert!(
                    begin.elapsed() < IN_FORCE,
                    "version {version} is not in force on entry {entry}"
                );
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        begin.elapsed()
    }

    /// One caller in each zone.
    pub(crate) fn callers(&self) -> Vec<Caller> {
        let admins: Vec<SocketAddr> = self.fleet.entries.iter().map(|entry| entry.admin).collect();
        ZONES
            .iter()
            .map(|zone| Caller::new(zone, admins.clone()))
            .collect()
    }

    /// A caller whose keys are decided by this entry.
    pub(crate) fn caller_of(&self, entry: usize) -> Caller {
        Caller::new(ZONES[entry % 3], vec![self.fleet.entries[entry].admin])
    }

    pub(crate) async fn send(&self, caller: &Caller, entry: usize, call: &Call) -> Sent {
        let address = self.fleet.entries[entry].caller;
        Sent::of(call, caller.send_to(address, call).await)
    }

    /// All runs of a service's targets, by target.
    pub(crate) async fn runs(&self, service: &str) -> Vec<Vec<Run>> {
        let mut runs = Vec::new();
        for target in self.fleet.targets_of(service) {
            runs.push(self.fleet.runs(target).await.unwrap());
        }
        runs
    }

    /// Number of runs by token.
    pub(crate) async fn counts(&self, service: &str) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs(service).await.into_iter().flatten() {
            *counts.entry(run.token.unwrap_or_default()).or_default() += 1;
        }
        counts
    }

    /// Number of runs of requests with this idempotency key.
    pub(crate) async fn runs_of_key(&self, service: &str, key: &str) -> usize {
        let runs = self.runs(service).await;
        runs.iter()
            .flatten()
            .filter(|run| run.key.as_deref() == Some(key))
            .count()
    }

    /// Checks the callers' records against those of the targets.
    pub(crate) async fn judge(&self, service: &str, records: &[Record]) {
        let counts = self.counts(service).await;
        for record in records {
            let runs = counts.get(&record.token).copied().unwrap_or(0);
            assert_ne!(record.outcome, Outcome::Crossed, "{record:?}");
            assert!(
                !record.at_most_once || runs <= 1,
                "ran {runs} times: {record:?}"
            );
            match record.outcome {
                Outcome::Complete => assert!(runs >= 1, "answered and not run: {record:?}"),
                Outcome::NotRun | Outcome::Refused => assert_eq!(runs, 0, "{record:?}"),
                Outcome::Crossed | Outcome::Unknown | Outcome::Broken => {}
            }
        }
    }
}

/// A call that was sent, and what the caller learned.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) token: String,
    pub(crate) status: Option<u16>,
    pub(crate) outcome: Option<String>,
    pub(crate) reason: Option<String>,
    /// Whether the system states that this attempt did not run.
    pub(crate) attempt_not_run: bool,
    pub(crate) replayed: bool,
    /// Token of the call that the target answered.
    pub(crate) answered: Option<String>,
}

impl Sent {
    fn of(call: &Call, result: Result<Response, Error>) -> Self {
        let answer = result.ok();
        let field = |name: &str| {
            let value = answer.as_ref()?.headers.get(name)?;
            Some(value.to_str().unwrap_or_default().to_owned())
        };
        Self {
            token: call.token.clone(),
            status: answer.as_ref().map(|answer| answer.status.as_u16()),
            outcome: field("carobdrift-outcome"),
            reason: field("carobdrift-reason"),
            attempt_not_run: field("carobdrift-attempt").as_deref() == Some("not-run"),
            replayed: field("carobdrift-replayed").is_some(),
            answered: field("stand-in-token"),
        }
    }

    /// Whether a target ran this very call and its answer arrived.
    pub(crate) fn is_whole(&self) -> bool {
        self.status == Some(200) && self.answered.as_deref() == Some(&self.token)
    }

    /// Whether the system states that this call did not run.
    pub(crate) fn claims_not_run(&self) -> bool {
        self.attempt_not_run || self.outcome.as_deref() == Some("not-run")
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

/// Records that did not end with a whole answer.
pub(crate) fn lost(records: &[Record]) -> Vec<&Record> {
    records
        .iter()
        .filter(|record| record.outcome != Outcome::Complete)
        .collect()
}
