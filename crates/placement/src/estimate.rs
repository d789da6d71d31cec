//! Estimate of the service time of a route.

use std::time::Duration;

/// Weight of a new observation: a mean over the last 20 requests.
const GAIN: f64 = 0.05;

/// Smallest mean; costs are multiples of it.
const MIN_MEAN_S: f64 = 0.001;

/// Running estimate of the service time of one route's requests on a target at
/// normal speed.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

impl Estimate {
    /// Creates an initial estimate from the target latency of the route.
    #[must_use]
    pub fn new(target_latency: Duration) -> Self {
        let mean_s = (target_latency.as_secs_f64() / 3.0).max(MIN_MEAN_S);
        Self {
            mean_s,
            deviation_s: mean_s / 3.0,
        }
    }

    /// Updates the estimate with the duration of a request on a target that
    /// reported `slowdown`.
    pub fn observe(&mut self, elapsed: Duration, slowdown: f64) {
        let service_time_s = elapsed.as_secs_f64() / slowdown.max(1.0);
        let error_s = service_time_s - self.mean_s;
        self.mean_s += GAIN * error_s;
        self.deviation_s += GAIN * (error_s.abs() - self.deviation_s);
    }

    /// Returns the mean service time at normal speed.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(MIN_MEAN_S))
    }

    /// Returns the service time at normal speed that few requests exceed: the
    /// mean plus twice the mean deviation.
    #[must_use]
    pub fn upper(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s + 2.0 * self.deviation_s).max(MIN_MEAN_S))
    }
}
