//! Outlier detection: ejection of a failing target.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new result in the failure rate: two failures outweigh the
/// preceding successes, because a failing target is chosen again within tens of
/// milliseconds.
const FAILURE_RATE_GAIN: f64 = 0.25;

/// Half-life of the failure rate while a target gets no requests; failures of
/// real targets last some seconds.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Consecutive failures after which a target is ejected. One or two also occur at
/// healthy targets.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// First ejection time, about a restart; doubles with each further ejection.
const BASE_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection time. It bounds how long a recovered target stays unused.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Failure record of a target. Only results of real requests count, because a
/// health check may report a failing target as healthy and the reverse.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failure_rate: f64,
    consecutive_failures: u32,
    updated: Option<Instant>,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    pub(crate) fn record_success(&mut self, now: Instant) {
        self.decay(now);
        self.failure_rate -= FAILURE_RATE_GAIN * self.failure_rate;
        self.consecutive_failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
        self.ejected_until = None;
    }

    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failure_rate += FAILURE_RATE_GAIN * (1.0 - self.failure_rate);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            self.eject(now);
        }
    }

    /// Ejects the target unless it is ejected already.
    pub(crate) fn eject(&mut self, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        let length = BASE_EJECTION * 2_u32.pow(self.ejections.min(3));
        self.ejections = (self.ejections + 1).min(8);
        self.ejected_until = Some(now + length.min(MAX_EJECTION));
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Whether the target was ejected and has not completed a request
    /// successfully since.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the failure rate of recent requests, decayed to `now`.
    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        let age = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.failure_rate * (-age.div_duration_f64(FAILURE_RATE_HALF_LIFE)).exp2()
    }

    fn decay(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate(now);
        self.updated = Some(now);
    }
}
