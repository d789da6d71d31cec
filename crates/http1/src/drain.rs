//! End of a server that stops.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Part of the time for a stop before which no answer is given in place of a service that
/// is still at work.
const ANSWERS_FROM: f64 = 5.0 / 6.0;

/// Time that a single answer takes on a machine whose processor is given to others for up
/// to a tenth of a second at a time.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Additional time for each answer, on a machine with a tenth of a core.
const TIME_PER_ANSWER: Duration = Duration::from_micros(400);

/// Times of the end of a server that stops: requests in progress are served until they
/// have to be answered, so that their callers receive the answers before the end.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    answers_from: Instant,
    deadline: Instant,
}

impl Drain {
    /// Returns the times for a server that was asked to stop at `start`, and whose process
    /// is ended after `grace`. `reserve` is the part of it in which the process ends itself.
    #[must_use]
    pub fn new(start: Instant, grace: Duration, reserve: Duration) -> Self {
        Self {
            answers_from: start + grace.mul_f64(ANSWERS_FROM),
            deadline: start + grace.saturating_sub(reserve),
        }
    }

    /// Returns the time at which requests without a response are to be answered if there
    /// are this many.
    #[must_use]
    pub fn answers_at(self, requests: usize) -> Instant {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        let time = ANSWER_TIME + TIME_PER_ANSWER.saturating_mul(requests);
        let latest = self.deadline.checked_sub(time);
        latest.map_or(self.answers_from, |latest| latest.max(self.answers_from))
    }

    /// Waits until all connections have ended or the deadline passes. Cancels `ending` at
    /// the time at which the requests without a response are to be answered. Returns
    /// whether all connections have ended. Idle connections must end by themselves.
    pub async fn run(self, connections: &TaskTracker, ending: &CancellationToken) -> bool {
        let answer = async {
            sleep_until(self.answers_from).await;
            sleep_until(self.answers_at(connections.len())).await;
            ending.cancel();
            sleep_until(self.deadline).await;
        };
        tokio::select! {
            () = connections.wait() => true,
            () = answer => false,
        }
    }
}
