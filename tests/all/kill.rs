//! Guards against a killed entry whose callers lose more than the requests in
//! progress on that entry.

use std::time::{Duration, Instant};

use carobdrift_test_support::load;

use crate::installation::{Installation, SERVICE, ZONES, incomplete, orders, views};

/// Tolerance when times of this test are compared with times of the callers'
/// records.
const TIME_TOLERANCE: Duration = Duration::from_millis(100);

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_loses_only_the_requests_in_progress() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 4, 20.0).await;
    let callers = installation.callers();
    let start = Instant::now();
    let load = tokio::spawn(async move {
        let streams = [views(70.0), orders(50.0)];
        load::run(&streams, &callers, Duration::from_secs(5), 1).await
    });

    tokio::time::sleep(Duration::from_secs(2)).await;
    let earliest_kill = start.elapsed();
    installation.fleet.kill_entry(2).await.unwrap();
    let latest_kill = start.elapsed() + TIME_TOLERANCE;
    let records = load.await.unwrap();

    assert!(records.len() > 400, "{} calls", records.len());
    installation.check_records(SERVICE, &records).await;
    for record in incomplete(&records) {
        assert!(record.token.starts_with(ZONES[2]), "{record:?}");
        assert!(record.due <= latest_kill, "{record:?}");
        assert!(
            record.due + record.latency + TIME_TOLERANCE >= earliest_kill,
            "{record:?}"
        );
    }
}
