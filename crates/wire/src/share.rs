//! Requested and granted shares of limits.

use carobdrift_units::{Class, Service};
use serde::{Deserialize, Serialize};

/// Share of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of calls per second.
    pub per_second: u32,
}

/// Requisition of an entry for shares of the limits of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requisition {
    /// Service whose limits are shared.
    pub service: Service,
    /// Demands on the limits of the service and of its classes that have limits.
    pub limits: Vec<Demand>,
}

/// Demand of an entry on one limit, in addition to its fixed share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Class that the limit applies to; `None` for the whole service.
    pub class: Option<Class>,
    /// Share that the entry requests.
    pub want: Share,
    /// Share that the entry holds. The entry uses no more until it is granted more.
    pub held: Share,
}

/// Grant of shares of the limits of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Service whose limits are shared.
    pub service: Service,
    /// Allocations of the limits that the holder knows.
    pub limits: Vec<Allocation>,
}

/// Allocation of a share of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// Class that the limit applies to; `None` for the whole service.
    pub class: Option<Class>,
    /// Share that the requesting entry may use in addition to its fixed share.
    pub granted: Share,
}
