//! Snapshots of targets.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_units::{Target, Zone};

use crate::observation::Evidence;

/// Snapshot of a target as this entry's pool sees it.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Id of the target.
    pub target: Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: Zone,
    /// Requests that the target executes at the same time.
    pub slots: u32,
    /// Standing of the target, which decides whether the target gets new
    /// requests.
    pub standing: Standing,
    /// Requests of this entry in flight.
    pub in_flight: u32,
    /// Estimated requests of other entries in flight.
    pub foreign_in_flight: f64,
    /// Latency as a multiple of the median of the class, from recent attempts.
    pub slowdown: f64,
    /// Average latency; `None` before the first success.
    pub latency: Option<Duration>,
    /// Time since the last answer; `None` before the first answer. A failed
    /// attempt counts as answered unless it timed out.
    pub last_answer: Option<Duration>,
    /// Whether the target is in its slow start.
    pub in_slow_start: bool,
    /// Start id of the target's process, if known.
    pub start: Option<String>,
}

/// Standing of a target, which decides whether the target gets new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The target gets new requests.
    Active,
    /// The target is leaving and gets no new requests. Holds the first
    /// evidence.
    Leaving(Evidence),
    /// The target is ejected and gets no new requests for the given time.
    Ejected(Duration),
    /// The ejection has ended. One trial request or a healthy probe decides
    /// whether the target returns.
    HalfOpen,
}
