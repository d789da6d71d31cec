//! What is observed of targets.

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

/// A load with the moment at which it was stated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stated {
    pub(crate) load: Load,
    pub(crate) at: Instant,
    /// Own requests in flight at that moment.
    pub(crate) own: u32,
}
