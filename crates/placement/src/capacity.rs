//! Work per second that the targets accept and that callers request at one entry.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// Time constant of all rates. Bursts last for seconds, and the speed of a single
/// target changes about seven times in this time.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Starts after which the observed capacity is used; with fewer, a single slow target
/// decides.
const MIN_STARTS: f64 = 5.0;

/// Busy time after which the observed capacity is used, however few requests started.
const MIN_BUSY_TIME_S: f64 = 0.5;

/// Recent work below which a workspace is forgotten, in seconds.
pub(crate) const MIN_WORK_S: f64 = 0.001;

/// Sum whose earlier contributions decay with [`RATE_WINDOW`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayedSum {
    sum: f64,
    updated: Instant,
}

impl DecayedSum {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            updated: now,
        }
    }

    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.value(now) + amount;
        self.updated = now;
    }

    pub(crate) fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.sum * (-age.div_duration_f64(RATE_WINDOW)).exp()
    }
}

/// Work that targets accepted while requests waited, and the time for which requests
/// waited. Their ratio is the capacity for this entry, whatever share of the targets
/// other entries use.
#[derive(Debug, Default)]
pub(crate) struct Capacity {
    work_s: f64,
    starts: f64,
    busy_s: f64,
    /// Time up to which busy time is counted; absent while no request waits.
    counted_until: Option<Instant>,
}

impl Capacity {
    /// Counts the time since the last call. `busy` states whether requests wait from
    /// now on.
    pub(crate) fn advance(&mut self, busy: bool, now: Instant) {
        if let Some(from) = self.counted_until {
            let elapsed = now.saturating_duration_since(from);
            let remaining = (-elapsed.div_duration_f64(RATE_WINDOW)).exp();
            self.work_s *= remaining;
            self.starts *= remaining;
            self.busy_s = self.busy_s * remaining + elapsed.as_secs_f64();
        }
        self.counted_until = busy.then_some(now);
    }

    /// Counts a request that a target accepted after it had waited.
    pub(crate) fn record_start(&mut self, work: Duration) {
        self.work_s += work.as_secs_f64();
        self.starts += 1.0;
    }

    /// Returns the accepted work per second, once it is known.
    pub(crate) fn rate(&self) -> Option<f64> {
        let is_known = self.starts >= MIN_STARTS || self.busy_s >= MIN_BUSY_TIME_S;
        (is_known && self.busy_s > 0.0).then(|| self.work_s / self.busy_s)
    }
}

/// Work per second that arrives, by priority and workspace.
#[derive(Debug, Default)]
pub(crate) struct Arrivals(HashMap<(u32, Option<Arc<str>>), DecayedSum>);

/// Work per second that a workspace requests at one priority.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flow {
    pub(crate) priority: u32,
    pub(crate) rate: f64,
    /// Recent work of the workspace.
    pub(crate) usage_s: f64,
}

impl Arrivals {
    pub(crate) fn record(
        &mut self,
        priority: u32,
        workspace: Option<Arc<str>>,
        work: Duration,
        now: Instant,
    ) {
        let sum = self.0.entry((priority, workspace));
        sum.or_insert_with(|| DecayedSum::new(now))
            .add(work.as_secs_f64(), now);
    }

    /// Returns all flows. `usage_s` returns the recent work of a workspace.
    pub(crate) fn flows(
        &mut self,
        usage_s: impl Fn(&Option<Arc<str>>) -> f64,
        now: Instant,
    ) -> Vec<Flow> {
        self.0.retain(|_, sum| sum.value(now) >= MIN_WORK_S);
        let flows = self.0.iter().map(|((priority, workspace), sum)| Flow {
            priority: *priority,
            rate: sum.value(now) / RATE_WINDOW.as_secs_f64(),
            usage_s: usage_s(workspace),
        });
        flows.collect()
    }
}
