//! Routed request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use carobdrift_http1::{Body, Request};
use carobdrift_routing::{Kind, Route};
use carobdrift_units::{Service, Version};
use http::{HeaderMap, Method};
use tokio::time::Instant;

use crate::credential::Credential;

/// Request with its route, service and deadline.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Attempt id that the caller sent.
    pub(crate) id: Option<String>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    /// Workspace that sent the request, on routes that are not public.
    pub(crate) credential: Option<Credential>,
    /// Priority of the workspace, or else of the route.
    pub(crate) priority: u32,
    /// Path of the health endpoint of the service.
    pub(crate) health_path: String,
    /// Version of the desired state by which the request was routed.
    pub(crate) version: Version,
    pub(crate) received: Instant,
    /// Deadline of the caller or timeout of the route, whichever is earlier.
    pub(crate) deadline: Instant,
    /// Attempts that may have reached a target and were not refused by it.
    dispatched: AtomicU32,
}

/// Where a request goes, by the desired state.
#[derive(Debug)]
pub(crate) struct Destination {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    pub(crate) credential: Option<Credential>,
    pub(crate) health_path: String,
    pub(crate) version: Version,
    /// Time that the caller gave, or else the timeout of the route.
    pub(crate) timeout: Duration,
}

impl Call {
    /// Creates a call that was routed by the desired state of a version.
    pub(crate) fn new(request: Request, id: Option<String>, target: Destination) -> Self {
        let Destination {
            route,
            service,
            credential,
            health_path,
            version,
            timeout,
        } = target;
        let workspace = credential.as_ref().map(|credential| &credential.workspace);
        Self {
            priority: workspace
                .and_then(|workspace| workspace.priority)
                .unwrap_or(route.priority),
            deadline: request.received + timeout.min(route.timeout),
            method: request.method,
            target: request.target,
            headers: request.headers,
            body: request.body,
            id,
            route,
            service,
            credential,
            health_path,
            version,
            received: request.received,
            dispatched: AtomicU32::new(0),
        }
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.kind == Kind::Idempotent
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the soft deadline: the end of the route's target latency.
    pub(crate) fn soft_deadline(&self) -> Instant {
        self.received + self.route.target_latency
    }

    /// Records that bytes of an attempt are about to be sent.
    pub(crate) fn begin_dispatch(&self) {
        self.dispatched.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that an attempt was not sent, or that its target did not execute
    /// it.
    pub(crate) fn undo_dispatch(&self) {
        self.dispatched.fetch_sub(1, Ordering::AcqRel);
    }

    pub(crate) fn is_dispatched(&self) -> bool {
        self.dispatched.load(Ordering::Acquire) > 0
    }
}
