//! Settings of an entry: flags and environment variables, checked as a whole.

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
    /// The platform.
    pub platform: Platform,
    /// Secret that admits links between the entries of the cell.
    pub peer_secret: Secret,
    /// Token that reads and edits every document.
    pub operator_token: Option<Secret>,
    /// Tokens of the teams.
    pub team_tokens: BTreeMap<Team, Secret>,
    /// Limits of the teams, in sum over all entries.
    pub team_limits: BTreeMap<Team, TeamLimit>,
    /// Largest number of entries that the cell may have.
    pub max_entries: u32,
    /// Calls per second and service above which more entries are steered to.
    pub steering_rate: PerSecond,
    /// Idempotency keys.
    pub keys: Keys,
    /// Ceilings that no document may exceed.
    pub ceilings: Ceilings,
    /// Time within which requests in progress must end once the entry leaves.
    pub drain_timeout_ms: Millis,
    /// Logging.
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

/// How to reach the platform.
#[derive(Debug, Clone, Serialize)]
pub struct Platform {
    /// Address of its HTTP service.
    pub address: SocketAddr,
    /// Time within which a call must be answered.
    pub timeout_ms: Millis,
}

/// Settings of idempotency keys.
#[derive(Debug, Clone, Serialize)]
pub struct Keys {
    /// Time for which a key can be used after its prefix was issued.
    pub lifetime_ms: Millis,
    /// Memory that records may take.
    pub memory_bytes: ByteSize,
    /// Table writes per second for keys of the callers' making.
    pub writes_per_second: u32,
}

/// Limit of one team, in sum over all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TeamLimit {
    /// Requests in progress.
    pub in_flight: u32,
    /// Calls per second.
    pub per_second: u32,
}

/// Logging.
#[derive(Debug, Clone, Serialize)]
pub struct Log {
    /// Lowest level that is written.
    pub level: log::LevelFilter,
    /// Form of a line.
    pub format: Format,
}

/// Form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// Plain text.
    Plain,
    /// One JSON object per line.
    Json,
}
