//! Failures of a target.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new result in the share of failures: two failures outweigh the
/// successes before, because a failing target is met again within tens of
/// milliseconds.
const GAIN: f64 = 0.25;

/// Half-life of the share of failures while a target gets no requests; failures of
/// real targets last some seconds.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Consecutive failures after which a target is rested. One or two also occur at
/// healthy targets.
const CONSECUTIVE: u32 = 3;

/// First rest, about a restart; doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(500);

/// Longest rest, within which a target that returns is missed least.
const LONGEST_REST: Duration = Duration::from_secs(4);

/// Record of a target's failures. Answers to real requests decide; a health
/// answer may be false either way.
#[derive(Debug, Default)]
pub(crate) struct Health {
    share: f64,
    consecutive: u32,
    changed: Option<Instant>,
    rests: u32,
    rest_until: Option<Instant>,
}

impl Health {
    pub(crate) fn succeed(&mut self, now: Instant) {
        self.decay(now);
        self.share -= GAIN * self.share;
        self.consecutive = 0;
        self.rests = self.rests.saturating_sub(1);
        self.rest_until = None;
    }

    pub(crate) fn fail(&mut self, now: Instant) {
        self.decay(now);
        self.share += GAIN * (1.0 - self.share);
        self.consecutive += 1;
        if self.consecutive >= CONSECUTIVE {
            self.rest(now);
        }
    }

    /// Rests a target that can't be reached.
    pub(crate) fn rest(&mut self, now: Instant) {
        if self.is_resting(now) {
            return;
        }
        let length = FIRST_REST * 2_u32.pow(self.rests.min(3));
        self.rests = (self.rests + 1).min(8);
        self.rest_until = Some(now + length.min(LONGEST_REST));
    }

    pub(crate) fn is_resting(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| until > now)
    }

    /// Whether the target was rested and has not answered a request since.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.rest_until.is_some()
    }

    /// Share of failures among the last results.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        let age = self
            .changed
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.share * (-age.div_duration_f64(HALF_LIFE)).exp2()
    }

    fn decay(&mut self, now: Instant) {
        self.share = self.failing(now);
        self.changed = Some(now);
    }
}
