//! Guards against shares that are granted by an entry that does not hold the
//! lease or does not know all grants, and against calls that are shed although
//! the limits have room for them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::{Call, Config, Pool, Scope, Shed, Slot};
use carobdrift_document::{Kind, Policy};
use carobdrift_measure::{Leases, Requester, Shard, Shares, Subject};
use carobdrift_membership::{Inbox, Links, Peer};
use carobdrift_test_support::platform::{Listing, StandIn};
use carobdrift_units::{Incarnation, Secret, Version};
use carobdrift_wire::{Answer, Demand, Frame, Query, Requisition, Share};
use futures_util::future::join_all;
use prometheus::Registry;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::fixture::{cell, client, instance, leases, metrics, platform, subject, subjects, until};

const ENTRIES: u32 = 20;

async fn links(number: usize, platform: &StandIn) -> (Links, Inbox) {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = carobdrift_membership::Settings {
        instance: instance(number),
        incarnation: Incarnation::random(),
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

async fn wait_for_lease(leases: &Leases, shard: Shard) {
    until(|| leases.tenure(shard).is_some()).await;
}

fn answer_queries(shares: Shares, mut inbox: Inbox) {
    tokio::spawn(async move {
        while let Some(envelope) = inbox.recv().await {
            if let Frame::Recall { service } = &envelope.frame {
                shares.recall(service);
            }
            if let (
                Frame::Query {
                    query:
                        Query::Share {
                            asker,
                            sequence,
                            services,
                        },
                    ..
                },
                Some(responder),
            ) = (envelope.frame, envelope.responder)
            {
                let requester = Requester {
                    instance: envelope.from,
                    incarnation: asker,
                    sequence,
                };
                responder.send(shares.answer(&requester, &services));
            }
        }
    });
}

fn requester(number: usize, sequence: u64) -> Requester {
    Requester {
        instance: instance(number),
        incarnation: Incarnation(7),
        sequence,
    }
}

fn share(amount: u32) -> Share {
    Share {
        in_flight: amount,
        per_second: amount,
    }
}

fn requisition(service: &str, want: u32, held: u32) -> [Requisition; 1] {
    let demand = Demand {
        class: None,
        want: share(want),
        held: share(held),
    };
    [Requisition {
        service: service.parse().unwrap(),
        limits: vec![demand],
    }]
}

fn granted(answer: &Answer) -> Option<Share> {
    match answer {
        Answer::Share { services, .. } => Some(services[0].limits[0].granted),
        _ => None,
    }
}

/// Entry that requests shares of the limits of the given services.
struct Requests {
    shares: Shares,
    subjects: watch::Sender<Arc<Vec<Subject>>>,
}

impl Requests {
    fn start(leases: &Leases, links: Links, services: Vec<Subject>) -> Self {
        let (subjects, receiver) = subjects(services);
        let shares = Shares::spawn(leases.clone(), links, receiver, ENTRIES, metrics());
        Self { shares, subjects }
    }

    fn put(&self, subject: &Subject) {
        self.subjects
            .send_modify(|services| Arc::make_mut(services).push(subject.clone()));
    }
}

fn unused_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9))
}

/// Fails when an entry grants shares without the lease, or more than the held
/// shares while grants of its predecessor may be in use.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_holder_renews_what_is_held_and_nothing_more() {
    let platform = platform().await;
    let shard = Shard::of(&"sheets".parse().unwrap());
    let old_leases = leases(3, platform.address());
    wait_for_lease(&old_leases, shard).await;
    old_leases.release().await;
    let holder_leases = leases(0, platform.address());
    wait_for_lease(&holder_leases, shard).await;
    let other_leases = leases(1, platform.address());
    let (holder_links, _inbox) = links(0, &platform).await;
    let (other_links, _other_inbox) = links(1, &platform).await;
    let service = vec![subject("sheets", 2, unused_address())];
    let holder = Requests::start(&holder_leases, holder_links, service.clone());
    let other = Requests::start(&other_leases, other_links, service);
    sleep(Duration::from_millis(300)).await;

    let refused = other
        .shares
        .answer(&requester(0, 1), &requisition("sheets", 9, 5));
    let unknown = holder
        .shares
        .answer(&requester(1, 1), &requisition("draws", 9, 5));
    let renewed = holder
        .shares
        .answer(&requester(1, 1), &requisition("sheets", 9, 5));
    let late = holder
        .shares
        .answer(&requester(1, 1), &requisition("sheets", 9, 9));
    let new = holder
        .shares
        .answer(&requester(2, 1), &requisition("sheets", 9, 0));

    assert_eq!(refused, Answer::NotHolder);
    assert!(matches!(unknown, Answer::Unavailable | Answer::NotHolder));
    assert_eq!(granted(&renewed), Some(share(5)));
    assert_eq!(late, Answer::Unavailable);
    assert_eq!(granted(&new), Some(share(0)));
}

