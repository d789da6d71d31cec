//! Count of events in the last second.

use std::time::Duration;

use tokio::time::Instant;

/// Width of a bucket.
const BUCKET: Duration = Duration::from_millis(10);

/// Buckets that cover one second plus the bucket in progress, so that no
/// window of one second holds more events than the sum.
const BUCKETS: usize = 101;

/// Sliding count of events; memory does not depend on the rate.
#[derive(Debug, Default)]
pub(crate) struct Window {
    buckets: Box<[u32]>,
    origin: Option<Instant>,
    /// Number of the newest bucket since the origin.
    newest: u64,
    sum: u32,
}

impl Window {
    /// Events in the last second, rounded up to whole buckets.
    pub(crate) fn sum(&mut self, now: Instant) -> u32 {
        self.advance(now);
        self.sum
    }

    pub(crate) fn add(&mut self, now: Instant) {
        let index = self.advance(now);
        if let Some(bucket) = self.buckets.get_mut(index) {
            *bucket += 1;
            self.sum += 1;
        }
    }

    /// Takes back an event that was added at the same moment.
    pub(crate) fn remove(&mut self, now: Instant) {
        let index = self.advance(now);
        if let Some(bucket) = self.buckets.get_mut(index)
            && *bucket > 0
        {
            *bucket -= 1;
            self.sum -= 1;
        }
    }

    /// Clears the buckets that have passed; returns the index of the newest.
    fn advance(&mut self, now: Instant) -> usize {
        if self.buckets.is_empty() {
            self.buckets = vec![0; BUCKETS].into();
        }
        let origin = *self.origin.get_or_insert(now);
        let elapsed = now.saturating_duration_since(origin).as_millis() / BUCKET.as_millis();
        let number = u64::try_from(elapsed).unwrap_or(u64::MAX);
        if number > self.newest {
            let passed = usize::try_from(number - self.newest).unwrap_or(usize::MAX);
            for step in 1..=passed.min(BUCKETS) {
                let step = u64::try_from(step).unwrap_or(u64::MAX);
                let index = slot(self.newest.saturating_add(step));
                self.sum -= std::mem::take(&mut self.buckets[index]);
            }
            self.newest = number;
        }
        slot(self.newest)
    }
}

fn slot(number: u64) -> usize {
    usize::try_from(number % BUCKETS as u64).unwrap_or(0)
}
