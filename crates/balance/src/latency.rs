//! Latency distribution of the first attempts of a class.

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Unit of the histogram: 10 µs.
const UNIT_SECONDS: f64 = 0.000_01;

/// Largest recorded latency in histogram units: 60 s.
const MAX_UNITS: u64 = 6_000_000;

/// Significant digits of a recorded value. One digit keeps a histogram near 1
/// KiB, and a hedge delay needs no finer resolution.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Interval after which the older of the two histograms is dropped.
const ROTATION_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest interval between two computations of the quantiles.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Number of samples below which no quantile is reported.
const MIN_SAMPLES: u64 = 20;

/// Pair of rotating histograms with cached quantiles.
#[derive(Debug)]
pub(crate) struct Latency {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    rotated: Instant,
    refreshed: Option<Instant>,
    quantile: f64,
    median: Option<f64>,
    slow_threshold: Option<Duration>,
}

impl Latency {
    /// Creates an empty distribution. An attempt counts as slow from the given
    /// quantile on.
    pub(crate) fn new(quantile: f64, now: Instant) -> Self {
        Self {
            current: None,
            previous: None,
            rotated: now,
            refreshed: None,
            quantile,
            median: None,
            slow_threshold: None,
        }
    }

    pub(crate) fn set_quantile(&mut self, quantile: f64) {
        self.quantile = quantile;
        self.refreshed = None;
    }

    /// Records a latency in seconds.
    pub(crate) fn record(&mut self, seconds: f64, now: Instant) {
        if now - self.rotated >= ROTATION_INTERVAL {
            self.previous = self.current.take();
            self.rotated = now;
        }
        if self.current.is_none() {
            self.current = Histogram::new_with_bounds(1, MAX_UNITS, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(current) = &mut self.current {
            current.saturating_record(to_units(seconds));
        }
        if self.refreshed.is_none_or(|at| now - at >= REFRESH_INTERVAL) {
            self.refresh(now);
        }
    }

    /// Records an attempt that was cancelled after the given time, if it
    /// already counted as slow. A hedge that wins cancels the slow first
    /// attempt, and without such attempts the quantile would be too low. A
    /// shorter time is ignored: the caller may have gone away.
    pub(crate) fn record_cancelled(&mut self, seconds: f64, now: Instant) {
        if self
            .slow_threshold
            .is_some_and(|slow_threshold| seconds >= slow_threshold.as_secs_f64())
        {
            self.record(seconds, now);
        }
    }

    /// Returns the median in seconds, once there are enough samples.
    pub(crate) fn median(&self) -> Option<f64> {
        self.median
    }

    /// Returns the latency above which an attempt counts as slow, once there
    /// are enough samples.
    pub(crate) fn slow_threshold(&self) -> Option<Duration> {
        self.slow_threshold
    }

    fn refresh(&mut self, now: Instant) {
        let Some(current) = &self.current else {
            return;
        };
        let mut all = current.clone();
        if let Some(previous) = &self.previous {
            // Both histograms have the same bounds, so the addition cannot
            // fail.
            let _ = all.add(previous);
        }
        if all.len() < MIN_SAMPLES {
            return;
        }
        self.refreshed = Some(now);
        self.median = Some(to_seconds(all.value_at_quantile(0.5)));
        let slow_threshold = to_seconds(all.value_at_quantile(self.quantile));
        self.slow_threshold = Some(Duration::from_secs_f64(slow_threshold));
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the histogram"
)]
fn to_units(seconds: f64) -> u64 {
    (seconds / UNIT_SECONDS).clamp(1.0, 6_000_000.0) as u64
}

fn to_seconds(units: u64) -> f64 {
    f64::from(u32::try_from(units).unwrap_or(u32::MAX)) * UNIT_SECONDS
}
