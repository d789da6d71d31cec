//! Candidate target: its registration, load report and health.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_units::{Service, Target, Zone};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::contention::Level;
use crate::health::Health;
use crate::report::{Load, Outcome, Report};

/// Mean time for which the speed of a target stays constant.
const SPEED_LIFETIME: Duration = Duration::from_millis(150);

/// Factor on the service time of a target that is warming up, as existing
/// installations state it.
const WARMUP_FACTOR: f64 = 2.0;

/// Share of its slots up to which a target works at full speed. Some slow down
/// from 0.8 on.
const UTILIZATION_KNEE: f64 = 0.7;

/// Relative increase of the service time when all slots are in use.
const CONTENTION_PENALTY: f64 = 0.5;

/// Weight of the failure rate in the cost of a target: one failure in four
/// makes the target as costly as the slowest healthy ones.
const FAILURE_WEIGHT: f64 = 12.0;

/// Time without an answer, as a multiple of the expected time, after which an
/// attempt counts as stuck.
const STUCK_FACTOR: f64 = 4.0;

/// Time for which no second probe is sent while the first one is unanswered.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of doublings of the probe interval after unanswered probes. A
/// saturated target accepts no connections, and each probe would open another
/// one.
const MAX_PROBE_DOUBLINGS: u32 = 6;

/// Longest warm-up time that is taken into account.
const MAX_WARMUP: Duration = Duration::from_mins(10);

/// Age up to which a response of the health endpoint shows whether a target is cold. A
/// target that is cold again gets a few requests in this time, fewer than the 8
/// beyond its rate that the installations permit.
const MAX_HEALTH_AGE: Duration = Duration::from_millis(250);

/// Largest number of unanswered probes that count in the cost of a target; with
/// them the target is as costly as a slow one.
const MAX_UNANSWERED_PROBES: u32 = 4;

/// Slowdown of a target that does not report its load. The service time of its requests is
/// then their mean duration, in which its slow times count.
const UNREPORTED_SLOWDOWN: f64 = 1.0;

/// Number of successive answers without a load report after which a target that reported
/// its load before counts as one that reports none.
const MAX_MISSING_REPORTS: u32 = 3;

/// Time between two probes of a target that was added later and has had no
/// request yet.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Lifecycle state of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// The target accepts new requests.
    Ready,
    /// The target finishes its requests and accepts no new ones.
    Draining,
}

/// Averages over the targets of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Baseline {
    /// Mean slowdown, as a multiple of the service time at full speed.
    pub(crate) slowdown: f64,
    /// Mean duration of a request.
    pub(crate) request_time: Duration,
}

/// Registration of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the target.
    pub id: Target,
    /// Start of the target's process, in Unix milliseconds. A process with
    /// another start is another target, even under the same id.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Service that the target belongs to.
    pub service: Service,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Availability zone that the target runs in.
    pub zone: Zone,
    /// Requests that the target executes concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub lifecycle: Lifecycle,
    /// Remaining warm-up time, during which the target is slow; zero if the
    /// registration states none.
    #[serde(rename = "cold")]
    pub warmup: Duration,
}

/// Target with the state that this entry holds about it.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) endpoint: Endpoint,
    /// Whether the target is in the availability zone of this entry.
    pub(crate) local: bool,
    report: Option<Report>,
    /// Answers without a report since the last one with a report.
    missing_reports: u32,
    /// Time of the last answer, with a report or without.
    answered: Option<Instant>,
    /// Time of the last refusal of a request or a probe.
    refused: Option<Instant>,
    last_probe: Option<Instant>,
    /// Probes without an answer since the last answer.
    unanswered_probes: u32,
    in_flight: Vec<Attempt>,
    health: Health,
    warmup_until: Instant,
    /// Time until which no token for a request to the cold target is expected.
    withheld_until: Option<Instant>,
    /// Time of the last response of the target's health endpoint.
    health_checked: Option<Instant>,
    /// Whether the target was added after the initial ones and has had no
    /// request from this entry yet.
    untried: bool,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    id: u64,
    started: Instant,
    expected: Duration,
    /// Utilization of the target with this attempt.
    level: Level,
}

/// Attempt that ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Completed {
    pub(crate) elapsed: Duration,
    pub(crate) expected: Duration,
    pub(crate) level: Level,
}

impl Candidate {
    pub(crate) fn new(endpoint: Endpoint, local: bool, untried: bool, now: Instant) -> Self {
        let warmup_until = now + endpoint.warmup.min(MAX_WARMUP);
        Self {
            endpoint,
            local,
            report: None,
            missing_reports: 0,
            answered: None,
            refused: None,
            last_probe: None,
            unanswered_probes: 0,
            in_flight: Vec::new(),
            health: Health::default(),
            warmup_until,
            withheld_until: None,
            health_checked: None,
            untried,
        }
    }

