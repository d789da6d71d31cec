//! Guards against dead links that are not reopened or not detected, and against a
//! slow peer that uses up memory or affects other links.

use std::time::{Duration, Instant};

use carobdrift_membership::{Confirmation, QueryError, Serving};
use carobdrift_test_support::relay::{Flow, Flows};
use carobdrift_units::{Revision, Version};
use carobdrift_wire::{Frame, Query, Replica};
use tokio::time::sleep;

use crate::fixture::{Options, cell, id, stand_in, start_behind, until};

/// Age of the last answered ping up to which a link counts as working.
const MAX_PONG_AGE: Duration = Duration::from_millis(1_200);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_link_is_replaced() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, &["a", "b"]).await;
    // Connections that transfer bytes during the cut stay silent afterwards;
    // connections opened later work.
    nodes[1].relay.set_flows(Flows::DISCARD);
    sleep(Duration::from_millis(700)).await;
    nodes[1].relay.set_flows(Flows::default());
    let start = Instant::now();

    until("a receives pongs again", Duration::from_secs(4), || {
        nodes[0].has_pong_from("b", Duration::from_millis(300))
    })
    .await;

    assert!(start.elapsed() > Duration::from_secs(1));
    assert_eq!(nodes[0].count("carobdrift_link_closed_total", "silent"), 1);
    assert_eq!(nodes[1].count("carobdrift_link_closed_total", "silent"), 0);
}

