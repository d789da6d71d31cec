//! Token bucket that limits writes to the platform's table.

use std::sync::{Mutex, PoisonError};

use tokio::time::{Duration, Instant};

/// Interval at which a waiting task checks an empty bucket.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Token bucket with a rate per second. The capacity of the bucket is the tokens of
/// one second, but at least one token.
#[derive(Debug)]
pub(crate) struct Bucket {
    per_second: f64,
    state: Mutex<(f64, Instant)>,
}

impl Bucket {
    pub(crate) fn new(per_second: f64) -> Self {
        Self {
            per_second,
            state: Mutex::new((per_second, Instant::now())),
        }
    }

    /// Takes a token if one is available; returns whether a token was taken.
    pub(crate) fn try_take(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (tokens, refilled_at) = &mut *state;
        let now = Instant::now();
        let new = now.duration_since(*refilled_at).as_secs_f64() * self.per_second;
        *tokens = (*tokens + new).min(self.per_second.max(1.0));
        *refilled_at = now;
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Takes a token, and waits for one until the deadline if none is available.
    /// Returns whether it took one. An available token is taken even after the
    /// deadline.
    pub(crate) async fn take_before(&self, deadline: Instant) -> bool {
        while !self.try_take() {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}
