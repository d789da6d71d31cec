//! Guards against a graceful stop that loses requests or does not end.

use std::time::{Duration, Instant};

use carobdrift_test_support::caller::Call;
use carobdrift_test_support::load;
use futures_util::future::join_all;
use nix::sys::signal::Signal;

use crate::installation::{
    ADDRESS_TTL, Attempt, Installation, SERVICE, incomplete, order, orders, view, views,
};

/// Service with long requests.
const SLOW_SERVICE: &str = "slow";

/// Time within which a leaving entry must disappear from the address lists of the
/// other entries: two pings and scheduling delays.
const DELISTING_BOUND: Duration = Duration::from_millis(1200);

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_loses_no_request() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 3, 10.0).await;
    installation.serve(SLOW_SERVICE, 3, 2500.0).await;
    let callers = installation.callers();
    let caller = installation.caller_of(1);
    let key = caller.fresh_key(SLOW_SERVICE).await.unwrap().unwrap();
    let slow_calls: Vec<Call> = (0..12)
        .map(|number| {
            let call = match number % 2 {
                0 => view(&caller),
                _ => order(&caller, &format!("{key}.{number}")),
            };
            Call {
                service: SLOW_SERVICE.to_owned(),
                deadline: Duration::from_secs(5),
                ..call
            }
        })
        .collect();
    let load = tokio::spawn(async move {
        let streams = [views(60.0), orders(60.0)];
        load::run(&streams, &callers, Duration::from_secs(5), 2).await
    });
    tokio::time::sleep(Duration::from_secs(1)).await;

    let in_progress = join_all(
        slow_calls
            .iter()
            .map(|call| installation.send(&caller, 0, call)),
    );
    let delisting = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let entry = &installation.fleet.entries[0];
        entry.process.signal(Signal::SIGTERM).unwrap();
        let start = Instant::now();
        let others = installation.caller_of(1);
        loop {
            others.invalidate_addresses(SERVICE);
            let entries = others.entries(SERVICE).await.unwrap();
            if !entries.contains(&entry.caller) {
                assert_eq!(entries.len(), 2);
                return start.elapsed();
            }
            assert!(
                start.elapsed() < DELISTING_BOUND,
                "stopped entry is still listed"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    // Callers that use the address until their cached list expires are served.
    let cached = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let start = Instant::now();
        let mut served = Vec::new();
        while start.elapsed() < ADDRESS_TTL.saturating_sub(Duration::from_millis(100)) {
            served.push(installation.send(&caller, 0, &view(&caller)).await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        served
    };
    let (slow_attempts, _, cached) = futures_util::join!(in_progress, delisting, cached);
    let process = &mut installation.fleet.entries[0].process;
    let status = tokio::time::timeout(Duration::from_secs(5), process.wait()).await;
    let records = load.await.unwrap();

    assert!(
        slow_attempts.iter().all(Attempt::is_complete),
        "{slow_attempts:?}"
    );
    assert!(cached.iter().all(Attempt::is_complete), "{cached:?}");
    let status = status.expect("the entry does not exit").unwrap();
    assert_eq!(status.code(), Some(0));
    assert!(records.len() > 400, "{} calls", records.len());
    assert!(
        incomplete(&records).is_empty(),
        "{:?}",
        incomplete(&records)
    );
    installation.check_records(SERVICE, &records).await;
}

/// Number of requests in progress at an immediate stop. While the runtime of the
/// entry shuts down, the target connections of some requests are closed before
/// the requests themselves are dropped.
const REQUESTS_IN_PROGRESS: usize = 150;

/// Guards against an immediate stop that does not end, and against responses that
/// the entry generates during the stop for requests that targets still run.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_stops_immediately() {
    let mut installation = Installation::start().await;
    installation.serve(SLOW_SERVICE, 3, 4000.0).await;
    let caller = installation.caller_of(0);
    let address = installation.fleet.entries[0].caller;
    let requests: Vec<_> = (0..REQUESTS_IN_PROGRESS)
        .map(|_| {
            let caller = caller.clone();
            let call = Call {
                service: SLOW_SERVICE.to_owned(),
                ..view(&caller)
            };
            tokio::spawn(async move { caller.send_to(address, &call).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;

    let process = &mut installation.fleet.entries[0].process;
    process.signal(Signal::SIGTERM).unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    process.signal(Signal::SIGTERM).unwrap();
    let status = tokio::time::timeout(Duration::from_secs(1), process.wait()).await;

    let status = status
        .expect("the entry does not exit after the second SIGTERM")
        .unwrap();
    assert_eq!(status.code(), Some(130));
    let results = join_all(requests).await;
    for result in results.into_iter().map(Result::unwrap) {
        assert!(result.is_err(), "{result:?}");
    }
}
