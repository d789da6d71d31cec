//! Ceilings that the operator of the platform sets for all documents.

use carobdrift_units::{ByteSize, Millis, Percent};
use serde::Serialize;

use crate::fault::{Faults, Rejection};
use crate::model::Document;

/// Ceilings of the values in every document of the installation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Ceilings {
    /// Largest number of requests in progress per service, over all entries.
    pub max_in_flight: u32,
    /// Largest number of calls per second and service, over all entries.
    pub max_per_second: u32,
    /// Largest number of waiting requests of one class at one entry.
    pub max_queue: u32,
    /// Largest number of probes per second and target, from all entries.
    pub probes_per_second_per_target: u32,
    /// Largest number of attempts per request, the first included.
    pub max_attempts: u32,
    /// Largest share of retries, as a percentage of requests.
    pub retry_percent: Percent,
    /// Largest share of hedges, as a percentage of requests.
    pub hedge_percent: Percent,
    /// Longest deadline of a route.
    pub deadline_ms: Millis,
    /// Longest time to live of an address answer. An entry that is leaving waits
    /// for the longest time to live among the documents before it stops.
    pub ttl_ms: Millis,
    /// Largest number of connections from one entry to one target.
    pub max_per_target: u32,
    /// Largest size of a request body.
    pub max_request_bytes: ByteSize,
    /// Largest size of a response body.
    pub max_response_bytes: ByteSize,
}

impl Default for Ceilings {
    fn default() -> Self {
        Self {
            max_in_flight: 100_000,
            max_per_second: 1_000_000,
            max_queue: 10_000,
            probes_per_second_per_target: 10,
            max_attempts: 5,
            retry_percent: Percent::try_from(25.0).unwrap_or_default(),
            hedge_percent: Percent::try_from(10.0).unwrap_or_default(),
            deadline_ms: Millis(60_000),
            ttl_ms: Millis(30_000),
            max_per_target: 1_024,
            max_request_bytes: ByteSize(64 * 1024 * 1024),
            max_response_bytes: ByteSize(256 * 1024 * 1024),
        }
    }
}

impl Document {
    /// Compares the document with the ceilings of the installation.
    ///
    /// # Errors
    ///
    /// Returns every value above its ceiling, with the path of the value.
    pub fn check(&self, ceilings: &Ceilings) -> Result<(), Rejection> {
        let mut faults = Faults::default();
        for (index, route) in self.routes.iter().enumerate() {
            faults.check_ceiling(
                format!("routes[{index}].deadline_ms"),
                route.deadline_ms,
                ceilings.deadline_ms,
            );
        }
        for (index, class) in self.classes.iter().enumerate() {
            faults.check_ceiling(
                format!("classes[{index}].max_queue"),
                class.max_queue,
                ceilings.max_queue,
            );
        }
        let counts = [
            (
                "limits.max_in_flight",
                self.limits.max_in_flight,
                ceilings.max_in_flight,
            ),
            (
                "limits.max_per_second",
                self.limits.max_per_second,
                ceilings.max_per_second,
            ),
            (
                "measuring.probes_per_second_per_target",
                self.measuring.probes_per_second_per_target,
                ceilings.probes_per_second_per_target,
            ),
            (
                "retries.max_attempts",
                self.retries.max_attempts,
                ceilings.max_attempts,
            ),
            (
                "connections.max_per_target",
                self.connections.max_per_target,
                ceilings.max_per_target,
            ),
        ];
        for (path, found, ceiling) in counts {
            faults.check_ceiling(path, found, ceiling);
        }
        faults.check_ceiling(
            "retries.budget_percent",
            self.retries.budget_percent,
            ceilings.retry_percent,
        );
        faults.check_ceiling(
            "hedging.budget_percent",
            self.hedging.budget_percent,
            ceilings.hedge_percent,
        );
        faults.check_ceiling("steering.ttl_ms", self.steering.ttl_ms, ceilings.ttl_ms);
        faults.check_ceiling(
            "bodies.max_request_bytes",
            self.bodies.max_request_bytes,
            ceilings.max_request_bytes,
        );
        faults.check_ceiling(
            "bodies.max_response_bytes",
            self.bodies.max_response_bytes,
            ceilings.max_response_bytes,
        );
        faults.finish()
    }
}
