//! Ejection of targets that fail.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures that eject a target.
const CONSECUTIVE_FAILURES: u32 = 5;

/// Results over which the share of failures is judged; more than half of this
/// number ejects.
const RESULT_WINDOW: usize = 20;

/// Length of the first ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);

/// Time without an ejection after which the next one is a first one again.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Time after which a request that may run only once serves as the trial.
/// Requests that can be retried come first, but a service may have none.
const TRIAL_PATIENCE: Duration = Duration::from_secs(1);

/// Half-life of the share of failures without further failures.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Age up to which a healthy probe lets a target return.
const PROBE_VALIDITY: Duration = Duration::from_secs(1);

/// Record of a target's failures.
#[derive(Debug, Default)]
pub(crate) struct Health {
    consecutive: u32,
    results: VecDeque<bool>,
    failed_at: Option<Instant>,
    ejection: Option<Ejection>,
    /// Number of ejections that follow each other.
    level: u32,
    returned: Option<Instant>,
    /// Returned on a probe and not confirmed by a request yet.
    probation: bool,
    /// Attempts up to this number were sent before the last ejection and
    /// decide nothing.
    settled: u64,
}

#[derive(Debug)]
struct Ejection {
    until: Instant,
    trial: Option<u64>,
    healthy: Option<Instant>,
}

/// Whether a target may be sent to, as far as its failures go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    Open,
    Ejected(Duration),
    /// One trial request is possible; `any` when it may be one that can't be
    /// retried.
    Trial {
        any: bool,
    },
    /// The trial request is in flight.
    Trying,
}

impl Health {
    pub(crate) fn admission(&self, now: Instant) -> Admission {
        match &self.ejection {
            None => Admission::Open,
            Some(ejection) if ejection.until > now => Admission::Ejected(ejection.until - now),
            Some(ejection) if ejection.trial.is_some() => Admission::Trying,
            Some(ejection) => Admission::Trial {
                any: now >= ejection.until + TRIAL_PATIENCE,
            },
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Share of failures among the last results. It fades with time: a target
    /// that is avoided brings no better results of its own.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        let Some(at) = self.failed_at else {
            return 0.0;
        };
        let failures = self.results.iter().filter(|failed| **failed).count();
        let age = now
            .saturating_duration_since(at)
            .div_duration_f64(FAILURE_HALF_LIFE);
        crate::number::ratio(failures, RESULT_WINDOW) * (-age).exp2()
    }

    /// Notes that an attempt goes to the target.
    pub(crate) fn dispatched(&mut self, attempt: u64) {
        if let Some(ejection) = &mut self.ejection {
            ejection.trial = Some(attempt);
        }
    }

    /// Notes that an attempt ended without a result.
    pub(crate) fn withdrawn(&mut self, attempt: u64) {
        if let Some(ejection) = &mut self.ejection
            && ejection.trial == Some(attempt)
        {
            ejection.trial = None;
        }
    }

    /// Notes a good result.
    pub(crate) fn succeeded(&mut self, attempt: u64, now: Instant) {
        if self.is_trial(attempt) {
            self.restore(now);
            self.probation = false;
        }
        if self.ejection.is_some() || attempt <= self.settled {
            return;
        }
        self.probation = false;
        self.consecutive = 0;
        self.push(false);
        if self.returned.is_some_and(|at| now - at > FORGET_AFTER) {
            self.level = 0;
        }
    }

    /// Notes a failure; returns whether the target deserves ejection.
    pub(crate) fn failed(&mut self, attempt: u64, now: Instant) -> bool {
        if self.is_trial(attempt) {
            return true;
        }
        if self.ejection.is_some() || attempt <= self.settled {
            return false;
        }
        self.consecutive += 1;
        self.failed_at = Some(now);
        self.push(true);
        let failures = self.results.iter().filter(|failed| **failed).count();
        self.probation || self.consecutive >= CONSECUTIVE_FAILURES || failures * 2 > RESULT_WINDOW
    }

    /// Ejects the target; `latest` is the last attempt that was sent.
    pub(crate) fn eject(&mut self, now: Instant, latest: u64) -> Duration {
        let factor = 1_u32.checked_shl(self.level).unwrap_or(u32::MAX);
        let length = FIRST_EJECTION.saturating_mul(factor).min(LONGEST_EJECTION);
        self.level = (self.level + 1).min(u32::BITS - 1);
        self.ejection = Some(Ejection {
            until: now + length,
            trial: None,
            healthy: None,
        });
        self.settled = latest;
        length
    }

    /// Notes a probe that was answered as healthy at the moment `taken`.
    pub(crate) fn probed(&mut self, taken: Instant) {
        if let Some(ejection) = &mut self.ejection {
            ejection.healthy = ejection.healthy.max(Some(taken));
        }
    }

    /// Returns the target once its ejection is over and a recent probe found
    /// it healthy.
    pub(crate) fn settle(&mut self, now: Instant) {
        let due = self.ejection.as_ref().is_some_and(|ejection| {
            let recent = |taken: Instant| now.saturating_duration_since(taken) <= PROBE_VALIDITY;
            ejection.until <= now && ejection.healthy.is_some_and(recent)
        });
        if due {
            self.restore(now);
            self.probation = true;
        }
    }

    /// Ends an ejection.
    pub(crate) fn restore(&mut self, now: Instant) {
        self.ejection = None;
        self.returned = Some(now);
        self.consecutive = 0;
        self.results.clear();
    }

    /// End of the ejection, when there is one.
    pub(crate) fn until(&self) -> Option<Instant> {
        self.ejection.as_ref().map(|ejection| ejection.until)
    }

    fn is_trial(&self, attempt: u64) -> bool {
        let trial = self.ejection.as_ref().and_then(|ejection| ejection.trial);
        trial == Some(attempt)
    }

    fn push(&mut self, failed: bool) {
        if self.results.len() == RESULT_WINDOW {
            self.results.pop_front();
        }
        self.results.push_back(failed);
    }
}
