//! Observations of targets: results of attempts and probes, and departures.

use std::time::Duration;

use carobdrift_units::{Service, Target, Version};

/// Result of one attempt, given when its slot is released.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Report of the target in the response headers.
    pub report: Report,
}

impl Observation {
    /// Creates an observation without a report.
    #[must_use]
    pub fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: Report::default(),
        }
    }
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered. An error that the target did not cause counts as
    /// success.
    Success,
    /// The target failed: no connection, a broken response or a server error.
    Failure,
    /// The target did not answer in time.
    TimedOut,
    /// The target refused the request under the protocol, without processing
    /// it.
    Refused,
    /// The connection was at fault and not the target, whose health is
    /// unaffected.
    Connection,
}

/// Report of a target about itself, from response headers.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Value of the header `carobdrift-load`.
    pub load: Option<Load>,
    /// Whether the header `carobdrift-draining: 1` was present.
    pub draining: bool,
    /// Value of the header `carobdrift-start`: the id that the target draws at
    /// each process start.
    pub start: Option<String>,
}

/// Load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight on the target from all entries, including the
    /// answered one.
    pub in_flight: u32,
    /// Requests that the target executes at the same time.
    pub slots: u32,
}

/// Result of a probe that this entry or a peer sent.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Target that was probed.
    pub target: Target,
    /// Requests in flight that the target reported; `None` without an answer.
    pub in_flight: Option<u32>,
    /// Duration of the probe.
    pub latency: Duration,
    /// Age of the sample on arrival at this entry.
    pub age: Duration,
    /// Start id of the target's process, if reported.
    pub start: Option<String>,
    /// Whether the target reported to be healthy.
    pub healthy: bool,
    /// Whether the target reported to be leaving.
    pub draining: bool,
}

/// Source of the information that a target is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Instance list of the platform.
    List,
    /// Response or health answer of the target.
    Response,
    /// Document of the service.
    Document,
}

/// Departure of a target that this pool newly marked as leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Service of the target.
    pub service: Service,
    /// Target that is leaving.
    pub target: Target,
    /// Source of the information.
    pub evidence: Evidence,
    /// Start id of the target's process, if known.
    pub start: Option<String>,
    /// Document version that was in force when the departure was seen.
    pub version: Version,
}
