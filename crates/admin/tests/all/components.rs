//! Guards against a backend whose responses differ from the state of the
//! entry's components, before and during an outage of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_admin::{Components, Listener, Server};
use carobdrift_catalog::Catalog;
use carobdrift_idempotency::{Ledger, Limits};
use carobdrift_membership::{Inbox, Links, Serving};
use carobdrift_platform::Client;
use carobdrift_test_support::platform::{Fault, Listing, Loss, Outage, StandIn};
use carobdrift_units::{Incarnation, Secret};
use http::{Method, StatusCode};
use prometheus::Registry;
use serde_json::{Value, json};

use crate::fixture::{MEETS, OPERATOR, body, send, settings};

/// Entry with real components and a stand-in for the platform.
struct Entry {
    platform: StandIn,
    server: Server,
    _inbox: Inbox,
}

impl Entry {
    async fn start() -> Self {
        let platform = StandIn::bind(carobdrift_test_support::platform::Settings::default());
        let platform = platform.await.unwrap();
        let listener = Server::bind(settings()).unwrap();
        let registry = Registry::new();
        let client = carobdrift_test_support::platform::open_client(
            platform.address(),
            Duration::from_millis(300),
        );
        let (links, inbox) = open_links(&listener, client.clone(), &registry).await;
        let hello = links.hello().clone();
        platform.put_instance(Listing::entry(
            &hello.instance,
            hello.cell,
            hello.zone,
            "tasmania".parse().unwrap(),
            [hello.caller, hello.admin, hello.peer],
        ));
        let ledger = Ledger::open(hello.instance, hello.incarnation, Limits::default());
        let metrics = carobdrift_catalog::Metrics::register(&registry).unwrap();
        let catalog = Catalog::spawn(client, links.clone(), metrics);
        links.publish_serving(Serving {
            ready: true,
            ..Serving::default()
        });
        let components = Components::new(catalog, links, ledger, Arc::new(|_| None));
        let entry = Self {
            platform,
            server: listener.serve(Arc::new(components)),
            _inbox: inbox,
        };
        entry.await_status("/ready", StatusCode::OK).await;
        entry
    }

    fn address(&self) -> SocketAddr {
        self.server.address()
    }

    async fn get(&self, path: &str) -> (StatusCode, Value) {
        send(self.address(), Method::GET, path, Some(MEETS), "").await
    }

    async fn put(&self, query: &str, document: &Value) -> (StatusCode, Value) {
        let path = format!("/v1/documents/sheets?{query}");
        let text = document.to_string();
        send(self.address(), Method::PUT, &path, Some(MEETS), &text).await
    }

    async fn await_status(&self, path: &str, expected: StatusCode) {
        let start = Instant::now();
        loop {
            let (status, response) = self.get(path).await;
            if status == expected {
                return;
            }
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "{path}: {response}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn open_links(listener: &Listener, client: Client, registry: &Registry) -> (Links, Inbox) {
    let settings = carobdrift_membership::Settings {
        instance: "entry-1".parse().unwrap(),
        incarnation: Incarnation::random(),
        cell: "main".parse().unwrap(),
        zone: "hobart".parse().unwrap(),
        caller: "127.0.0.1:1000".parse().unwrap(),
        admin: listener.address(),
        listen: "127.0.0.1:0".parse().unwrap(),
        advertise: None,
        secret: Secret::new("peer-secret".to_owned()),
    };
    let metrics = carobdrift_membership::Metrics::register(registry).unwrap();
    Links::bind(settings, client, metrics).await.unwrap()
}

#[tokio::test]
async fn edits_and_reads_go_through_the_store() {
    let entry = Entry::start().await;
    let document = body("sheets", "lanemark-meets");

    let (created, accepted) = entry.put("expected_version=0&edit_id=e-1", &document).await;
    let (conflict, refusal) = entry.put("expected_version=0&edit_id=e-2", &document).await;
    let (again, repeated) = entry.put("expected_version=0&edit_id=e-1", &document).await;

    assert_eq!(created, 200, "{accepted}");
    assert_eq!(
        (&accepted["version"], &accepted["in_force"]),
        (&json!(1), &json!(1))
    );
    assert_eq!(conflict, 409, "{refusal}");
    assert_eq!(refusal["current_version"], json!(1));
    assert_eq!(again, 200, "{repeated}");
    assert_eq!(repeated["version"], json!(1));
    let (_, read) = entry.get("/v1/documents/sheets").await;
    assert_eq!(read["standing"], json!("confirmed"));
    assert_eq!(read["document"]["retries"]["max_attempts"], json!(3));
    let (_, status) = entry.get("/v1/documents/sheets/status").await;
    assert_eq!(
        status["instances"],
        json!([{"instance": "entry-1", "version": 1, "answered": true}])
    );
    let (_, outcome) = entry.get("/v1/edits/e-1").await;
    assert_eq!(outcome["version"], json!(1));
    let (missing, _) = entry.get("/v1/edits/e-2").await;
    assert_eq!(missing, 404);
    let (_, past) = entry.get("/v1/documents/sheets/history/1").await;
    assert_eq!(past["document"]["service"], json!("sheets"));
    let (_, addresses) = entry.get("/v1/addresses?service=sheets&zone=hobart").await;
    let prefix = addresses["key_prefix"].as_str().unwrap();
    assert!(prefix.starts_with("cd1.entry-1."), "{prefix}");
}

#[tokio::test]
async fn edit_with_a_lost_response_is_resolved_and_reads_survive_an_outage() {
    let entry = Entry::start().await;
    let document = body("sheets", "lanemark-meets");
    let lost = Fault {
        response_loss: Loss::All,
        ..Fault::default()
    };
    entry.platform.set_fault(lost).await;

    let (resolved, accepted) = entry.put("expected_version=0&edit_id=e-1", &document).await;
    let down = Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    };
    entry.platform.set_fault(down).await;
    let (refused, refusal) = entry.put("expected_version=1&edit_id=e-2", &document).await;

    assert_eq!(resolved, 200, "{accepted}");
    assert_eq!(refused, 503, "{refusal}");
    assert_eq!(refusal["error"], json!("unavailable"));
    assert_eq!(refusal["edit_id"], json!("e-2"));
    let paths = [
        "/v1/documents/sheets",
        "/v1/documents/sheets/history",
        "/v1/documents/sheets/status",
        "/v1/addresses?service=sheets&zone=hobart",
    ];
    for path in paths {
        let (status, response) = entry.get(path).await;
        assert_eq!(status, 200, "{path}: {response}");
    }
}

#[tokio::test]
async fn listener_of_a_starting_entry_is_alive_but_not_ready() {
    let listener = Server::bind(settings()).unwrap();
    let cases = [
        ("/health", 200),
        ("/metrics", 200),
        ("/ready", 503),
        ("/v1/documents", 503),
        ("/v1/addresses?service=sheets&zone=hobart", 503),
    ];
    for (path, expected) in cases {
        let address = listener.address();

        let (status, response) = send(address, Method::GET, path, Some(OPERATOR), "").await;

        assert_eq!(status.as_u16(), expected, "{path}: {response}");
    }
}
