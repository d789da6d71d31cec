//! Load reports and attempt outcomes.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

/// Load that a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests in execution.
    pub running: u32,
    /// Requests in the target's queue.
    pub waiting: u32,
    /// Requests that the target can execute concurrently.
    pub slots: u32,
    /// Current service time as a multiple of the service time at normal speed.
    pub slowdown: f64,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response other than a server error.
    Success,
    /// A server error, a broken response, or no response in time.
    Failure,
    /// The target refused the request without executing it.
    Refused,
    /// The entry cancelled the attempt.
    Cancelled,
}

/// Snapshot of the state by which a target was chosen, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Snapshot {
    /// Slowdown that the target reported last; absent if it reported none.
    pub slowdown: Option<f64>,
    /// Age of that report.
    pub age: Duration,
    /// Estimated number of requests on the target.
    pub occupancy: u32,
    /// Requests that the target can execute concurrently.
    pub slots: u32,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            occupancy, slots, ..
        } = self;
        match self.slowdown {
            Some(slowdown) => {
                let age = self.age.as_millis();
                write!(f, "x{slowdown:.1}/{age}ms/{occupancy}of{slots}")
            }
            None => write!(f, "unknown/{occupancy}of{slots}"),
        }
    }
}

/// Load report with the time of its receipt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Report {
    pub(crate) load: Load,
    pub(crate) received: Instant,
    /// Requests of this entry in flight on the target at that time.
    pub(crate) own_in_flight: u32,
}
