//! Requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new interval in the pace: a mean over the last 10.
const PACE_GAIN: f64 = 0.1;

/// Longest interval between two departures that counts in the pace; a longer
/// one means that nobody waited.
const LONGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Place of a request in a [`Queue`]. Requests that can still be answered within
/// the time aimed at come before others, urgent routes before others, and older
/// requests before younger ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the time aimed at can't be met any more.
    pub late: bool,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// When the request was received.
    pub received: Instant,
    /// Tells apart requests that were received together.
    pub sequence: u64,
}

/// Requests of one service that wait at one entry, in the order in which they
/// get slots. It answers the load at which the targets have fewer free slots
/// than there are requests: what waits here can still go to whichever target is
/// free and fast first, or be refused as not run; what waits at a target can't.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Rank, T>,
    number: u64,
    interval: f64,
    departed: Option<Instant>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            number: 0,
            interval: 0.0,
            departed: None,
        }
    }
}

impl<T> Queue<T> {
    /// A number for the rank of a new request.
    pub fn next_sequence(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Adds a request.
    pub fn push(&mut self, rank: Rank, waiter: T) {
        self.waiting.insert(rank, waiter);
    }

    /// Removes a request; `departs` states that it got a slot.
    pub fn remove(&mut self, rank: &Rank, departs: Option<Instant>) -> Option<T> {
        let left = self.waiting.remove(rank);
        if left.is_some()
            && let Some(now) = departs
            && let Some(before) = self.departed.replace(now)
        {
            let interval = now.saturating_duration_since(before).min(LONGEST_INTERVAL);
            self.interval += PACE_GAIN * (interval.as_secs_f64() - self.interval);
        }
        left
    }

    /// Whether no request that waits comes before this one.
    #[must_use]
    pub fn is_first(&self, rank: &Rank) -> bool {
        self.waiting
            .first_key_value()
            .is_none_or(|(first, _)| first >= rank)
    }

    /// The request that is next.
    #[must_use]
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Time that a request would wait, by the requests before it and the pace
    /// of late.
    #[must_use]
    pub fn expected_wait(&self, rank: &Rank) -> Duration {
        let ahead = self.waiting.range(..rank).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        Duration::from_secs_f64(f64::from(ahead) * self.interval)
    }
}
