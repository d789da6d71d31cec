//! Guards against queries that never end, that receive the answer to another query,
//! or whose error hides that the peer may have processed them.

use std::time::{Duration, Instant};

use carobdrift_membership::QueryError;
use carobdrift_test_support::relay::Flows;
use carobdrift_units::{Revision, Version};
use carobdrift_wire::{Answer, Frame, MAX_FRAME_BYTES, Query, Replica};

use crate::fixture::{cell, id, stand_in};

fn adopt(revision: u64, body: String) -> Query {
    Query::Adopt {
        copy: Replica {
            service: "sheets".parse().unwrap(),
            version: Version(1),
            body,
        },
        revision: Revision(revision),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_delivered_to_their_queries() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, &["a", "b"]).await;
    let mut b = nodes.pop().unwrap();
    let a = &nodes[0];
    // `b` answers in reverse order, each query with its own revision.
    tokio::spawn(async move {
        let mut waiting = Vec::new();
        while let Some(envelope) = b.inbox.recv().await {
            waiting.push(envelope);
            if waiting.len() == 50 {
                break;
            }
        }
        for envelope in waiting.into_iter().rev() {
            let Frame::Query {
                query: Query::Adopt { revision, .. },
                ..
            } = envelope.frame
            else {
                continue;
            };
            envelope.responder.unwrap().send(Answer::Versions {
                revision,
                versions: Vec::new(),
                unreadable: Vec::new(),
                current: false,
            });
        }
    });

    let mut queries = tokio::task::JoinSet::new();
    for number in 0..50 {
        let links = a.links.clone();
        queries.spawn(async move {
            let query = adopt(number, String::new());
            let answer = links.query(&id("b"), query, Duration::from_secs(3)).await;
            (number, answer)
        });
    }

    for (number, answer) in queries.join_all().await {
        let Ok(Answer::Versions { revision, .. }) = answer else {
            panic!("{answer:?}")
        };
        assert_eq!(revision, Revision(number));
    }
}

/// Obstacle that prevents an answer.
#[derive(Debug, Clone, Copy)]
enum Obstacle {
    NoPeer,
    TooLarge,
    NoAnswer,
    ResponderDropped,
    LinkDies,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unanswered_queries_fail_with_the_cause() {
    let cases = [
        (Obstacle::NoPeer, "NotConnected", 100),
        (Obstacle::TooLarge, "Encode", 1_000),
        (Obstacle::NoAnswer, "TimedOut", 500),
        (Obstacle::ResponderDropped, "TimedOut", 500),
        (Obstacle::LinkDies, "Closed", 3_500),
    ];
    for (obstacle, expected, limit) in cases {
        let stand_in = stand_in().await;
        let mut nodes = cell(&stand_in, &["a", "b"]).await;
        let mut b = nodes.pop().unwrap();
        let (mut peer, mut body) = (id("b"), String::new());
        let mut timeout = Duration::from_millis(300);
        match obstacle {
            Obstacle::NoPeer => peer = id("z"),
            Obstacle::TooLarge => body = "x".repeat(MAX_FRAME_BYTES),
            Obstacle::NoAnswer => {}
            Obstacle::ResponderDropped => {
                tokio::spawn(async move { while b.inbox.recv().await.is_some() {} });
            }
            Obstacle::LinkDies => {
                b.relay.set_flows(Flows::DISCARD);
                timeout = Duration::from_secs(10);
            }
        }
        let start = Instant::now();

        let answer = nodes[0].links.query(&peer, adopt(1, body), timeout).await;

        let error = answer.unwrap_err();
        let name = match &error {
            QueryError::NotConnected(_) => "NotConnected",
            QueryError::QueueFull(_) => "QueueFull",
            QueryError::Encode(_) => "Encode",
            QueryError::TimedOut(_) => "TimedOut",
            QueryError::Closed(_) => "Closed",
        };
        assert_eq!(name, expected, "{obstacle:?}: {error}");
        let elapsed = start.elapsed();
        assert!(
            elapsed < Duration::from_millis(limit),
            "{obstacle:?}: {elapsed:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_too_large_becomes_unavailable() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, &["a", "b"]).await;
    let mut b = nodes.pop().unwrap();
    tokio::spawn(async move {
        while let Some(envelope) = b.inbox.recv().await {
            envelope
                .responder
                .unwrap()
                .send(Answer::Document(Some(Replica {
                    service: "sheets".parse().unwrap(),
                    version: Version(1),
                    body: "x".repeat(MAX_FRAME_BYTES),
                })));
        }
    });

    let query = Query::Versions;
    let answer = nodes[0]
        .links
        .query(&id("b"), query, Duration::from_secs(2))
        .await;

    assert_eq!(answer.unwrap(), Answer::Unavailable);
}
