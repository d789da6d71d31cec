//! Guards against an outage of the store that stops calls or lets an entry
//! serve with old documents.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use carobdrift_test_support::load;
use carobdrift_test_support::platform::{Down, Fault};
use carobdrift_test_support::relay::{Flows, Relay};
use http::StatusCode;
use serde_json::json;

use crate::installation::{IN_FORCE, Installation, SERVICE, ZONES, lost, orders, view, views};

/// Longer than any confirmation.
const OUTAGE: Duration = Duration::from_secs(8);

/// Moment of the second edit in an outage.
const LATE_EDIT: Duration = Duration::from_secs(6);

/// Wait for a confirmation before a request is refused, and scheduling.
const SLACK: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_refuses_stops_no_calls() {
    outage(Down::Refuse).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_hangs_stops_no_calls() {
    outage(Down::Hang).await;
}

async fn outage(down: Down) {
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
        down,
        ..Fault::default()
    };
    installation.fleet.platform.set_fault(&fault).await.unwrap();
    let begin = Instant::now();
    for (entry, edit) in [(0, "early"), (1, "late")] {
        let (status, answer) = installation.put(entry, SERVICE, 1, edit, &document).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");
        tokio::time::sleep(LATE_EDIT.saturating_sub(begin.elapsed())).await;
    }
    tokio::time::sleep(OUTAGE.saturating_sub(begin.elapsed())).await;
    installation.fleet.platform.clear_fault().await.unwrap();
    let (status, answer) = installation.put(2, SERVICE, 1, "after", &document).await;
    let records = load.await.unwrap();

    assert_eq!(status, StatusCode::OK, "{answer}");
    assert_eq!(answer["version"], 2, "the refused edits had no effect");
    installation.wait_version(&[0, 1, 2], SERVICE, 2).await;
    assert!(records.len() > 500, "{} calls", records.len());
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));
    installation.judge(SERVICE, &records).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_outage_learns_from_its_peers() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 3, 10.0).await;
    let document = installation.document(SERVICE);
    let down = Fault {
        down: Down::Table,
        ..Fault::default()
    };
    installation.fleet.platform.set_fault(&down).await.unwrap();
    tokio::time::sleep(IN_FORCE + Duration::from_secs(1)).await;

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
    let sent = installation.send(&caller, new, &view(&caller)).await;
    assert!(sent.is_whole(), "{sent:?}");
    let (status, answer) = installation
        .put(new, SERVICE, 1, "refused", &document)
        .await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");
}

/// Relays before the peer listeners of all entries, and one between the last
/// entry and the platform.
struct Cuttable {
    installation: Installation,
    peers: Vec<Relay>,
    platform: Relay,
}

impl Cuttable {
    async fn start() -> Self {
        let mut installation = Installation::without_entries().await;
        let platform = Relay::bind().await.unwrap();
        platform.set_target(installation.fleet.platform_address);
        let mut peers = Vec::new();
        for entry in 0..ZONES.len() {
            let relay = Relay::bind().await.unwrap();
            // The entry listens on another loopback address and states that
            // of the relay, which has the same port.
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

    /// Cuts the last entry off, or ends that. Connections that were cut stay
    /// silent.
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
async fn an_entry_that_is_cut_off_refuses_within_the_bound() {
    let mut cuttable = Cuttable::start().await;
    cuttable.installation.serve(SERVICE, 4, 10.0).await;
    let installation = &cuttable.installation;
    let rows = installation.fleet.document_targets(SERVICE);
    let mut old = installation.document(SERVICE);
    old["targets"] = json!([rows[0], rows[1]]);
    let mut new = old.clone();
    new["targets"] = json!([rows[2], rows[3]]);
    let (status, answer) = installation.put(0, SERVICE, 1, "old", &old).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    installation.wait_version(&[0, 1, 2], SERVICE, 2).await;
    let caller = installation.caller_of(1);

    cuttable.set_flows(Flows::DISCARD);
    let cut = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (status, answer) = installation.put(0, SERVICE, 2, "new", &new).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    let mut sent = Vec::new();
    while cut.elapsed() < IN_FORCE + Duration::from_secs(2) {
        let begin = cut.elapsed();
        sent.push((begin, installation.send(&caller, 2, &view(&caller)).await));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let counts = installation.counts(SERVICE).await;
    cuttable.set_flows(Flows::default());
    installation.wait_version(&[2], SERVICE, 3).await;
    let admin = installation.fleet.entries[2].admin;
    let returned = installation.fleet.wait_ready(admin, IN_FORCE).await;
    let last = installation.send(&caller, 2, &view(&caller)).await;

    assert!(sent[0].1.is_whole(), "it serves at first: {:?}", sent[0]);
    for (begin, sent) in &sent {
        let refused = sent.outcome.as_deref() == Some("not-run")
            && sent.reason.as_deref() == Some("unconfirmed");
        assert!(sent.is_whole() || refused, "{begin:?}: {sent:?}");
        assert_eq!(
            sent.is_whole(),
            counts.contains_key(&sent.token),
            "{sent:?}"
        );
        assert!(
            refused || *begin < IN_FORCE,
            "{begin:?} after the cut: {sent:?}"
        );
    }
    let late = sent.iter().filter(|(begin, _)| *begin > IN_FORCE + SLACK);
    assert!(late.count() > 3);
    assert!(returned && last.is_whole(), "{last:?}");
}
