//! Retry budget.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Buckets per window; the sliding window is accurate to one bucket.
const BUCKETS: u32 = 20;

/// Budget of retries and hedges within a sliding window: a ratio of the
/// requests that this entry forwards, plus a fixed reserve. The ratio applies to
/// each entry's own requests, so the entries together stay within the ratio
/// without coordination.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    bucket_length: Duration,
    /// Start, requests and retries of each bucket, the newest last.
    buckets: VecDeque<(Instant, u32, u32)>,
}

impl Budget {
    /// Creates a budget of `ratio` times the requests of a window, plus
    /// `reserve` retries.
    #[must_use]
    pub fn new(ratio: f64, reserve: f64, window: Duration) -> Self {
        Self {
            ratio,
            reserve,
            bucket_length: window / BUCKETS,
            buckets: VecDeque::new(),
        }
    }

    /// Sets the reserve, which depends on the number of entries.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// Counts a request towards the ratio.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).1 += 1;
    }

    /// Spends one retry if the budget allows it. Returns whether a retry was spent.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.current_bucket(now);
        let (requests, retries) = self
            .buckets
            .iter()
            .fold((0, 0), |sum, bucket| (sum.0 + bucket.1, sum.1 + bucket.2));
        let affordable = f64::from(retries + 1) <= self.ratio * f64::from(requests) + self.reserve;
        if affordable {
            self.current_bucket(now).2 += 1;
        }
        affordable
    }

    /// Drops expired buckets and returns the current one.
    fn current_bucket(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        let window = self.bucket_length * BUCKETS;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.saturating_duration_since(bucket.0) >= window)
        {
            self.buckets.pop_front();
        }
        let starts_bucket = self
            .buckets
            .back()
            .is_none_or(|bucket| now.saturating_duration_since(bucket.0) >= self.bucket_length);
        if starts_bucket {
            self.buckets.push_back((now, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
