//! Desired state of an installation.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_units::{ByteSize, Rate, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::workspace::Workspace;

/// Desired state of an installation, as an operator writes it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// Version; a larger one is newer.
    pub version: Version,
    /// Routes, in no particular order. Versions share the routes that are the same.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<carobdrift_units::Service, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Whether requests need an API key, except on public routes.
    pub requires_keys: bool,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Arc<Workspace>>,
}

/// Route: a set of requests with common settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the state.
    pub name: String,
    /// Host name that requests of the route have.
    pub host: String,
    /// Path prefix that requests of the route have, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: Kind,
    /// Longest time for which a caller waits.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Largest number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services that serve the route; a route without a traffic split has one.
    pub backends: Vec<Backend>,
}

/// Service that serves a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the service.
    pub service: carobdrift_units::Service,
    /// Weight, relative to the sum of the weights of the route.
    pub weight: u32,
}

/// Kind of a route's requests: whether one may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once with the same effect.
    Idempotent,
    /// A request must run at most once.
    NonIdempotent,
}

/// Settings of a service's targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health endpoint.
    pub health_path: String,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// What a target tolerates while it is cold; absent if it tolerates its usual
    /// load.
    pub warmup: Option<Warmup>,
}

/// What a target tolerates while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Warmup {
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Rate of requests that a cold target tolerates, from all entries together.
    pub rate: Rate,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Largest size of a request head.
    pub max_header: ByteSize,
    /// Largest size of a request body.
    pub max_body: ByteSize,
    /// Time within which the head of a request must be received.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply before the first desired state is known.
    fn default() -> Self {
        Self {
            max_header: ByteSize(16 * 1024),
            max_body: ByteSize(1024 * 1024),
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Fault for which a desired state is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Fault {
    /// A route names a service that the state does not list.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service.
        service: carobdrift_units::Service,
    },
    /// A route names no service with a weight above zero.
    #[error("route {route} has no service with a weight above zero")]
    NoBackend {
        /// Name of the route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route {route} must begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
    },
}

impl State {
    /// Returns every fault of the state.
    #[must_use]
    pub fn validate(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                faults.push(Fault::InvalidPrefix { route: name() });
            }
            if route.backends.iter().all(|backend| backend.weight == 0) {
                faults.push(Fault::NoBackend { route: name() });
            }
            for backend in &route.backends {
                if !self.services.contains_key(&backend.service) {
                    faults.push(Fault::UnknownService {
                        route: name(),
                        service: backend.service.clone(),
                    });
                }
            }
        }
        faults
    }
}
