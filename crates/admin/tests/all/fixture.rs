//! A server with a fake backend, and a client for it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use carobdrift_admin::{Adoption, Backend, Entry, Server, Settings, Tokens};
use carobdrift_balance::{Evidence, Snapshot};
use carobdrift_catalog::{Acceptance, Documents, Edit, EditError, Edition, Outcome, Standing};
use carobdrift_document::{Ceilings, Document};
use carobdrift_platform::{Cause, Error};
use carobdrift_units::{EditId, Instance, PerSecond, Revision, Service, Version};
use carobdrift_wire::{Rate, Status};
use futures_util::future::{BoxFuture, ready};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioExecutor;
use prometheus::{IntCounter, Registry};
use serde_json::{Value, json};

pub(crate) const OPERATOR: &str = "operator-token-0001";
pub(crate) const MEETS: &str = "meets-token-000001";
pub(crate) const DRAWS: &str = "draws-token-000001";

/// Returns the document of a service as JSON.
pub(crate) fn body(service: &str, team: &str) -> Value {
    json!({
        "service": service,
        "team": team,
        "targets": [{"id": "t-1", "address": "10.2.0.11:8080", "zone": "hobart", "slots": 2}],
        "routes": [{"name": "view", "methods": ["GET"], "path": "/heats/*",
                    "kind": "idempotent", "class": "view", "deadline_ms": 400}],
        "classes": [{"name": "view", "weight": 4, "max_queue": 200}]
    })
}

pub(crate) fn document(service: &str, team: &str) -> Document {
    Document::parse(body(service, team).to_string().as_bytes()).unwrap()
}

/// Returns a ready entry that has just answered a ping.
pub(crate) fn entry(instance: &str, zone: &str) -> Entry {
    Entry {
        instance: instance.parse().unwrap(),
        zone: zone.parse().unwrap(),
        caller: "127.0.0.1:1000".parse().unwrap(),
        admin: "127.0.0.1:1001".parse().unwrap(),
        status: Some(Status {
            ready: true,
            ..Status::default()
        }),
        leaving: false,
        contact_age: Some(Duration::ZERO),
    }
}

pub(crate) fn with_rate(mut entry: Entry, service: &str, per_second: f64) -> Entry {
    let service = service.parse().unwrap();
    let status = entry.status.get_or_insert_default();
    status.rates.push(Rate {
        service,
        per_second,
    });
    entry
}

/// Returns settings with tokens of two teams and the operator.
pub(crate) fn settings() -> Settings {
    let registry = Registry::new();
    let counter = IntCounter::new("carobdrift_probes_total", "Probes sent.").unwrap();
    registry.register(Box::new(counter)).unwrap();
    let teams = [
        format!("lanemark-meets={MEETS}"),
        format!("lanemark-draws={DRAWS}"),
    ];
    Settings {
        address: "127.0.0.1:0".parse().unwrap(),
        tokens: Tokens::parse(Some(OPERATOR), &teams).unwrap(),
        ceilings: Ceilings::default(),
        steering_rate: PerSecond::try_from(4000.0).unwrap(),
        registry,
    }
}

/// State that the fake backend shows; tests change it before or between calls.
pub(crate) struct State {
    pub(crate) documents: Arc<Documents>,
    pub(crate) standing: Standing,
    pub(crate) local_entry: Entry,
    pub(crate) peers: Vec<Entry>,
    pub(crate) store_down: bool,
    /// Function that returns the result of an edit.
    pub(crate) edit: Box<dyn Fn() -> Result<Acceptance, EditError> + Send>,
    pub(crate) edits: Vec<Edit>,
}

/// Backend whose state is set by the test.
pub(crate) struct FakeBackend(Mutex<State>);

impl FakeBackend {
    pub(crate) fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.0.lock().unwrap());
    }

    /// Makes every later edit fail.
    pub(crate) fn fail_edits(&self, failure: fn() -> EditError) {
        self.change(|state| state.edit = Box::new(move || Err(failure())));
    }

    pub(crate) fn edits(&self) -> Vec<Edit> {
        self.0.lock().unwrap().edits.clone()
    }

    fn read_store<T: Send + 'static>(&self, value: T) -> BoxFuture<'_, Result<T, Error>> {
        let down = self.0.lock().unwrap().store_down;
        Box::pin(ready(if down { Err(unavailable()) } else { Ok(value) }))
    }
}

/// Returns the error of a platform that answers with status 503.
pub(crate) fn unavailable() -> Error {
    Error::Unavailable(Cause::Status(503))
}

