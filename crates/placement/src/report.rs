//! What is observed of targets.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

/// Load that a target states of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that it executes.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it can execute at a time.
    pub slots: u32,
    /// Time that work takes at this moment, as a multiple of the usual time.
    pub slowdown: f64,
}

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response that is no server error.
    Success,
    /// A server error, a broken response or none in time.
    Failure,
    /// The target refused without executing.
    Refused,
    /// The attempt was given up by this side.
    Cancelled,
}

/// What a target was chosen by, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Snapshot {
    /// Slowdown that the target stated last; absent when it stated none.
    pub slowdown: Option<f64>,
    /// Age of that statement.
    pub age: Duration,
    /// Requests that the target was expected to have.
    pub occupancy: u32,
    /// Requests that it can execute at a time.
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

/// A load with the moment at which it was stated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stated {
    pub(crate) load: Load,
    pub(crate) at: Instant,
    /// Own requests in flight at that moment.
    pub(crate) own: u32,
}
