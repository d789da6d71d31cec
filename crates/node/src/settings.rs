//! Settings of an entry.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use carobdrift_gateway as gateway;
use carobdrift_units::{BitRate, Zone};

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the machine.
    pub name: String,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Address on which callers are served.
    pub caller: SocketAddr,
    /// Address for other entries; all entries use the same port.
    pub peer: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Addresses of entries that may be running.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole installation starts for the first time, as opposed to a
    /// restart of this entry.
    pub first_start: bool,
    /// Processor capacity of the machine, in thousandths of a core.
    pub capacity: u32,
    /// Bandwidth of the machine's link.
    pub link: BitRate,
    /// Longest TTL of an address answer that the platform allows.
    pub max_ttl: Duration,
    /// Time between the request to stop and the forced end of the process.
    pub grace: Duration,
    /// Time after its confirmation by the store within which a change of the desired
    /// state or of the targets must be in force.
    pub max_change_delay: Duration,
    /// Settings of the gateway, which forwards requests.
    pub gateway: gateway::Settings,
}
