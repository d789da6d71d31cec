//! Spacing of the probes of one target.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time over which the budget is spread. Longer than the second that the budget
/// counts, because the target's clock may run faster than ours.
const PERIOD: Duration = Duration::from_millis(1_010);

/// Time for which a probe without an answer may still arrive. A target that was
/// stopped runs everything that waits in its sockets when it goes on, even from
/// connections that we closed.
const LATE: Duration = Duration::from_secs(30);

/// Time after which a target that is not probed is forgotten.
const IDLE: Duration = Duration::from_secs(5);

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered.
    Answered,
    /// Nothing of it can arrive at the target any more.
    Undeliverable,
    /// It was sent and not answered, and may arrive yet.
    Unanswered,
}

/// Spacing of the probes of one target.
///
/// The next probe is counted from the end of the last one: an answer shows that
/// the last one arrived, so delays on the way can't bring two probes together.
#[derive(Debug)]
pub struct Pacer {
    /// End of the last probe.
    last: Option<Instant>,
    /// When it was last looked at.
    looked: Instant,
    outstanding: bool,
    /// Whether this process has had an answer to a probe. Until then a former
    /// holder may have left probes in the target's sockets.
    proven: bool,
    /// Ends of the probes that may arrive yet.
    unanswered: VecDeque<Instant>,
}

impl Pacer {
    /// A target that was not probed yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last: None,
            looked: now,
            outstanding: false,
            proven: false,
            unanswered: VecDeque::new(),
        }
    }

    /// Whether a probe may be sent at `now` with a budget in probes per second.
    /// One of them is kept for a former holder that was paused before its send.
    #[must_use]
    pub fn is_probe_allowed(&mut self, budget: u32, now: Instant) -> bool {
        self.looked = now;
        while self
            .unanswered
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= LATE)
        {
            self.unanswered.pop_front();
        }
        let usable = usize::try_from(budget.saturating_sub(1)).unwrap_or(usize::MAX);
        let rested = self
            .last
            .is_none_or(|last| now.saturating_duration_since(last) >= interval(budget));
        let limit = if self.proven { usable } else { usable.min(1) };
        rested && !self.outstanding && self.unanswered.len() < limit
    }

    /// A probe begins.
    pub fn start_probe(&mut self) {
        self.outstanding = true;
    }

    /// The probe ended at `now`.
    pub fn end_probe(&mut self, ending: Completion, now: Instant) {
        self.outstanding = false;
        self.last = Some(now);
        self.looked = now;
        match ending {
            Completion::Answered => {
                self.proven = true;
                self.unanswered.clear();
            }
            Completion::Undeliverable => {}
            Completion::Unanswered => self.unanswered.push_back(now),
        }
    }

    /// The target answered a request at `at`. Whatever waited in its sockets
    /// before has run by then.
    pub fn record_answer(&mut self, at: Instant) {
        self.unanswered.retain(|ended| *ended >= at);
    }

    /// Whether nothing of this target needs to be remembered at `now`.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        !self.outstanding && self.unanswered.is_empty() && now >= self.looked + IDLE
    }
}

fn interval(budget: u32) -> Duration {
    let nanos = PERIOD
        .as_nanos()
        .div_ceil(u128::from(budget.saturating_sub(1).max(1)));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
