//! Tests of the responses that callers get.

use std::time::Duration;

use carobdrift_test_support::target::{CutBody, Faults, Reset, ServiceTime, Settings};
use tokio::task::JoinSet;

use crate::fixture::{Entry, client, get, post, send, target_with};

/// Guards against a caller that gets another caller's response, or only a part
/// of its own response, with many callers and over both protocols.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_thousand_callers_get_their_own_responses() {
    let mut targets = Vec::new();
    for seed in 1..4 {
        let settings = Settings {
            slots: 64,
            service_time: ServiceTime {
                mean_ms: 2.0,
                sigma: 1.0,
                noise: None,
                seed,
            },
            ..Settings::default()
        };
        targets.push(target_with(settings).await);
    }
    let entry = Entry::with_targets(targets, |document| {
        for route in 0..2 {
            document["routes"][route]["deadline_ms"] = 20_000.into();
        }
    })
    .await;
    let clients = [client(false), client(true)];
    let address = entry.address();

    let mut callers = JoinSet::new();
    for number in 0..1_000 {
        let client = clients[number % 2].clone();
        callers.spawn(async move {
            let mut wrong = Vec::new();
            for round in 0..3 {
                let token = format!("caller-{number}-{round}");
                let call = if number % 3 == 0 {
                    post(&token)
                } else {
                    get(&token)
                };
                let body = String::from_utf8_lossy(&call.body).into_owned();
                match send(&client, &call, address).await {
                    Ok(response) if response.echoes(&token, &body) => {}
                    other => wrong.push(format!("{token}: {other:?}")),
                }
            }
            wrong
        });
    }
    let wrong: Vec<String> = callers.join_all().await.into_iter().flatten().collect();

    assert!(
        wrong.is_empty(),
        "{} wrong, first: {}",
        wrong.len(),
        wrong[0]
    );
    assert_eq!(entry.runs().len(), 3_000);
}

/// Guards against a response that arrives after its caller got the time-out and
/// is then taken for the response to the next request.
#[tokio::test]
async fn a_late_response_reaches_no_caller() {
    let late = Faults {
        late_ms: 150,
        next: Some(1),
        ..Faults::default()
    };
    for first in [get("late"), post("late")] {
        let entry = Entry::with_faults(std::slice::from_ref(&late)).await;

        let timed_out = entry
            .send(first.with_header("carobdrift-deadline-ms", "50"))
            .await
            .expect("the entry responds");
        let mut responses = Vec::new();
        for number in 0..10 {
            let token = format!("next-{number}");
            let response = entry.send(get(&token)).await.expect("the entry responds");
            responses.push((token, response));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        assert_eq!(
            timed_out.summary(),
            (504, Some("unknown"), Some("deadline"))
        );
        for (token, response) in responses {
            assert!(response.echoes(&token, ""), "{token}: {response:?}");
        }
    }
}

/// Guards against a truncated response that looks complete, for both framings
/// and both protocols, and against the reuse of its connection.
#[tokio::test]
async fn a_truncated_response_is_an_error() {
    for cut in [CutBody::Length, CutBody::Chunked] {
        for http2 in [false, true] {
            let faults = Faults {
                cut_body: Some(cut),
                next: Some(1),
                ..Faults::default()
            };
            let entry = Entry::with_faults(&[faults]).await;
            let client = client(http2);
            let call = get("cut").with_header("stand-in-bytes", "5000");

            let response = send(&client, &call, entry.address()).await;
            let next = send(&client, &get("next"), entry.address()).await;

            assert!(response.is_err(), "{cut:?}, HTTP/2 {http2}: {response:?}");
            let next = next.expect("the entry responds");
            assert!(next.echoes("next", ""), "{cut:?}, HTTP/2 {http2}: {next:?}");
        }
    }
}

/// Guards against large bodies that are truncated or corrupted, in both
/// directions.
#[tokio::test]
async fn large_bodies_arrive_complete() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let body = "heat,lane;".repeat(60_000);
    for http2 in [false, true] {
        let call = post("large").body(body.clone());

        let response = send(&client(http2), &call, entry.address()).await;

        let response = response.expect("the entry responds");
        assert!(response.echoes("large", &body), "{:?}", response.summary());
    }
}

/// Guards against a missing retry although another target could serve the
/// request.
#[tokio::test]
async fn an_idempotent_request_is_retried_on_another_target() {
    let cases = [
        Faults {
            fail_fast: Some(500),
            ..Faults::default()
        },
        Faults {
            shed: true,
            ..Faults::default()
        },
        Faults {
            reset: Some(Reset::BeforeReading),
            ..Faults::default()
        },
        Faults {
            reset: Some(Reset::AfterRunning),
            ..Faults::default()
        },
    ];
    for faults in cases {
        let entry = Entry::with_faults(&[faults.clone(), Faults::default()]).await;
        for number in 0..4 {
            let token = format!("retry-{number}");
            let call = get(&token);

            let response = entry.send(call).await.expect("the entry responds");

            assert!(response.echoes(&token, ""), "{faults:?}: {response:?}");
            assert!(entry.runs_of(&token).iter().any(|run| run.key.is_none()));
        }
    }
}

/// Guards against retries that multiply over several hops: a caller that
/// permits no retries gets the first result.
#[tokio::test]
async fn a_caller_that_permits_no_retries_gets_the_first_result() {
    let failing = Faults {
        fail_fast: Some(500),
        ..Faults::default()
    };
    let entry = Entry::with_faults(&[failing.clone(), failing]).await;
    let call = get("once").with_header("carobdrift-retries-left", "0");

    let response = entry.send(call).await.expect("the entry responds");

    // A response of the target is forwarded without an outcome.
    assert_eq!(response.summary(), (500, None, None));
    let retries = entry.counter("carobdrift_retries_total", "sheets");
    assert!(retries < 1.0, "{retries} retries");
}
