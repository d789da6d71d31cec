//! Guards against the further use of open connections that have gone silent while
//! new connections work.

use std::time::{Duration, Instant};

use carobdrift_test_support::caller::{Call, Caller};
use carobdrift_test_support::load;
use carobdrift_test_support::platform::Fault;
use carobdrift_test_support::target::Action;
use futures_util::future::join_all;
use http::StatusCode;

use crate::installation::{
    Attempt, IN_FORCE_BOUND, Installation, SERVICE, incomplete, order, orders, view, views,
};

/// Time after the fault within which all silent connections must be replaced.
const REPLACEMENT_BOUND: Duration = Duration::from_secs(1);

/// Latency above which a view must have waited on a silent connection.
const SILENT_LATENCY: Duration = Duration::from_millis(400);

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
    let fault_at = start.elapsed();
    for target in &fleet.targets {
        fleet.perform(target, &Action::SwallowOpen).await.unwrap();
    }
    let records = load.await.unwrap();

    assert!(records.len() > 400, "{} calls", records.len());
    installation.check_records(SERVICE, &records).await;
    for record in incomplete(&records) {
        // The load balancer must not repeat a non-idempotent request.
        assert!(record.at_most_once, "{record:?}");
        assert!(
            record.due + record.latency + Duration::from_millis(100) >= fault_at,
            "{record:?}"
        );
        assert!(record.due <= fault_at + REPLACEMENT_BOUND, "{record:?}");
    }
}

/// Runs without hedging, which would hide the use of silent connections.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_that_went_silent_are_not_used() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 1, 10.0).await;
    let mut document = installation.document(SERVICE);
    document["hedging"]["budget_percent"] = 0.into();
    let (status, response) = installation.put(0, SERVICE, 1, "alone", &document).await;
    assert_eq!(status, StatusCode::OK, "{response}");
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
        let start = Instant::now();
        let attempt = installation.send(&caller, 1, &call).await;
        (start.elapsed(), attempt)
    };
    let mut views = vec![timed().await];
    views.extend(join_all((0..6).map(|_| timed())).await);

    assert!(orders.iter().all(Attempt::is_complete), "{orders:?}");
    assert!(
        views.iter().all(|(_, attempt)| attempt.is_complete()),
        "{views:?}"
    );
    let slow = views
        .iter()
        .filter(|(time, _)| *time > SILENT_LATENCY)
        .count();
    assert_eq!(
        slow, 1,
        "only the first view may use a silent connection: {views:?}"
    );
}

/// Opens many connections of an entry to the targets, leaves them idle until the
/// entry no longer counts them as recently used, and silences them.
async fn silence_idle(installation: &Installation, caller: &Caller, entry: usize) {
    // The calls also fill the retry budget, from which the replacement of silent
    // connections is paid.
    for _ in 0..3 {
        let calls: Vec<Call> = (0..12).map(|_| view(caller)).collect();
        let sends = calls
            .iter()
            .map(|call| installation.send(caller, entry, call));
        let attempts = join_all(sends).await;
        assert!(attempts.iter().all(Attempt::is_complete), "{attempts:?}");
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
        silence_open: true,
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

        // An edit that uses a silent connection may be refused; a repeat is
        // accepted.
        let edit = format!("edit-{version}");
        let start = Instant::now();
        let accepted = loop {
            let (status, response) = installation
                .put(0, SERVICE, version, &edit, &document)
                .await;
            if status == StatusCode::OK {
                break response;
            }
            assert_eq!(response["error"], "unavailable", "{response}");
            assert!(start.elapsed() < IN_FORCE_BOUND, "{response}");
        };
        assert_eq!(accepted["version"], version + 1, "{accepted}");
        installation
            .wait_version(&[0, 1, 2], SERVICE, version + 1)
            .await;
        assert!(start.elapsed() < IN_FORCE_BOUND, "{:?}", start.elapsed());
    }
    let records = load.await.unwrap();
    assert!(
        incomplete(&records).is_empty(),
        "{:?}",
        incomplete(&records)
    );
    installation.check_records(SERVICE, &records).await;
}
