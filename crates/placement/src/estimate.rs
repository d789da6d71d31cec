//! Time that the requests of a route take.

use std::time::Duration;

/// Weight of a new observation: a mean over the last 20 requests.
const GAIN: f64 = 0.05;

/// Running estimate of the time that a request of one route takes on a target
/// of usual speed.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Estimate {
    /// A first estimate, from the latency that the route aims at.
    #[must_use]
    pub fn new(target_latency: Duration) -> Self {
        let mean = target_latency.as_secs_f64() / 3.0;
        Self {
            mean,
            deviation: mean / 3.0,
        }
    }

    /// Takes in the time of a request on a target with the stated slowdown.
    pub fn observe(&mut self, elapsed: Duration, slowdown: f64) {
        let work = elapsed.as_secs_f64() / slowdown.max(1.0);
        let error = work - self.mean;
        self.mean += GAIN * error;
        self.deviation += GAIN * (error.abs() - self.deviation);
    }

    /// Mean time at usual speed.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.max(0.0))
    }

    /// Time that few requests exceed on a target of usual speed.
    #[must_use]
    pub fn upper(&self) -> Duration {
        Duration::from_secs_f64((self.mean + 2.0 * self.deviation).max(0.0))
    }
}
