//! Latency of the first attempts of a class.

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Unit of the histogram: 10 µs.
const UNIT_SECONDS: f64 = 0.000_01;

/// Largest recorded latency in units: 60 s.
const LARGEST_UNITS: u64 = 6_000_000;

/// One significant digit keeps a histogram near 1 KiB; a hedge delay needs no
/// finer steps.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Time after which the older half of the memory is dropped.
const ROTATION: Duration = Duration::from_secs(10);

/// Shortest time between two computations of the quantiles.
const REFRESH: Duration = Duration::from_millis(200);

/// Samples without which a quantile states nothing.
const FEWEST_SAMPLES: u64 = 20;

/// Rotating pair of histograms with cached quantiles.
#[derive(Debug)]
pub(crate) struct Latency {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    rotated: Instant,
    refreshed: Option<Instant>,
    quantile: f64,
    usual: Option<f64>,
    slow: Option<Duration>,
}

impl Latency {
    /// A memory whose slow latency is the given quantile.
    pub(crate) fn new(quantile: f64, now: Instant) -> Self {
        Self {
            current: None,
            previous: None,
            rotated: now,
            refreshed: None,
            quantile,
            usual: None,
            slow: None,
        }
    }

    pub(crate) fn set_quantile(&mut self, quantile: f64) {
        self.quantile = quantile;
        self.refreshed = None;
    }

    /// Records a latency in seconds.
    pub(crate) fn record(&mut self, seconds: f64, now: Instant) {
        if now - self.rotated >= ROTATION {
            self.previous = self.current.take();
            self.rotated = now;
        }
        if self.current.is_none() {
            self.current = Histogram::new_with_bounds(1, LARGEST_UNITS, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(current) = &mut self.current {
            current.saturating_record(units(seconds));
        }
        if self.refreshed.is_none_or(|at| now - at >= REFRESH) {
            self.refresh(now);
        }
    }

    /// Records an attempt that was cancelled after the given time. It counts
    /// when it was slow by then: a hedge that wins cancels the slow first
    /// attempt, and without those the quantile would state too little. A
    /// shorter one says nothing, as its caller may have gone away.
    pub(crate) fn record_cut(&mut self, seconds: f64, now: Instant) {
        if self.slow.is_some_and(|slow| seconds >= slow.as_secs_f64()) {
            self.record(seconds, now);
        }
    }

    /// Median in seconds, once there are enough samples.
    pub(crate) fn usual(&self) -> Option<f64> {
        self.usual
    }

    /// The quantile after which an attempt counts as slow, once there are
    /// enough samples.
    pub(crate) fn slow(&self) -> Option<Duration> {
        self.slow
    }

    fn refresh(&mut self, now: Instant) {
        let Some(current) = &self.current else {
            return;
        };
        let mut all = current.clone();
        if let Some(previous) = &self.previous {
            // Both have the same bounds, so nothing is lost.
            let _ = all.add(previous);
        }
        if all.len() < FEWEST_SAMPLES {
            return;
        }
        self.refreshed = Some(now);
        self.usual = Some(seconds(all.value_at_quantile(0.5)));
        let slow = seconds(all.value_at_quantile(self.quantile));
        self.slow = Some(Duration::from_secs_f64(slow));
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the histogram"
)]
fn units(seconds: f64) -> u64 {
    (seconds / UNIT_SECONDS).clamp(1.0, 6_000_000.0) as u64
}

fn seconds(units: u64) -> f64 {
    f64::from(u32::try_from(units).unwrap_or(u32::MAX)) * UNIT_SECONDS
}
