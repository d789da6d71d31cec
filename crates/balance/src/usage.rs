//! Usage of a share: the requests that are counted against it.

use tokio::time::Instant;

use crate::peak::Peak;
use crate::share::Share;
use crate::window::Window;

/// Stage at which a request is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// First admission of a call.
    First,
    /// Admission of a call that has waited for a larger share.
    AfterWait,
    /// Additional attempt of an admitted call.
    Additional,
}

/// Usage of a share.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    in_flight: u32,
    waiting: u32,
    peak: Peak,
    admitted: Window,
    requested: Window,
}

impl Stage {
    fn is_call(self) -> bool {
        self != Self::Additional
    }
}

impl Usage {
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.requested.add(now);
        self.peak.record(self.in_flight.saturating_add(1), now);
    }

    pub(crate) fn try_admit(&mut self, share: Share, stage: Stage, now: Instant) -> bool {
        self.peak.record(self.in_flight.saturating_add(1), now);
        if self.in_flight >= share.in_flight {
            return false;
        }
        if stage.is_call() && self.admitted.sum(now) >= share.per_second {
            return false;
        }
        if stage.is_call() {
            self.admitted.add(now);
        }
        self.in_flight += 1;
        true
    }

    pub(crate) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn revert(&mut self, stage: Stage, now: Instant) {
        self.release();
        if stage.is_call() {
            self.admitted.remove(now);
        }
    }

    pub(crate) fn start_waiting(&mut self, now: Instant) {
        self.waiting += 1;
        self.peak
            .record(self.in_flight.saturating_add(self.waiting), now);
    }

    pub(crate) fn stop_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    pub(crate) fn has_waiters(&self) -> bool {
        self.waiting > 0
    }

    /// Returns whether one more request would leave less than a quarter of the
    /// share. A share that is the whole limit cannot grow and never counts as
    /// nearly used up.
    pub(crate) fn is_nearly_used_up(&mut self, share: Share, limit: Share, now: Instant) -> bool {
        let is_nearly_used_up = |used: u32, share: u32, limit: u32| {
            share < limit && (u64::from(used) + 1) * 4 > u64::from(share) * 3
        };
        is_nearly_used_up(self.in_flight, share.in_flight, limit.in_flight)
            || is_nearly_used_up(self.admitted.sum(now), share.per_second, limit.per_second)
    }

    /// Returns the requests in flight and the calls that were admitted in the
    /// last second.
    pub(crate) fn current(&mut self, now: Instant) -> Share {
        Share {
            in_flight: self.in_flight,
            per_second: self.admitted.sum(now),
        }
    }

    /// Returns the share that the calls of the last second would have needed.
    pub(crate) fn peak(&mut self, now: Instant) -> Share {
        Share {
            in_flight: self.peak.max(self.in_flight, now),
            per_second: self.requested.sum(now),
        }
    }
}
