//! Latency that carobdrift adds: calls to an idle target, directly and through
//! an entry in turn.

use std::time::Duration;

use bytes::Bytes;
use carobdrift_test_support::caller::{Call, Key};
use carobdrift_test_support::target::Faults;
use http::Method;

use super::Error;
use super::setup::Bench;
use crate::trace::Direct;
use carobdrift_test_support::load::DEADLINE;

/// Makes service times negligible, so that they do not hide what is added.
const IDLE_FACTOR: f64 = 0.0;

/// Calls before the measurement, which open the connections.
const WARMUP_CALLS: u32 = 100;

/// Direct and mediated latencies.
#[derive(Debug, Clone, Copy)]
pub(super) struct Added {
    /// Median of direct calls.
    pub(super) direct_p50: Duration,
    /// 99th percentile of direct calls.
    pub(super) direct_p99: Duration,
    /// 99th percentile of calls through an entry.
    pub(super) through_p99: Duration,
    /// 99th percentile of what a call through an entry takes beyond the median
    /// of direct calls.
    pub(super) difference_p99: Duration,
}

pub(super) async fn measure(bench: &Bench, direct: &Direct) -> Result<Added, Error> {
    let idle = Faults {
        slow: Some(IDLE_FACTOR),
        ..Faults::default()
    };
    for target in bench.fleet.targets_of(&direct.service) {
        bench.fleet.set_faults(target, &idle).await?;
    }
    let target = bench
        .fleet
        .targets_of(&direct.service)
        .next()
        .ok_or_else(|| Error::Service(direct.service.clone()))?;
    let caller = &bench.callers()[0];
    let mut call = Call {
        service: direct.service.clone(),
        method: Method::GET,
        path: bench.direct_path(&direct.service),
        body: Bytes::new(),
        key: Key::None,
        token: String::new(),
        deadline: DEADLINE,
    };
    let mut directly = Vec::new();
    let mut through = Vec::new();
    for number in 0..direct.calls + WARMUP_CALLS {
        call.token = caller.fresh_token();
        let first = caller.send_to(target.address, &call).await;
        call.token = caller.fresh_token();
        let second = caller.send(&call).await;
        if number < WARMUP_CALLS {
            continue;
        }
        // A failed call counts as one that took the whole deadline.
        directly.push(first.map_or(DEADLINE, |answer| answer.latency));
        through.push(second.map_or(DEADLINE, |answer| answer.latency));
    }
    directly.sort_unstable();
    through.sort_unstable();
    let direct_p50 = quantile(&directly, 50);
    let through_p99 = quantile(&through, 99);
    Ok(Added {
        direct_p50,
        direct_p99: quantile(&directly, 99),
        through_p99,
        difference_p99: through_p99.saturating_sub(direct_p50),
    })
}

fn quantile(sorted: &[Duration], percent: usize) -> Duration {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or_default()
}
