//! Estimates that decay over time.

use std::time::Duration;

use tokio::time::Instant;

/// Half-life of the estimate of other entries' requests in flight. In the model
/// of `benches/spread.rs`, 10 ms raised p99 by 3 to 5%, and 40 ms gave no
/// further gain that justifies a staler estimate.
const FOREIGN_HALF_LIFE: Duration = Duration::from_millis(20);

/// Weight of a result that is slower than the estimate.
const RISE_GAIN: f64 = 0.5;

/// Weight of a result that is faster than the estimate.
const FALL_GAIN: f64 = 0.1;

/// Half-life with which the slowdown of a target without new results returns to
/// 1.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(100);

/// Estimate of the requests that other entries have in flight on a target.
#[derive(Debug, Default)]
pub(crate) struct Foreign {
    value: f64,
    updated: Option<Instant>,
}

impl Foreign {
    /// Records a report of `total` requests in flight, of which `own` were sent
    /// by this entry.
    pub(crate) fn report(&mut self, total: f64, own: f64, now: Instant) {
        self.value = (total - own).max(0.0);
        self.updated = Some(now);
    }

    pub(crate) fn estimate(&self, now: Instant) -> f64 {
        self.updated
            .map_or(0.0, |at| self.value * decay(at, now, FOREIGN_HALF_LIFE))
    }
}

/// Slowdown of a target: the latency as a multiple of the median of the class.
#[derive(Debug, Default)]
pub(crate) struct Slowdown {
    /// Slowdown minus 1, at the time of `updated`.
    deviation: f64,
    updated: Option<Instant>,
}

impl Slowdown {
    pub(crate) fn estimate(&self, now: Instant) -> f64 {
        let deviation = |at| self.deviation * decay(at, now, SLOWDOWN_HALF_LIFE);
        1.0 + self.updated.map_or(0.0, deviation)
    }

    /// Records the latency of a successful request, as a multiple of the
    /// median.
    pub(crate) fn observe(&mut self, ratio: f64, now: Instant) {
        let slowdown = self.estimate(now);
        let gain = if ratio > slowdown {
            RISE_GAIN
        } else {
            FALL_GAIN
        };
        self.deviation = slowdown + gain * (ratio - slowdown) - 1.0;
        self.updated = Some(now);
    }

    /// Records the latency of an attempt that failed or was cancelled. Such a
    /// latency is a lower bound and only raises the estimate.
    pub(crate) fn observe_lower_bound(&mut self, ratio: f64, now: Instant) {
        if ratio > self.estimate(now) {
            self.observe(ratio, now);
        }
    }
}

fn decay(at: Instant, now: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / half_life.as_secs_f64()).exp2()
}
