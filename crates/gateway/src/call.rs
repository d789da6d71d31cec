//! One request on its way.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
    /// Whether it may have reached a target that did not refuse it.
    dispatched: AtomicBool,
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
            dispatched: AtomicBool::new(false),
        }
    }

    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.kind == Kind::Idempotent
    }

    pub(crate) fn left(&self) -> Duration {
        self.give_up.saturating_duration_since(Instant::now())
    }

    /// End of the time within which the answer has its full use.
    pub(crate) fn aim(&self) -> Instant {
        self.received + self.route.target_latency
    }

    /// Notes that bytes of it are about to be sent.
    pub(crate) fn set_dispatched(&self) {
        self.dispatched.store(true, Ordering::Release);
    }

    /// Notes that the only target to which it was sent did not execute it.
    pub(crate) fn clear_dispatched(&self) {
        self.dispatched.store(false, Ordering::Release);
    }

    pub(crate) fn is_dispatched(&self) -> bool {
        self.dispatched.load(Ordering::Acquire)
    }
}
