//! This entry's share of limits that hold over all entries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use carobdrift_document::Limits;
use tokio::time::Instant;

use crate::window::Window;

/// Part of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests in flight.
    pub in_flight: u32,
    /// Calls per second.
    pub per_second: u32,
}

/// This entry's share of the limits of a service or a team; cheap to clone.
///
/// Half of each limit is divided into equal fixed shares for the largest
/// permitted number of entries. A grant adds to the fixed share until it
/// expires.
#[derive(Debug, Clone)]
pub struct Allowance {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    limits: Limits,
    max_entries: u32,
    grant: Option<(Share, Instant)>,
    split: Option<u32>,
    count: Count,
}

/// Requests counted against a share.
#[derive(Debug, Default)]
pub(crate) struct Count {
    in_flight: u32,
    peak: u32,
    admitted: Window,
    asked: Window,
}

impl Allowance {
    /// Opens the share of `limits` for one of at most `max_entries` entries.
    #[must_use]
    pub fn open(limits: Limits, max_entries: u32) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                limits,
                max_entries: max_entries.max(1),
                grant: None,
                split: None,
                count: Count::default(),
            })),
        }
    }

    /// Replaces the limits.
    pub fn reload(&self, limits: Limits) {
        self.lock().limits = limits;
    }

    /// Adds a grant to the fixed share until `expires`; replaces the last one.
    pub fn grant(&self, share: Share, expires: Instant) {
        self.lock().grant = Some((share, expires));
    }

    /// With a number of entries, uses the limits divided by it, at least 1, in
    /// place of fixed share and grant. For a store outage, in which nothing can
    /// be granted.
    pub fn split(&self, entries: Option<u32>) {
        self.lock().split = entries;
    }

    /// The share in force at this moment.
    #[must_use]
    pub fn share(&self) -> Share {
        self.lock().share(Instant::now())
    }

    /// The share that the calls of the last second would have needed: the
    /// largest number in flight since the last query, and the calls that asked.
    #[must_use]
    pub fn demand(&self) -> Share {
        let mut state = self.lock();
        let count = &mut state.count;
        let peak = std::mem::replace(&mut count.peak, count.in_flight);
        Share {
            in_flight: peak,
            per_second: count.asked.sum(Instant::now()),
        }
    }

    /// Whole limits of which this is a share.
    pub(crate) fn limits(&self) -> Limits {
        self.lock().limits.clone()
    }

    /// Admits a call (`new`) or one more attempt of an admitted call.
    pub(crate) fn enter(&self, new: bool, now: Instant) -> bool {
        let mut state = self.lock();
        let share = state.share(now);
        state.count.enter(share, new, now)
    }

    pub(crate) fn leave(&self) {
        self.lock().count.leave();
    }

    /// Takes an admission back as if it had not been asked for.
    pub(crate) fn undo(&self, new: bool, now: Instant) {
        self.lock().count.undo(new, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn share(&self, now: Instant) -> Share {
        let Limits {
            max_in_flight,
            max_per_second,
        } = self.limits;
        if let Some(entries) = self.split {
            let part = |limit: u32| (limit / entries.max(1)).max(limit.min(1));
            return Share {
                in_flight: part(max_in_flight),
                per_second: part(max_per_second),
            };
        }
        let grant = self.grant.filter(|(_, expires)| now < *expires);
        let grant = grant.map(|(share, _)| share).unwrap_or_default();
        let fixed = |limit: u32| limit / 2 / self.max_entries;
        Share {
            in_flight: fixed(max_in_flight)
                .saturating_add(grant.in_flight)
                .min(max_in_flight),
            per_second: fixed(max_per_second)
                .saturating_add(grant.per_second)
                .min(max_per_second),
        }
    }
}

impl Count {
    pub(crate) fn enter(&mut self, share: Share, new: bool, now: Instant) -> bool {
        if new {
            self.asked.add(now);
        }
        self.peak = self.peak.max(self.in_flight + 1);
        if self.in_flight >= share.in_flight {
            return false;
        }
        if new && self.admitted.sum(now) >= share.per_second {
            return false;
        }
        if new {
            self.admitted.add(now);
        }
        self.in_flight += 1;
        true
    }

    pub(crate) fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn undo(&mut self, new: bool, now: Instant) {
        self.leave();
        if new {
            self.admitted.remove(now);
        }
    }
}
