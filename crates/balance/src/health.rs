//! Failure detection and ejection of one target.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures after which a target is ejected.
const CONSECUTIVE_FAILURES: u32 = 5;

/// Number of recent results that are kept. More failures than half of this
/// number eject the target.
const RESULT_WINDOW: usize = 20;

/// Duration of the first ejection; each further ejection doubles the duration.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time without an ejection after which the duration starts again from
/// [`FIRST_EJECTION`].
const BACKOFF_RESET_AFTER: Duration = Duration::from_mins(1);

/// Time after the end of an ejection from which a non-idempotent request may
/// serve as the trial. Idempotent requests are preferred because they can be
/// retried, but a service may have none.
const NON_IDEMPOTENT_TRIAL_DELAY: Duration = Duration::from_secs(1);

/// Half-life of the failure share while no further failure occurs.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Greatest age of a healthy probe that ends an ejection.
const PROBE_VALIDITY: Duration = Duration::from_secs(1);

/// Failure history of a target, and its ejection if one is in progress.
#[derive(Debug, Default)]
pub(crate) struct Health {
    consecutive: u32,
    results: VecDeque<bool>,
    failed_at: Option<Instant>,
    ejection: Option<Ejection>,
    /// Number of ejections in a row, which sets the duration of the next one.
    backoff_level: u32,
    last_return: Option<Instant>,
    /// Whether a probe ended the last ejection and no request has succeeded
    /// since.
    probation: bool,
    /// Highest attempt number that was sent before the last ejection. Results
    /// of such attempts are ignored.
    last_before_ejection: u64,
}

#[derive(Debug)]
struct Ejection {
    until: Instant,
    trial: Option<u64>,
    healthy: Option<Instant>,
}

/// Eligibility of a target for requests, as far as its failures decide it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eligibility {
    Eligible,
    Ejected(Duration),
    /// The ejection has ended and one trial request may be sent. A
    /// non-idempotent request may serve only when `any_kind` is set.
    Trial {
        any_kind: bool,
    },
    /// A trial request is in flight.
    TrialInFlight,
}

impl Health {
    pub(crate) fn eligibility(&self, now: Instant) -> Eligibility {
        match &self.ejection {
            None => Eligibility::Eligible,
            Some(ejection) if ejection.until > now => Eligibility::Ejected(ejection.until - now),
            Some(ejection) if ejection.trial.is_some() => Eligibility::TrialInFlight,
            Some(ejection) => Eligibility::Trial {
                any_kind: now >= ejection.until + NON_IDEMPOTENT_TRIAL_DELAY,
            },
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns the failures among the last results as a share of
    /// [`RESULT_WINDOW`]. The share decays over time, because a target that is
    /// avoided gets no requests whose success could lower the share.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        let Some(at) = self.failed_at else {
            return 0.0;
        };
        let failures = self.results.iter().filter(|failed| **failed).count();
        let age = now
            .saturating_duration_since(at)
            .div_duration_f64(FAILURE_HALF_LIFE);
        crate::number::ratio(failures, RESULT_WINDOW) * (-age).exp2()
    }

    /// Records that an attempt is sent to the target.
    pub(crate) fn record_dispatch(&mut self, attempt: u64) {
        if let Some(ejection) = &mut self.ejection {
            ejection.trial = Some(attempt);
        }
    }

    /// Records that an attempt ended without a result.
    pub(crate) fn record_cancellation(&mut self, attempt: u64) {
        if let Some(ejection) = &mut self.ejection
            && ejection.trial == Some(attempt)
        {
            ejection.trial = None;
        }
    }

    /// Records a successful attempt.
    pub(crate) fn record_success(&mut self, attempt: u64, now: Instant) {
        if self.is_trial(attempt) {
            self.end_ejection(now);
            self.probation = false;
        }
        if self.ejection.is_some() || attempt <= self.last_before_ejection {
            return;
        }
        self.probation = false;
        self.consecutive = 0;
        self.push(false);
        if self
            .last_return
            .is_some_and(|at| now - at > BACKOFF_RESET_AFTER)
        {
            self.backoff_level = 0;
        }
    }

    /// Records a failed attempt; returns whether the target is to be ejected.
    pub(crate) fn record_failure(&mut self, attempt: u64, now: Instant) -> bool {
        if self.is_trial(attempt) {
            return true;
        }
        if self.ejection.is_some() || attempt <= self.last_before_ejection {
            return false;
        }
        self.consecutive += 1;
        self.failed_at = Some(now);
        self.push(true);
        let failures = self.results.iter().filter(|failed| **failed).count();
        self.probation || self.consecutive >= CONSECUTIVE_FAILURES || failures * 2 > RESULT_WINDOW
    }

    /// Ejects the target and returns the duration. `latest` is the number of
    /// the last attempt that was sent.
    pub(crate) fn eject(&mut self, now: Instant, latest: u64) -> Duration {
        let factor = 1_u32.checked_shl(self.backoff_level).unwrap_or(u32::MAX);
        let duration = FIRST_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.backoff_level = (self.backoff_level + 1).min(u32::BITS - 1);
        self.ejection = Some(Ejection {
            until: now + duration,
            trial: None,
            healthy: None,
        });
        self.last_before_ejection = latest;
        duration
    }

    /// Records a healthy answer to a probe; `taken` is the time of the sample.
    pub(crate) fn record_healthy_probe(&mut self, taken: Instant) {
        if let Some(ejection) = &mut self.ejection {
            ejection.healthy = ejection.healthy.max(Some(taken));
        }
    }

    /// Returns the target to service, on probation, if its ejection has ended
    /// and a recent probe was healthy.
    pub(crate) fn return_on_probe(&mut self, now: Instant) {
        let is_due = self.ejection.as_ref().is_some_and(|ejection| {
            let is_recent = |taken: Instant| now.saturating_duration_since(taken) <= PROBE_VALIDITY;
            ejection.until <= now && ejection.healthy.is_some_and(is_recent)
        });
        if is_due {
            self.end_ejection(now);
            self.probation = true;
        }
    }

    /// Ends the ejection and clears the failure history.
    pub(crate) fn end_ejection(&mut self, now: Instant) {
        self.ejection = None;
        self.last_return = Some(now);
        self.consecutive = 0;
        self.results.clear();
    }

    /// Returns the end of the ejection, if there is one.
    pub(crate) fn ejection_end(&self) -> Option<Instant> {
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
