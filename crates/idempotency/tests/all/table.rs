use std::time::Duration;

use carobdrift_idempotency::{Claims, Grant, Limits, Refusal, Scheme, Settings};
use carobdrift_test_support::platform::{Fault, Loss, Outage, StandIn};
use carobdrift_wire::Key;

use crate::fixture::{
    Link, Manner, PATIENCE, call, claims_with, ledger, ledger_of, reason, recorded,
};

async fn platform() -> StandIn {
    let settings = carobdrift_test_support::platform::Settings::default();
    StandIn::bind(settings).await.expect("loopback is free")
}

/// Claims of a further entry over the same table.
fn entry(platform: &StandIn, writes: u32) -> Claims {
    let client = carobdrift_test_support::platform::open_client(
        platform.address(),
        Duration::from_millis(300),
    );
    let settings = Settings {
        table_writes_per_second: writes,
        ..Settings::default()
    };
    let own = ledger_of("entry-1", Limits::default());
    let link = Link::new(ledger(Limits::default()), Manner::NotConnected);
    claims_with(own, link, client, settings)
}

fn own_key() -> Key {
    "booking/7?table=4&x=%20".parse().expect("valid")
}

/// Guards against two grants for a caller's own key at two entries, and against
/// keys that are cut at a character with a meaning in URLs.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_claims_get_one_grant() {
    let platform = platform().await;
    let entries = [entry(&platform, 100), entry(&platform, 100)];
    let mut racers = tokio::task::JoinSet::new();
    for number in 0..16 {
        let claims = entries[number % 2].clone();
        let call = call(&own_key(), Scheme::Caller, PATIENCE);
        racers.spawn(async move { claims.claim(call).await.map(Grant::dispatch) });
    }

    let results = racers.join_all().await;

    let granted = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(granted, 1);
    let neighbour: Key = "booking/7".parse().expect("valid");
    let other = entries[0]
        .claim(call(&neighbour, Scheme::Caller, PATIENCE))
        .await;
    assert_eq!(reason(other), "granted");
}

/// Guards against long keys that the platform refuses, and that are taken for
/// each other.
#[tokio::test]
async fn long_keys_are_claimed_apart() {
    let platform = platform().await;
    let claims = entry(&platform, 100);
    let long = |end: char| -> Key { format!("{}{end}", "k".repeat(255)).parse().expect("valid") };

    let first = claims
        .claim(call(&long('a'), Scheme::Caller, PATIENCE))
        .await;
    let other = claims
        .claim(call(&long('b'), Scheme::Caller, PATIENCE))
        .await;
    let _dispatched = first.expect("it is new").dispatch();
    let again = claims
        .claim(call(&long('a'), Scheme::Caller, PATIENCE))
        .await;

    assert_eq!(reason(other), "granted");
    assert_eq!(reason(again), "in-progress");
}

/// Guards against a key that is lost or run twice when the table's answers are
/// lost, it is down, or writes exceed the rate.
#[tokio::test]
async fn faults_of_the_table() {
    let platform = platform().await;
    let claims = entry(&platform, 100);
    let lost = Fault {
        response_loss: Loss::Next(1),
        ..Fault::default()
    };
    platform.set_fault(lost).await;
    let granted = claims
        .claim(call(&own_key(), Scheme::Caller, PATIENCE))
        .await;
    let dispatched = granted.expect("the row names this attempt").dispatch();
    let again = claims
        .claim(call(&own_key(), Scheme::Caller, PATIENCE))
        .await;
    assert_eq!(reason(again), "in-progress");

    dispatched.settle(Some(recorded(b"seat 4")));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let replay = claims
        .claim(call(&own_key(), Scheme::Caller, PATIENCE))
        .await;
    match replay {
        Err(Refusal::Replay(response)) => assert_eq!(response, recorded(b"seat 4")),
        other => panic!("expected a replay, not {other:?}"),
    }

    let down = Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    };
    platform.set_fault(down).await;
    let other: Key = "booking/8".parse().expect("valid");
    let refused = claims.claim(call(&other, Scheme::Caller, PATIENCE)).await;
    assert_eq!(reason(refused), "store-unavailable");
}

/// Guards against a key that stays claimed although its attempt did not run.
#[tokio::test]
async fn a_released_key_can_be_claimed_again() {
    let platform = platform().await;
    let claims = entry(&platform, 100);
    let first = claims
        .claim(call(&own_key(), Scheme::Caller, PATIENCE))
        .await;
    drop(first.expect("the key is new"));
    tokio::time::sleep(Duration::from_millis(200)).await;

    let second = claims
        .claim(call(&own_key(), Scheme::Caller, PATIENCE))
        .await;

    assert_eq!(reason(second), "granted");
}

/// Guards against callers that exhaust the table's writes.
#[tokio::test]
async fn writes_are_limited() {
    let platform = platform().await;
    let claims = entry(&platform, 3);
    let mut reasons = Vec::new();
    for number in 0..5 {
        let key: Key = format!("booking/{number}").parse().expect("valid");
        let claimed = claims.claim(call(&key, Scheme::Caller, PATIENCE)).await;
        reasons.push(reason(claimed.map(Grant::dispatch)));
    }
    assert_eq!(
        reasons,
        ["granted", "granted", "granted", "key-rate", "key-rate"]
    );
}

/// Guards against a key that stays claimed because the table took the write of
/// an attempt that did not run, and hid it.
#[tokio::test]
async fn a_hidden_claim_is_withdrawn() {
    let platform = platform().await;
    let claims = entry(&platform, 100);
    let slow = Fault {
        delay_ms: 400,
        ..Fault::default()
    };
    platform.set_fault(slow).await;
    let refused = claims
        .claim(call(&own_key(), Scheme::Caller, PATIENCE))
        .await;
    assert_eq!(reason(refused), "store-unavailable");
    platform.set_fault(Fault::default()).await;
    let row = format!("claims/draws/{}", own_key());
    assert!(platform.row(&row).is_some(), "the write took effect");

    tokio::time::sleep(Duration::from_millis(1_200)).await;

    let again = claims
        .claim(call(&own_key(), Scheme::Caller, PATIENCE))
        .await;
    assert_eq!(reason(again), "granted");
}
