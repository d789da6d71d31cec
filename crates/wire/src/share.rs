//! Shares of limits, as asked for and as granted.

use carobdrift_units::{Class, Service};
use serde::{Deserialize, Serialize};

/// Part of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Requests in flight.
    pub in_flight: u32,
    /// Calls per second.
    pub per_second: u32,
}

/// What an entry asks for of the limits of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requisition {
    /// The service.
    pub service: Service,
    /// Its own limits and those of its classes that have limits.
    pub limits: Vec<Demand>,
}

/// What an entry wants and holds of one limit, besides its fixed share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Class that the limit is for; `None` for the whole service.
    pub class: Option<Class>,
    /// What the entry wants to permit.
    pub want: Share,
    /// What the entry holds. It uses no more until it is granted more.
    pub held: Share,
}

/// What a holder granted of the limits of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The service.
    pub service: Service,
    /// Grants of the limits that the holder knows.
    pub limits: Vec<Allocation>,
}

/// What a holder granted of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// Class that the limit is for; `None` for the whole service.
    pub class: Option<Class>,
    /// What the asking entry may permit besides its fixed share.
    pub granted: Share,
}
