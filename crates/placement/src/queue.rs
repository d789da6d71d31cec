//! Queue of requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new interval in the mean dispatch interval: a mean over the last
/// 10.
const INTERVAL_GAIN: f64 = 0.1;

/// Upper bound on an interval that enters the mean. A longer interval means that
/// the queue was empty.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// Ordering key of a request in a [`Queue`]. Requests that can still be answered
/// within the route's target latency come before late ones, routes of higher
/// priority before others, and older requests before newer ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the route's target latency can no longer be met.
    pub late: bool,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Time at which the request was received.
    pub received: Instant,
    /// Sequence number that orders requests received at the same time.
    pub sequence: u64,
}

/// Priority queue of the requests of one service that wait at one entry for a
/// slot. Requests wait here while the targets have fewer free slots than there
/// are requests: a request in this queue can still go to whichever target is
/// free and fast first, or be refused as not executed; a request queued at a
/// target can't.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Rank, T>,
    last_sequence: u64,
    mean_interval_s: f64,
    last_dispatch: Option<Instant>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            last_sequence: 0,
            mean_interval_s: 0.0,
            last_dispatch: None,
        }
    }
}

impl<T> Queue<T> {
    /// Returns a sequence number for the rank of a new request.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Adds a request.
    pub fn push(&mut self, rank: Rank, waiter: T) {
        self.waiting.insert(rank, waiter);
    }

    /// Removes a request. `dispatched` is the time at which the request got a
    /// slot, or `None` if the request left the queue without a slot.
    pub fn remove(&mut self, rank: &Rank, dispatched: Option<Instant>) -> Option<T> {
        let removed = self.waiting.remove(rank);
        if removed.is_some()
            && let Some(now) = dispatched
            && let Some(previous) = self.last_dispatch.replace(now)
        {
            let interval = now.saturating_duration_since(previous).min(MAX_INTERVAL);
            self.mean_interval_s += INTERVAL_GAIN * (interval.as_secs_f64() - self.mean_interval_s);
        }
        removed
    }

    /// Whether no waiting request comes before `rank`.
    #[must_use]
    pub fn is_first(&self, rank: &Rank) -> bool {
        self.waiting
            .first_key_value()
            .is_none_or(|(first, _)| first >= rank)
    }

    /// Returns the request that gets the next slot.
    #[must_use]
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Estimates the queueing time of a request from the number of requests
    /// before it and the mean dispatch interval.
    #[must_use]
    pub fn expected_wait(&self, rank: &Rank) -> Duration {
        let ahead = self.waiting.range(..rank).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(ahead) * self.mean_interval_s)
    }
}
