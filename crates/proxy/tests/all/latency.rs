//! Test of the latency that the data path adds.

use std::time::{Duration, Instant};

use carobdrift_test_support::target::Faults;

use crate::fixture::{Entry, client, get, send};

/// Number of calls in each round.
const CALLS: usize = 400;

/// Largest latency that the data path may add to the median call. The bound for
/// 99 in 100 calls is checked with an optimized build: at the 99th percentile,
/// the direct calls of a test build already vary by several times the bound.
const MAX_ADDED_LATENCY: Duration = Duration::from_micros(1_200);

/// Number of rounds, of which one must meet the bound, because other load on
/// the machine affects single rounds.
const ROUNDS: usize = 3;

fn percentile(times: &[Duration], percent: usize) -> Duration {
    let mut times = times.to_vec();
    times.sort_unstable();
    times[times.len() * percent / 100]
}

/// Guards against waits on the data path, such as for a delayed acknowledgement
/// or a new connection. Calls through the entry alternate with direct calls to
/// the same idle target.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_added_latency_is_small() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let client = client(false);
    let mut medians = Vec::new();
    for _ in 0..ROUNDS {
        let mut direct = Vec::new();
        let mut proxied = Vec::new();
        for _ in 0..CALLS {
            for (address, times) in [
                (entry.targets[0].address(), &mut direct),
                (entry.address(), &mut proxied),
            ] {
                let begin = Instant::now();
                let response = send(&client, &get("speed"), address)
                    .await
                    .expect("the entry responds");
                times.push(begin.elapsed());
                assert!(response.echoes("speed", ""));
            }
        }
        for percent in [50, 99] {
            let times = [&direct, &proxied].map(|times| percentile(times, percent));
            println!(
                "percentile {percent}: direct {:?}, proxied {:?}",
                times[0], times[1]
            );
        }
        medians.push((percentile(&direct, 50), percentile(&proxied, 50)));
    }
    let added = medians
        .iter()
        .map(|(direct, proxied)| proxied.saturating_sub(*direct));
    assert!(
        added.min().is_some_and(|added| added <= MAX_ADDED_LATENCY),
        "{medians:?}"
    );
}
