//! Entries with a catalog. Each runs on its own runtime so that it can be paused,
//! and is connected through relays so that it can be cut off.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carobdrift_catalog::{Acceptance, Catalog, Edit, EditError, Metrics, Standing};
use carobdrift_document::Document;
use carobdrift_membership::{Inbox, Links, Metrics as LinkMetrics, Settings};
use carobdrift_platform::Client;
use carobdrift_test_support::platform::{self, Fault, Listing, Outage, StandIn};
use carobdrift_test_support::relay::{Flows, Relay};
use carobdrift_units::{Incarnation, Instance, Revision, Secret, Service, Version};
use carobdrift_wire::{Answer, Frame, Query, Replica};
use prometheus::Registry;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// Longest time after which an accepted document is in force at every entry, and
/// for which an outdated document may be served.
pub(crate) const BOUND: Duration = Duration::from_secs(5);

/// Entry with its catalog and its links.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) catalog: Catalog,
    pub(crate) links: Links,
    /// Relay between the entry and the platform.
    pub(crate) store: Relay,
    /// Relay in front of the entry's peer listener.
    pub(crate) peers: Arc<Relay>,
    registry: Registry,
    runtime: Option<Runtime>,
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

pub(crate) fn id(name: &str) -> Instance {
    name.parse().unwrap()
}

pub(crate) fn sheets() -> Service {
    "sheets".parse().unwrap()
}

pub(crate) async fn stand_in() -> StandIn {
    StandIn::bind(platform::Settings::default()).await.unwrap()
}

pub(crate) async fn set_down(stand_in: &StandIn, down: Outage) {
    let fault = Fault {
        outage: down,
        ..Fault::default()
    };
    stand_in.set_fault(fault).await;
}

/// Adds an entry to the instance list and starts it.
pub(crate) async fn start(stand_in: &StandIn, name: &str) -> Node {
    let peers = Arc::new(Relay::bind().await.unwrap());
    list(stand_in, name, &peers);
    start_behind(stand_in, name, peers).await
}

/// Starts an entry that its peers reach through an existing relay.
pub(crate) async fn start_behind(stand_in: &StandIn, name: &str, peers: Arc<Relay>) -> Node {
    let store = Relay::bind().await.unwrap();
    store.set_target(stand_in.address());
    let settings = settings(name, &peers);
    let client =
        carobdrift_test_support::platform::open_client(store.address(), Duration::from_secs(1));
    let registry = Registry::new();
    let link_metrics = LinkMetrics::register(&registry).unwrap();
    let metrics = Metrics::register(&registry).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let running = runtime.spawn(async move {
        let (links, inbox) = Links::bind(settings, client.clone(), link_metrics)
            .await
            .unwrap();
        let catalog = Catalog::spawn(client, links.clone(), metrics);
        tokio::spawn(dispatch(catalog.clone(), inbox));
        (links, catalog)
    });
    let (links, catalog) = running.await.unwrap();
    peers.set_target(links.address());
    Node {
        name: name.to_owned(),
        catalog,
        links,
        store,
        peers,
        registry,
        runtime: Some(runtime),
    }
}

fn settings(name: &str, peers: &Relay) -> Settings {
    let unused = "127.0.0.1:9".parse().unwrap();
    Settings {
        instance: id(name),
        incarnation: Incarnation::random(),
        cell: "main".parse().unwrap(),
        zone: "hobart".parse().unwrap(),
        caller: unused,
        admin: unused,
        listen: "127.0.0.1:0".parse().unwrap(),
        advertise: Some(peers.address()),
        secret: Secret::new("peers only".to_owned()),
    }
}

/// Simulated peer that reports the status that the test sets and announces nothing.
pub(crate) struct FakePeer {
    pub(crate) links: Links,
    /// Document with which the peer answers queries; without one it does not
    /// answer.
    pub(crate) replica: Arc<Mutex<Option<Replica>>>,
    _relay: Relay,
}

/// Starts a simulated peer without a document.
pub(crate) async fn start_fake_peer(stand_in: &StandIn, name: &str) -> FakePeer {
    let relay = Relay::bind().await.unwrap();
    list(stand_in, name, &relay);
    let settings = settings(name, &relay);
    let metrics = LinkMetrics::register(&Registry::new()).unwrap();
    let (links, inbox) = Links::bind(settings, client(stand_in), metrics)
        .await
        .unwrap();
    relay.set_target(links.address());
    let replica = Arc::new(Mutex::new(None));
    tokio::spawn(answer_queries(Arc::clone(&replica), inbox));
    FakePeer {
        links,
        replica,
        _relay: relay,
    }
}

