//! Measurement of the latency that an entry adds, by calls to an idle target sent
//! alternately directly and through an entry.

use std::time::Duration;

use bytes::Bytes;
use carobdrift_test_support::caller::{Call, Key};
use carobdrift_test_support::load::DEADLINE;
use carobdrift_test_support::target::Faults;
use http::Method;

use super::Error;
use super::testbed::Testbed;
use crate::trace::Overhead;

/// Factor on the service time of targets. It is 0, so that variations of the
/// service time do not hide the added latency.
const IDLE_FACTOR: f64 = 0.0;

/// Calls on each path before the measurement, which open the connections.
const WARMUP_CALLS: u32 = 100;

/// Latencies of direct calls and of calls through an entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct Latencies {
    /// Median of direct calls.
    pub(super) direct_p50: Duration,
    /// 99th percentile of direct calls.
    pub(super) direct_p99: Duration,
    /// 99th percentile of calls through an entry.
    pub(super) through_p99: Duration,
    /// 99th percentile of calls through an entry, less the median of direct
    /// calls.
    pub(super) added_p99: Duration,
}

pub(super) async fn measure(testbed: &Testbed, overhead: &Overhead) -> Result<Latencies, Error> {
    let idle = Faults {
        slow: Some(IDLE_FACTOR),
        ..Faults::default()
    };
    for target in testbed.fleet.targets_of(&overhead.service) {
        testbed.fleet.set_faults(target, &idle).await?;
    }
    let target = testbed
        .fleet
        .targets_of(&overhead.service)
        .next()
        .ok_or_else(|| Error::UnknownService(overhead.service.clone()))?;
    let caller = &testbed.callers()[0];
    let mut call = Call {
        service: overhead.service.clone(),
        method: Method::GET,
        path: testbed.stream_path(&overhead.service),
        body: Bytes::new(),
        key: Key::None,
        token: String::new(),
        deadline: DEADLINE,
    };
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for index in 0..overhead.calls + WARMUP_CALLS {
        call.token = caller.fresh_token();
        let direct_result = caller.send_to(target.address, &call).await;
        call.token = caller.fresh_token();
        let entry_result = caller.send(&call).await;
        if index < WARMUP_CALLS {
            continue;
        }
        // A call without a response counts with the deadline as its latency.
        direct.push(direct_result.map_or(DEADLINE, |response| response.latency));
        through.push(entry_result.map_or(DEADLINE, |response| response.latency));
    }
    direct.sort_unstable();
    through.sort_unstable();
    let direct_p50 = quantile(&direct, 50);
    let through_p99 = quantile(&through, 99);
    Ok(Latencies {
        direct_p50,
        direct_p99: quantile(&direct, 99),
        through_p99,
        added_p99: through_p99.saturating_sub(direct_p50),
    })
}

fn quantile(sorted: &[Duration], percent: usize) -> Duration {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}
