//! Everything that requests need.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use carobdrift_http1::{Limits, Request, Response, Service};
use carobdrift_placement::Endpoint;
use carobdrift_routing::{State, Table};
use carobdrift_units::{Target, Version, Zone};

use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::services::{Repeats, Services};
use crate::upstream::Upstreams;

/// Lateness of timers from which the processor counts as overloaded. Reports
/// would be older than their use when they are taken in.
const OVERLOAD_LATENESS: Duration = Duration::from_millis(25);

/// Settings of the path of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Repeats in sum over all entries, as a share of the requests of a window.
    pub retry_ratio: f64,
    /// Repeats in sum over all entries that a window may have besides.
    pub retry_reserve: f64,
    /// The window.
    pub retry_window: Duration,
}

/// The path of requests of one entry.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) services: Services,
    pub(crate) upstreams: Upstreams,
    pub(crate) metrics: Metrics,
    table: ArcSwapOption<Table>,
    closing: AtomicBool,
    requests: AtomicU64,
    /// Whether the processor is so busy that timers fire late.
    overloaded: AtomicBool,
}

impl Gateway {
    /// Opens the path of requests, without a desired state and without targets.
    #[must_use]
    pub fn open(settings: &Settings, dialect: Arc<dyn Dialect>, metrics: Metrics) -> Arc<Self> {
        let repeats = Repeats {
            ratio: settings.retry_ratio,
            reserve: settings.retry_reserve,
            window: settings.retry_window,
        };
        Arc::new(Self {
            dialect,
            services: Services::new(settings.zone.clone(), repeats),
            upstreams: Upstreams::new(metrics.connections.clone()),
            metrics,
            table: ArcSwapOption::empty(),
            closing: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            overloaded: AtomicBool::new(false),
        })
    }

    /// Puts a desired state in force unless a newer one is. Returns whether it
    /// was.
    pub fn put_state(&self, state: State) -> bool {
        let current = self.table.load();
        if current
            .as_ref()
            .is_some_and(|table| table.state().version >= state.version)
        {
            return false;
        }
        self.services.retain_routes(&state.routes);
        self.table.store(Some(Arc::new(Table::new(state))));
        true
    }

    /// The desired state in force.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.load_full()
    }

    /// Version of the desired state in force; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> Version {
        let table = self.table.load();
        table
            .as_ref()
            .map_or(Version::NONE, |table| table.state().version)
    }

    /// Adds a target or takes in its new registration.
    pub fn put_target(&self, endpoint: Endpoint) {
        self.services.put(endpoint);
    }

    /// Removes a target; requests on it run to their end.
    pub fn remove_target(&self, target: &Target) {
        self.services.remove(target);
        self.upstreams.remove(target);
    }

    /// Learns how many entries serve callers.
    pub fn set_entries(&self, entries: usize) {
        self.services.set_entries(entries);
    }

    /// Closes all idle connections to targets, such as after a suspension.
    pub fn close_idle(&self) {
        self.upstreams.clear();
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self) {
        self.upstreams.sweep();
    }

    /// Asks callers to leave: connections end after their requests.
    pub fn start_draining(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Requests since the start.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Learns how late timers fire.
    pub fn record_timer_lag(&self, late: Duration) {
        let overloaded = late > OVERLOAD_LATENESS;
        if overloaded != self.overloaded.swap(overloaded, Ordering::Relaxed) {
            log::warn!(
                target: "entry",
                "event=overload state={overloaded} late_ms={}",
                late.as_millis()
            );
        }
    }

    pub(crate) fn is_overloaded(&self) -> bool {
        self.overloaded.load(Ordering::Relaxed)
    }

    pub(crate) fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a target can't be reached, and by what this was seen.
    pub(crate) fn note_unreachable(&self, endpoint: &Endpoint, by: &str, error: &dyn Display) {
        log::info!(
            target: "target",
            "event=unreachable target={} address={} by={by} error=\"{error}\"",
            endpoint.id, endpoint.address
        );
        self.services.with_pool(&endpoint.service, |pool, now| {
            pool.mark_unreachable(&endpoint.id, now);
        });
    }

    pub(crate) fn takes(&self, endpoint: &Endpoint) -> bool {
        let takes = self
            .services
            .with_pool(&endpoint.service, |pool, _| pool.accepts(endpoint));
        takes == Some(true)
    }

    fn limits(&self) -> carobdrift_routing::Limits {
        let table = self.table.load();
        let limits = table.as_ref().map(|table| table.state().limits);
        limits.unwrap_or_default()
    }
}

impl Service for Gateway {
    fn limits(&self) -> Limits {
        let limits = self.limits();
        Limits {
            head: usize::try_from(limits.max_header.0).unwrap_or(usize::MAX),
            body: limits.max_body.0,
        }
    }

    fn head_timeout(&self) -> Duration {
        self.limits().header_timeout
    }

    fn idle_timeout(&self) -> Duration {
        self.limits().idle_timeout
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        self.relay(request).await
    }
}
