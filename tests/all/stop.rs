//! Guards against a stop that costs callers requests, or that does not end.

use std::time::{Duration, Instant};

use carobdrift_test_support::caller::Call;
use carobdrift_test_support::load;
use futures_util::future::join_all;
use nix::sys::signal::Signal;

use crate::installation::{Installation, SERVICE, Sent, TTL, lost, order, orders, view, views};

/// Service whose requests last long.
const SLOW: &str = "slow";

/// Time within which an entry that leaves is out of the others' answers: two
/// pings and some scheduling.
const OUT_OF_ANSWER: Duration = Duration::from_millis(1200);

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_costs_no_request() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 3, 10.0).await;
    installation.serve(SLOW, 3, 2500.0).await;
    let callers = installation.callers();
    let caller = installation.caller_of(1);
    let key = caller.fresh_key(SLOW).await.unwrap().unwrap();
    let long: Vec<Call> = (0..12)
        .map(|number| {
            let call = match number % 2 {
                0 => view(&caller),
                _ => order(&caller, &format!("{key}.{number}")),
            };
            Call {
                service: SLOW.to_owned(),
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

    let in_progress = join_all(long.iter().map(|call| installation.send(&caller, 0, call)));
    let leaving = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let entry = &installation.fleet.entries[0];
        entry.process.signal(Signal::SIGTERM).unwrap();
        let begin = Instant::now();
        let others = installation.caller_of(1);
        loop {
            others.invalidate_addresses(SERVICE);
            let entries = others.entries(SERVICE).await.unwrap();
            if !entries.contains(&entry.caller) {
                assert_eq!(entries.len(), 2);
                return begin.elapsed();
            }
            assert!(begin.elapsed() < OUT_OF_ANSWER, "still in the answer");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    // Callers that hold the address until their answer ends are served.
    let held = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let begin = Instant::now();
        let mut served = Vec::new();
        while begin.elapsed() < TTL.saturating_sub(Duration::from_millis(100)) {
            served.push(installation.send(&caller, 0, &view(&caller)).await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        served
    };
    let (long, _, held) = futures_util::join!(in_progress, leaving, held);
    let process = &mut installation.fleet.entries[0].process;
    let status = tokio::time::timeout(Duration::from_secs(5), process.wait()).await;
    let records = load.await.unwrap();

    assert!(long.iter().all(Sent::is_whole), "{long:?}");
    assert!(held.iter().all(Sent::is_whole), "{held:?}");
    let status = status.expect("the entry ends").unwrap();
    assert_eq!(status.code(), Some(0));
    assert!(records.len() > 400, "{} calls", records.len());
    assert!(lost(&records).is_empty(), "{:?}", lost(&records));
    installation.judge(SERVICE, &records).await;
}

/// Requests in progress at a stop at once. While the runtime of the entry ends,
/// some of them see their connection to the target go first.
const IN_PROGRESS: usize = 150;

/// Guards against a stop that does not end, and against answers that a stop at
/// once makes up for requests whose targets are at work.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_sigterm_stops_at_once() {
    let mut installation = Installation::start().await;
    installation.serve(SLOW, 3, 4000.0).await;
    let caller = installation.caller_of(0);
    let address = installation.fleet.entries[0].caller;
    let requests: Vec<_> = (0..IN_PROGRESS)
        .map(|_| {
            let caller = caller.clone();
            let call = Call {
                service: SLOW.to_owned(),
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

    let status = status.expect("the entry stops at once").unwrap();
    assert_eq!(status.code(), Some(130));
    let answers = join_all(requests).await;
    for answer in answers.into_iter().map(Result::unwrap) {
        assert!(answer.is_err(), "{answer:?}");
    }
}
