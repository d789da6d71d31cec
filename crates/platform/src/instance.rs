//! The platform's list of live and leaving instances.

use std::net::SocketAddr;

use carobdrift_units::{Cell, Instance, Region, Service, Zone};
use serde::{Deserialize, Serialize};

/// One row of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Member {
    /// An entry instance.
    Entry(Entry),
    /// A target instance.
    Target(Target),
}

/// An entry instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Instance id.
    pub id: Instance,
    /// Whether the platform is about to stop it.
    pub state: State,
    /// Cell that it belongs to.
    pub cell: Cell,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Address of its caller listener.
    pub caller: SocketAddr,
    /// Address of its administration API.
    pub admin: SocketAddr,
    /// Address of its peer listener.
    pub peer: SocketAddr,
}

/// A target instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Target id.
    pub id: carobdrift_units::Target,
    /// Service that it belongs to.
    pub service: Service,
    /// Whether the platform is about to stop it.
    pub state: State,
    /// Availability zone.
    pub zone: Zone,
    /// Start id of its process, when the platform knows it.
    #[serde(default)]
    pub start: Option<String>,
}

/// Life cycle state of an instance on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    Live,
    /// The platform is about to stop it.
    Leaving,
}
