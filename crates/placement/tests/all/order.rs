//! Orders of waiting requests that the load of `overload.rs` compares.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_placement::{Demand, Queue};
use tokio::time::Instant;

/// Order of waiting requests, each identified by its number.
pub(crate) trait Order {
    /// Adds a request.
    fn push(&mut self, number: usize, demand: Demand, now: Instant);
    /// Returns the requests that are refused now, with the time until capacity is
    /// expected.
    fn refuse(&mut self, now: Instant) -> Vec<(usize, Duration)>;
    /// Returns the request that gets the next slot.
    fn first(&mut self, now: Instant) -> Option<usize>;
    /// Removes the first request, which got a slot.
    fn start(&mut self, now: Instant);
}

/// The order until 2026-12-07: requests that can meet the target latency first, then
/// by priority, then by age. A request is refused when its estimated wait exceeds its
/// time, and `Retry-After` is fixed.
#[derive(Default)]
pub(crate) struct ByAge {
    waiting: Vec<(usize, Demand)>,
    mean_interval_s: f64,
    last_start: Option<Instant>,
}

impl ByAge {
    fn refuse_at(demand: &Demand) -> Instant {
        let target = demand.received + demand.target_latency;
        demand.last_start.min(target)
    }

    fn sort(&mut self, now: Instant) {
        self.waiting
            .sort_by_key(|(number, d)| (now >= d.start_by, d.priority, d.received, *number));
    }
}

impl Order for ByAge {
    fn push(&mut self, number: usize, demand: Demand, now: Instant) {
        self.waiting.push((number, demand));
        self.sort(now);
    }

    fn refuse(&mut self, now: Instant) -> Vec<(usize, Duration)> {
        self.sort(now);
        let mut ahead = 0.0;
        let interval = self.mean_interval_s;
        let refused = self.waiting.extract_if(.., |(_, demand)| {
            let wait = if demand.received == now {
                Duration::from_secs_f64(ahead * interval)
            } else {
                Duration::ZERO
            };
            ahead += 1.0;
            now + wait > Self::refuse_at(demand)
        });
        refused
            .map(|(number, _)| (number, Duration::from_millis(150)))
            .collect()
    }

    fn first(&mut self, now: Instant) -> Option<usize> {
        self.sort(now);
        self.waiting.first().map(|(number, _)| *number)
    }

    fn start(&mut self, now: Instant) {
        self.waiting.remove(0);
        if let Some(previous) = self.last_start.replace(now) {
            let interval = (now - previous).min(Duration::from_millis(500));
            self.mean_interval_s += 0.1 * (interval.as_secs_f64() - self.mean_interval_s);
        }
    }
}

/// The order of [`Queue`].
impl Order for Queue<usize> {
    fn push(&mut self, number: usize, demand: Demand, now: Instant) {
        self.record_arrival(&demand, now);
        Queue::push(self, demand, number, now);
    }

    fn refuse(&mut self, now: Instant) -> Vec<(usize, Duration)> {
        let refused = self.plan(now).into_iter();
        refused.map(|r| (r.waiter, r.capacity_in)).collect()
    }

    fn first(&mut self, _: Instant) -> Option<usize> {
        Queue::first(self).map(|(_, number)| *number)
    }

    fn start(&mut self, now: Instant) {
        let ticket = Queue::first(self).unwrap().0;
        Queue::start(self, ticket, now);
    }
}

/// Returns the name of a workspace.
pub(crate) fn workspace(number: u32) -> Arc<str> {
    format!("w{number}").into()
}
