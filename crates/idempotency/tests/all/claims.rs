use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobdrift_idempotency::{Grant, Limits, Refusal, Scheme};
use carobdrift_wire::Decision;

use crate::fixture::{
    Behavior, FINGERPRINT, LONG_TIMEOUT, Link, attempt, claims, key, ledger, ledger_of, reason,
    recorded, request,
};

/// Guards against two grants for one key when concurrent claims arrive at the
/// deciding entry and at another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_claims_get_one_grant() {
    for round in 0..50 {
        let decider = ledger(Limits::default());
        let link = Link::new(decider.clone(), Behavior::Prompt);
        let local = claims(decider.clone(), Arc::clone(&link));
        let remote = claims(ledger_of("entry-2", Limits::default()), link);
        let key = key(&decider, "own");

        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..16 {
            let claims = if number % 2 == 0 {
                local.clone()
            } else {
                remote.clone()
            };
            let request = request(&key, Scheme::Issued, LONG_TIMEOUT);
            // Dispatches the grant, so that dropping it does not release the
            // claim.
            tasks.spawn(async move { claims.claim(request).await.map(Grant::dispatch) });
        }
        let results = tasks.join_all().await;

        let granted = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(granted, 1, "round {round}");
        let refused = results.into_iter().filter(Result::is_err);
        assert!(refused.map(reason).all(|reason| reason == "in-progress"));
    }
}

/// Guards against a grant without a decision of the entry that issued the key.
#[tokio::test]
async fn a_key_is_refused_without_the_deciding_entry() {
    let decider = ledger(Limits::default());
    let restarted = ledger(Limits::default());
    let key = key(&decider, "own");
    let cases = [
        (
            "no link",
            Link::new(decider.clone(), Behavior::NotConnected),
        ),
        ("answer lost", Link::new(decider.clone(), Behavior::Lost)),
        ("paused", Link::new(decider.clone(), Behavior::Late(3_000))),
        ("restarted", Link::new(restarted, Behavior::Prompt)),
    ];
    for (name, link) in cases {
        let claims = claims(ledger_of("entry-2", Limits::default()), link);

        let result = claims
            .claim(request(&key, Scheme::Issued, Duration::from_millis(50)))
            .await;

        assert_eq!(reason(result), "decider-unreachable", "{name}");
    }
}

/// Guards against a key that stays claimed although no attempt ran. A grant that
/// arrives after its claim timed out, or whose caller was cancelled, is released.
#[tokio::test]
async fn an_unused_grant_is_released() {
    let decider = ledger(Limits::default());
    let link = Link::new(decider.clone(), Behavior::Late(80));
    let claims = claims(ledger_of("entry-2", Limits::default()), Arc::clone(&link));
    let late = key(&decider, "late");
    let abandoned = key(&decider, "abandoned");
    let dropped = key(&decider, "dropped");

    let timed_out = claims
        .claim(request(&late, Scheme::Issued, Duration::from_millis(20)))
        .await;
    let caller = tokio::spawn({
        let claims = claims.clone();
        let request = request(&abandoned, Scheme::Issued, LONG_TIMEOUT);
        async move { claims.claim(request).await.map(drop) }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    caller.abort();
    link.set_behavior(Behavior::Prompt);
    let grant = claims
        .claim(request(&dropped, Scheme::Issued, LONG_TIMEOUT))
        .await;
    drop(grant.expect("the key is new"));

    assert_eq!(reason(timed_out), "decider-unreachable");
    let before_release = decider.claim(&late, attempt(1), FINGERPRINT);
    assert_eq!(
        before_release,
        Decision::InProgress,
        "the late grant has not arrived yet"
    );
    tokio::time::sleep(Duration::from_millis(200)).await;
    for key in [late, abandoned, dropped] {
        let decision = decider.claim(&key, attempt(2), FINGERPRINT);
        assert_eq!(decision, Decision::Granted, "{key}");
    }
}

/// Guards against a second run after an attempt whose outcome is unknown.
#[tokio::test]
async fn a_dispatched_claim_stays_claimed_when_dropped() {
    let decider = ledger(Limits::default());
    let link = Link::new(decider.clone(), Behavior::Prompt);
    let claims = claims(decider.clone(), link);
    let key = key(&decider, "own");

    let grant = claims
        .claim(request(&key, Scheme::Issued, LONG_TIMEOUT))
        .await;
    drop(grant.expect("the key is new").dispatch());

    let second_claim = claims
        .claim(request(&key, Scheme::Issued, LONG_TIMEOUT))
        .await;
    assert_eq!(reason(second_claim), "in-progress");
}

/// Guards against losing a settlement or a release while the link to the deciding
/// entry is down. Both are retried until the entry confirms them.
#[tokio::test]
async fn settlements_and_releases_are_retried_until_delivered() {
    let decider = ledger(Limits::default());
    let link = Link::new(decider.clone(), Behavior::Prompt);
    let claims = claims(ledger_of("entry-2", Limits::default()), Arc::clone(&link));
    let settled = key(&decider, "settled");
    let released = key(&decider, "released");
    let first = claims
        .claim(request(&settled, Scheme::Issued, LONG_TIMEOUT))
        .await;
    let first = first.expect("the key is new").dispatch();
    let second = claims
        .claim(request(&released, Scheme::Issued, LONG_TIMEOUT))
        .await;
    let second = second.expect("the key is new").dispatch();

    link.set_behavior(Behavior::NotConnected);
    first.settle(Some(recorded(b"heat 3")));
    second.release();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let attempts = link.queries.load(Ordering::SeqCst);
    link.set_behavior(Behavior::Prompt);
    tokio::time::sleep(Duration::from_millis(300)).await;

    assert_eq!(
        attempts, 4,
        "two claims and the first delivery of each completion"
    );
    let replay = claims
        .claim(request(&settled, Scheme::Issued, LONG_TIMEOUT))
        .await;
    match replay {
        Err(Refusal::Replay(response)) => assert_eq!(response, recorded(b"heat 3")),
        other => panic!("expected a replay, not {other:?}"),
    }
    let second_claim = claims
        .claim(request(&released, Scheme::Issued, LONG_TIMEOUT))
        .await;
    assert_eq!(reason(second_claim), "granted");
}
