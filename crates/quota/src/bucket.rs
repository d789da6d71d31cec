//! Limits, and the token bucket of a key.

use std::time::Duration;

use carobdrift_units::Rate;
use tokio::time::Instant;

/// Smallest capacity of a bucket. With 1, a cold target that tolerates 5 requests per
/// second got 0.7 of them in a simulation, because entries came too late for a token.
const MIN_CAPACITY: f64 = 3.0;

/// Time in which a bucket whose limit permits no burst still fills, so that requests
/// at a rate within the limit are admitted although they do not arrive evenly.
const MIN_FILL_TIME_S: f64 = 0.1;

/// Longest time in which a bucket fills.
const MAX_FILL_TIME: Duration = Duration::from_hours(24);

/// Largest capacity beyond the burst of the limit, below the slack that the
/// installations permit: 8 requests for a cold target, 20 for a workspace.
const MAX_EXTRA_CAPACITY: f64 = 6.0;

/// Limit on the requests of a key over all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Rate at which the bucket fills.
    pub rate: Rate,
    /// Tokens that the bucket holds.
    pub burst: u64,
}

impl Limit {
    /// Returns the number of tokens that a full bucket holds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a burst is far below 2^52 requests"
    )]
    pub(crate) fn capacity(&self) -> f64 {
        let least = self.rate.per_second() * MIN_FILL_TIME_S;
        (self.burst as f64).max(least.clamp(MIN_CAPACITY, MAX_EXTRA_CAPACITY))
    }

    /// Returns the time in which an empty bucket fills, at most one day.
    pub(crate) fn fill_time(&self) -> Duration {
        let time = Duration::try_from_secs_f64(self.capacity() / self.rate.per_second());
        time.unwrap_or(MAX_FILL_TIME).min(MAX_FILL_TIME)
    }
}

/// Token bucket of one key.
#[derive(Debug, Clone)]
pub struct Bucket {
    level: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Creates a bucket that was empty at a time.
    #[must_use]
    pub fn open(at: Instant) -> Self {
        Self {
            level: 0.0,
            filled_at: at,
        }
    }

    /// Fills the bucket up to now. `reserved` tokens per second are withheld.
    pub fn fill(&mut self, limit: Limit, reserved: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let rate = (limit.rate.per_second() - reserved).max(0.0);
        self.level = (self.level + rate * elapsed.as_secs_f64()).min(limit.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes up to `wanted` whole tokens and returns their number.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the level is not negative, and the cast saturates"
    )]
    pub fn take(&mut self, wanted: u32) -> u32 {
        let tokens = wanted.min(self.level.max(0.0) as u32);
        self.level -= f64::from(tokens);
        tokens
    }

    /// Puts tokens back that were not spent.
    pub fn put_back(&mut self, tokens: u32, limit: Limit) {
        self.level = (self.level + f64::from(tokens)).min(limit.capacity());
    }

    /// Returns the time until the bucket holds `tokens` tokens.
    #[must_use]
    pub fn time_until(&self, tokens: f64, limit: Limit) -> Duration {
        let missing = (tokens - self.level).max(0.0);
        let rate = limit.rate.per_second();
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }
}