/// Fails when sudden load on an idle entry is shed although the limits of the
/// service and of the class have room for it, or when the sum over the entries
/// exceeds one of these limits.
#[tokio::test(flavor = "multi_thread")]
async fn a_sudden_load_on_an_idle_entry_is_not_shed() {
    const CLASS_LIMIT: usize = 30;
    let platform = platform().await;
    let shard = Shard::of(&"sheets".parse().unwrap());
    let holder_leases = leases(0, platform.address());
    wait_for_lease(&holder_leases, shard).await;
    let (holder_links, inbox) = links(0, &platform).await;
    let holder = Requests::start(&holder_leases, holder_links.clone(), Vec::new());
    answer_queries(holder.shares.clone(), inbox);
    let mut entries = Vec::new();
    for number in 1..4 {
        let leases = leases(number, platform.address());
        let (links, inbox) = links(number, &platform).await;
        let entry = Requests::start(&leases, links.clone(), Vec::new());
        answer_queries(entry.shares.clone(), inbox);
        entries.push((entry, links));
    }
    for (_, links) in &entries {
        let is_holder = |peer: &Peer| peer.connected && peer.instance == instance(0);
        until(|| links.peers().iter().any(is_holder)).await;
    }
    sleep(Duration::from_millis(400)).await;
    let mut pools = Vec::new();
    holder.put(&limited(CLASS_LIMIT));
    for (entry, _) in &entries {
        let subject = limited(CLASS_LIMIT);
        entry.put(&subject);
        pools.push(subject.pool);
    }
    sleep(Duration::from_millis(400)).await;

    let mut held = Vec::new();
    for pool in &pools {
        for (_, quota) in pool.quotas() {
            assert!(quota.share().in_flight <= 2, "the entry is not idle");
        }
        held.extend(burst(pool, CLASS_LIMIT / 3).await);
    }

    let shed: Vec<_> = held.iter().filter_map(|slot| slot.as_ref().err()).collect();
    assert!(shed.is_empty(), "{shed:?}");
    let mut more = Vec::new();
    for pool in &pools {
        more.extend(burst(pool, 3).await.into_iter().map(Result::err));
    }
    assert_eq!(more, [Some(Shed::Limit(Scope::Class)); 9]);
}

/// Creates a service whose class has a limit.
fn limited(class_limit: usize) -> Subject {
    let mut document = (*subject("sheets", 2, unused_address()).document).clone();
    document.balancing.policy = Policy::LeastInFlight;
    document.classes[0].max_in_flight = u32::try_from(class_limit).ok();
    let document = Arc::new(document);
    let config = Config::new(instance(0), "hobart".parse().unwrap());
    let metrics = carobdrift_balance::Metrics::register(&Registry::new()).unwrap();
    Subject {
        pool: Pool::new(Arc::clone(&document), Version(1), config, metrics),
        document,
    }
}

/// Sends calls at the same moment. Admitted calls keep their slots.
async fn burst(pool: &Pool, calls: usize) -> Vec<Result<Slot, Shed>> {
    let call = Call {
        class: "view".parse().unwrap(),
        kind: Kind::Idempotent,
        deadline: tokio::time::Instant::now() + Duration::from_secs(1),
    };
    join_all((0..calls).map(|_| pool.acquire(&call))).await
}
