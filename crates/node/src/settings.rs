//! Settings of an entry.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use carobdrift_gateway as gateway;
use carobdrift_units::Zone;

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the machine.
    pub name: String,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other entries; all use the same port.
    pub peer: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Entries that may be running.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole installation starts for the first time, rather than
    /// this entry again.
    pub first_start: bool,
    /// Processor of the machine, in thousandths of a core.
    pub capacity: u32,
    /// Time for which callers may keep an address answer, as far as the
    /// platform allows.
    pub max_ttl: Duration,
    /// Time between the request to stop and the end of the process.
    pub grace: Duration,
    /// The path of requests.
    pub gateway: gateway::Settings,
}
