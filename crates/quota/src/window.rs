//! Counts of events in a sliding window.

use std::time::Duration;

use tokio::time::Instant;

/// Number of slots of a window.
const SLOTS: usize = 20;

/// Events in the last [`SLOTS`] slots of equal length.
#[derive(Debug, Clone)]
pub(crate) struct Window {
    origin: Instant,
    slot_ms: u64,
    /// Number of the newest slot, counted from the origin.
    newest: u64,
    counts: [u32; SLOTS],
}

impl Window {
    /// Creates a window of slots of `slot`.
    pub(crate) fn open(slot: Duration, now: Instant) -> Self {
        Self {
            origin: now,
            slot_ms: u64::try_from(slot.as_millis()).unwrap_or(u64::MAX).max(1),
            newest: 0,
            counts: [0; SLOTS],
        }
    }

    /// Counts events.
    pub(crate) fn record(&mut self, count: u32, now: Instant) {
        self.advance(now);
        let index = index(self.newest);
        self.counts[index] = self.counts[index].saturating_add(count);
    }

    /// Returns the number of events in `slots` slots, the last of which is `skipped`
    /// slots before the current one.
    pub(crate) fn sum(&mut self, skipped: u64, slots: u64, now: Instant) -> u32 {
        self.advance(now);
        let end = (self.newest + 1).saturating_sub(skipped);
        (end.saturating_sub(slots)..end)
            .map(|slot| self.counts[index(slot)])
            .sum()
    }

    /// Returns the largest number of events in `slots` successive slots.
    pub(crate) fn max_sum(&mut self, slots: usize, now: Instant) -> u32 {
        self.advance(now);
        let first = index(self.newest + 1);
        let mut ordered = self.counts;
        ordered.rotate_left(first);
        let sums = ordered.windows(slots).map(|counts| counts.iter().sum());
        sums.max().unwrap_or_default()
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.origin).as_millis();
        let slot = u64::try_from(elapsed).unwrap_or(u64::MAX) / self.slot_ms;
        let skipped = slot.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=skipped {
            self.counts[index(slot - skipped + step)] = 0;
        }
        self.newest = self.newest.max(slot);
    }
}

fn index(slot: u64) -> usize {
    usize::try_from(slot % SLOTS as u64).unwrap_or_default()
}
