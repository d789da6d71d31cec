//! Guards against open connections that go silent while new ones work.

use std::time::{Duration, Instant};

use carobdrift_test_support::caller::{Call, Caller};
use carobdrift_test_support::load;
use carobdrift_test_support::platform::Fault;
use carobdrift_test_support::target::Action;
use futures_util::future::join_all;
use http::StatusCode;

use crate::installation::{
    IN_FORCE, Installation, SERVICE, Sent, lost, order, orders, view, views,
};

/// Time after which no open connection from before the fault is used.
const REPLACED: Duration = Duration::from_secs(1);

/// A view that takes longer has waited on a silent connection.
const SLOW: Duration = Duration::from_millis(400);

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_targets_are_replaced() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 4, 10.0).await;
    let callers = installation.callers();
    let start = Instant::now();
    let load = tokio::spawn(async move {
        let streams = [views(80.0), orders(40.0)];
        load::run(&streams, &callers, Duration::from_secs(5), 7).await
    });
    tokio::time::sleep(Duration::from_millis(1500)).await;

    let fleet = &installation.fleet;
    let before = start.elapsed();
    for target in &fleet.targets {
        fleet.perform(target, &Action::SwallowOpen).await.unwrap();
    }
    let records = load.await.unwrap();

    assert!(records.len() > 400, "{} calls", records.len());
    installation.judge(SERVICE, &records).await;
    for record in lost(&records) {
        // A request that must run once can't be sent again by the system.
        assert!(record.at_most_once, "{record:?}");
        assert!(
            record.due + record.latency + Duration::from_millis(100) >= before,
            "{record:?}"
        );
        assert!(record.due <= before + REPLACED, "{record:?}");
    }
}

/// Without hedges, which would hide that silent connections are still used.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_that_went_silent_are_left() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 1, 10.0).await;
    let mut document = installation.document(SERVICE);
    document["hedging"]["budget_percent"] = 0.into();
    let (status, answer) = installation.put(0, SERVICE, 1, "alone", &document).await;
    assert_eq!(status, StatusCode::OK, "{answer}");
    installation.wait_version(&[0, 1, 2], SERVICE, 2).await;
    let caller = installation.caller_of(0);
    let key = caller.fresh_key(SERVICE).await.unwrap().unwrap();

    silence_idle(&installation, &caller, 0).await;
    let mut orders = Vec::new();
    for number in 0..10 {
        let call = order(&caller, &format!("{key}-{number}"));
        orders.push(installation.send(&caller, 0, &call).await);
    }
    silence_idle(&installation, &caller, 1).await;
    let timed = async || {
        let call = Call {
            deadline: Duration::from_secs(1),
            ..view(&caller)
        };
        let begin = Instant::now();
        let sent = installation.send(&caller, 1, &call).await;
        (begin.elapsed(), sent)
    };
    let mut views = vec![timed().await];
    views.extend(join_all((0..6).map(|_| timed())).await);

    assert!(orders.iter().all(Sent::is_whole), "{orders:?}");
    assert!(views.iter().all(|(_, sent)| sent.is_whole()), "{views:?}");
    let slow = views.iter().filter(|(time, _)| *time > SLOW).count();
    assert_eq!(slow, 1, "only the first one meets silence: {views:?}");
}

/// Opens many connections of an entry, lets them idle until they are not
/// proven any more and makes them silent.
async fn silence_idle(installation: &Installation, caller: &Caller, entry: usize) {
    // The retry budget, which new connections are paid from, is filled by the
    // way.
    for _ in 0..3 {
        let calls: Vec<Call> = (0..12).map(|_| view(caller)).collect();
        let sends = calls
            .iter()
            .map(|call| installation.send(caller, entry, call));
        let warm = join_all(sends).await;
        assert!(warm.iter().all(Sent::is_whole), "{warm:?}");
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for target in &installation.fleet.targets {
        let action = &Action::SwallowOpen;
        installation.fleet.perform(target, action).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_platform_are_replaced() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 3, 10.0).await;
    let document = installation.document(SERVICE);
    let callers = installation.callers();
    let load = tokio::spawn(async move {
        let streams = [views(60.0), orders(40.0)];
        load::run(&streams, &callers, Duration::from_secs(8), 8).await
    });
    let silent = Fault {
        swallow_open: true,
        ..Fault::default()
    };
    for version in 1..=3 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        installation
            .fleet
            .platform
            .set_fault(&silent)
            .await
            .unwrap();

        // An edit that meets a silent connection may be refused; sent again it
        // is accepted.
        let edit = format!("edit-{version}");
        let begin = Instant::now();
        let accepted = loop {
            let (status, answer) = installation
                .put(0, SERVICE, version, &edit, &document)
                .await;
            if status == StatusCode::OK {
                break answer;
            }
            assert_eq!(answer["error"], "unavailable", "{answer}");
            assert!(begin.elapsed() < IN_FORCE, "{answer}");
        };
        assert_eq!(accepted["version"], version + 1, "{accepted}");
        installation
            .wait_version(&[0, 1, 2], SERVICE, version + 1)
            .await;
        assert!(begin.elapsed() < IN_FORCE, "{:?}", begin.elapsed());
    }
    let records = load.await.unwrap();
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));
    installation.judge(SERVICE, &records).await;
}
