//! Tests of the outcomes that error responses state.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_catalog::Standing;
use carobdrift_test_support::target::{Faults, Reset};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::fixture::{Call, Entry, completed, document, get, post, target};

fn reset(at: Reset) -> Faults {
    Faults {
        reset: Some(at),
        ..Faults::default()
    }
}

fn shed() -> Faults {
    Faults {
        shed: true,
        ..Faults::default()
    }
}

/// Returns an address that accepts no further connection, because its accept
/// queue is full, with the listener and connections that keep the queue full.
async fn full_accept_queue() -> (TcpListener, Vec<TcpStream>, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("loopback is available");
    socket
        .bind("127.0.0.1:0".parse().expect("the text is valid"))
        .expect("loopback is available");
    let listener = socket.listen(0).expect("loopback is available");
    let address = listener.local_addr().expect("the listener is bound");
    let mut queued = Vec::new();
    loop {
        let connect = TcpStream::connect(address);
        match tokio::time::timeout(Duration::from_millis(50), connect).await {
            Ok(stream) => queued.push(stream.expect("loopback is available")),
            Err(_) => return (listener, queued, address),
        }
    }
}

/// Guards against a wrong `not-run`, and against `unknown` although the outcome
/// is known. The record of the target shows whether the request ran.
#[tokio::test]
async fn not_run_is_stated_exactly_when_it_is_certain() {
    let unknown = (502, Some("unknown"), Some("target-failed"));
    let cases = [
        (reset(Reset::BeforeReading), unknown, 0),
        (reset(Reset::MidReading), unknown, 0),
        (reset(Reset::AfterRunning), unknown, 1),
        (shed(), (503, Some("not-run"), Some("refused")), 0),
    ];
    for (faults, expected, runs) in cases {
        for warm in [false, true] {
            for call in [
                get("case").with_header("carobdrift-retries-left", "0"),
                post("case"),
            ] {
                let entry = Entry::with_faults(&[Faults::default()]).await;
                if warm {
                    let response = entry.send(get("warm")).await.expect("the entry responds");
                    assert!(response.echoes("warm", ""));
                }
                entry.targets[0].set_faults(faults.clone());
                let name = format!("{} {faults:?}, reused connection {warm}", call.method);

                let response = entry.send(call).await.expect("the entry responds");

                assert_eq!(response.summary(), expected, "{name}");
                assert_eq!(entry.runs_of("case").len(), runs, "{name}");
            }
        }
    }
}

/// Guards against a request that counts as possibly run, or that is not sent to
/// another target, although no connection could be opened.
#[tokio::test]
async fn a_failed_connection_means_not_run() {
    let (_listener, _queued, unresponsive) = full_accept_queue().await;
    let closed = target(Faults::default()).await.address();
    for (name, failing) in [("refused", closed), ("unresponsive", unresponsive)] {
        for call in [get("case"), post("case")] {
            let entry = Entry::with_targets(Vec::new(), |text| *text = document(&[failing])).await;
            let response = entry.send(call.clone()).await.expect("the entry responds");
            let expected = (502, Some("not-run"), Some("no-connection"));
            assert_eq!(response.summary(), expected, "{name} {}", call.method);

            let healthy = target(Faults::default()).await;
            let both = document(&[failing, healthy.address()]);
            let entry = Entry::with_targets(vec![healthy], |text| *text = both).await;
            for number in 0..3 {
                let token = format!("case-{number}");
                let call = Call {
                    token: token.clone(),
                    ..call.clone()
                };
                let response = entry.send(call).await.expect("the entry responds");
                assert_eq!(response.status.as_u16(), 200, "{name}: {response:?}");
                assert_eq!(entry.runs_of(&token).len(), 1);
            }
        }
    }
}

