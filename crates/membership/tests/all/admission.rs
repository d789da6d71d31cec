//! Guards against links to processes that are not entries of the cell, or that are
//! not the entry that was dialled.

use std::time::Duration;

use carobdrift_membership::Peer;
use tokio::io::AsyncReadExt;

use crate::fixture::{Options, cell, listing, stand_in, start, start_as, until};

struct Case {
    name: &'static str,
    /// Options of `b`, which `a` dials.
    options: Options,
    /// Label with which `a` counts the failed dials.
    dial: &'static str,
    /// Label with which `b` counts the refused connections.
    refusal: &'static str,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn foreign_processes_are_refused() {
    let cases = [
        Case {
            name: "another secret",
            options: Options {
                secret: "guessed",
                ..Options::default()
            },
            dial: "socket",
            refusal: "socket",
        },
        Case {
            name: "a prefix of the secret",
            options: Options {
                secret: "peers",
                ..Options::default()
            },
            dial: "socket",
            refusal: "socket",
        },
        Case {
            name: "another cell",
            options: Options {
                cell: "other",
                ..Options::default()
            },
            dial: "refused",
            refusal: "refused",
        },
    ];
    for case in cases {
        let stand_in = stand_in().await;
        let b = start_as(&stand_in, "b", &case.options).await;
        let a = start(&stand_in, "a").await;

        until(case.name, Duration::from_secs(5), || {
            a.count("carobdrift_link_dials_total", case.dial) >= 2
                && b.count("carobdrift_link_refused_total", case.refusal) >= 2
        })
        .await;

        let peer = a.peer("b").unwrap();
        assert!(!peer.connected && peer.last_ack.is_none(), "{}", case.name);
        assert_eq!(a.count("carobdrift_link_dials_total", "opened"), 0);
        let admitted = |peer: Peer| peer.incarnation.is_some();
        assert!(!b.peer("a").is_some_and(admitted), "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_listed_address_of_another_entry_gives_no_link() {
    let stand_in = stand_in().await;
    let nodes = cell(&stand_in, &["a", "b"]).await;
    // A stale list: `ghost` used to have the address that `b` has now, and `twin`
    // the address that `a` has now.
    stand_in.put_instance(listing("ghost", nodes[1].relay.address()));
    stand_in.put_instance(listing("twin", nodes[0].relay.address()));

    until("both are dialled", Duration::from_secs(5), || {
        nodes[0].count("carobdrift_link_dials_total", "other-instance") >= 1
            && nodes[0].count("carobdrift_link_dials_total", "refused") >= 1
    })
    .await;

    for name in ["ghost", "twin"] {
        let peer = nodes[0].peer(name).unwrap();
        assert!(!peer.connected && peer.last_ack.is_none(), "{name}");
    }
    assert!(nodes[0].has_pong_from("b", Duration::from_secs(2)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_without_a_handshake_is_closed() {
    let stand_in = stand_in().await;
    let node = start(&stand_in, "a").await;
    let mut stream = tokio::net::TcpStream::connect(node.relay.address())
        .await
        .unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, b"GET / HTTP/1.1\r\n\r\n")
        .await
        .unwrap();

    let mut answer = Vec::new();
    let closed =
        tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut answer)).await;

    assert!(closed.is_ok());
    assert!(node.links.peers().is_empty());
}
