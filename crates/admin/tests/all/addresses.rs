//! Guards against address responses that contain an entry which does not accept
//! calls, and against responses that do not steer or spread callers as the
//! document states.

use std::time::Duration;

use carobdrift_admin::Entry;
use carobdrift_catalog::Standing;
use serde_json::json;

use crate::fixture::{Fixture, State, entry, with_rate};

const PATH: &str = "/v1/addresses?service=sheets&zone=burnie";

fn cell() -> Vec<Entry> {
    let zones = ["hobart", "launceston", "burnie"];
    (2..=15)
        .map(|index| entry(&format!("entry-{index}"), zones[(index - 1) % 3]))
        .collect()
}

/// Returns the instances and zones of a response, and the numbers of preferred
/// and steered instances.
async fn list_addresses(fixture: &Fixture) -> (Vec<(String, String)>, usize, usize) {
    let (status, response) = fixture.get(PATH, None).await;
    assert_eq!(status, 200, "{response}");
    let addresses = response["addresses"].as_array().unwrap();
    let text = |value: &serde_json::Value| value.as_str().unwrap().to_owned();
    let instances = addresses
        .iter()
        .map(|address| (text(&address["instance"]), text(&address["zone"])))
        .collect();
    let steered = addresses.iter().filter(|a| a["steered"] == json!(true));
    let preferred = response["preferred"].as_u64().unwrap();
    (
        instances,
        usize::try_from(preferred).unwrap(),
        steered.count(),
    )
}

#[tokio::test]
async fn one_entry_per_zone_starting_with_the_zone_of_the_caller() {
    let fixture = Fixture::start();
    fixture.backend.change(|state| state.peers = cell());

    let (instances, preferred, steered) = list_addresses(&fixture).await;

    assert_eq!((instances.len(), preferred, steered), (15, 1, 3));
    let mut zones: Vec<&str> = instances[..3].iter().map(|(_, zone)| &**zone).collect();
    assert_eq!(zones[0], "burnie");
    zones.sort_unstable();
    assert_eq!(zones, ["burnie", "hobart", "launceston"]);
    assert_eq!(list_addresses(&fixture).await.0, instances);
}

#[tokio::test]
async fn entries_that_accept_no_calls_are_left_out_at_once() {
    let fixture = Fixture::start();
    fixture.backend.change(|state| state.peers = cell());
    let first = list_addresses(&fixture).await.0[0].0.clone();
    let changes: [fn(&mut Entry); 4] = [
        |entry| entry.leaving = true,
        |entry| entry.status = None,
        |entry| entry.contact_age = None,
        |entry| entry.contact_age = Some(Duration::from_secs(2)),
    ];
    for change in changes {
        fixture.backend.change(|state| {
            state.peers = cell();
            let mut peers = state.peers.iter_mut();
            change(peers.find(|p| p.instance.as_str() == first).unwrap());
        });

        let (instances, preferred, _) = list_addresses(&fixture).await;

        assert_eq!(instances.len(), 14);
        assert!(!instances.iter().any(|(instance, _)| *instance == first));
        // The next entry of the same zone takes its place.
        assert_eq!((instances[0].1.as_str(), preferred), ("burnie", 1));
    }
}

#[tokio::test]
async fn leaving_entry_lists_its_peers_and_issues_a_key_prefix_of_the_first() {
    let fixture = Fixture::start();
    let (_, before) = fixture.get(PATH, None).await;
    fixture.backend.change(|state| {
        state.peers = cell();
        state.local_entry.leaving = true;
    });

    let (_, response) = fixture.get(PATH, None).await;

    assert_eq!(before["key_prefix"], json!("cd1.entry-1"));
    let first = response["addresses"][0]["instance"].as_str().unwrap();
    assert_ne!(first, "entry-1");
    assert_eq!(response["key_prefix"], json!(format!("cd1.{first}")));
    assert_eq!(response["ttl_ms"], json!(5000));
    let addresses = response["addresses"].as_array().unwrap();
    assert!(addresses.iter().all(|a| a["instance"] != json!("entry-1")));
}

#[tokio::test]
async fn no_ready_entry_is_an_error() {
    let changes: [fn(&mut State); 2] = [
        |state| state.standing = Standing::Unconfirmed,
        |state| state.local_entry.status = None,
    ];
    for change in changes {
        let fixture = Fixture::start();
        fixture.backend.change(change);

        let (status, response) = fixture.get(PATH, None).await;

        assert_eq!(status, 503);
        assert_eq!(response["error"], json!("unavailable"));
    }
}

#[tokio::test]
async fn busy_service_gets_more_entries() {
    let fixture = Fixture::start();
    fixture.backend.change(|state| {
        let busy = |peer: Entry| with_rate(peer, "sheets", 1000.0);
        state.peers = cell().into_iter().map(busy).collect();
    });

    let (_, preferred, steered) = list_addresses(&fixture).await;

    assert_eq!((preferred, steered), (2, 6));
}

/// Guards against additional steered entries that get no calls from callers
/// that use only the first address.
#[tokio::test]
async fn preferred_entries_are_shuffled() {
    let fixture = Fixture::start();
    fixture.backend.change(|state| {
        let busy = |peer: Entry| with_rate(peer, "sheets", 1000.0);
        state.peers = cell().into_iter().map(busy).collect();
    });

    let mut firsts = std::collections::BTreeSet::new();
    // Fails by chance in one of 2^39 runs.
    for _ in 0..40 {
        firsts.insert(list_addresses(&fixture).await.0[0].0.clone());
    }

    assert_eq!(firsts.len(), 2);
}

/// Guards against callers that keep using a paused entry alone: when the entry
/// resumes, it has heard from no peer and lists only itself.
#[tokio::test]
async fn time_to_live_is_short_while_most_entries_are_silent() {
    let fixture = Fixture::start();
    let mut ttls = Vec::new();
    // Numbers of silent entries out of 15, counting this entry.
    for silent in [7, 8, 14] {
        fixture.backend.change(|state| {
            state.peers = cell();
            for peer in &mut state.peers[..silent] {
                peer.contact_age = Some(Duration::from_secs(2));
            }
        });
        let (_, response) = fixture.get(PATH, None).await;
        ttls.push(response["ttl_ms"].clone());
    }

    assert_eq!(ttls, [json!(5000), json!(200), json!(200)]);
}
