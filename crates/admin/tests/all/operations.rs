//! Guards against an entry that reports itself ready while it must not receive
//! calls.

use std::time::Duration;

use carobdrift_catalog::Standing;
use serde_json::json;

use crate::fixture::{Fixture, State};

#[tokio::test]
async fn readiness_follows_start_confirmation_and_leaving() {
    type Change = fn(&mut State);
    let cases: [(Change, u16); 5] = [
        (|_| {}, 200),
        (|state| state.standing = Standing::Outage, 200),
        (|state| state.standing = Standing::Unconfirmed, 503),
        (|state| state.local_entry.status = None, 503),
        (|state| state.local_entry.leaving = true, 503),
    ];
    for (index, (change, expected)) in cases.into_iter().enumerate() {
        let fixture = Fixture::start();
        fixture.backend.change(change);

        let (status, response) = fixture.get("/ready", None).await;

        assert_eq!(status.as_u16(), expected, "case {index}: {response}");
        if expected == 503 {
            assert_eq!(response["error"], json!("not-ready"));
        }
        let (health, _) = fixture.get("/health", None).await;
        assert_eq!(health, 200);
    }
}

#[tokio::test]
async fn metrics_are_shown_as_text() {
    let fixture = Fixture::start();

    let (_, text) = fixture.get("/metrics", None).await;

    assert!(text.as_str().unwrap().contains("carobdrift_probes_total 0"));
}

#[tokio::test]
async fn instances_show_the_time_since_the_last_contact() {
    let fixture = Fixture::start();
    fixture.backend.change(|state| {
        let mut peer = crate::fixture::entry("entry-2", "burnie");
        peer.contact_age = Some(Duration::from_millis(700));
        state.peers.push(peer);
    });

    let (_, response) = fixture
        .get("/v1/instances", Some(crate::fixture::MEETS))
        .await;

    assert_eq!(response["itself"], json!("entry-1"));
    assert_eq!(response["instances"][1]["heard_ms"], json!(700));
}
