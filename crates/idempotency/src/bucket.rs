//! Token bucket for writes to the table.

use std::sync::{Mutex, PoisonError};

use tokio::time::{Duration, Instant};

/// Pause between two looks at an empty bucket.
const PAUSE: Duration = Duration::from_millis(50);

/// Permits a number of events per second, with bursts of one second's worth.
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

    /// Takes a token if there is one.
    pub(crate) fn take(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (tokens, filled) = &mut *state;
        let now = Instant::now();
        let new = now.duration_since(*filled).as_secs_f64() * self.per_second;
        *tokens = (*tokens + new).min(self.per_second.max(1.0));
        *filled = now;
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    /// Waits for a token until the deadline; returns whether it got one.
    pub(crate) async fn wait(&self, deadline: Instant) -> bool {
        while !self.take() {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(PAUSE).await;
        }
        true
    }
}
