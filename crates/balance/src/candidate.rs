//! State of one target.

use std::collections::BTreeMap;
use std::time::Duration;

use carobdrift_document::{Endpoint, State};
use tokio::time::Instant;

use crate::estimate::{Foreign, Slowdown};
use crate::health::{Eligibility, Health};
use crate::lifecycle::{Lifecycle, Process};
use crate::number::to_f64;
use crate::observation::Report;
use crate::snapshot::{Snapshot, Standing};

/// Duration of the slow start, in which the load of a new target grows to its
/// full share.
const SLOW_START: Duration = Duration::from_secs(5);

/// Greatest age of a probe sample that is used.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(1);

/// Time without new requests after a target refused one. Each further refusal
/// in a row doubles the pause.
const REFUSAL_PAUSE: Duration = Duration::from_millis(5);

/// Limit for the doublings of [`REFUSAL_PAUSE`], which bounds the pause to 640
/// ms.
const MAX_REFUSAL_DOUBLINGS: u32 = 7;

/// Target with the state that this entry holds about it. The candidate of a
/// target that the document no longer lists remains until its last request has
/// ended.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) serial: u64,
    pub(crate) endpoint: Endpoint,
    /// Whether the document no longer lists the target.
    pub(crate) retired: bool,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) health: Health,
    in_flight: BTreeMap<u64, Attempt>,
    slowdown: Slowdown,
    latency: Option<f64>,
    foreign: Foreign,
    sample: Option<Measurement>,
    refusals: u32,
    paused_until: Option<Instant>,
    slow_start_since: Option<Instant>,
    last_answer: Option<Instant>,
}

/// Attempt in flight.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    started: Instant,
    /// Median latency of the class in seconds, if known.
    median: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Measurement {
    in_flight: f64,
    taken: Instant,
}

impl Candidate {
    pub(crate) fn new(serial: u64, endpoint: Endpoint, slow_start_since: Option<Instant>) -> Self {
        Self {
            serial,
            endpoint,
            retired: false,
            lifecycle: Lifecycle::default(),
            health: Health::default(),
            in_flight: BTreeMap::new(),
            slowdown: Slowdown::default(),
            latency: None,
            foreign: Foreign::default(),
            sample: None,
            refusals: 0,
            paused_until: None,
            slow_start_since,
            last_answer: None,
        }
    }

    pub(crate) fn is_usable(&self) -> bool {
        !self.retired && self.lifecycle.leaving().is_none()
    }

    pub(crate) fn is_active(&self) -> bool {
        self.endpoint.state == State::Active
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns the estimated number of requests that other entries have in
    /// flight. A probe sample counts until the next request is sent or the
    /// sample expires: on an idle target no response replaces it.
    pub(crate) fn foreign(&self, now: Instant) -> f64 {
        let sample = self
            .sample
            .filter(|s| now.duration_since(s.taken) <= SAMPLE_VALIDITY);
        let sampled = sample.map_or(0.0, |s| s.in_flight - to_f64(self.in_flight.len()));
        self.foreign.estimate(now).max(sampled)
    }

    /// Returns the slowdown of the target as a multiple of the median latency,
    /// from completed attempts.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        self.slowdown.estimate(now)
    }

    /// Returns the age of the oldest request in flight as a multiple of the
    /// median latency.
    pub(crate) fn oldest_age_ratio(&self, now: Instant) -> f64 {
        let oldest = self.in_flight.first_key_value();
        oldest.map_or(0.0, |(_, attempt)| attempt.ratio(now).unwrap_or(0.0))
    }

    /// Returns the progress of the slow start, from 0 to 1; 1 once the slow
    /// start has ended.
    pub(crate) fn slow_start_progress(&self, now: Instant) -> f64 {
        let progress = |since| {
            now.saturating_duration_since(since)
                .div_duration_f64(SLOW_START)
        };
        self.slow_start_since.map_or(1.0, progress).min(1.0)
    }

    /// Records that an attempt is sent.
    pub(crate) fn dispatch(&mut self, attempt: u64, median: Option<f64>, now: Instant) {
        let state = Attempt {
            started: now,
            median,
        };
        self.in_flight.insert(attempt, state);
        self.health.record_dispatch(attempt);
        self.sample = None;
    }

    /// Records the load that the target reported.
    pub(crate) fn report(&mut self, report: &Report, now: Instant) {
        if let Some(load) = report.load {
            let own = to_f64(self.in_flight.len());
            self.foreign.report(f64::from(load.in_flight), own, now);
        }
    }

