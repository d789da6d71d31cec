//! Settings of an entry: flags and environment variables, checked together.

mod arguments;
mod check;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use carobdrift_document::Ceilings;
use carobdrift_units::{ByteSize, Cell, Instance, Millis, PerSecond, Region, Secret, Team, Zone};
use serde::Serialize;

pub use arguments::Arguments;
pub use check::{Fault, Problem, Rejection};

/// Checked settings of an entry.
#[derive(Debug, Clone, Serialize)]
pub struct Settings {
    /// Instance id.
    pub instance: Instance,
    /// Cell of the entry.
    pub cell: Cell,
    /// Availability zone.
    pub zone: Zone,
    /// Region.
    pub region: Region,
    /// Listening addresses.
    pub listen: Listen,
    /// IP address that callers and peers use, when it differs from the
    /// listening one.
    pub advertise_ip: Option<IpAddr>,
    /// Connection to the platform.
    pub platform: Platform,
    /// Secret that authenticates links between the entries of the cell.
    pub peer_secret: Secret,
    /// Token that permits reading and editing of every document.
    pub operator_token: Option<Secret>,
    /// Tokens by team.
    pub team_tokens: BTreeMap<Team, Secret>,
    /// Limits by team, each over all entries.
    pub team_limits: BTreeMap<Team, TeamLimit>,
    /// Largest number of entries that the cell may have.
    pub max_entries: u32,
    /// Calls per second of one service above which its callers are steered to more
    /// entries.
    pub steering_rate: PerSecond,
    /// Settings of idempotency keys.
    pub keys: Keys,
    /// Ceilings that no document may exceed.
    pub ceilings: Ceilings,
    /// Time within which requests in progress must end when the entry drains.
    pub drain_timeout_ms: Millis,
    /// Settings of logging.
    pub log: Log,
}

/// Listening addresses; port 0 takes a free port.
#[derive(Debug, Clone, Serialize)]
pub struct Listen {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address of the administration and discovery API.
    pub admin: SocketAddr,
    /// Address for links of peers.
    pub peer: SocketAddr,
}

/// Connection settings of the platform.
#[derive(Debug, Clone, Serialize)]
pub struct Platform {
    /// Address of the platform's HTTP service.
    pub address: SocketAddr,
    /// Time within which a call must be answered.
    pub timeout_ms: Millis,
}

/// Settings of idempotency keys.
#[derive(Debug, Clone, Serialize)]
pub struct Keys {
    /// Time for which a key can be used after its prefix was issued.
    pub lifetime_ms: Millis,
    /// Largest memory of the records.
    pub memory_bytes: ByteSize,
    /// Table writes per second for caller-chosen keys.
    pub writes_per_second: u32,
}

/// Limit of one team, over all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TeamLimit {
    /// Requests in progress.
    pub in_flight: u32,
    /// Calls per second.
    pub per_second: u32,
}

/// Settings of logging.
#[derive(Debug, Clone, Serialize)]
pub struct Log {
    /// Lowest level that is written.
    pub level: log::LevelFilter,
    /// Format of a line.
    pub format: Format,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Plain text.
    Plain,
    /// One JSON object per line.
    Json,
}
