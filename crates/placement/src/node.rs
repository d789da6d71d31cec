//! One target as this entry sees it.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_units::{Service, Target, Zone};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::health::Health;
use crate::report::{Load, Outcome, Stated};

/// Mean time for which the speed of a target stays as it is.
const SPEED_LIFETIME: Duration = Duration::from_millis(150);

/// Work takes this much longer on a target that was just started, as known
/// installations state it.
const COLD_FACTOR: f64 = 2.0;

/// Share of its slots up to which a target works at full speed. Some slow down
/// from 0.8 on.
const KNEE: f64 = 0.7;

/// Work takes up to this much longer, in parts of its time, on the last slots.
const KNEE_PENALTY: f64 = 0.5;

/// Weight of the share of failures in the cost of a target: one failure in four
/// makes it as dear as the slowest healthy ones.
const FAILURE_WEIGHT: f64 = 12.0;

/// Time without an answer, as a multiple of the time expected, after which a
/// request counts as stuck.
const STUCK_FACTOR: f64 = 4.0;

/// Time for which no second probe is sent while the first one is unanswered.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Doublings of that time after probes that were left unanswered. A saturated
/// target accepts no connections, and each probe would open another one.
const PROBE_DOUBLINGS: u32 = 6;

/// Unanswered probes that count in the cost of a target; with them it is as dear as
/// a slow one.
const MAX_UNANSWERED: u32 = 4;

/// Time between two probes of a target that joined and was not tried yet.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// What is usual for the targets of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usual {
    /// Slowdown, as a multiple of the time that work takes at full speed.
    pub(crate) slowdown: f64,
    /// Time for which a request goes on.
    pub(crate) time: Duration,
}

/// A target as it was registered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the target.
    pub id: Target,
    /// Start of its process, in Unix milliseconds; another start is another
    /// target even under the same id.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Service that it serves.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Requests that it executes at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub lifecycle: Lifecycle,
    /// Time for which it stays slow after its start, when this was stated.
    #[serde(rename = "cold")]
    pub warmup: Duration,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) endpoint: Endpoint,
    pub(crate) local: bool,
    stated: Option<Stated>,
    /// When the last probe was sent.
    asked: Option<Instant>,
    /// Probes that were left unanswered since the last report.
    unanswered: u32,
    in_flight: Vec<Flight>,
    health: Health,
    cold_until: Instant,
    /// Whether it joined while the others were known, and no request was sent to
    /// it yet.
    untried: bool,
}

#[derive(Debug, Clone, Copy)]
struct Flight {
    id: u64,
    since: Instant,
    expected: Duration,
}

impl Node {
    pub(crate) fn new(endpoint: Endpoint, local: bool, joined: bool, now: Instant) -> Self {
        let cold_until = now + endpoint.warmup;
        Self {
            endpoint,
            local,
            stated: None,
            asked: None,
            unanswered: 0,
            in_flight: Vec::new(),
            health: Health::default(),
            cold_until,
            untried: joined,
        }
    }

    /// Takes in a newer registration of the same process.
    pub(crate) fn update(&mut self, endpoint: Endpoint, now: Instant) {
        self.cold_until = now + endpoint.warmup;
        self.endpoint = endpoint;
    }

    pub(crate) fn begin(&mut self, id: u64, expected: Duration, now: Instant) {
        self.untried = false;
        self.in_flight.push(Flight {
            id,
            since: now,
            expected,
        });
    }

    /// Ends an attempt; returns its time.
    pub(crate) fn end(&mut self, id: u64, outcome: Outcome, now: Instant) -> Option<Duration> {
        let index = self.in_flight.iter().position(|flight| flight.id == id)?;
        let flight = self.in_flight.swap_remove(index);
        match outcome {
            Outcome::Success => self.health.succeed(now),
            Outcome::Failure => self.health.fail(now),
            Outcome::Cancelled if flight.is_stuck(now) => self.health.fail(now),
            // A target that refuses although it states a free slot is failing.
            Outcome::Refused if self.states_room() => self.health.fail(now),
            Outcome::Cancelled | Outcome::Refused => {}
        }
        Some(now.saturating_duration_since(flight.since))
    }

    pub(crate) fn asked(&mut self, now: Instant) {
        self.asked = Some(now);
    }