/// Answers queries with the document of a simulated peer.
async fn answer_queries(replica: Arc<Mutex<Option<Replica>>>, mut inbox: Inbox) {
    while let Some(envelope) = inbox.recv().await {
        let replica = replica.lock().unwrap().clone();
        let (Frame::Query { query, .. }, Some(replica)) = (envelope.frame, replica) else {
            continue;
        };
        let answer = match query {
            Query::Document { .. } => Answer::Document(Some(replica)),
            Query::Versions => Answer::Versions {
                revision: Revision(replica.version.0),
                versions: vec![(replica.service, replica.version)],
                unreadable: Vec::new(),
                current: true,
            },
            _ => continue,
        };
        envelope.responder.unwrap().send(answer);
    }
}

/// Opens a client of the platform that does not pass through a relay.
pub(crate) fn client(stand_in: &StandIn) -> Client {
    carobdrift_test_support::platform::open_client(stand_in.address(), Duration::from_secs(1))
}

/// Adds an entry to the instance list.
pub(crate) fn list(stand_in: &StandIn, name: &str, peers: &Relay) {
    let unused = "127.0.0.1:9".parse().unwrap();
    stand_in.put_instance(Listing::entry(
        &id(name),
        "main".parse().unwrap(),
        "hobart".parse().unwrap(),
        "tasmania".parse().unwrap(),
        [unused, unused, peers.address()],
    ));
}

/// Passes the frames of the peers to the catalog.
async fn dispatch(catalog: Catalog, mut inbox: Inbox) {
    while let Some(envelope) = inbox.recv().await {
        if let Frame::Query { query, .. } = &envelope.frame {
            if let Some(answer) = catalog.answer(&envelope.from, query)
                && let Some(responder) = envelope.responder
            {
                responder.send(answer);
            }
        } else {
            catalog.handle_frame(&envelope.from, &envelope.frame);
        }
    }
}

/// Starts a cell and waits until all entries are confirmed and connected.
pub(crate) async fn cell(stand_in: &StandIn, count: usize) -> Vec<Node> {
    let mut nodes = Vec::new();
    for number in 0..count {
        nodes.push(start(stand_in, &format!("entry-{number}")).await);
    }
    until("the cell is up", Duration::from_secs(8), || {
        nodes.iter().all(|node| {
            node.is_confirmed()
                && node.links.cell_size() == count
                && node
                    .links
                    .peers()
                    .iter()
                    .filter(|p| p.last_ack.is_some())
                    .count()
                    == count - 1
        })
    })
    .await;
    nodes
}

impl Node {
    pub(crate) fn is_confirmed(&self) -> bool {
        matches!(self.catalog.standing(), Standing::Confirmed { .. })
    }

    pub(crate) fn version(&self, service: &Service) -> Version {
        let edition = self.catalog.edition(service);
        edition.map_or(Version::NONE, |edition| edition.version)
    }

    /// Blocks all tasks of the entry for some time, as if its process were paused.
    pub(crate) fn pause(&self, time: Duration) {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(async move { std::thread::sleep(time) });
        }
    }

    /// Returns the number of polls of the change log so far.
    pub(crate) fn polls(&self) -> f64 {
        self.registry
            .gather()
            .iter()
            .filter(|family| family.name() == "carobdrift_catalog_polls_total")
            .flat_map(|family| family.get_metric().to_vec())
            .map(|sample| sample.get_counter().get_value())
            .sum()
    }

    pub(crate) fn cut_store(&self) {
        self.store.set_flows(Flows::DISCARD);
    }

    /// Stops the entry and returns its relay, which keeps its address.
    pub(crate) fn stop(self) -> Arc<Relay> {
        Arc::clone(&self.peers)
    }
}

/// Cuts an entry off from all its peers, in both directions.
pub(crate) fn cut_peers(nodes: &[Node], cut: usize) {
    nodes[cut].peers.set_flows(Flows::DISCARD);
    for (number, node) in nodes.iter().enumerate() {
        if number != cut {
            node.peers
                .set_instance_flows(&nodes[cut].name, Flows::DISCARD);
        }
    }
}

pub(crate) fn document(service: &Service, path: &str) -> Value {
    json!({
        "service": service,
        "team": "lanemark-meets",
        "targets": [{"id": "t-1", "address": "127.0.0.1:9", "zone": "hobart", "slots": 2}],
        "routes": [{"name": "view", "methods": ["GET"], "path": path,
                    "kind": "idempotent", "class": "view", "deadline_ms": 400}],
        "classes": [{"name": "view", "weight": 4, "max_queue": 200}]
    })
}

pub(crate) fn edit(id: &str, service: &Service, expected: u64) -> Edit {
    let json = document(service, &format!("/{id}/*"));
    Edit {
        id: id.parse().unwrap(),
        document: Document::parse(json.to_string().as_bytes()).unwrap(),
        expected: Version(expected),
        owner: None,
    }
}

/// Makes an edit through an entry and requires that it is accepted.
pub(crate) async fn accept(node: &Node, edit: Edit) -> Acceptance {
    let result: Result<Acceptance, EditError> = node.catalog.edit(edit).await;
    result.unwrap()
}

/// Waits until a condition holds and returns the time that this took.
pub(crate) async fn until(what: &str, limit: Duration, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}
