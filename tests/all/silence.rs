//! Guards against open connections that go silent while new ones work.

use std::time::{Duration, Instant};

use carobdrift_test_support::load;
use carobdrift_test_support::platform::Fault;
use carobdrift_test_support::target::Action;
use http::StatusCode;

use crate::installation::{IN_FORCE, Installation, SERVICE, lost, orders, views};

/// Time after which no open connection from before the fault is used.
const REPLACED: Duration = Duration::from_secs(1);

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
        fleet.act(target, &Action::SwallowOpen).await.unwrap();
    }
    let records = load.await.unwrap();

    assert!(records.len() > 400, "{} calls", records.len());
    installation.judge(SERVICE, &records).await;
    for record in lost(&records) {
        // A request that must run once can't be sent again by the system.
        assert!(record.once, "{record:?}");
        assert!(
            record.due + record.latency + Duration::from_millis(100) >= before,
            "{record:?}"
        );
        assert!(record.due <= before + REPLACED, "{record:?}");
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