    /// Whether the answer to a probe is due; other requests wait for it too.
    pub(crate) fn is_asked(&self, now: Instant) -> bool {
        let answered = self.stated.map(|stated| stated.at);
        self.asked.is_some_and(|at| {
            let pause = PROBE_INTERVAL * 2_u32.pow(self.unanswered.min(PROBE_DOUBLINGS));
            answered < Some(at) && now.saturating_duration_since(at) < pause
        })
    }

    /// Whether it joined, is no longer cold, and got no request yet.
    pub(crate) fn is_untried(&self, now: Instant) -> bool {
        self.untried && now >= self.cold_until
    }

    /// Whether nothing was heard of it lately, nor asked.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        let heard = self.stated.map(|stated| stated.at);
        heard
            .max(self.asked)
            .is_none_or(|at| now.saturating_duration_since(at) >= TRIAL_INTERVAL)
    }

    pub(crate) fn unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    pub(crate) fn report(&mut self, load: Load, now: Instant) {
        self.unanswered = 0;
        self.stated = Some(Stated {
            load,
            at: now,
            own: count(self.in_flight.len()),
        });
    }

    pub(crate) fn unreachable(&mut self, now: Instant) {
        self.stated = None;
        self.health.rest(now);
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.endpoint.lifecycle == Lifecycle::Ready && !self.health.is_resting(now)
    }

    pub(crate) fn is_on_trial(&self) -> bool {
        self.health.is_on_trial()
    }

    /// Age of the last report.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.stated
            .map(|stated| now.saturating_duration_since(stated.at))
    }

    /// Requests that the target has, those of others included.
    pub(crate) fn occupancy(&self, usual: Usual, now: Instant) -> u32 {
        let own = count(self.in_flight.len());
        let Some(stated) = self.stated else {
            return own;
        };
        let age = now.saturating_duration_since(stated.at);
        let total = stated.load.running + stated.load.waiting;
        let others = f64::from(total.saturating_sub(stated.own));
        // Requests of others end unseen.
        let left = others * (-age.div_duration_f64(usual.time)).exp();
        own + round(left)
    }

    fn states_room(&self) -> bool {
        self.stated
            .is_some_and(|stated| stated.load.running < stated.load.slots)
    }

    pub(crate) fn slots(&self) -> u32 {
        let stated = self.stated.map(|stated| stated.load.slots);
        stated.unwrap_or(self.endpoint.slots).max(1)
    }

    pub(crate) fn has_room(&self, usual: Usual, now: Instant) -> bool {
        self.occupancy(usual, now) < self.slots()
    }

    /// Slowdown expected now, given the mean over all targets: the last report
    /// loses its meaning as the speed is likely to have changed since.
    pub(crate) fn slowdown(&self, usual: Usual, now: Instant) -> f64 {
        let mean = usual.slowdown;
        let Some(stated) = self.stated else {
            return mean;
        };
        let age = now.saturating_duration_since(stated.at);
        let known = (-age.div_duration_f64(SPEED_LIFETIME)).exp();
        mean + (stated.load.slowdown - mean) * known
    }

    /// Last stated slowdown.
    pub(crate) fn stated_slowdown(&self) -> Option<f64> {
        self.stated.map(|stated| stated.load.slowdown)
    }

    /// Time that a request would take here, as a multiple of the usual one.
    pub(crate) fn cost(&self, usual: Usual, now: Instant) -> f64 {
        let occupancy = self.occupancy(usual, now);
        let slots = self.slots();
        let mut cost = self.slowdown(usual, now);
        if now < self.cold_until {
            cost *= COLD_FACTOR;
        }
        let filled = f64::from(occupancy + 1) / f64::from(slots);
        cost *= 1.0 + KNEE_PENALTY * ((filled - KNEE) / (1.0 - KNEE)).clamp(0.0, 1.0);
        if occupancy >= slots {
            let ahead = f64::from(occupancy - slots + 1) / f64::from(slots);
            cost *= 1.0 + ahead;
        }
        cost *= 1.0 + f64::from(self.unanswered.min(MAX_UNANSWERED));
        let stuck = self.in_flight.iter().any(|flight| flight.is_stuck(now));
        let failing = self.health.failing(now) + if stuck { 0.3 } else { 0.0 };
        cost * (1.0 + FAILURE_WEIGHT * failing)
    }
}

impl Flight {
    fn is_stuck(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        age.as_secs_f64() > STUCK_FACTOR * self.expected.as_secs_f64()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is a small count"
)]
fn round(number: f64) -> u32 {
    number.round() as u32
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
