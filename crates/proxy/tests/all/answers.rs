use std::time::Duration;

use carobdrift_test_support::target::{CutBody, Faults, Reset, ServiceTime, Settings};
use tokio::task::JoinSet;

use crate::fixture::{Entry, client, get, post, send, target_with};

/// Guards against a caller that gets another caller's answer or a part of its
/// own, among many callers and over both protocols.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_thousand_callers_get_their_own_answers() {
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
                let ask = if number % 3 == 0 {
                    post(&token)
                } else {
                    get(&token)
                };
                let body = String::from_utf8_lossy(&ask.body).into_owned();
                match send(&client, &ask, address).await {
                    Ok(answer) if answer.is_own(&token, &body) => {}
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

/// Guards against an answer that arrives after its caller was told of the
/// timeout and is then taken for the answer of the next request.
#[tokio::test]
async fn a_late_answer_reaches_nobody() {
    let late = Faults {
        late_ms: 150,
        next: Some(1),
        ..Faults::default()
    };
    for first in [get("late"), post("late")] {
        let entry = Entry::with_faults(std::slice::from_ref(&late)).await;

        let timed_out = entry
            .ask(first.with("carobdrift-deadline-ms", "50"))
            .await
            .expect("the entry answers");
        let mut answers = Vec::new();
        for number in 0..10 {
            let token = format!("next-{number}");
            let answer = entry.ask(get(&token)).await.expect("the entry answers");
            answers.push((token, answer));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        assert_eq!(
            timed_out.summary(),
            (504, Some("unknown"), Some("deadline"))
        );
        for (token, answer) in answers {
            assert!(answer.is_own(&token, ""), "{token}: {answer:?}");
        }
    }
}

/// Guards against a truncated response that looks complete, for both framings
/// and both protocols, and against a connection that is used after it.
#[tokio::test]
async fn a_response_that_is_cut_short_is_not_complete() {
    for cut in [CutBody::Length, CutBody::Chunked] {
        for http2 in [false, true] {
            let faults = Faults {
                cut_body: Some(cut),
                next: Some(1),
                ..Faults::default()
            };
            let entry = Entry::with_faults(&[faults]).await;
            let client = client(http2);
            let ask = get("cut").with("stand-in-bytes", "5000");

            let answer = send(&client, &ask, entry.address()).await;
            let next = send(&client, &get("next"), entry.address()).await;

            assert!(answer.is_err(), "{cut:?}, HTTP/2 {http2}: {answer:?}");
            let next = next.expect("the entry answers");
            assert!(next.is_own("next", ""), "{cut:?}, HTTP/2 {http2}: {next:?}");
        }
    }
}

/// Guards against a large body that is cut or mixed up on its way, in both
/// directions.
#[tokio::test]
async fn large_bodies_arrive_whole() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let body = "heat,lane;".repeat(60_000);
    for http2 in [false, true] {
        let ask = post("large").body(body.clone());

        let answer = send(&client(http2), &ask, entry.address()).await;

        let answer = answer.expect("the entry answers");
        assert!(answer.is_own("large", &body), "{:?}", answer.summary());
    }
}

/// Guards against a retry that is not made although the caller could be served
/// by another target.
#[tokio::test]
async fn an_idempotent_request_is_retried_elsewhere() {
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
            let ask = get(&token);

            let answer = entry.ask(ask).await.expect("the entry answers");

            assert!(answer.is_own(&token, ""), "{faults:?}: {answer:?}");
            assert!(entry.runs_of(&token).iter().any(|run| run.key.is_none()));
        }
    }
}

/// Guards against retries that multiply over levels: a caller that leaves no
/// retries gets the first result.
#[tokio::test]
async fn a_caller_that_leaves_no_retries_gets_the_first_result() {
    let failing = Faults {
        fail_fast: Some(500),
        ..Faults::default()
    };
    let entry = Entry::with_faults(&[failing.clone(), failing]).await;
    let ask = get("once").with("carobdrift-retries-left", "0");

    let answer = entry.ask(ask).await.expect("the entry answers");

    // A response of the target passes through without an outcome.
    assert_eq!(answer.summary(), (500, None, None));
    let retries = entry.counter("carobdrift_retries_total", "sheets");
    assert!(retries < 1.0, "{retries} retries");
}
