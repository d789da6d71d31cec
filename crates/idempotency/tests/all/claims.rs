use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobdrift_idempotency::{Grant, Limits, Refusal, Scheme};
use carobdrift_wire::Decision;

use crate::fixture::{
    FINGERPRINT, Link, Manner, PATIENCE, attempt, call, claims, key, ledger, ledger_of, reason,
    recorded,
};

/// Guards against two grants for one key when its sends race through the entry
/// that decides and through another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_claims_get_one_grant() {
    for round in 0..50 {
        let decider = ledger(Limits::default());
        let link = Link::new(decider.clone(), Manner::Prompt);
        let here = claims(decider.clone(), Arc::clone(&link));
        let there = claims(ledger_of("entry-2", Limits::default()), link);
        let key = key(&decider, "own");

        let mut racers = tokio::task::JoinSet::new();
        for number in 0..16 {
            let claims = if number % 2 == 0 {
                here.clone()
            } else {
                there.clone()
            };
            let call = call(&key, Scheme::Issued, PATIENCE);
            // The grant is dispatched, so that dropping it does not release.
            racers.spawn(async move { claims.claim(call).await.map(Grant::dispatch) });
        }
        let results = racers.join_all().await;

        let granted = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(granted, 1, "round {round}");
        let refused = results.into_iter().filter(Result::is_err);
        assert!(refused.map(reason).all(|reason| reason == "in-progress"));
    }
}

/// Guards against a run that nobody decided on.
#[tokio::test]
async fn without_its_decider_a_key_is_refused() {
    let decider = ledger(Limits::default());
    let restarted = ledger(Limits::default());
    let key = key(&decider, "own");
    let cases = [
        ("no link", Link::new(decider.clone(), Manner::NotConnected)),
        ("answer lost", Link::new(decider.clone(), Manner::Lost)),
        ("paused", Link::new(decider.clone(), Manner::Late(3_000))),
        ("restarted", Link::new(restarted, Manner::Prompt)),
    ];
    for (name, link) in cases {
        let claims = claims(ledger_of("entry-2", Limits::default()), link);

        let result = claims
            .claim(call(&key, Scheme::Issued, Duration::from_millis(50)))
            .await;

        assert_eq!(reason(result), "decider-unreachable", "{name}");
    }
}

/// Guards against a key that stays claimed although no attempt ran: a grant
/// that arrives after its attempt gave up, or whose caller went away, is given
/// back.
#[tokio::test]
async fn an_unused_grant_is_given_back() {
    let decider = ledger(Limits::default());
    let link = Link::new(decider.clone(), Manner::Late(80));
    let claims = claims(ledger_of("entry-2", Limits::default()), Arc::clone(&link));
    let late = key(&decider, "late");
    let gone = key(&decider, "gone");
    let dropped = key(&decider, "dropped");

    let timed_out = claims
        .claim(call(&late, Scheme::Issued, Duration::from_millis(20)))
        .await;
    let caller = tokio::spawn({
        let claims = claims.clone();
        let call = call(&gone, Scheme::Issued, PATIENCE);
        async move { claims.claim(call).await.map(drop) }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    caller.abort();
    link.set(Manner::Prompt);
    let grant = claims.claim(call(&dropped, Scheme::Issued, PATIENCE)).await;
    drop(grant.expect("the key is new"));

    assert_eq!(reason(timed_out), "decider-unreachable");
    let held = decider.claim(&late, attempt(1), FINGERPRINT);
    assert_eq!(
        held,
        Decision::InProgress,
        "the late grant has not arrived yet"
    );
    tokio::time::sleep(Duration::from_millis(200)).await;
    for key in [late, gone, dropped] {
        let decision = decider.claim(&key, attempt(2), FINGERPRINT);
        assert_eq!(decision, Decision::Granted, "{key}");
    }
}

/// Guards against a second run after an attempt with unknown outcome.
#[tokio::test]
async fn a_dispatched_claim_stays_claimed_when_dropped() {
    let decider = ledger(Limits::default());
    let link = Link::new(decider.clone(), Manner::Prompt);
    let claims = claims(decider.clone(), link);
    let key = key(&decider, "own");

    let grant = claims.claim(call(&key, Scheme::Issued, PATIENCE)).await;
    drop(grant.expect("the key is new").dispatch());

    let again = claims.claim(call(&key, Scheme::Issued, PATIENCE)).await;
    assert_eq!(reason(again), "in-progress");
}

/// Guards against a settlement or a release that is lost with its link: it is
/// sent again until the decider has it.
#[tokio::test]
async fn the_end_of_a_claim_reaches_a_decider_that_was_away() {
    let decider = ledger(Limits::default());
    let link = Link::new(decider.clone(), Manner::Prompt);
    let claims = claims(ledger_of("entry-2", Limits::default()), Arc::clone(&link));
    let settled = key(&decider, "settled");
    let released = key(&decider, "released");
    let first = claims.claim(call(&settled, Scheme::Issued, PATIENCE)).await;
    let first = first.expect("the key is new").dispatch();
    let second = claims
        .claim(call(&released, Scheme::Issued, PATIENCE))
        .await;
    let second = second.expect("the key is new").dispatch();

    link.set(Manner::NotConnected);
    first.settle(Some(recorded(b"heat 3")));
    second.release();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let tries = link.queries.load(Ordering::SeqCst);
    link.set(Manner::Prompt);
    tokio::time::sleep(Duration::from_millis(300)).await;

    assert_eq!(tries, 4, "two claims and the first try of each end");
    let replay = claims.claim(call(&settled, Scheme::Issued, PATIENCE)).await;
    match replay {
        Err(Refusal::Replay(response)) => assert_eq!(response, recorded(b"heat 3")),
        other => panic!("expected a replay, not {other:?}"),
    }
    let again = claims
        .claim(call(&released, Scheme::Issued, PATIENCE))
        .await;
    assert_eq!(reason(again), "granted");
}
