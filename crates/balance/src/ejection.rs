//! Ejection of failing targets, and its limit.

use tokio::time::Instant;

use crate::candidate::Candidate;
use crate::state::State;

/// Inverse of the largest part of the usable targets that is ejected at a time:
/// one in three. One of two targets may be ejected as well, but never the only
/// one.
const EJECTION_DIVISOR: usize = 3;

impl State {
    fn ejection_cap(&self) -> usize {
        match self
            .candidates
            .values()
            .filter(|candidate| candidate.is_usable())
            .count()
        {
            0 | 1 => 0,
            usable => (usable / EJECTION_DIVISOR).max(1),
        }
    }

    fn ejected(&self) -> impl Iterator<Item = &Candidate> {
        let usable = self
            .candidates
            .values()
            .filter(|candidate| candidate.is_usable());
        usable.filter(|candidate| candidate.health.is_ejected())
    }

    pub(crate) fn eject(&mut self, serial: u64, now: Instant) {
        let others = self
            .ejected()
            .filter(|candidate| candidate.serial != serial)
            .count();
        if others >= self.ejection_cap() {
            return;
        }
        let latest = self.attempts;
        let service = &self.document.service;
        if let Some(candidate) = self.candidates.get_mut(&serial) {
            let duration = candidate.health.eject(now, latest);
            let target = &candidate.endpoint.id;
            log::warn!(target: "balance", "{service}: target {target} ejected for {duration:?} after failures");
            self.metrics
                .ejections
                .with_label_values(&[service.as_str()])
                .inc();
        }
    }

    /// Ends ejections while more targets are ejected than the cap allows,
    /// because fewer targets are left. The ejections that would end next come
    /// first.
    pub(crate) fn enforce_ejection_cap(&mut self, now: Instant) {
        while self.ejected().count() > self.ejection_cap() {
            let next = self
                .ejected()
                .min_by_key(|candidate| candidate.health.ejection_end());
            let Some(serial) = next.map(|candidate| candidate.serial) else {
                return;
            };
            if let Some(candidate) = self.candidates.get_mut(&serial) {
                candidate.health.end_ejection(now);
            }
        }
    }
}
