//! Instance list of the platform, which holds the live and leaving instances.

use std::net::SocketAddr;

use carobdrift_units::{Cell, Instance, Region, Service, Zone};
use serde::{Deserialize, Serialize};

/// Member of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Member {
    /// Entry instance.
    Entry(Entry),
    /// Target instance.
    Target(Target),
}

/// Entry instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Instance id.
    pub id: Instance,
    /// Lifecycle state.
    pub state: State,
    /// Cell of the entry.
    pub cell: Cell,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Address of the caller listener.
    pub caller: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address of the peer listener.
    pub peer: SocketAddr,
}

/// Target instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Target id.
    pub id: carobdrift_units::Target,
    /// Service of the target.
    pub service: Service,
    /// Lifecycle state.
    pub state: State,
    /// Availability zone.
    pub zone: Zone,
    /// Start id of the target's process, if the platform knows it.
    #[serde(default)]
    pub start: Option<String>,
}

/// Lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The instance is running.
    Live,
    /// The platform is about to stop the instance.
    Leaving,
}
