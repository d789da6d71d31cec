use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_catalog::Standing;
use carobdrift_test_support::target::{Faults, Reset};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::fixture::{Ask, Entry, completed, document, get, post, target};

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

/// An address that accepts no connection: its queue of connections is full.
async fn hanging() -> (TcpListener, Vec<TcpStream>, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("loopback");
    socket
        .bind("127.0.0.1:0".parse().expect("valid"))
        .expect("loopback");
    let listener = socket.listen(0).expect("loopback");
    let address = listener.local_addr().expect("bound");
    let mut queued = Vec::new();
    loop {
        let connect = TcpStream::connect(address);
        match tokio::time::timeout(Duration::from_millis(50), connect).await {
            Ok(stream) => queued.push(stream.expect("loopback")),
            Err(_) => return (listener, queued, address),
        }
    }
}

/// Guards against a false `not-run`, and against an outcome that says less
/// than is known. The target's record is the judge.
#[tokio::test]
async fn not_run_is_claimed_exactly_when_it_is_known() {
    let unknown = (502, Some("unknown"), Some("target-failed"));
    let cases = [
        (reset(Reset::BeforeReading), unknown, 0),
        (reset(Reset::MidReading), unknown, 0),
        (reset(Reset::AfterRunning), unknown, 1),
        (shed(), (503, Some("not-run"), Some("refused")), 0),
    ];
    for (faults, expected, runs) in cases {
        for warm in [false, true] {
            for ask in [
                get("case").with("carobdrift-retries-left", "0"),
                post("case"),
            ] {
                let entry = Entry::with_faults(&[Faults::default()]).await;
                if warm {
                    let answer = entry.ask(get("warm")).await.expect("the entry answers");
                    assert!(answer.is_own("warm", ""));
                }
                entry.targets[0].set_faults(faults.clone());
                let name = format!("{} {faults:?}, reused connection {warm}", ask.method);

                let answer = entry.ask(ask).await.expect("the entry answers");

                assert_eq!(answer.summary(), expected, "{name}");
                assert_eq!(entry.runs_of("case").len(), runs, "{name}");
            }
        }
    }
}

/// Guards against a request that counts as run, or that is given up without
/// another target, although no connection could be opened.
#[tokio::test]
async fn a_failed_connection_means_not_run() {
    let (_listener, _queued, hanging) = hanging().await;
    let closed = target(Faults::default()).await.address();
    for (name, broken) in [("refused", closed), ("hanging", hanging)] {
        for ask in [get("case"), post("case")] {
            let entry = Entry::with_targets(Vec::new(), |text| *text = document(&[broken])).await;
            let answer = entry.ask(ask.clone()).await.expect("the entry answers");
            let expected = (502, Some("not-run"), Some("no-connection"));
            assert_eq!(answer.summary(), expected, "{name} {}", ask.method);

            let healthy = target(Faults::default()).await;
            let both = document(&[broken, healthy.address()]);
            let entry = Entry::with_targets(vec![healthy], |text| *text = both).await;
            for number in 0..3 {
                let token = format!("case-{number}");
                let ask = Ask {
                    token: token.clone(),
                    ..ask.clone()
                };
                let answer = entry.ask(ask).await.expect("the entry answers");
                assert_eq!(answer.status.as_u16(), 200, "{name}: {answer:?}");
                assert_eq!(entry.runs_of(&token).len(), 1);
            }
        }
    }
}

/// Guards against a non-idempotent request that is sent a second time, to the
/// same or to another target.
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
            let ask = post(&token).with("carobdrift-deadline-ms", "100");

            let answer = entry.ask(ask).await.expect("the entry answers");

            let ran = entry.targets[1].runs().into_iter();
            let ran = ran
                .filter(|run| run.token.as_deref() == Some(&token))
                .count();
            if answer.status == 200 {
                assert_eq!((ran, entry.runs_of(&token).len()), (1, 1), "{faults:?}");
            } else {
                failed += 1;
                assert_eq!(ran, 0, "{faults:?}: it was sent to the other target too");
                assert!(completed(&entry.runs_of(&token)) <= 1, "{faults:?}");
            }
        }
        assert!(failed > 0, "{faults:?}: no request met the fault");
    }
}

/// Guards against a refusal without an outcome, or with a false one.
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
            get("a").with("carobdrift-deadline-ms", "soon"),
            (400, Some("not-run"), Some("header-value")),
        ),
        (
            get("a").with("carobdrift-deadline-ms", "0"),
            (504, Some("not-run"), Some("deadline")),
        ),
    ];
    for (ask, expected) in cases {
        let path = ask.path.clone();
        let answer = entry.ask(ask).await.expect("the entry answers");
        assert_eq!(answer.summary(), expected, "{path}");
        let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(
            body["outcome"].as_str(),
            answer.header("carobdrift-outcome")
        );
        assert_eq!(body["reason"].as_str(), answer.header("carobdrift-reason"));
        assert_eq!(
            body["request_id"].as_str(),
            answer.header("carobdrift-request-id")
        );
    }

    entry.shelf.set_standing(Standing::Unconfirmed);
    let answer = entry.ask(get("a")).await.expect("the entry answers");
    assert_eq!(
        answer.summary(),
        (503, Some("not-run"), Some("unconfirmed"))
    );

    assert!(entry.runs().is_empty());
}

/// Guards against requests that go on to the targets of an older document.
#[tokio::test]
async fn a_new_document_applies_to_the_next_request() {
    let entry = Entry::with_faults(&[Faults::default(), Faults::default()]).await;
    let first = entry.ask(get("first")).await.expect("the entry answers");
    assert!(first.is_own("first", ""));
    let second = entry.targets[1].address();
    let before = entry.targets[0].runs().len();

    entry.shelf.put(&document(&[second]));

    for number in 0..4 {
        let token = format!("next-{number}");
        let answer = entry.ask(get(&token)).await.expect("the entry answers");
        assert!(answer.is_own(&token, ""));
    }
    assert_eq!(entry.targets[0].runs().len(), before);
}

/// Guards against a request that is routed by one version of the document and
/// sent after a newer one is in force, such as after a pause in between.
#[tokio::test]
async fn a_document_that_changes_on_the_way_is_never_overtaken() {
    let mut refused_at = Vec::new();
    for look in 1..=5 {
        let entry = Entry::with_faults(&[Faults::default()]).await;
        entry.shelf.change_at(look);

        let answer = entry.ask(get("changing")).await.expect("the entry answers");

        let runs = entry.targets[0].runs().len();
        if answer.summary() == (503, Some("not-run"), Some("document-changed")) {
            assert_eq!(runs, 0, "look {look}");
            refused_at.push(look);
        } else {
            assert!(answer.is_own("changing", ""), "look {look}");
            assert_eq!(runs, 1, "look {look}");
        }
    }
    // The look right before the request is sent is the only one after which it
    // can't be routed anew.
    assert_eq!(refused_at.len(), 1, "{refused_at:?}");
}

/// Guards against a service that is taken for an unknown one because its
/// document was accepted by a newer build.
#[tokio::test]
async fn a_document_that_can_not_be_read_is_no_missing_service() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    entry.shelf.make_unreadable();

    let answer = entry.ask(get("unread")).await.expect("the entry answers");

    let refused = (503, Some("not-run"), Some("unreadable-document"));
    assert_eq!(answer.summary(), refused);
}
