//! Admission without a response of the grantor.

use std::time::Duration;

use tokio::time::Instant;

/// Shares of the former rate that are admitted, each until a time after the last
/// contact. For the first two seconds, callers that moved may be admitted by the grantor
/// at the full rate as well; with 0.75 of it, and 0.25 of it in the end, such a window
/// held 659 requests of a quota that permits 625. Then the grantor reserves half.
const PHASES: [(Duration, f64); 2] = [
    (Duration::from_secs(2), 0.2),
    (Duration::from_secs(10), 0.5),
];

/// Share of the former rate that is admitted after the last of the [`PHASES`], for which
/// nothing is reserved: the permitted overshoot.
const FINAL_SHARE: f64 = 0.1;

/// Time in which the allowance accumulates, so that requests need not arrive evenly.
const ACCUMULATION_S: f64 = 0.25;

/// Requests that an entry admits while the grantor does not respond.
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    /// Requests per second that the entry admitted before.
    rate: f64,
    started: Instant,
    level: f64,
    filled_at: Instant,
}

impl Allowance {
    /// Creates an allowance from the rate before the last contact.
    pub(crate) fn open(rate: f64, started: Instant) -> Self {
        Self {
            rate,
            started,
            level: 0.0,
            filled_at: started,
        }
    }

    /// Takes one request. Returns whether it is admitted.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let rate = self.rate * self.share(now);
        let elapsed = now.saturating_duration_since(self.filled_at);
        let capacity = (rate * ACCUMULATION_S).max(1.0);
        self.level = (self.level + rate * elapsed.as_secs_f64()).min(capacity);
        self.filled_at = now;
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }

    fn share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started);
        let phase = PHASES.iter().find(|(end, _)| age < *end);
        phase.map_or(FINAL_SHARE, |(_, share)| *share)
    }
}
