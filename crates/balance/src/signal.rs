//! Estimates that decay with time.

use std::time::Duration;

use tokio::time::Instant;

/// Half-life of the estimate of other entries' requests in flight. In the model
/// of `benches/spread.rs` 10 ms gave a p99 that was 3 to 5% higher, and 40 ms
/// no further gain that is worth a staler estimate.
const FOREIGN_HALF_LIFE: Duration = Duration::from_millis(20);

/// Share of a slower result that enters the memory.
const RISE: f64 = 0.5;

/// Share of a faster result that enters the memory.
const FALL: f64 = 0.1;

/// Half-life of the memory of a slow or fast target without new results.
const MEMORY_HALF_LIFE: Duration = Duration::from_millis(100);

/// Estimated requests of other entries in flight on a target.
#[derive(Debug, Default)]
pub(crate) struct Foreign {
    value: f64,
    at: Option<Instant>,
}

impl Foreign {
    /// Takes in a report of `total` requests in flight, `own` of which are
    /// ours.
    pub(crate) fn report(&mut self, total: f64, own: f64, now: Instant) {
        self.value = (total - own).max(0.0);
        self.at = Some(now);
    }

    pub(crate) fn estimate(&self, now: Instant) -> f64 {
        self.at
            .map_or(0.0, |at| self.value * decay(at, now, FOREIGN_HALF_LIFE))
    }
}

/// Latency memory: how many times slower than usual a target is.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    /// Deviation from the usual latency, which is 1.
    deviation: f64,
    at: Option<Instant>,
}

impl Memory {
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        let deviation = |at| self.deviation * decay(at, now, MEMORY_HALF_LIFE);
        1.0 + self.at.map_or(0.0, deviation)
    }

    /// Takes in a successful result.
    pub(crate) fn observe(&mut self, ratio: f64, now: Instant) {
        let slowdown = self.slowdown(now);
        let gain = if ratio > slowdown { RISE } else { FALL };
        self.deviation = slowdown + gain * (ratio - slowdown) - 1.0;
        self.at = Some(now);
    }

    /// Takes in a result that was cut short or failed: it can only show that
    /// the target is slower.
    pub(crate) fn raise(&mut self, ratio: f64, now: Instant) {
        if ratio > self.slowdown(now) {
            self.observe(ratio, now);
        }
    }
}

fn decay(at: Instant, now: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / half_life.as_secs_f64()).exp2()
}
