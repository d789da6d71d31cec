//! Cold targets, which tolerate few requests from all entries together.

use std::time::Duration;

use carobdrift_units::Target;
use tokio::time::Instant;

use super::{Criteria, Pool};
use crate::candidate::{Candidate, Endpoint, Lifecycle};

impl Pool {
    /// Sets whether a cold target gets requests only with tokens.
    pub fn limit_cold_targets(&mut self, is_limited: bool) {
        self.limits_cold = is_limited;
    }

    /// Records the remaining warm-up time that a target stated; it may be cold again.
    pub fn record_warmup(&mut self, endpoint: &Endpoint, warmup: Duration, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint.id)
            && candidate.endpoint.started_ms == endpoint.started_ms
        {
            candidate.record_warmup(warmup, now);
        }
    }

    /// Records that the health endpoint of a target responded.
    pub fn record_health(&mut self, endpoint: &Endpoint, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint.id)
            && candidate.endpoint.started_ms == endpoint.started_ms
        {
            candidate.record_health(now);
        }
    }

    /// Whether a target is cold.
    #[must_use]
    pub fn is_cold(&self, target: &Target, now: Instant) -> bool {
        let candidate = self.candidates.get(target);
        candidate.is_some_and(|candidate| candidate.is_cold(now))
    }

    /// Leaves a cold target out until a token for it is expected.
    pub fn withhold(&mut self, target: &Target, until: Instant) {
        if let Some(candidate) = self.candidates.get_mut(target) {
            candidate.withhold(until);
        }
    }

    /// Whether it is known if a target is cold, as far as that matters.
    pub(super) fn is_health_known(&self, candidate: &Candidate, now: Instant) -> bool {
        !self.limits_cold || candidate.is_health_known(now)
    }

    /// Whether a cold target is left out because there is no token for it.
    pub(super) fn is_withheld(&self, candidate: &Candidate, now: Instant) -> bool {
        self.limits_cold && candidate.is_withheld(now)
    }

    /// Whether a target that could be used is left out because there is no token.
    pub(super) fn has_withheld(&self, criteria: Criteria<'_>, now: Instant) -> bool {
        self.candidates.values().any(|candidate| {
            candidate.endpoint.lifecycle == Lifecycle::Ready
                && !criteria.tried.contains(&candidate.endpoint.id)
                && self.is_withheld(candidate, now)
        })
    }
}
