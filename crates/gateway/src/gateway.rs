//! Shared state of the data path.

use std::collections::HashSet;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use carobdrift_http1::{Budget, Capacity, Limits, Request, Response, Service};
use carobdrift_placement::Endpoint;
use carobdrift_routing::{State, Table};
use carobdrift_units::{Target, Version, Zone};
use tokio_util::sync::CancellationToken;

use crate::admission::Admission;
use crate::call::Call;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::quota::Quotas;
use crate::services::{Retries, Services};
use crate::upstream::Upstreams;

/// Timer lag from which the processor counts as overloaded. With a longer lag,
/// load reports would already be stale when they are processed.
const OVERLOAD_TIMER_LAG: Duration = Duration::from_millis(25);

/// Settings of the data path.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Retries over all entries, hedges included, as a ratio of the requests in a
    /// window.
    pub retry_ratio: f64,
    /// Retries over all entries that a window may have in addition to the ratio.
    pub retry_reserve: f64,
    /// Sliding window of the retry budget.
    pub retry_window: Duration,
    /// Resources for the connections of callers.
    pub capacity: Capacity,
}

/// Data path of one entry.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) services: Services,
    pub(crate) upstreams: Upstreams,
    pub(crate) metrics: Metrics,
    budget: Budget,
    pub(crate) quotas: Arc<Quotas>,
    table: ArcSwapOption<Table>,
    draining: AtomicBool,
    /// Cancelled when requests that are read from then on are refused.
    pub(crate) stopped: CancellationToken,
    /// Cancelled when requests without a response are answered because the entry ends.
    pub(crate) ending: CancellationToken,
    requests: AtomicU64,
    /// Whether timers fire late because the processor is overloaded.
    overloaded: AtomicBool,
}

impl Gateway {
    /// Opens the data path, without a desired state and without targets.
    #[must_use]
    pub fn open(settings: &Settings, dialect: Arc<dyn Dialect>, metrics: Metrics) -> Arc<Self> {
        let retries = Retries {
            ratio: settings.retry_ratio,
            reserve: settings.retry_reserve,
            window: settings.retry_window,
        };
        Arc::new(Self {
            dialect,
            services: Services::new(
                settings.zone.clone(),
                retries,
                Admission::new(metrics.clone()),
            ),
            upstreams: Upstreams::new(metrics.connections.clone()),
            quotas: Arc::new(Quotas::open(metrics.quota.clone())),
            metrics,
            budget: Budget::new(settings.capacity),
            table: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            stopped: CancellationToken::new(),
            ending: CancellationToken::new(),
            requests: AtomicU64::new(0),
            overloaded: AtomicBool::new(false),
        })
    }

    /// Applies a desired state unless the current one is as new or newer. Returns
    /// whether the state was applied.
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

    /// Returns the routing table of the current desired state.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.load_full()
    }

    /// Returns the version of the current desired state; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> Version {
        let table = self.table.load();
        table
            .as_ref()
            .map_or(Version::NONE, |table| table.state().version)
    }

    /// Adds a target or applies its new registration.
    pub fn put_target(&self, endpoint: Endpoint) {
        self.services.put(endpoint);
    }

    /// Removes a target. Requests on it run to completion.
    pub fn remove_target(&self, target: &Target) {
        self.services.remove(target);
        self.upstreams.remove(target);
    }

    /// Sets the number of entries that serve callers.
    pub fn set_entries(&self, entries: usize) {
        self.services.set_entries(entries);
    }

    /// Sets the zones whose targets get no requests because they are evacuated.
    pub fn set_evacuated(&self, zones: HashSet<Zone>) {
        self.services.set_evacuated(zones);
    }

    /// Closes all idle connections to targets, for example after a suspension.
    pub fn close_idle(&self) {
        self.upstreams.clear();
    }

    /// Closes connections to targets that exceeded the idle time limit.
    pub fn close_expired(&self) {
        self.upstreams.close_expired();
    }

    /// Starts draining: connections of callers close after their current
    /// requests.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns the budget of the connections of callers.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns the admission of requests by the quotas of workspaces.
    #[must_use]
    pub fn quotas(&self) -> &Arc<Quotas> {
        &self.quotas
    }

    /// Returns the number of requests since the start.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Records how late timers fire, and logs when the overload state changes.
    pub fn record_timer_lag(&self, lag: Duration) {
        let overloaded = lag > OVERLOAD_TIMER_LAG;
        if overloaded != self.overloaded.swap(overloaded, Ordering::Relaxed) {
            log::warn!(
                target: "entry",
                "event=overload state={overloaded} late_ms={}",
                lag.as_millis()
            );
        }
    }

    pub(crate) fn is_overloaded(&self) -> bool {
        self.overloaded.load(Ordering::Relaxed)
    }

    pub(crate) fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Marks a target as unreachable and logs whether a request or a probe found
    /// it so.
    pub(crate) fn mark_unreachable(&self, endpoint: &Endpoint, by: &str, error: &dyn Display) {
        log::info!(
            target: "target",
            "event=unreachable target={} address={} by={by} error=\"{error}\"",
            endpoint.id, endpoint.address
        );
        self.services.with_pool(&endpoint.service, |pool, now| {
            pool.mark_unreachable(&endpoint.id, now);
        });
    }

    /// Whether the API key of a request is still valid.
    pub(crate) fn is_authorized(&self, call: &Call) -> bool {
        let Some(credential) = &call.credential else {
            return true;
        };
        let table = self.table.load();
        table
            .as_ref()
            .is_some_and(|table| credential.is_valid(table))
    }

    pub(crate) fn accepts(&self, endpoint: &Endpoint) -> bool {
        let accepts = self
            .services
            .with_pool(&endpoint.service, |pool, now| pool.accepts(endpoint, now));
        accepts == Some(true)
    }

    /// Records what a response of a target states about the target: its load, that
    /// it is leaving, or that it wants no requests for some time.
    pub(crate) fn record_statements(&self, endpoint: &Endpoint, response: &Response) {
        let headers = &response.headers;
        match self.dialect.load(headers) {
            Some(load) => self.services.record_load(endpoint, load),
            None => self.services.record_missing_report(endpoint),
        }
        if let Some(warmup) = self.dialect.warmup(headers) {
            self.services.with_pool(&endpoint.service, |pool, now| {
                pool.record_warmup(endpoint, warmup, now);
            });
        }
        if self.dialect.is_leaving(headers) && self.services.mark_leaving(endpoint) {
            log::info!(target: "target", "event=leaving target={} source=answer", endpoint.id);
            self.upstreams.remove(&endpoint.id);
        }
        if let Some(pause) = self.dialect.retry_after(response.status, headers) {
            log::info!(
                target: "target",
                "event=paused target={} ms={}",
                endpoint.id, pause.as_millis()
            );
            self.services.pause(endpoint, pause);
        }
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
        self.draining.load(Ordering::Acquire)
    }

    fn budget(&self) -> Option<&Budget> {
        Some(&self.budget)
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        self.relay(request).await
    }
}
