use std::time::Duration;

use carobdrift_idempotency::{Claims, Grant, Limits, Refusal, Scheme, Settings};
use carobdrift_test_support::platform::{Fault, Loss, Outage, StandIn};
use carobdrift_wire::Key;

use crate::fixture::{
    Behavior, LONG_TIMEOUT, Link, claims_with, ledger, ledger_of, reason, recorded, request,
};

async fn platform() -> StandIn {
    let settings = carobdrift_test_support::platform::Settings::default();
    StandIn::bind(settings).await.expect("loopback is free")
}

/// Returns the claims of a further entry that uses the same table.
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
    let link = Link::new(ledger(Limits::default()), Behavior::NotConnected);
    claims_with(own, link, client, settings)
}

fn caller_key() -> Key {
    "booking/7?table=4&x=%20".parse().expect("valid")
}

/// Guards against two grants at two entries for a key that a caller chose, and
/// against keys that are cut at a character with a meaning in URLs.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_claims_get_one_grant() {
    let platform = platform().await;
    let entries = [entry(&platform, 100), entry(&platform, 100)];
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..16 {
        let claims = entries[number % 2].clone();
        let request = request(&caller_key(), Scheme::Caller, LONG_TIMEOUT);
        tasks.spawn(async move { claims.claim(request).await.map(Grant::dispatch) });
    }

    let results = tasks.join_all().await;

    let granted = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(granted, 1);
    let prefix: Key = "booking/7".parse().expect("valid");
    let other = entries[0]
        .claim(request(&prefix, Scheme::Caller, LONG_TIMEOUT))
        .await;
    assert_eq!(reason(other), "granted");
}

/// Guards against long keys that the platform refuses, and against long keys
/// that are confused with each other.
#[tokio::test]
async fn long_keys_are_claimed_separately() {
    let platform = platform().await;
    let claims = entry(&platform, 100);
    let long = |end: char| -> Key { format!("{}{end}", "k".repeat(255)).parse().expect("valid") };

    let first = claims
        .claim(request(&long('a'), Scheme::Caller, LONG_TIMEOUT))
        .await;
    let other = claims
        .claim(request(&long('b'), Scheme::Caller, LONG_TIMEOUT))
        .await;
    let _dispatched = first.expect("it is new").dispatch();
    let second_claim = claims
        .claim(request(&long('a'), Scheme::Caller, LONG_TIMEOUT))
        .await;

    assert_eq!(reason(other), "granted");
    assert_eq!(reason(second_claim), "in-progress");
}

/// Guards against a key that is lost, or whose request runs twice, when a
/// response of the table is lost or the table is down.
#[tokio::test]
async fn table_faults_keep_at_most_once_execution() {
    let platform = platform().await;
    let claims = entry(&platform, 100);
    let lost = Fault {
        response_loss: Loss::Next(1),
        ..Fault::default()
    };
    platform.set_fault(lost).await;
    let granted = claims
        .claim(request(&caller_key(), Scheme::Caller, LONG_TIMEOUT))
        .await;
    let dispatched = granted.expect("the row names this attempt").dispatch();
    let second_claim = claims
        .claim(request(&caller_key(), Scheme::Caller, LONG_TIMEOUT))
        .await;
    assert_eq!(reason(second_claim), "in-progress");

    dispatched.settle(Some(recorded(b"seat 4")));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let replay = claims
        .claim(request(&caller_key(), Scheme::Caller, LONG_TIMEOUT))
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
    let refused = claims
        .claim(request(&other, Scheme::Caller, LONG_TIMEOUT))
        .await;
    assert_eq!(reason(refused), "store-unavailable");
}

/// Guards against a key that stays claimed although its attempt did not run.
#[tokio::test]
async fn a_released_key_can_be_claimed_again() {
    let platform = platform().await;
    let claims = entry(&platform, 100);
    let first = claims
        .claim(request(&caller_key(), Scheme::Caller, LONG_TIMEOUT))
        .await;
    drop(first.expect("the key is new"));
    tokio::time::sleep(Duration::from_millis(200)).await;

    let second = claims
        .claim(request(&caller_key(), Scheme::Caller, LONG_TIMEOUT))
        .await;

    assert_eq!(reason(second), "granted");
}

/// Guards against callers that exhaust the write capacity of the table.
#[tokio::test]
async fn writes_are_limited() {
    let platform = platform().await;
    let claims = entry(&platform, 3);
    let mut reasons = Vec::new();
    for number in 0..5 {
        let key: Key = format!("booking/{number}").parse().expect("valid");
        let claimed = claims
            .claim(request(&key, Scheme::Caller, LONG_TIMEOUT))
            .await;
        reasons.push(reason(claimed.map(Grant::dispatch)));
    }
    assert_eq!(
        reasons,
        ["granted", "granted", "granted", "key-rate", "key-rate"]
    );
}

/// Guards against a key that stays claimed because the write of an attempt that
/// did not run took effect after the attempt had failed.
#[tokio::test]
async fn a_claim_that_takes_effect_late_is_withdrawn() {
    let platform = platform().await;
    let claims = entry(&platform, 100);
    let slow = Fault {
        delay_ms: 400,
        ..Fault::default()
    };
    platform.set_fault(slow).await;
    let refused = claims
        .claim(request(&caller_key(), Scheme::Caller, LONG_TIMEOUT))
        .await;
    assert_eq!(reason(refused), "store-unavailable");
    platform.set_fault(Fault::default()).await;
    let row = format!("claims/draws/{}", caller_key());
    assert!(platform.row(&row).is_some(), "the write took effect");

    tokio::time::sleep(Duration::from_millis(1_200)).await;

    let second_claim = claims
        .claim(request(&caller_key(), Scheme::Caller, LONG_TIMEOUT))
        .await;
    assert_eq!(reason(second_claim), "granted");
}
