//! One version of the desired state.

use std::collections::BTreeMap;
use std::time::Duration;

use carobdrift_units::{ByteSize, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Everything that an operator states about an installation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Version; a larger one is newer.
    pub version: Version,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<carobdrift_units::Service, Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// A set of requests that are treated alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the state.
    pub name: String,
    /// Host name of its requests.
    pub host: String,
    /// Begin of the path of its requests, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: Kind,
    /// Longest time for which a caller waits.
    pub timeout: Duration,
    /// Time within which an answer has its full use.
    pub target_latency: Duration,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services that serve it; a route without a split has one.
    pub backends: Vec<Backend>,
}

/// A service that serves a share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: carobdrift_units::Service,
    /// Its share is in proportion to this.
    pub weight: u32,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// It may run more than once with the same effect.
    Idempotent,
    /// It must run at most once.
    NonIdempotent,
}

/// How the targets of a service are reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health endpoint.
    pub health_path: String,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request.
    pub max_header: ByteSize,
    /// Largest body of a request.
    pub max_body: ByteSize,
    /// Time for the head of a request.
    pub header_timeout: Duration,
    /// Time for which a connection may idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits before the first desired state is known.
    fn default() -> Self {
        Self {
            max_header: ByteSize(16 * 1024),
            max_body: ByteSize(1024 * 1024),
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a desired state can't be put in force.
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
    #[error("route {route} has no service to go to")]
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
    /// Lists every fault.
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
