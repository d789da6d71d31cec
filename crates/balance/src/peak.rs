//! Largest number of a time that has just passed.

use std::time::Duration;

use tokio::time::Instant;

/// Length of one of the two spans. The peak covers the span in progress and the
/// one before it, so at least one second.
const SPAN: Duration = Duration::from_secs(1);

/// Largest number of the last one to two seconds.
#[derive(Debug, Default)]
pub(crate) struct Peak {
    current: u32,
    last: u32,
    since: Option<Instant>,
}

impl Peak {
    /// Takes in a number.
    pub(crate) fn raise(&mut self, number: u32, now: Instant) {
        self.advance(now);
        self.current = self.current.max(number);
    }

    /// The largest number of late; `present` is the number at this moment.
    pub(crate) fn get(&mut self, present: u32, now: Instant) -> u32 {
        self.raise(present, now);
        self.current.max(self.last)
    }

    fn advance(&mut self, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if passed < SPAN {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.last = if passed < SPAN * 2 { current } else { 0 };
        self.since = Some(now);
    }
}