    /// Applies a newer registration of the same process.
    /// Unless `may_shorten`, a longer warm-up time that the target stated itself stays:
    /// it may be cold again since the registration was written.
    pub(crate) fn update(&mut self, endpoint: Endpoint, may_shorten: bool, now: Instant) {
        let until = now + endpoint.warmup.min(MAX_WARMUP);
        self.warmup_until = if may_shorten {
            until
        } else {
            until.max(self.warmup_until)
        };
        self.endpoint = endpoint;
    }

    /// Records the remaining warm-up time that the target stated.
    pub(crate) fn record_warmup(&mut self, warmup: Duration, now: Instant) {
        self.warmup_until = now + warmup.min(MAX_WARMUP);
    }

    pub(crate) fn record_health(&mut self, now: Instant) {
        self.health_checked = Some(now);
    }

    /// Whether the health endpoint, which states whether the target is cold again,
    /// responded recently.
    pub(crate) fn is_health_known(&self, now: Instant) -> bool {
        self.health_checked
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_HEALTH_AGE)
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.warmup_until
    }

    /// Leaves the target out until a token for it is expected.
    pub(crate) fn withhold(&mut self, until: Instant) {
        self.withheld_until = Some(until);
    }

    /// Whether the target is cold and no token for it is expected yet.
    pub(crate) fn is_withheld(&self, now: Instant) -> bool {
        self.is_cold(now) && self.withheld_until.is_some_and(|until| now < until)
    }

    /// Begins an attempt. `occupancy` is the number of requests on the target
    /// before it.
    pub(crate) fn begin_attempt(
        &mut self,
        id: u64,
        expected: Duration,
        occupancy: u32,
        now: Instant,
    ) {
        self.untried = false;
        let level = Level::new(occupancy + 1, self.slots());
        self.in_flight.push(Attempt {
            id,
            started: now,
            expected,
            level,
        });
    }

    /// Ends an attempt.
    pub(crate) fn end_attempt(
        &mut self,
        id: u64,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Completed> {
        let index = self.in_flight.iter().position(|attempt| attempt.id == id)?;
        let attempt = self.in_flight.swap_remove(index);
        if outcome == Outcome::Refused {
            self.record_refusal(now);
        }
        match outcome {
            Outcome::Success => self.health.record_success(now),
            Outcome::Failure => self.health.record_failure(now),
            Outcome::Cancelled if attempt.is_stuck(now) => self.health.record_failure(now),
            // A target that refuses although it reports a free slot is failing.
            Outcome::Refused if self.reports_free_slot() => self.health.record_failure(now),
            Outcome::Cancelled | Outcome::Refused => {}
        }
        Some(Completed {
            elapsed: now.saturating_duration_since(attempt.started),
            expected: attempt.expected,
            level: attempt.level,
        })
    }

    /// Records that the target refused a request or a probe.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.refused = Some(now);
    }

    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.health.record_failure(now);
    }

    pub(crate) fn record_probe(&mut self, now: Instant) {
        self.last_probe = Some(now);
    }

    /// Whether a recent probe is still unanswered. No further probe is needed
    /// then, because its answer serves all requests.
    pub(crate) fn is_probe_pending(&self, now: Instant) -> bool {
        self.last_probe.is_some_and(|at| {
            let interval =
                PROBE_INTERVAL * 2_u32.pow(self.unanswered_probes.min(MAX_PROBE_DOUBLINGS));
            self.answered < Some(at) && now.saturating_duration_since(at) < interval
        })
    }

    /// Whether the target was added later, has warmed up, and has had no request
    /// yet.
    pub(crate) fn is_untried(&self, now: Instant) -> bool {
        self.untried && now >= self.warmup_until
    }

    /// Whether the last answer and the last probe are both older than the trial
    /// interval.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.answered
            .max(self.last_probe)
            .is_none_or(|at| now.saturating_duration_since(at) >= TRIAL_INTERVAL)
    }

    pub(crate) fn record_unanswered_probe(&mut self) {
        self.unanswered_probes = self.unanswered_probes.saturating_add(1);
    }

    pub(crate) fn record_load(&mut self, load: Load, now: Instant) {
        self.unanswered_probes = 0;
        self.missing_reports = 0;
        self.answered = Some(now);
        self.report = Some(Report {
            load,
            received: now,
            own_in_flight: to_u32(self.in_flight.len()),
        });
    }

    /// Records an answer that does not state the load.
    pub(crate) fn record_missing_report(&mut self, now: Instant) {
        self.unanswered_probes = 0;
        self.missing_reports = self.missing_reports.saturating_add(1);
        self.answered = Some(now);
        if self.missing_reports >= MAX_MISSING_REPORTS {
            self.report = None;
        }
    }

    /// Whether the target answers, but does not report its load. Its load is known only
    /// from the requests of this entry.
    pub(crate) fn is_unreported(&self) -> bool {
        self.report.is_none() && self.missing_reports > 0
    }

    /// Whether probes of a target that does not report its load were not answered.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.unanswered_probes > 0
    }

    pub(crate) fn mark_unreachable(&mut self, now: Instant) {
        self.report = None;
        self.missing_reports = 0;
        self.answered = None;
        self.health.eject(now);
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.endpoint.lifecycle == Lifecycle::Ready && !self.health.is_ejected(now)
    }

    pub(crate) fn is_on_probation(&self) -> bool {
        self.health.is_on_probation()
    }

    /// Returns the time since the last answer.
    pub(crate) fn answer_age(&self, now: Instant) -> Option<Duration> {
        self.answered.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the age of the last report.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.report
            .map(|report| now.saturating_duration_since(report.received))
    }

    /// Estimates the number of requests on the target, including those that other
    /// entries sent.
    pub(crate) fn occupancy(&self, baseline: Baseline, now: Instant) -> u32 {
        let own = to_u32(self.in_flight.len());
        let (foreign, since) = match (self.report, self.refused) {
            (Some(report), _) => {
                let total = report.load.running.saturating_add(report.load.waiting);
                let foreign = total.saturating_sub(report.own_in_flight);
                (foreign, report.received)
            }
            // A target refuses requests while it is full.
            (None, Some(refused)) => (self.slots().saturating_sub(own), refused),
            (None, None) => return own,
        };
        let age = now.saturating_duration_since(since);
        // This entry does not see requests of other entries end, so their number
        // decays with the age of what is known of them.
        let remaining = f64::from(foreign) * (-age.div_duration_f64(baseline.request_time)).exp();
        own + round(remaining)
    }

    fn reports_free_slot(&self) -> bool {
        self.report
            .is_some_and(|report| report.load.running < report.load.slots)
    }

    pub(crate) fn slots(&self) -> u32 {
        let reported = self.report.map(|report| report.load.slots);
        reported.unwrap_or(self.endpoint.slots).max(1)
    }

    /// Estimates the current slowdown. The estimate moves from the reported
    /// slowdown to the mean over all targets as the report ages, because the
    /// speed is increasingly likely to have changed since.
    pub(crate) fn slowdown(&self, baseline: Baseline, now: Instant) -> f64 {
        if self.is_unreported() {
            return UNREPORTED_SLOWDOWN;
        }
        let mean = baseline.slowdown;
        let Some(report) = self.report else {
            return mean;
        };
        let age = now.saturating_duration_since(report.received);
        let confidence = (-age.div_duration_f64(SPEED_LIFETIME)).exp();
        mean + (report.load.slowdown - mean) * confidence
    }

    /// Returns the slowdown by which the duration of a request is to be divided to get its
    /// service time at normal speed; `None` if it is not known.
    pub(crate) fn observed_slowdown(&self) -> Option<f64> {
        if self.is_unreported() {
            return Some(UNREPORTED_SLOWDOWN);
        }
        self.reported_slowdown()
    }

    /// Returns the slowdown of the last report.
    pub(crate) fn reported_slowdown(&self) -> Option<f64> {
        self.report.map(|report| report.load.slowdown)
    }

    /// Estimates the time that a request would take on this target, as a
    /// multiple of its service time at normal speed.
    pub(crate) fn cost(&self, baseline: Baseline, now: Instant) -> f64 {
        let occupancy = self.occupancy(baseline, now);
        let slots = self.slots();
        let mut cost = self.slowdown(baseline, now);
        if self.is_cold(now) {
            cost *= WARMUP_FACTOR;
        }
        let utilization = f64::from(occupancy + 1) / f64::from(slots);
        cost *= 1.0
            + CONTENTION_PENALTY
                * ((utilization - UTILIZATION_KNEE) / (1.0 - UTILIZATION_KNEE)).clamp(0.0, 1.0);
        if occupancy >= slots {
            let ahead = f64::from(occupancy - slots + 1) / f64::from(slots);
            cost *= 1.0 + ahead;
        }
        cost *= 1.0 + f64::from(self.unanswered_probes.min(MAX_UNANSWERED_PROBES));
        let stuck = self.in_flight.iter().any(|attempt| attempt.is_stuck(now));
        let failure_rate = self.health.failure_rate(now) + if stuck { 0.3 } else { 0.0 };
        cost * (1.0 + FAILURE_WEIGHT * failure_rate)
    }
}

impl Attempt {
    fn is_stuck(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        age.as_secs_f64() > STUCK_FACTOR * self.expected.as_secs_f64()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "request counts are small and not negative"
)]
fn round(number: f64) -> u32 {
    number.round() as u32
}

fn to_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
