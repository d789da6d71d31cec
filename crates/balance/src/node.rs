//! One target with everything that is known of it.

use std::collections::BTreeMap;
use std::time::Duration;

use carobdrift_document::{Endpoint, State};
use tokio::time::Instant;

use crate::health::{Admission, Health};
use crate::number::count;
use crate::observation::Report;
use crate::signal::{Foreign, Memory};
use crate::snapshot::{Snapshot, Standing};
use crate::tenure::{Process, Tenure};

/// Time over which a cold target is brought up to its full share.
const SLOW_START: Duration = Duration::from_secs(5);

/// Age up to which a probe sample is used.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(1);

/// Time without new requests after a target refused one; each further refusal
/// in a row doubles it.
const REFUSAL_PAUSE: Duration = Duration::from_millis(5);

/// Most doublings of the pause after a refusal: 640 ms.
const REFUSAL_DOUBLINGS: u32 = 7;

/// A target and its state. A node outlives its target's place in the document
/// until its last request has ended.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) serial: u64,
    pub(crate) endpoint: Endpoint,
    /// The document no longer lists the target.
    pub(crate) retired: bool,
    pub(crate) tenure: Tenure,
    pub(crate) health: Health,
    in_flight: BTreeMap<u64, Flight>,
    memory: Memory,
    latency: Option<f64>,
    foreign: Foreign,
    sample: Option<Probed>,
    refusals: u32,
    paused_until: Option<Instant>,
    cold_since: Option<Instant>,
    answered: Option<Instant>,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
struct Flight {
    started: Instant,
    /// Usual time of its class in seconds, when known.
    usual: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Probed {
    in_flight: f64,
    taken: Instant,
}

impl Node {
    pub(crate) fn new(serial: u64, endpoint: Endpoint, cold_since: Option<Instant>) -> Self {
        Self {
            serial,
            endpoint,
            retired: false,
            tenure: Tenure::default(),
            health: Health::default(),
            in_flight: BTreeMap::new(),
            memory: Memory::default(),
            latency: None,
            foreign: Foreign::default(),
            sample: None,
            refusals: 0,
            paused_until: None,
            cold_since,
            answered: None,
        }
    }

    pub(crate) fn is_usable(&self) -> bool {
        !self.retired && self.tenure.leaving().is_none()
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

    /// Estimated requests of other entries in flight. An unused probe sample
    /// counts as long as it is valid, because it does not come from a request
    /// and nothing newer replaces it on an idle target.
    pub(crate) fn foreign(&self, now: Instant) -> f64 {
        let sample = self
            .sample
            .filter(|s| now.duration_since(s.taken) <= SAMPLE_VALIDITY);
        let sampled = sample.map_or(0.0, |s| s.in_flight - count(self.in_flight.len()));
        self.foreign.estimate(now).max(sampled)
    }

    /// How many times slower than usual the target is, by results.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        self.memory.slowdown(now)
    }

    /// Age of the oldest request in flight as a multiple of its usual time.
    pub(crate) fn oldest(&self, now: Instant) -> f64 {
        let oldest = self.in_flight.first_key_value();
        oldest.map_or(0.0, |(_, flight)| flight.ratio(now).unwrap_or(0.0))
    }

    /// Progress of the slow start; 1 for a warm target.
    pub(crate) fn warmth(&self, now: Instant) -> f64 {
        let progress = |since| {
            now.saturating_duration_since(since)
                .div_duration_f64(SLOW_START)
        };
        self.cold_since.map_or(1.0, progress).min(1.0)
    }

    /// Notes that an attempt is sent.
    pub(crate) fn dispatch(&mut self, attempt: u64, usual: Option<f64>, now: Instant) {
        let flight = Flight {
            started: now,
            usual,
        };
        self.in_flight.insert(attempt, flight);
        self.health.dispatched(attempt);
        self.sample = None;
    }

    /// Takes in what the target states of its load.
    pub(crate) fn report(&mut self, report: &Report, now: Instant) {
        if let Some(load) = report.load {
            let own = count(self.in_flight.len());
            self.foreign.report(f64::from(load.in_flight), own, now);
        }
    }

