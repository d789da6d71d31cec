//! One request on its way.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use carobdrift_http1::Request;
use carobdrift_routing::{Kind, Route};
use carobdrift_units::{Service, Version};
use http::{HeaderMap, Method};
use tokio::time::Instant;

/// A request that was routed.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Id of the caller's attempt.
    pub(crate) id: Option<String>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    /// Path of the health endpoint of the service.
    pub(crate) health_path: String,
    /// Version of the desired state by which it was routed.
    pub(crate) version: Version,
    pub(crate) received: Instant,
    /// End of the wait: the caller's deadline or the time-out of the route.
    pub(crate) give_up: Instant,
    /// Attempts that may have reached a target which did not refuse them.
    dispatched: AtomicU32,
}

impl Call {
    pub(crate) fn new(
        request: Request,
        id: Option<String>,
        route: Arc<Route>,
        service: Service,
        health_path: String,
        version: Version,
        deadline: Duration,
    ) -> Self {
        Self {
            give_up: request.received + deadline.min(route.timeout),
            method: request.method,
            target: request.target,
            headers: request.headers,
            body: request.body,
            id,
            route,
            service,
            health_path,
            version,
            received: request.received,
            dispatched: AtomicU32::new(0),
        }
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.kind == Kind::Idempotent
    }

    pub(crate) fn left(&self) -> Duration {
        self.give_up.saturating_duration_since(Instant::now())
    }

    /// End of the time within which the answer has its full use.
    pub(crate) fn aim(&self) -> Instant {
        self.received + self.route.target_latency
    }

    /// Notes that bytes of an attempt are about to be sent.
    pub(crate) fn begin_dispatch(&self) {
        self.dispatched.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes that an attempt was not sent, or that its target did not execute it.
    pub(crate) fn undo_dispatch(&self) {
        self.dispatched.fetch_sub(1, Ordering::AcqRel);
    }

    pub(crate) fn is_dispatched(&self) -> bool {
        self.dispatched.load(Ordering::Acquire) > 0
    }
}
