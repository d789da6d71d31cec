//! Guards against a store outage during which calls fail, and against an entry
//! that keeps serving with outdated documents when it is cut off.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use carobdrift_test_support::load;
use carobdrift_test_support::platform::{Fault, Outage};
use carobdrift_test_support::relay::{Flows, Relay};
use http::StatusCode;
use serde_json::json;

use crate::installation::{
    IN_FORCE_BOUND, Installation, SERVICE, ZONES, incomplete, orders, view, views,
};

/// Duration of an outage; longer than the maximum age of a confirmation.
const OUTAGE: Duration = Duration::from_secs(8);

/// Time of the second edit after the start of an outage.
const LATE_EDIT: Duration = Duration::from_secs(6);

/// Allowance for the time for which a request waits for a confirmation before it
/// is refused, and for scheduling delays.
const REFUSAL_SLACK: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread")]
async fn calls_continue_when_the_store_refuses() {
    outage(Outage::Refuse).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_continue_when_the_store_hangs() {
    outage(Outage::Hang).await;
}

async fn outage(down: Outage) {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 3, 10.0).await;
    let document = installation.document(SERVICE);
    let callers = installation.callers();
    let load = tokio::spawn(async move {
        let streams = [views(60.0), orders(40.0)];
        load::run(&streams, &callers, OUTAGE + Duration::from_secs(1), 6).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;

    let fault = Fault {
        outage: down,
        ..Fault::default()
    };
    installation.fleet.platform.set_fault(&fault).await.unwrap();
    let start = Instant::now();
    for (entry, edit) in [(0, "early"), (1, "late")] {
        let (status, response) = installation.put(entry, SERVICE, 1, edit, &document).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{response}");
        tokio::time::sleep(LATE_EDIT.saturating_sub(start.elapsed())).await;
    }
    tokio::time::sleep(OUTAGE.saturating_sub(start.elapsed())).await;
    installation.fleet.platform.clear_fault().await.unwrap();
    let (status, response) = installation.put(2, SERVICE, 1, "after", &document).await;
    let records = load.await.unwrap();

    assert_eq!(status, StatusCode::OK, "{response}");
    assert_eq!(response["version"], 2, "the refused edits had no effect");
    installation.wait_version(&[0, 1, 2], SERVICE, 2).await;
    assert!(records.len() > 500, "{} calls", records.len());
    assert!(
        incomplete(&records).is_empty(),
        "{:?}",
        incomplete(&records)
    );
    installation.check_records(SERVICE, &records).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_outage_gets_documents_from_peers() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 3, 10.0).await;
    let document = installation.document(SERVICE);
    let down = Fault {
        outage: Outage::Table,
        ..Fault::default()
    };
    installation.fleet.platform.set_fault(&down).await.unwrap();
    tokio::time::sleep(IN_FORCE_BOUND + Duration::from_secs(1)).await;

    let new = installation.fleet.start_entry(&[]).await.unwrap();

    let admin = installation.fleet.entries[new].admin;
    assert!(
        installation
            .fleet
            .wait_ready(admin, Duration::from_secs(5))
            .await
    );
    installation.wait_version(&[new], SERVICE, 1).await;
    let caller = installation.caller_of(1);
    let attempt = installation.send(&caller, new, &view(&caller)).await;
    assert!(attempt.is_complete(), "{attempt:?}");
    let (status, response) = installation
        .put(new, SERVICE, 1, "refused", &document)
        .await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{response}");
}

/// Installation with a relay in front of the peer listener of each entry, and one
/// between the last entry and the platform.
struct Partitionable {
    installation: Installation,
    peers: Vec<Relay>,
    platform: Relay,
}

impl Partitionable {
    async fn start() -> Self {
        let mut installation = Installation::without_entries().await;
        let platform = Relay::bind().await.unwrap();
        platform.set_target(installation.fleet.platform_address);
        let mut peers = Vec::new();
        for entry in 0..ZONES.len() {
            let relay = Relay::bind().await.unwrap();
            // The entry listens on another loopback address with the port of the
            // relay and advertises the relay's address.
            let port = relay.address().port();
            let listen = TcpListener::bind(("127.0.0.2", port))
                .unwrap()
                .local_addr()
                .unwrap();
            relay.set_target(listen);
            if entry == ZONES.len() - 1 {
                installation.fleet.platform_address = platform.address();
            }
            let listen = format!("--peer-listen={listen}");
            let flags = [listen.as_str(), "--advertise-ip=127.0.0.1"];
            installation.fleet.start_entry(&flags).await.unwrap();
            peers.push(relay);
        }
        installation.wait_ready().await;
        Self {
            installation,
            peers,
            platform,
        }
    }

    /// Sets the flows of all connections between the last entry and its peers or
    /// the platform. Connections whose bytes were discarded stay silent.
    fn set_flows(&self, flows: Flows) {
        self.platform.set_flows(flows);
        let (last, others) = self.peers.split_last().unwrap();
        last.set_flows(flows);
        for relay in others {
            relay.set_instance_flows(&format!("entry-{}", ZONES.len()), flows);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_entry_refuses_within_the_bound() {
    let mut partitionable = Partitionable::start().await;
    partitionable.installation.serve(SERVICE, 4, 10.0).await;
    let installation = &partitionable.installation;
    let rows = installation.fleet.document_targets(SERVICE);
    let mut old = installation.document(SERVICE);
    old["targets"] = json!([rows[0], rows[1]]);
    let mut new = old.clone();
    new["targets"] = json!([rows[2], rows[3]]);
    let (status, response) = installation.put(0, SERVICE, 1, "old", &old).await;
    assert_eq!(status, StatusCode::OK, "{response}");
    installation.wait_version(&[0, 1, 2], SERVICE, 2).await;
    let caller = installation.caller_of(1);

    partitionable.set_flows(Flows::DISCARD);
    let cut = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (status, response) = installation.put(0, SERVICE, 2, "new", &new).await;
    assert_eq!(status, StatusCode::OK, "{response}");
    let mut attempts = Vec::new();
    while cut.elapsed() < IN_FORCE_BOUND + Duration::from_secs(2) {
        let sent_at = cut.elapsed();
        attempts.push((sent_at, installation.send(&caller, 2, &view(&caller)).await));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let counts = installation.counts(SERVICE).await;
    partitionable.set_flows(Flows::default());
    installation.wait_version(&[2], SERVICE, 3).await;
    let admin = installation.fleet.entries[2].admin;
    let is_ready = installation.fleet.wait_ready(admin, IN_FORCE_BOUND).await;
    let last = installation.send(&caller, 2, &view(&caller)).await;

    assert!(
        attempts[0].1.is_complete(),
        "refused directly after the cut: {:?}",
        attempts[0]
    );
    for (sent_at, attempt) in &attempts {
        let refused = attempt.outcome.as_deref() == Some("not-run")
            && attempt.reason.as_deref() == Some("unconfirmed");
        assert!(attempt.is_complete() || refused, "{sent_at:?}: {attempt:?}");
        assert_eq!(
            attempt.is_complete(),
            counts.contains_key(&attempt.token),
            "{attempt:?}"
        );
        assert!(
            refused || *sent_at < IN_FORCE_BOUND,
            "{sent_at:?} after the cut: {attempt:?}"
        );
    }
    let late = attempts
        .iter()
        .filter(|(sent_at, _)| *sent_at > IN_FORCE_BOUND + REFUSAL_SLACK);
    assert!(late.count() > 3);
    assert!(is_ready && last.is_complete(), "{last:?}");
}