pub(crate) fn outcome() -> Outcome {
    Outcome {
        edit: "e-3".parse().unwrap(),
        service: "sheets".parse().unwrap(),
        team: "lanemark-meets".parse().unwrap(),
        version: Version(4),
        revision: Revision(9),
    }
}

impl Backend for FakeBackend {
    fn documents(&self) -> Arc<Documents> {
        Arc::clone(&self.0.lock().unwrap().documents)
    }

    fn standing(&self) -> Standing {
        self.0.lock().unwrap().standing
    }

    fn local_entry(&self) -> Entry {
        self.0.lock().unwrap().local_entry.clone()
    }

    fn peers(&self) -> Vec<Entry> {
        self.0.lock().unwrap().peers.clone()
    }

    fn targets(&self, service: &Service) -> Option<Vec<Snapshot>> {
        self.documents().get(service)?;
        Some(vec![Snapshot {
            target: "t-1".parse().unwrap(),
            address: "10.2.0.11:8080".parse().unwrap(),
            zone: "hobart".parse().unwrap(),
            slots: 2,
            standing: carobdrift_balance::Standing::Leaving(Evidence::Response),
            in_flight: 1,
            foreign_in_flight: 0.5,
            slowdown: 1.0,
            latency: Some(Duration::from_micros(1500)),
            last_answer: None,
            in_slow_start: false,
            start: None,
        }])
    }

    fn key_prefix(&self, decider: &Instance) -> Option<String> {
        Some(format!("cd1.{decider}"))
    }

    fn edit(&self, edit: Edit) -> BoxFuture<'_, Result<Acceptance, EditError>> {
        let mut state = self.0.lock().unwrap();
        state.edits.push(edit);
        Box::pin(ready((state.edit)()))
    }

    fn history(&self, _: &Service) -> Vec<Version> {
        (1..=3).map(Version).collect()
    }

    fn body(
        &self,
        service: Service,
        version: Version,
    ) -> BoxFuture<'_, Result<Option<String>, Error>> {
        let stored = body(service.as_str(), "lanemark-meets").to_string();
        self.read_store((version == Version(2)).then_some(stored))
    }

    fn edit_outcome(&self, id: EditId) -> BoxFuture<'_, Result<Option<Outcome>, Error>> {
        self.read_store((id.as_str() == "e-3").then(outcome))
    }

    fn adoptions(&self, _: Service) -> BoxFuture<'_, Vec<Adoption>> {
        let adoptions = [
            ("entry-2", None, false),
            ("entry-1", Some(Version(3)), true),
        ]
        .map(|(instance, version, answered)| Adoption {
            instance: instance.parse().unwrap(),
            version,
            answered,
        });
        Box::pin(ready(adoptions.to_vec()))
    }
}

/// Running server with one document: `sheets` of `lanemark-meets`, version 3.
pub(crate) struct Fixture {
    pub(crate) backend: Arc<FakeBackend>,
    server: Server,
}

impl Fixture {
    pub(crate) fn start() -> Self {
        let edition = Edition {
            document: Arc::new(document("sheets", "lanemark-meets")),
            version: Version(3),
        };
        let documents = Documents::from([("sheets".parse().unwrap(), Arc::new(edition))]);
        let backend = Arc::new(FakeBackend(Mutex::new(State {
            documents: Arc::new(documents),
            standing: Standing::Confirmed {
                age: Duration::from_millis(120),
            },
            local_entry: entry("entry-1", "hobart"),
            peers: Vec::new(),
            store_down: false,
            edit: Box::new(|| {
                Ok(Acceptance {
                    outcome: outcome(),
                    in_force: 14,
                    cell_size: 15,
                })
            }),
            edits: Vec::new(),
        })));
        let settings = settings();
        let listener = Server::bind(settings).unwrap();
        let server = listener.serve(Arc::clone(&backend) as Arc<dyn Backend>);
        Self { backend, server }
    }

    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        token: Option<&str>,
        body: &str,
    ) -> (StatusCode, Value) {
        send(self.server.address(), method, path, token, body).await
    }

    pub(crate) async fn get(&self, path: &str, token: Option<&str>) -> (StatusCode, Value) {
        self.call(Method::GET, path, token, "").await
    }

    pub(crate) async fn put(
        &self,
        path: &str,
        token: &str,
        document: &Value,
    ) -> (StatusCode, Value) {
        let body = document.to_string();
        self.call(Method::PUT, path, Some(token), &body).await
    }
}

/// Sends a request to an API; a response body that is not JSON is returned as a
/// JSON string.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: &str,
) -> (StatusCode, Value) {
    let client = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
        .build_http::<Full<Bytes>>();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request.body(Full::from(body.to_owned())).unwrap();
    let response = client.request(request).await.unwrap();
    let status = response.status();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    (status, value)
}
