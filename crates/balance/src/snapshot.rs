//! Targets as a pool sees them.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_units::{Target, Zone};

use crate::observation::Evidence;

/// A target as the pool sees it.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Id of the target.
    pub target: Target,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Requests that it executes at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub standing: Standing,
    /// Requests of this entry in flight.
    pub in_flight: u32,
    /// Estimated requests of other entries in flight.
    pub foreign_in_flight: f64,
    /// How many times slower than usual it is, by the latency memory.
    pub slowdown: f64,
    /// Average latency, once a request succeeded.
    pub latency: Option<Duration>,
    /// Time since the last answer, once there was one.
    pub last_answer: Option<Duration>,
    /// Whether it is in its slow start.
    pub in_slow_start: bool,
    /// Start id of its process, when known.
    pub start: Option<String>,
}

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It takes new requests.
    Active,
    /// It is leaving and takes none; the evidence that counted is given.
    Leaving(Evidence),
    /// It is ejected and takes none for the given time.
    Ejected(Duration),
    /// Its ejection has ended; one trial request or a healthy probe decides.
    HalfOpen,
}