struct Cut {
    name: &'static str,
    /// Flows of the link that `a` opens to `b`.
    flows: Flows,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_in_one_direction_is_detected_on_one_side() {
    let cuts = [
        Cut {
            name: "pings of a are lost",
            flows: Flows {
                to_target: Flow::Discard,
                to_client: Flow::Forward,
            },
        },
        Cut {
            name: "pongs of b are lost",
            flows: Flows {
                to_target: Flow::Forward,
                to_client: Flow::Discard,
            },
        },
        Cut {
            name: "pongs of b are delayed",
            flows: Flows {
                to_target: Flow::Forward,
                to_client: Flow::Stall,
            },
        },
    ];
    for cut in cuts {
        let stand_in = stand_in().await;
        let nodes = cell(&stand_in, &["a", "b", "c"]).await;

        nodes[1].relay.set_instance_flows("a", cut.flows);
        sleep(Duration::from_millis(2_600)).await;

        let [a, b, c] = &nodes[..] else {
            unreachable!()
        };
        assert!(!a.has_pong_from("b", MAX_PONG_AGE), "{}", cut.name);
        assert!(b.has_pong_from("a", MAX_PONG_AGE), "{}", cut.name);
        assert!(
            c.has_pong_from("b", MAX_PONG_AGE) && b.has_pong_from("c", MAX_PONG_AGE),
            "{}",
            cut.name
        );

        b.relay.set_instance_flows("a", Flows::default());
        until("the link is back", Duration::from_secs(4), || {
            a.has_pong_from("b", MAX_PONG_AGE)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_queue_closes_its_link_only() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, &["a", "b", "c"]).await;
    let mut c = nodes.pop().unwrap();
    tokio::spawn(async move { while c.inbox.recv().await.is_some() {} });
    let [a, b] = &nodes[..] else { unreachable!() };
    b.relay.set_flows(Flows {
        to_target: Flow::Stall,
        to_client: Flow::Forward,
    });
    let replica = Replica {
        service: "sheets".parse().unwrap(),
        version: Version(1),
        body: "x".repeat(32 * 1024),
    };

    // 2,000 frames of 32 KiB exceed the capacity of the queue and of the socket
    // buffers.
    let mut queries = tokio::task::JoinSet::new();
    for _ in 0..2_000 {
        let links = a.links.clone();
        let copy = replica.clone();
        queries.spawn(async move {
            let query = Query::Adopt {
                copy,
                revision: Revision(1),
            };
            links.query(&id("b"), query, Duration::from_secs(1)).await
        });
    }
    let results = queries.join_all().await;

    let full = |result: &&Result<_, QueryError>| matches!(result, Err(QueryError::QueueFull(_)));
    assert!(results.iter().filter(full).count() >= 1);
    assert!(results.iter().all(Result::is_err));
    assert_eq!(a.count("carobdrift_link_closed_total", "queue-full"), 1);
    assert!(a.has_pong_from("c", MAX_PONG_AGE));

    b.relay.set_flows(Flows::default());
    until("the link is back", Duration::from_secs(4), || {
        a.has_pong_from("b", MAX_PONG_AGE)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_entry_does_not_keep_its_status() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, &["a", "b"]).await;
    let b = nodes.pop().unwrap();
    let a = &nodes[0];
    b.links.publish_confirmation(Confirmation {
        revision: Revision(7),
        at: Some(Instant::now()),
        store_reachable: true,
        recovered: true,
    });
    until("a knows the revision of b", Duration::from_secs(2), || {
        a.peer("b").unwrap().revision == Revision(7)
    })
    .await;
    let before = a.peer("b").unwrap().incarnation;

    let relay = b.relay;
    drop((b.links, b.inbox));
    let _b = start_behind(&stand_in, "b", &Options::default(), relay).await;

    until(
        "a receives a pong from the new process",
        Duration::from_secs(5),
        || {
            let peer = a.peer("b").unwrap();
            peer.incarnation != before && peer.last_ack.is_some()
        },
    )
    .await;
    let peer = a.peer("b").unwrap();
    assert_eq!(peer.revision, Revision(0));
    assert_eq!(peer.status.unwrap().confirmed, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_reported_age_grows_while_nothing_is_published() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, &["a", "b"]).await;
    let [a, b] = &nodes[..] else { unreachable!() };
    let at = Instant::now();
    b.links.publish_serving(Serving {
        ready: true,
        ..Serving::default()
    });
    b.links.publish_confirmation(Confirmation {
        at: Some(at),
        ..Confirmation::default()
    });

    sleep(Duration::from_secs(2)).await;

    let peer = a.peer("b").unwrap();
    let status = peer.status.unwrap();
    assert!(status.ready);
    let age = status.confirmed.unwrap().duration();
    // The confirmation that `a` derives from the pong is never later than the
    // published time.
    assert!(
        peer.last_ack.unwrap().checked_sub(age).unwrap() <= at,
        "{age:?}"
    );
    assert!(age >= Duration::from_millis(1_200), "{age:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_peer_off_the_list_is_forgotten() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, &["a", "b", "c"]).await;
    drop(nodes.pop());
    sleep(Duration::from_secs(11)).await;
    assert!(nodes[0].peer("c").is_some(), "c is still on the list");
    assert_eq!(nodes[0].links.cell_size(), 3);

    stand_in.remove_instance("c");
    // `b` can be reached, so it stays known although it is not on the list.
    stand_in.remove_instance("b");

    until("c is forgotten", Duration::from_secs(6), || {
        nodes[0].peer("c").is_none()
    })
    .await;
    let b = nodes[0].peer("b").unwrap();
    assert!(b.connected && !b.member);
    assert_eq!(nodes[0].links.cell_size(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_reach_every_peer_in_order() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, &["a", "b", "c"]).await;
    let announce = |version| Frame::Announce {
        service: "sheets".parse().unwrap(),
        version: Version(version),
        revision: Revision(version),
    };

    for version in 1..=100 {
        nodes[0].links.broadcast(&announce(version));
    }

    for node in &mut nodes[1..] {
        for version in 1..=100 {
            let envelope = tokio::time::timeout(Duration::from_secs(2), node.inbox.recv())
                .await
                .unwrap()
                .unwrap();
            assert_eq!(envelope.from, id("a"));
            assert_eq!(envelope.frame, announce(version));
            assert!(envelope.responder.is_none());
        }
    }
}
