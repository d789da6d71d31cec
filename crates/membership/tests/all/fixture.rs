//! Entries that are connected through relays.

use std::time::{Duration, Instant};

use carobdrift_membership::{Inbox, Links, Metrics, Peer, Settings};
use carobdrift_platform::Client;
use carobdrift_test_support::platform::{self, Listing, StandIn};
use carobdrift_test_support::relay::Relay;
use carobdrift_units::{Incarnation, Instance, Secret};
use prometheus::Registry;

pub(crate) const SECRET: &str = "peers only";

/// Entry with its links; peers reach the entry through its relay.
pub(crate) struct Node {
    pub(crate) links: Links,
    pub(crate) inbox: Inbox,
    pub(crate) relay: Relay,
    pub(crate) registry: Registry,
}

/// Options of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub(crate) cell: &'static str,
    pub(crate) secret: &'static str,
    pub(crate) listed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            cell: "main",
            secret: SECRET,
            listed: true,
        }
    }
}

pub(crate) fn id(name: &str) -> Instance {
    name.parse().unwrap()
}

pub(crate) async fn stand_in() -> StandIn {
    StandIn::bind(platform::Settings::default()).await.unwrap()
}

pub(crate) fn client(stand_in: &StandIn) -> Client {
    carobdrift_test_support::platform::open_client(stand_in.address(), Duration::from_secs(1))
}

/// Returns the row of the instance list for an entry of the cell `main`.
pub(crate) fn listing(name: &str, peer: std::net::SocketAddr) -> Listing {
    let unused = "127.0.0.1:9".parse().unwrap();
    Listing::entry(
        &id(name),
        "main".parse().unwrap(),
        "hobart".parse().unwrap(),
        "tasmania".parse().unwrap(),
        [unused, unused, peer],
    )
}

pub(crate) async fn start(stand_in: &StandIn, name: &str) -> Node {
    start_as(stand_in, name, &Options::default()).await
}

pub(crate) async fn start_as(stand_in: &StandIn, name: &str, options: &Options) -> Node {
    let relay = Relay::bind().await.unwrap();
    if options.listed {
        stand_in.put_instance(listing(name, relay.address()));
    }
    start_behind(stand_in, name, options, relay).await
}

pub(crate) async fn start_behind(
    stand_in: &StandIn,
    name: &str,
    options: &Options,
    relay: Relay,
) -> Node {
    let unused = "127.0.0.1:9".parse().unwrap();
    let settings = Settings {
        instance: id(name),
        incarnation: Incarnation::random(),
        cell: options.cell.parse().unwrap(),
        zone: "hobart".parse().unwrap(),
        caller: unused,
        admin: unused,
        listen: "127.0.0.1:0".parse().unwrap(),
        advertise: Some(relay.address()),
        secret: Secret::new(options.secret.to_owned()),
    };
    let registry = Registry::new();
    let metrics = Metrics::register(&registry).unwrap();
    let (links, inbox) = Links::bind(settings, client(stand_in), metrics)
        .await
        .unwrap();
    relay.set_target(links.address());
    Node {
        links,
        inbox,
        relay,
        registry,
    }
}

/// Starts entries that are on the instance list and waits until all links are open.
pub(crate) async fn cell(stand_in: &StandIn, names: &[&str]) -> Vec<Node> {
    let mut nodes = Vec::new();
    for name in names {
        nodes.push(start(stand_in, name).await);
    }
    for node in &nodes {
        until("all links are open", Duration::from_secs(5), || {
            let peers = node.links.peers();
            peers.len() == names.len() - 1 && peers.iter().all(|peer| peer.last_ack.is_some())
        })
        .await;
    }
    nodes
}

impl Node {
    pub(crate) fn peer(&self, name: &str) -> Option<Peer> {
        let peers = self.links.peers();
        peers
            .into_iter()
            .find(|peer| peer.instance.as_str() == name)
    }

    /// Returns whether the peer answered a ping that was sent at most `window` ago.
    pub(crate) fn has_pong_from(&self, name: &str, window: Duration) -> bool {
        self.peer(name)
            .is_some_and(|peer| peer.acked_within(window, Instant::now()))
    }

    /// Returns the sum of the counters of a metric that have the given label value.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "counters are small whole numbers"
    )]
    pub(crate) fn count(&self, metric: &str, label: &str) -> u64 {
        let sum: f64 = self
            .registry
            .gather()
            .iter()
            .filter(|family| family.name() == metric)
            .flat_map(|family| family.get_metric().to_vec())
            .filter(|sample| sample.get_label().iter().any(|pair| pair.value() == label))
            .map(|sample| sample.get_counter().get_value())
            .sum();
        sum as u64
    }
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, limit: Duration, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
