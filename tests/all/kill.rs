//! Guards against an entry whose sudden end costs callers more than the
//! requests that were in progress on it.

use std::time::{Duration, Instant};

use carobdrift_test_support::load;

use crate::installation::{Installation, SERVICE, ZONES, lost, orders, views};

/// Time by which the moments of this process and of a caller may differ.
const SLACK: Duration = Duration::from_millis(100);

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_costs_the_requests_in_progress_only() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 4, 20.0).await;
    let callers = installation.callers();
    let start = Instant::now();
    let load = tokio::spawn(async move {
        let streams = [views(70.0), orders(50.0)];
        load::run(&streams, &callers, Duration::from_secs(5), 1).await
    });

    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = start.elapsed();
    installation.fleet.kill_entry(2).await.unwrap();
    let after = start.elapsed() + SLACK;
    let records = load.await.unwrap();

    assert!(records.len() > 400, "{} calls", records.len());
    installation.judge(SERVICE, &records).await;
    for record in lost(&records) {
        assert!(record.token.starts_with(ZONES[2]), "{record:?}");
        assert!(record.due <= after, "{record:?}");
        assert!(record.due + record.latency + SLACK >= before, "{record:?}");
    }
}
