//! Selection of one target.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use carobdrift_document::Kind;
use carobdrift_units::{Target, Zone};
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::candidate::Candidate;
use crate::health::Eligibility;
use crate::number::to_f64;

/// Latency of the network hop to another availability zone.
const ZONE_HOP_LATENCY: Duration = Duration::from_micros(1_400);

/// Median latency that is assumed until there are enough samples.
const DEFAULT_MEDIAN_SECONDS: f64 = 0.01;

/// Age of the oldest request, as a multiple of the median latency, above which
/// the age affects the score. Healthy requests often take twice their median.
const AGE_THRESHOLD: f64 = 2.0;

/// Weight of the share of failed attempts in the score.
const FAILURE_WEIGHT: f64 = 4.0;

/// Largest estimated number of requests of other entries that still counts as
/// none.
const FOREIGN_TOLERANCE: f64 = 0.1;

/// Relative size of the random part of a score. The random part keeps entries
/// with the same information from selecting the same target.
const JITTER: f64 = 0.1;

/// Policy by which a pool selects targets.
#[derive(Debug, Clone)]
pub struct Policy {
    rule: carobdrift_document::Policy,
    last: u64,
}

/// Requirement that a target must meet to get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requirement {
    /// A slot is free, counting the requests of this entry and the estimated
    /// requests of other entries.
    FreeSlot,
    /// A slot is free, counting only the requests of this entry.
    OwnFreeSlot,
    /// A connection is free; slots are ignored.
    Connection,
}

/// Criteria for the selection of a target.
#[derive(Debug)]
pub(crate) struct Criteria<'a> {
    pub(crate) now: Instant,
    pub(crate) kind: Kind,
    pub(crate) requirement: Requirement,
    /// Whether the request may be the trial request of an ejected target.
    pub(crate) allow_trial: bool,
    pub(crate) tried: &'a [Target],
    pub(crate) zone: &'a Zone,
    /// Median latency of the class in seconds, if known.
    pub(crate) median: Option<f64>,
    pub(crate) max_connections: u32,
}

impl Policy {
    /// Creates a policy that applies the rule of a document.
    #[must_use]
    pub fn new(rule: carobdrift_document::Policy) -> Self {
        Self { rule, last: 0 }
    }

    /// Returns the rule of the policy.
    #[must_use]
    pub fn rule(&self) -> carobdrift_document::Policy {
        self.rule
    }

    /// Returns whether calls are admitted by free slots and queued at the entry
    /// otherwise.
    pub(crate) fn admits_by_slots(&self) -> bool {
        self.rule == carobdrift_document::Policy::Adaptive
    }

    /// Selects a target and returns its serial number; `None` when no target
    /// meets the criteria.
    pub(crate) fn choose(
        &mut self,
        candidates: &BTreeMap<u64, Candidate>,
        criteria: &Criteria<'_>,
    ) -> Option<u64> {
        if criteria.allow_trial
            && let Some(candidate) = candidates
                .values()
                .find(|candidate| criteria.is_trial(candidate))
        {
            return Some(candidate.serial);
        }
        let chosen = match self.rule {
            carobdrift_document::Policy::RoundRobin => {
                let after = (Bound::Excluded(self.last), Bound::Unbounded);
                let rotated = candidates
                    .range(after)
                    .chain(candidates.range(..=self.last));
                rotated
                    .map(|(_, candidate)| candidate)
                    .find(|candidate| criteria.is_open(candidate))
            }
            carobdrift_document::Policy::PowerOfTwo => {
                let open = candidates
                    .values()
                    .filter(|candidate| criteria.is_open(candidate));
                let pair = open.sample(&mut rand::rng(), 2);
                pair.into_iter()
                    .min_by_key(|candidate| candidate.in_flight())
            }
            carobdrift_document::Policy::LeastInFlight => {
                let open = candidates
                    .values()
                    .filter(|candidate| criteria.is_open(candidate));
                open.min_by_key(|candidate| (candidate.in_flight(), rand::random::<u32>()))
            }
            carobdrift_document::Policy::Adaptive => Self::adaptive(candidates, criteria),
        }?;
        self.last = chosen.serial;
        Some(chosen.serial)
    }

    fn adaptive<'a>(
        candidates: &'a BTreeMap<u64, Candidate>,
        criteria: &Criteria<'_>,
    ) -> Option<&'a Candidate> {
        let usable = candidates
            .values()
            .filter(|candidate| candidate.is_usable());
        let (cold, warm): (Vec<_>, Vec<_>) =
            usable.partition(|candidate| candidate.slow_start_progress(criteria.now) < 1.0);
        // Slow start moves load to warm targets. When warm targets are the
        // minority, slow start would only reduce the capacity.
        let slow_start = cold.len() <= warm.len();
        let open = warm.into_iter().chain(cold);
        let open = open.filter(|candidate| {
            criteria.is_open(candidate) && criteria.has_capacity(candidate, slow_start)
        });
        let scored = open.map(|candidate| (criteria.score(candidate, slow_start), candidate));
        let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, candidate)| candidate)
    }
}

impl Criteria<'_> {
    fn is_trial(&self, candidate: &Candidate) -> bool {
        let Eligibility::Trial { any_kind } = candidate.health.eligibility(self.now) else {
            return false;
        };
        candidate.is_usable()
            && (any_kind || self.kind == Kind::Idempotent)
            && !self.tried.contains(&candidate.endpoint.id)
    }

    fn is_open(&self, candidate: &Candidate) -> bool {
        candidate.is_usable()
            && candidate.health.eligibility(self.now) == Eligibility::Eligible
            && candidate.in_flight() < usize::try_from(self.max_connections).unwrap_or(usize::MAX)
            && !self.tried.contains(&candidate.endpoint.id)
    }

    fn has_capacity(&self, candidate: &Candidate, slow_start: bool) -> bool {
        let own = to_f64(candidate.in_flight());
        let slots = f64::from(candidate.endpoint.slots);
        let usable = if slow_start {
            (slots * candidate.slow_start_progress(self.now))
                .ceil()
                .max(1.0)
        } else {
            slots
        };
        match self.requirement {
            Requirement::FreeSlot => {
                !candidate.is_paused(self.now)
                    && own < usable
                    && own + candidate.foreign(self.now) < slots - 1.0 + FOREIGN_TOLERANCE
            }
            Requirement::OwnFreeSlot => !candidate.is_paused(self.now) && own < usable,
            Requirement::Connection => true,
        }
    }

    /// Returns the expected cost of sending to a target, as a multiple of the
    /// median latency.
    fn score(&self, candidate: &Candidate, slow_start: bool) -> f64 {
        let median = self.median.unwrap_or(DEFAULT_MEDIAN_SECONDS);
        let oldest = candidate.oldest_age_ratio(self.now);
        let age = if oldest > AGE_THRESHOLD { oldest } else { 0.0 };
        let slowdown = candidate.slowdown(self.now).max(age);
        let slots = f64::from(candidate.endpoint.slots);
        let load = (to_f64(candidate.in_flight()) + candidate.foreign(self.now)) / slots;
        let mut cost = slowdown * (1.0 + load);
        cost *= 1.0 + FAILURE_WEIGHT * candidate.health.failure_share(self.now);
        if slow_start {
            cost *= 2.0 - candidate.slow_start_progress(self.now);
        }
        if candidate.endpoint.zone != *self.zone {
            cost += ZONE_HOP_LATENCY.as_secs_f64() / median;
        }
        cost * (1.0 + JITTER * rand::random::<f64>())
    }
}
