//! Slowdown of targets whose slots are nearly all in use.

use std::time::Duration;

use tokio::time::Instant;

/// Bounds of the levels of utilization, as shares of a target's slots in use. A
/// target is assumed to work at full speed on the lowest level.
const LEVEL_BOUNDS: [f64; 4] = [0.7, 0.8, 0.9, 1.0];

/// Service time on each level before the first observation, relative to that at
/// full speed. Known targets slow down by this factor when more than four fifths of
/// their slots are in use.
const INITIAL_SERVICE_TIMES: [f64; 4] = [1.0, 1.0, 1.7, 1.7];

/// Weight of a new observation: a mean over the last 50.
const GAIN: f64 = 0.02;

/// Range of one observation, relative to the expected service time.
const OBSERVATION_RANGE: (f64, f64) = (0.1, 10.0);

/// Time between two requests that use the other free slots of a target because no
/// target has a usable one, so that the effect is observed.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Level of utilization of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Level(usize);

impl Level {
    /// Returns the level of a target with this number of requests in its slots.
    pub(crate) fn new(occupancy: u32, slots: u32) -> Self {
        let utilization = f64::from(occupancy) / f64::from(slots.max(1));
        let last = LEVEL_BOUNDS.len() - 1;
        let level = LEVEL_BOUNDS.iter().position(|bound| utilization <= *bound);
        Self(level.unwrap_or(last))
    }
}

/// Estimate of how much longer requests of one service take on a target that is
/// nearly full, and thereby of how many of its slots to use: a target that serves
/// four requests at a time, each taking 1.7 times as long, completes fewer requests
/// than one that serves three.
#[derive(Debug)]
pub(crate) struct Contention {
    /// Mean service time on each level, relative to the expected one.
    service_times: [f64; 4],
    /// Time of the last trial, or of the first request without a usable slot.
    last_trial: Option<Instant>,
}

impl Default for Contention {
    fn default() -> Self {
        Self {
            service_times: INITIAL_SERVICE_TIMES,
            last_trial: None,
        }
    }
}

impl Contention {
    /// Records the duration of a request that began on a target of this level.
    pub(crate) fn observe(&mut self, level: Level, elapsed: Duration, expected: Duration) {
        if expected.is_zero() {
            return;
        }
        let (least, most) = OBSERVATION_RANGE;
        let observed = elapsed.div_duration_f64(expected).clamp(least, most);
        let mean = &mut self.service_times[level.0];
        *mean += GAIN * (observed - *mean);
    }

    /// Returns the number of a target's slots with which it completes the most
    /// requests.
    pub(crate) fn usable_slots(&self, slots: u32) -> u32 {
        let mut best = (0.0, slots);
        for bound in LEVEL_BOUNDS {
            let count = slots_within(bound, slots);
            let Level(level) = Level::new(count, slots);
            let throughput = f64::from(count) / self.service_times[level];
            if throughput >= best.0 {
                best = (throughput, count);
            }
        }
        best.1.max(1)
    }

    /// Records that a request found no usable slot. Returns whether it is to use
    /// any free slot.
    pub(crate) fn try_begin_trial(&mut self, now: Instant) -> bool {
        let last_trial = *self.last_trial.get_or_insert(now);
        let is_due = now.saturating_duration_since(last_trial) >= TRIAL_INTERVAL;
        if is_due {
            self.last_trial = Some(now);
        }
        is_due
    }
}

/// Returns the largest number of slots that is at most `share` of them.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of slots is at most their number and not negative"
)]
fn slots_within(share: f64, slots: u32) -> u32 {
    // The tolerance makes up for shares without an exact representation.
    (share * f64::from(slots) + 1e-9).floor() as u32
}