/// Guards against a non-idempotent request that is sent more than once, to the
/// same target or to another one.
#[tokio::test]
async fn a_non_idempotent_request_is_sent_once() {
    let cases = [
        reset(Reset::BeforeReading),
        reset(Reset::MidReading),
        reset(Reset::AfterRunning),
        shed(),
        Faults {
            fail_fast: Some(503),
            ..Faults::default()
        },
        Faults {
            late_ms: 2_000,
            ..Faults::default()
        },
    ];
    for faults in cases {
        let entry = Entry::with_faults(&[faults.clone(), Faults::default()]).await;
        let mut failed = 0;
        for number in 0..6 {
            let token = format!("post-{number}");
            let call = post(&token).with_header("carobdrift-deadline-ms", "100");

            let response = entry.send(call).await.expect("the entry responds");

            let ran = entry.targets[1].runs().into_iter();
            let ran = ran
                .filter(|run| run.token.as_deref() == Some(&token))
                .count();
            if response.status == 200 {
                assert_eq!((ran, entry.runs_of(&token).len()), (1, 1), "{faults:?}");
            } else {
                failed += 1;
                assert_eq!(
                    ran, 0,
                    "{faults:?}: the request was also sent to the other target"
                );
                assert!(completed(&entry.runs_of(&token)) <= 1, "{faults:?}");
            }
        }
        assert!(
            failed > 0,
            "{faults:?}: no request was affected by the fault"
        );
    }
}

/// Guards against a refusal without an outcome or with a wrong outcome.
#[tokio::test]
async fn refusals_state_their_outcome() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let cases = [
        (
            get("a").path("/nowhere"),
            (404, Some("not-run"), Some("no-route")),
        ),
        (
            get("a").path("/heats/a/../b"),
            (404, Some("not-run"), Some("no-route")),
        ),
        (
            get("a").with_header("carobdrift-deadline-ms", "soon"),
            (400, Some("not-run"), Some("header-value")),
        ),
        (
            get("a").with_header("carobdrift-deadline-ms", "0"),
            (504, Some("not-run"), Some("deadline")),
        ),
    ];
    for (call, expected) in cases {
        let path = call.path.clone();
        let response = entry.send(call).await.expect("the entry responds");
        assert_eq!(response.summary(), expected, "{path}");
        let body: serde_json::Value =
            serde_json::from_slice(&response.body).expect("the body is JSON");
        assert_eq!(
            body["outcome"].as_str(),
            response.header("carobdrift-outcome")
        );
        assert_eq!(
            body["reason"].as_str(),
            response.header("carobdrift-reason")
        );
        assert_eq!(
            body["request_id"].as_str(),
            response.header("carobdrift-request-id")
        );
    }

    entry.documents.set_standing(Standing::Unconfirmed);
    let response = entry.send(get("a")).await.expect("the entry responds");
    assert_eq!(
        response.summary(),
        (503, Some("not-run"), Some("unconfirmed"))
    );

    assert!(entry.runs().is_empty());
}

/// Guards against requests that are sent to the targets of an older version of
/// the document.
#[tokio::test]
async fn a_new_document_applies_to_the_next_request() {
    let entry = Entry::with_faults(&[Faults::default(), Faults::default()]).await;
    let first = entry.send(get("first")).await.expect("the entry responds");
    assert!(first.echoes("first", ""));
    let second = entry.targets[1].address();
    let before = entry.targets[0].runs().len();

    entry.documents.put(&document(&[second]));

    for number in 0..4 {
        let token = format!("next-{number}");
        let response = entry.send(get(&token)).await.expect("the entry responds");
        assert!(response.echoes(&token, ""));
    }
    assert_eq!(entry.targets[0].runs().len(), before);
}

/// Guards against a request that is routed by one version of the document and
/// sent after a newer version is in force, for example after a pause of the
/// process in between.
#[tokio::test]
async fn a_request_is_never_sent_by_an_outdated_document() {
    let mut refused_at = Vec::new();
    for read in 1..=5 {
        let entry = Entry::with_faults(&[Faults::default()]).await;
        entry.documents.change_at_read(read);

        let response = entry
            .send(get("changing"))
            .await
            .expect("the entry responds");

        let runs = entry.targets[0].runs().len();
        if response.summary() == (503, Some("not-run"), Some("document-changed")) {
            assert_eq!(runs, 0, "read {read}");
            refused_at.push(read);
        } else {
            assert!(response.echoes("changing", ""), "read {read}");
            assert_eq!(runs, 1, "read {read}");
        }
    }
    // After the last read before the request is sent, the request cannot be
    // routed again; after all earlier reads, the request is routed by the new
    // version.
    assert_eq!(refused_at.len(), 1, "{refused_at:?}");
}

/// Guards against a service that is reported as unknown because its document
/// was accepted by a newer build.
#[tokio::test]
async fn an_unreadable_document_is_not_an_unknown_service() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    entry.documents.make_unreadable();

    let response = entry.send(get("unread")).await.expect("the entry responds");

    let refused = (503, Some("not-run"), Some("unreadable-document"));
    assert_eq!(response.summary(), refused);
}
