//! What is observed of targets.

use std::time::Duration;

use carobdrift_units::{Service, Target, Version};

/// Result of one attempt, stated when its slot is given back.
#[derive(Debug, Clone)]
pub struct Observation {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What the target stated of itself in its response.
    pub report: Report,
}

impl Observation {
    /// An observation without a report.
    #[must_use]
    pub fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: Report::default(),
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered, and the answer is no fault of the target.
    Success,
    /// The target failed: no connection, a broken response, a server error.
    Failure,
    /// The target gave no answer in time.
    TimedOut,
    /// The target refused by contract, without processing the request.
    Refused,
    /// The connection is to blame and not the target; the target is not
    /// judged.
    Connection,
}

/// What a target states of itself in response headers.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Load stated in `carobdrift-load`.
    pub load: Option<Load>,
    /// Whether `carobdrift-draining: 1` was present.
    pub draining: bool,
    /// Start id stated in `carobdrift-start`.
    pub start: Option<String>,
}

/// Load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight at the target, from all entries, the answered one
    /// included.
    pub in_flight: u32,
    /// Requests that the target executes at a time.
    pub slots: u32,
}

/// Result of a probe, sent by this entry or by a peer.
#[derive(Debug, Clone)]
pub struct Sample {
    /// The target.
    pub target: Target,
    /// Requests in flight that the target stated; `None` when it gave no
    /// answer.
    pub in_flight: Option<u32>,
    /// Time that the probe took.
    pub latency: Duration,
    /// Age of the sample on arrival.
    pub age: Duration,
    /// Start id of the target's process, when stated.
    pub start: Option<String>,
    /// Whether the target answered as healthy.
    pub healthy: bool,
    /// Whether the target answered that it is leaving.
    pub draining: bool,
}

/// Source that showed a target to be leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The platform's instance list.
    List,
    /// A response or a health answer of the target.
    Response,
    /// The service's document.
    Document,
}

/// A target that this pool marked as leaving for the first time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Service of the target.
    pub service: Service,
    /// The target.
    pub target: Target,
    /// Source that showed it.
    pub evidence: Evidence,
    /// Start id of the target's process, when known.
    pub start: Option<String>,
    /// Document version in force when that was seen.
    pub version: Version,
}
