//! Guards against shares that are granted by an entry that does not hold the
//! lease, or before the grants of its predecessor have expired.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use carobdrift_balance::{Call, Share};
use carobdrift_document::Kind;
use carobdrift_measure::{Leases, Shard, Shares, VALIDITY};
use carobdrift_membership::{Inbox, Links, Secret};
use carobdrift_test_support::platform::{Listing, StandIn};
use carobdrift_units::Incarnation;
use carobdrift_wire::{Answer, Frame, Query};
use prometheus::Registry;
use tokio::time::sleep;

use crate::fixture::{cell, client, instance, leases, metrics, platform, subject, subjects, until};

const ENTRIES: u32 = 20;

async fn links(number: usize, platform: &StandIn) -> (Links, Inbox) {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = carobdrift_membership::Settings {
        instance: instance(number),
        incarnation: Incarnation::draw(),
        cell: cell(),
        zone: "hobart".parse().unwrap(),
        caller: free,
        admin: free,
        listen: free,
        advertise: None,
        secret: Secret::new("secret".to_owned()),
    };
    let metrics = carobdrift_membership::Metrics::register(&Registry::new()).unwrap();
    let (links, inbox) = Links::bind(settings, client(platform.address()), metrics)
        .await
        .unwrap();
    platform.put_instance(Listing::entry(
        &instance(number),
        cell(),
        "hobart".parse().unwrap(),
        "tasmania".parse().unwrap(),
        [free, free, links.address()],
    ));
    (links, inbox)
}

async fn hold(leases: &Leases, shard: Shard) -> Instant {
    until(|| leases.tenure(shard).is_some()).await;
    Instant::now()
}

fn answer_queries(shares: Shares, mut inbox: Inbox) {
    tokio::spawn(async move {
        while let Some(inbound) = inbox.recv().await {
            if let (
                Frame::Query {
                    query:
                        Query::Share {
                            service,
                            in_flight,
                            per_second,
                        },
                    ..
                },
                Some(reply),
            ) = (inbound.frame, inbound.reply)
            {
                let want = Share {
                    in_flight,
                    per_second,
                };
                reply.send(shares.answer(&inbound.from, &service, want));
            }
        }
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn busy_entry_gets_a_share_from_the_holder() {
    let platform = platform().await;
    let service = "sheets".parse().unwrap();
    let shard = Shard::of(&service);
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let holder_leases = leases(0, platform.address());
    let taken = hold(&holder_leases, shard).await;
    let other_leases = leases(1, platform.address());
    let (holder_links, inbox) = links(0, &platform).await;
    let (other_links, _other_inbox) = links(1, &platform).await;
    let spawn = |leases: &Leases, links: Links, subject| {
        let (sender, receiver) = subjects(vec![subject]);
        let shares = Shares::spawn(leases.clone(), links, receiver, ENTRIES, metrics());
        (shares, sender)
    };
    let idle = subject("sheets", 2, unused);
    let busy = subject("sheets", 2, unused);
    let (holder, _holder_subjects) = spawn(&holder_leases, holder_links, idle);
    let (other, _other_subjects) = spawn(&other_leases, other_links, busy.clone());
    answer_queries(holder.clone(), inbox);
    let want = Share {
        in_flight: 1,
        per_second: 1,
    };

    let refused = other.answer(&instance(0), &service, want);
    let early = holder.answer(&instance(1), &service, want);
    assert!(
        taken.elapsed() < VALIDITY,
        "the machine is too slow to tell"
    );
    let fixed = busy.pool.allowance().share();
    let start = Instant::now();
    while busy.pool.allowance().share().per_second <= fixed.per_second {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "no share granted"
        );
        let call = Call {
            class: "view".parse().unwrap(),
            kind: Kind::Idempotent,
            deadline: tokio::time::Instant::now() + Duration::from_millis(20),
        };
        // About 500 calls a second, five times the fixed share.
        drop(busy.pool.acquire(&call).await);
        sleep(Duration::from_millis(1)).await;
    }

    assert_eq!(refused, Answer::NotHolder);
    assert_eq!(early, Answer::Unavailable);
    assert_eq!(fixed.per_second, 100);
    assert!(taken.elapsed() >= VALIDITY);
}
