//! Budget of repeats.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Parts into which the window is divided; the sliding window is exact to one.
const PARTS: u32 = 20;

/// Bounds how many requests are sent to a second target, within a sliding
/// window: a share of the requests that this entry forwards, and a fixed part.
/// The shares of all entries add up to the share of all requests, so entries
/// need not agree.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    reserve: f64,
    part: Duration,
    /// Begin, requests and repeats of each part, the newest last.
    parts: VecDeque<(Instant, u32, u32)>,
}

impl Budget {
    /// A budget of `ratio` times the requests of a window, and `reserve`.
    #[must_use]
    pub fn new(ratio: f64, reserve: f64, window: Duration) -> Self {
        Self {
            ratio,
            reserve,
            part: window / PARTS,
            parts: VecDeque::new(),
        }
    }

    /// Sets the fixed part, which depends on the number of entries.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.current(now).1 += 1;
    }

    /// Spends a repeat if the budget has one.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.current(now);
        let (requests, repeats) = self
            .parts
            .iter()
            .fold((0, 0), |sum, part| (sum.0 + part.1, sum.1 + part.2));
        let affordable = f64::from(repeats + 1) <= self.ratio * f64::from(requests) + self.reserve;
        if affordable {
            self.current(now).2 += 1;
        }
        affordable
    }

    fn current(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        let length = self.part * PARTS;
        while self
            .parts
            .front()
            .is_some_and(|part| now.saturating_duration_since(part.0) >= length)
        {
            self.parts.pop_front();
        }
        let begins = self
            .parts
            .back()
            .is_none_or(|part| now.saturating_duration_since(part.0) >= self.part);
        if begins {
            self.parts.push_back((now, 0, 0));
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