    /// Records the answer to a probe; `taken` is the time of the sample.
    pub(crate) fn record_sample(&mut self, in_flight: Option<u32>, taken: Instant) {
        self.sample = in_flight.map(|in_flight| Measurement {
            in_flight: f64::from(in_flight),
            taken,
        });
    }

    /// Removes an attempt; returns its duration in seconds and as a multiple of
    /// the median latency.
    fn end(&mut self, attempt: u64, now: Instant) -> Option<(f64, Option<f64>)> {
        let attempt = self.in_flight.remove(&attempt)?;
        Some(((now - attempt.started).as_secs_f64(), attempt.ratio(now)))
    }

    /// Ends a successful attempt; returns its duration in seconds.
    pub(crate) fn succeed(&mut self, attempt: u64, now: Instant) -> Option<f64> {
        self.health.record_success(attempt, now);
        self.last_answer = Some(now);
        self.refusals = 0;
        let (seconds, ratio) = self.end(attempt, now)?;
        if let Some(ratio) = ratio {
            self.slowdown.observe(ratio, now);
        }
        let latency = self.latency.unwrap_or(seconds);
        self.latency = Some(latency + 0.1 * (seconds - latency));
        Some(seconds)
    }

    /// Ends a failed attempt; returns whether the target is to be ejected.
    /// `answered` is `false` only for a timeout. The result never lowers the
    /// slowdown.
    pub(crate) fn fail(&mut self, attempt: u64, answered: bool, now: Instant) -> bool {
        if answered {
            self.last_answer = Some(now);
        }
        self.end_without_success(attempt, now);
        self.health.record_failure(attempt, now)
    }

    /// Ends an attempt that the target refused, and pauses new requests.
    pub(crate) fn refuse(&mut self, attempt: u64, now: Instant) {
        self.last_answer = Some(now);
        let doublings = self.refusals.min(MAX_REFUSAL_DOUBLINGS);
        self.paused_until = Some(now + REFUSAL_PAUSE * 2_u32.pow(doublings));
        self.refusals = self.refusals.saturating_add(1);
        self.health.record_cancellation(attempt);
        self.end(attempt, now);
    }

    /// Ends a cancelled attempt; returns its duration in seconds. The duration
    /// is a lower bound of the latency.
    pub(crate) fn cancel(&mut self, attempt: u64, now: Instant) -> Option<f64> {
        self.health.record_cancellation(attempt);
        self.end_without_success(attempt, now)
    }

    fn end_without_success(&mut self, attempt: u64, now: Instant) -> Option<f64> {
        let (seconds, ratio) = self.end(attempt, now)?;
        if let Some(ratio) = ratio {
            self.slowdown.observe_lower_bound(ratio, now);
        }
        Some(seconds)
    }

    /// Records the start id of the process; resets the state if the process is
    /// a new one.
    pub(crate) fn record_start(&mut self, start: &str, now: Instant) -> Process {
        let active = self.is_active();
        let process = self.lifecycle.record_start(start, active);
        if process == Process::Changed {
            self.reset(now);
        }
        process
    }

    /// Resets the state that belongs to the previous process or address.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.slow_start_since = Some(now);
        self.slowdown = Slowdown::default();
        self.foreign = Foreign::default();
        self.sample = None;
        self.latency = None;
        self.refusals = 0;
        self.paused_until = None;
        self.health.end_ejection(now);
    }

    pub(crate) fn snapshot(&self, now: Instant) -> Snapshot {
        let standing = match (self.lifecycle.leaving(), self.health.eligibility(now)) {
            (Some(evidence), _) => Standing::Leaving(evidence),
            (None, Eligibility::Eligible) => Standing::Active,
            (None, Eligibility::Ejected(remaining)) => Standing::Ejected(remaining),
            (None, Eligibility::Trial { .. } | Eligibility::TrialInFlight) => Standing::HalfOpen,
        };
        Snapshot {
            target: self.endpoint.id.clone(),
            address: self.endpoint.address,
            zone: self.endpoint.zone.clone(),
            slots: self.endpoint.slots,
            standing,
            in_flight: u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX),
            foreign_in_flight: self.foreign(now),
            slowdown: self.slowdown(now),
            latency: self.latency.map(Duration::from_secs_f64),
            last_answer: self.last_answer.map(|at| now.saturating_duration_since(at)),
            in_slow_start: self.slow_start_progress(now) < 1.0,
            start: self.lifecycle.start().map(str::to_owned),
        }
    }
}

impl Attempt {
    fn ratio(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        self.median.map(|median| age / median.max(f64::EPSILON))
    }
}
