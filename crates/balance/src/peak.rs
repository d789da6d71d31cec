//! Maximum of a value over a recent period.

use std::time::Duration;

use tokio::time::Instant;

/// Length of a period. The maximum covers the current period and the previous
/// one, so at least one second.
const PERIOD: Duration = Duration::from_secs(1);

/// Maximum of a value over the last one to two seconds.
#[derive(Debug, Default)]
pub(crate) struct Peak {
    current: u32,
    previous: u32,
    since: Option<Instant>,
}

impl Peak {
    /// Records a value.
    pub(crate) fn record(&mut self, value: u32, now: Instant) {
        self.advance(now);
        self.current = self.current.max(value);
    }

    /// Returns the maximum, including the value at this moment.
    pub(crate) fn max(&mut self, current_value: u32, now: Instant) -> u32 {
        self.record(current_value, now);
        self.current.max(self.previous)
    }

    fn advance(&mut self, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if passed < PERIOD {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.previous = if passed < PERIOD * 2 { current } else { 0 };
        self.since = Some(now);
    }
}