    /// Takes in the answer to a probe.
    pub(crate) fn probe(&mut self, in_flight: Option<u32>, taken: Instant) {
        self.sample = in_flight.map(|in_flight| Probed {
            in_flight: f64::from(in_flight),
            taken,
        });
    }

    /// Ends an attempt; returns its time in seconds.
    fn end(&mut self, attempt: u64, now: Instant) -> Option<(f64, Option<f64>)> {
        let flight = self.in_flight.remove(&attempt)?;
        Some(((now - flight.started).as_secs_f64(), flight.ratio(now)))
    }

    /// Ends an attempt that succeeded; returns its time in seconds.
    pub(crate) fn succeed(&mut self, attempt: u64, now: Instant) -> Option<f64> {
        self.health.succeeded(attempt, now);
        self.answered = Some(now);
        self.refusals = 0;
        let (seconds, ratio) = self.end(attempt, now)?;
        if let Some(ratio) = ratio {
            self.memory.observe(ratio, now);
        }
        let latency = self.latency.unwrap_or(seconds);
        self.latency = Some(latency + 0.1 * (seconds - latency));
        Some(seconds)
    }

    /// Ends an attempt that failed; returns whether the target deserves
    /// ejection. The result never makes the target look faster.
    pub(crate) fn fail(&mut self, attempt: u64, answered: bool, now: Instant) -> bool {
        if answered {
            self.answered = Some(now);
        }
        self.withdraw(attempt, now);
        self.health.failed(attempt, now)
    }

    /// Ends an attempt that the target refused.
    pub(crate) fn refuse(&mut self, attempt: u64, now: Instant) {
        self.answered = Some(now);
        let doublings = self.refusals.min(REFUSAL_DOUBLINGS);
        self.paused_until = Some(now + REFUSAL_PAUSE * 2_u32.pow(doublings));
        self.refusals = self.refusals.saturating_add(1);
        self.health.withdrawn(attempt);
        self.end(attempt, now);
    }

    /// Ends an attempt that was cancelled. The time until then shows at least
    /// how slow the target was; it is returned in seconds.
    pub(crate) fn cancel(&mut self, attempt: u64, now: Instant) -> Option<f64> {
        self.health.withdrawn(attempt);
        self.withdraw(attempt, now)
    }

    fn withdraw(&mut self, attempt: u64, now: Instant) -> Option<f64> {
        let (seconds, ratio) = self.end(attempt, now)?;
        if let Some(ratio) = ratio {
            self.memory.raise(ratio, now);
        }
        Some(seconds)
    }

    /// Learns the start id of the process.
    pub(crate) fn record_start(&mut self, start: &str, now: Instant) -> Process {
        let active = self.is_active();
        let process = self.tenure.learn(start, active);
        if process == Process::Changed {
            self.renew(now);
        }
        process
    }

    /// Forgets what was known of the process before.
    pub(crate) fn renew(&mut self, now: Instant) {
        self.cold_since = Some(now);
        self.memory = Memory::default();
        self.foreign = Foreign::default();
        self.sample = None;
        self.latency = None;
        self.refusals = 0;
        self.paused_until = None;
        self.health.restore(now);
    }

    pub(crate) fn snapshot(&self, now: Instant) -> Snapshot {
        let standing = match (self.tenure.leaving(), self.health.admission(now)) {
            (Some(evidence), _) => Standing::Leaving(evidence),
            (None, Admission::Open) => Standing::Active,
            (None, Admission::Ejected(rest)) => Standing::Ejected(rest),
            (None, Admission::Trial { .. } | Admission::Trying) => Standing::HalfOpen,
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
            last_answer: self.answered.map(|at| now.saturating_duration_since(at)),
            in_slow_start: self.warmth(now) < 1.0,
            start: self.tenure.start().map(str::to_owned),
        }
    }
}

impl Flight {
    fn ratio(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.started).as_secs_f64();
        self.usual.map(|usual| age / usual.max(f64::EPSILON))
    }
}
