//! Guards against the loss of the known peers while the platform is down, and
//! against entries that stay unknown because the instance list is stale.

use std::time::Duration;

use carobdrift_platform::State;
use carobdrift_test_support::platform::{Fault, Listing, Outage, State as ListingState};
use tokio::time::sleep;

use crate::fixture::{Options, cell, client, listing, stand_in, start, start_as, until};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_is_not_on_the_list_is_dialled_back() {
    let stand_in = stand_in().await;
    let a = start(&stand_in, "a").await;
    let options = Options {
        listed: false,
        ..Options::default()
    };
    let b = start_as(&stand_in, "b", &options).await;

    until("both receive pongs", Duration::from_secs(5), || {
        a.has_pong_from("b", Duration::from_secs(1)) && b.has_pong_from("a", Duration::from_secs(1))
    })
    .await;

    // `b` does not count towards a majority until it is on the list.
    assert!(!a.peer("b").unwrap().member);
    assert_eq!(a.links.cell_size(), 1);
    assert_eq!(b.links.cell_size(), 2);

    stand_in.put_instance(listing("b", b.relay.address()));
    until("b is a member", Duration::from_secs(4), || {
        a.peer("b").unwrap().member && a.links.cell_size() == 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_list_stays_while_the_platform_is_down() {
    for down in [Outage::Refuse, Outage::Fail, Outage::Hang] {
        let stand_in = stand_in().await;
        let nodes = cell(&stand_in, &["a", "b"]).await;

        stand_in
            .set_fault(Fault {
                outage: down,
                ..Fault::default()
            })
            .await;
        sleep(Duration::from_secs(4)).await;

        assert!(nodes[0].count("carobdrift_instance_list_reads_total", "failed") >= 1);
        assert_eq!(nodes[0].links.cell_size(), 2, "{down:?}");
        assert!(
            nodes[0].has_pong_from("b", Duration::from_secs(1)),
            "{down:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_without_a_list_uses_the_size_that_peers_report() {
    let stand_in = stand_in().await;
    let mut nodes = cell(&stand_in, &["a", "b", "c"]).await;
    let c = nodes.pop().unwrap();
    let relay = c.relay;
    drop((c.links, c.inbox));
    stand_in
        .set_fault(Fault {
            outage: Outage::Refuse,
            ..Fault::default()
        })
        .await;

    // The other entries still dial the address of `c` on their latest list.
    let c = crate::fixture::start_behind(&stand_in, "c", &Options::default(), relay).await;

    until(
        "c receives pongs from the others",
        Duration::from_secs(5),
        || {
            c.has_pong_from("a", Duration::from_secs(1))
                && c.has_pong_from("b", Duration::from_secs(1))
        },
    )
    .await;
    assert_eq!(c.links.cell_size(), 3);
    assert!(c.peer("a").unwrap().member);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_and_restarted_targets_are_published() {
    let stand_in = stand_in().await;
    let target = |start: &str| {
        Listing::target(
            &"sheets-1".parse().unwrap(),
            "sheets".parse().unwrap(),
            "hobart".parse().unwrap(),
            Some(start.to_owned()),
        )
    };
    stand_in.put_instance(target("s1"));
    let node = start(&stand_in, "a").await;
    let mut targets = node.links.listed_targets();
    let limit = Duration::from_secs(4);

    let steps = [
        (target("s1"), State::Live, "s1"),
        (
            target("s1").with_state(ListingState::Leaving),
            State::Leaving,
            "s1",
        ),
        (target("s2"), State::Live, "s2"),
    ];
    for (row, state, start) in steps {
        stand_in.put_instance(row);

        let published = tokio::time::timeout(
            limit,
            targets.wait_for(|targets| {
                targets
                    .first()
                    .is_some_and(|row| row.state == state && row.start.as_deref() == Some(start))
            }),
        )
        .await;

        assert!(
            published.is_ok_and(|targets| targets.is_ok()),
            "{state:?} {start}"
        );
    }
    assert_eq!(client(&stand_in).instances().await.unwrap().len(), 2);
}
