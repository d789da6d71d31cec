//! Pacing of the probes of one target.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Period over which the budget is spread. The period exceeds the second that
/// the budget refers to, because the target's clock may run faster than the
/// local one.
const BUDGET_PERIOD: Duration = Duration::from_millis(1_010);

/// Time for which a probe without an answer may still reach the target. A
/// target that was stopped processes everything in its socket buffers when it
/// resumes, including requests on connections that this process has closed.
const LATE_ARRIVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without probes after the answer of a target that had left probes
/// unanswered: these may all have arrived in the second before the answer.
const RESUME_PAUSE: Duration = Duration::from_secs(1);

/// Time after which the state of a target that is not probed is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Completion of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered.
    Answered,
    /// The probe failed and can no longer reach the target.
    Undeliverable,
    /// The probe was sent and not answered, and may still reach the target.
    Unanswered,
}

/// Pacer of the probes of one target.
///
/// The interval to the next probe starts at the end of the last one. An answer
/// shows that the last probe arrived, so delays in transit cannot bring two
/// probes closer together.
#[derive(Debug)]
pub struct Pacer {
    /// End of the last probe.
    last_end: Option<Instant>,
    /// Time at which the pacer was last used.
    last_check: Instant,
    outstanding: bool,
    /// Whether the target has answered a probe of this process. Before that,
    /// probes of a previous holder may still be in the target's socket buffers.
    has_answered: bool,
    /// End times of the unanswered probes that may still reach the target.
    unanswered: VecDeque<Instant>,
    /// End of the pause after the target answered again.
    paused_until: Option<Instant>,
}

impl Pacer {
    /// Creates a pacer for a target that was not probed yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_end: None,
            last_check: now,
            outstanding: false,
            has_answered: false,
            unanswered: VecDeque::new(),
            paused_until: None,
        }
    }

    /// Returns whether a probe may be sent at `now` under a budget in probes
    /// per second. One probe of the budget is reserved for a previous holder
    /// that was paused before it sent a probe.
    #[must_use]
    pub fn is_probe_allowed(&mut self, budget: u32, now: Instant) -> bool {
        self.last_check = now;
        while self
            .unanswered
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= LATE_ARRIVAL_TIMEOUT)
        {
            self.unanswered.pop_front();
        }
        let usable = usize::try_from(budget.saturating_sub(1)).unwrap_or(usize::MAX);
        let is_interval_over = self
            .last_end
            .is_none_or(|last_end| now.saturating_duration_since(last_end) >= interval(budget));
        let limit = if self.has_answered {
            usable
        } else {
            usable.min(1)
        };
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        is_interval_over && !is_paused && !self.outstanding && self.unanswered.len() < limit
    }

    /// Records that a probe is sent.
    pub fn start_probe(&mut self) {
        self.outstanding = true;
    }

    /// Records that the probe ended at `now`.
    pub fn end_probe(&mut self, completion: Completion, now: Instant) {
        self.outstanding = false;
        self.last_end = Some(now);
        self.last_check = now;
        match completion {
            Completion::Answered => {
                self.has_answered = true;
                if !self.unanswered.is_empty() {
                    self.unanswered.clear();
                    self.paused_until = Some(now + RESUME_PAUSE);
                }
            }
            Completion::Undeliverable => {}
            Completion::Unanswered => self.unanswered.push_back(now),
        }
    }

    /// Records that the target answered a request at `at`. Everything that was
    /// in its socket buffers before has been processed by then.
    pub fn record_answer(&mut self, at: Instant) {
        let count = self.unanswered.len();
        self.unanswered.retain(|ended| *ended >= at);
        if self.unanswered.len() < count {
            self.paused_until = self.paused_until.max(Some(at + RESUME_PAUSE));
        }
    }

    /// Returns whether the state of the target can be dropped at `now`.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        !self.outstanding && self.unanswered.is_empty() && now >= self.last_check + IDLE_TIMEOUT
    }
}

fn interval(budget: u32) -> Duration {
    let nanos = BUDGET_PERIOD
        .as_nanos()
        .div_ceil(u128::from(budget.saturating_sub(1).max(1)));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
