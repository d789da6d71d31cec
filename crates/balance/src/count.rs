//! Requests counted against a share.

use tokio::time::Instant;

use crate::peak::Peak;
use crate::share::Share;
use crate::window::Window;

/// What is counted against a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A call that was not seen before.
    First,
    /// A call that has waited for a larger share.
    Waited,
    /// One more attempt of an admitted call.
    Further,
}

/// Requests counted against a share.
#[derive(Debug, Default)]
pub(crate) struct Count {
    in_flight: u32,
    waiting: u32,
    peak: Peak,
    admitted: Window,
    asked: Window,
}

impl Stage {
    fn is_call(self) -> bool {
        self != Self::Further
    }
}

impl Count {
    pub(crate) fn ask(&mut self, now: Instant) {
        self.asked.add(now);
        self.peak.raise(self.in_flight.saturating_add(1), now);
    }

    pub(crate) fn enter(&mut self, share: Share, stage: Stage, now: Instant) -> bool {
        self.peak.raise(self.in_flight.saturating_add(1), now);
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

    pub(crate) fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn undo(&mut self, stage: Stage, now: Instant) {
        self.leave();
        if stage.is_call() {
            self.admitted.remove(now);
        }
    }

    pub(crate) fn wait(&mut self, now: Instant) {
        self.waiting += 1;
        self.peak
            .raise(self.in_flight.saturating_add(self.waiting), now);
    }

    pub(crate) fn stop_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    pub(crate) fn is_awaited(&self) -> bool {
        self.waiting > 0
    }

    /// Whether one more request would leave less than a quarter of a share that
    /// is not the whole limit.
    pub(crate) fn runs_short(&mut self, share: Share, whole: Share, now: Instant) -> bool {
        let short = |used: u32, share: u32, whole: u32| {
            share < whole && (u64::from(used) + 1) * 4 > u64::from(share) * 3
        };
        short(self.in_flight, share.in_flight, whole.in_flight)
            || short(self.admitted.sum(now), share.per_second, whole.per_second)
    }

    /// The share that the calls of the last second used.
    pub(crate) fn used(&mut self, now: Instant) -> Share {
        Share {
            in_flight: self.in_flight,
            per_second: self.admitted.sum(now),
        }
    }

    /// The share that the calls of the last second would have needed.
    pub(crate) fn peak_usage(&mut self, now: Instant) -> Share {
        Share {
            in_flight: self.peak.get(self.in_flight, now),
            per_second: self.asked.sum(now),
        }
    }
}
