//! Data model of the service document.

use std::net::SocketAddr;

use carobdrift_units::{ByteSize, Millis, Percent, Service, Target, Team, Zone};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Everything that a team states about its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service.
    pub service: Service,
    /// Team that owns the service.
    pub team: Team,
    /// Targets that serve it.
    pub targets: Vec<Endpoint>,
    /// Which requests it takes.
    pub routes: Vec<Route>,
    /// Request classes; routes refer to them by name.
    pub classes: Vec<Class>,
    /// Limits of the whole service.
    #[serde(default)]
    pub limits: Limits,
    /// Budget for probes.
    #[serde(default)]
    pub measuring: Measuring,
    /// Retries of idempotent requests.
    #[serde(default)]
    pub retries: Retries,
    /// Hedging of idempotent requests.
    #[serde(default)]
    pub hedging: Hedging,
    /// How a target is chosen.
    #[serde(default)]
    pub balancing: Balancing,
    /// How callers are spread over entries.
    #[serde(default)]
    pub steering: Steering,
    /// Connections to targets.
    #[serde(default)]
    pub connections: Connections,
    /// Sizes of bodies.
    #[serde(default)]
    pub bodies: Bodies,
}

/// One target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Id of the target.
    pub id: Target,
    /// Where it listens.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: Zone,
    /// Requests that it executes at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    #[serde(default)]
    pub state: State,
}

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes new requests.
    #[default]
    Active,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// A set of requests that are treated alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, unique in the document.
    pub name: String,
    /// Methods that it takes.
    pub methods: Vec<String>,
    /// Path pattern; `*` matches one segment, a trailing `**` any rest.
    pub path: String,
    /// Whether a request may run more than once.
    pub kind: Kind,
    /// Name of the class of its requests.
    pub class: carobdrift_units::Class,
    /// Time within which the caller must be answered.
    pub deadline_ms: Millis,
    /// Which idempotency keys it takes.
    #[serde(default)]
    pub keys: Keys,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It may run more than once with the same effect.
    Idempotent,
    /// It must run at most once.
    NonIdempotent,
}

/// Which idempotency keys a route takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Keys {
    /// None: each send is a request of its own.
    #[default]
    None,
    /// Keys that start with a prefix issued by an entry.
    Issued,
    /// Keys of the caller's making, claimed in the platform's table.
    Caller,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: carobdrift_units::Class,
    /// Share of the class when classes compete for slots.
    pub weight: u32,
    /// Requests of the class that may wait at one entry.
    pub max_queue: u32,
    /// Requests of the class in progress, in sum over all entries.
    #[serde(default)]
    pub max_in_flight: Option<u32>,
    /// Calls of the class per second, in sum over all entries.
    #[serde(default)]
    pub max_per_second: Option<u32>,
}

/// Limits of a whole service, in sum over all entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests in progress.
    pub max_in_flight: u32,
    /// Calls per second.
    pub max_per_second: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_in_flight: 10_000,
            max_per_second: 100_000,
        }
    }
}

/// Budget for probes of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Measuring {
    /// Probes per second that one target receives at most, from all entries.
    pub probes_per_second_per_target: u32,
    /// Path of the probe.
    pub path: String,
    /// Time after which a probe counts as failed.
    pub timeout_ms: Millis,
}

impl Default for Measuring {
    fn default() -> Self {
        Self {
            probes_per_second_per_target: 2,
            path: "/health".to_owned(),
            timeout_ms: Millis(200),
        }
    }
}

/// Retries of idempotent requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Attempts per request, the first included.
    pub max_attempts: u32,
    /// Retries as a share of requests.
    pub budget_percent: Percent,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget_percent: percent(10.0),
        }
    }
}

/// Hedging of idempotent requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Hedging {
    /// Percentile of the service's latency after which a hedge goes out.
    pub after_percentile: Percent,
    /// Shortest delay before a hedge.
    pub min_delay_ms: Millis,
    /// Hedges as a share of requests; 0 turns hedging off.
    pub budget_percent: Percent,
}

impl Default for Hedging {
    fn default() -> Self {
        Self {
            after_percentile: percent(95.0),
            min_delay_ms: Millis(5),
            budget_percent: percent(5.0),
        }
    }
}

/// How a target is chosen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Balancing {
    /// The policy.
    pub policy: Policy,
}

/// Policy by which a target is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each target in turn.
    RoundRobin,
    /// The less loaded of two random targets, by own requests in flight.
    PowerOfTwo,
    /// The target with the fewest own requests in flight.
    LeastInFlight,
    /// The target with the best score of all signals, with admission at the
    /// entry.
    #[default]
    Adaptive,
}

/// How callers are spread over entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Steering {
    /// Entries of each availability zone to which callers are steered; 0
    /// spreads callers over all entries.
    pub entries_per_zone: u32,
    /// Time for which a caller may keep an address answer.
    pub ttl_ms: Millis,
}

impl Default for Steering {
    fn default() -> Self {
        Self {
            entries_per_zone: 1,
            ttl_ms: Millis(5_000),
        }
    }
}

/// Connections from one entry to targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Connections to one target.
    pub max_per_target: u32,
    /// Time within which a connection must open.
    pub connect_timeout_ms: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: Millis,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            max_per_target: 64,
            connect_timeout_ms: Millis(250),
            idle_timeout_ms: Millis(10_000),
        }
    }
}

/// Sizes of bodies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bodies {
    /// Largest request body.
    pub max_request_bytes: ByteSize,
    /// Largest response body.
    pub max_response_bytes: ByteSize,
}

impl Default for Bodies {
    fn default() -> Self {
        Self {
            max_request_bytes: ByteSize(1024 * 1024),
            max_response_bytes: ByteSize(16 * 1024 * 1024),
        }
    }
}

fn percent(value: f64) -> Percent {
    Percent::try_from(value).unwrap_or_default()
}
