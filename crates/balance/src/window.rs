//! Count of events in the last second.

use std::time::Duration;

use tokio::time::Instant;

/// Width of a bucket.
const BUCKET_WIDTH: Duration = Duration::from_millis(10);

/// Number of buckets: one second plus the bucket in progress, so that no window
/// of one second holds more events than the sum.
const BUCKET_COUNT: usize = 101;

/// Sliding-window count of events. The memory use does not depend on the rate.
#[derive(Debug, Default)]
pub(crate) struct Window {
    buckets: Box<[u32]>,
    origin: Option<Instant>,
    /// Number of the newest bucket, counted from the origin.
    newest: u64,
    sum: u32,
}

impl Window {
    /// Returns the number of events in the last second, rounded up to whole
    /// buckets.
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

    /// Reverts an event that was added at the same moment.
    pub(crate) fn remove(&mut self, now: Instant) {
        let index = self.advance(now);
        if let Some(bucket) = self.buckets.get_mut(index)
            && *bucket > 0
        {
            *bucket -= 1;
            self.sum -= 1;
        }
    }

    /// Clears the buckets that have expired; returns the index of the newest
    /// one.
    fn advance(&mut self, now: Instant) -> usize {
        if self.buckets.is_empty() {
            self.buckets = vec![0; BUCKET_COUNT].into();
        }
        let origin = *self.origin.get_or_insert(now);
        let elapsed = now.saturating_duration_since(origin).as_millis() / BUCKET_WIDTH.as_millis();
        let number = u64::try_from(elapsed).unwrap_or(u64::MAX);
        if number > self.newest {
            let passed = usize::try_from(number - self.newest).unwrap_or(usize::MAX);
            for step in 1..=passed.min(BUCKET_COUNT) {
                let step = u64::try_from(step).unwrap_or(u64::MAX);
                let index = bucket_index(self.newest.saturating_add(step));
                self.sum -= std::mem::take(&mut self.buckets[index]);
            }
            self.newest = number;
        }
        bucket_index(self.newest)
    }
}

fn bucket_index(number: u64) -> usize {
    usize::try_from(number % BUCKET_COUNT as u64).unwrap_or(0)
}
