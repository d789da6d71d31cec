//! State of one class of requests in a pool.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use carobdrift_document::{Document, Limits};
use carobdrift_units::{Class, Service};
use prometheus::{Histogram, IntCounter};
use tokio::time::Instant;

use crate::latency::Latency;
use crate::metrics::Metrics;
use crate::quota::Quota;
use crate::share::UNLIMITED;

/// Latency, quota and metrics of a class.
#[derive(Debug)]
pub(crate) struct ClassState {
    pub(crate) latency: Latency,
    pub(crate) quota: Quota,
    /// Number of calls that wait for a larger share of a limit.
    pub(crate) waiting: Arc<AtomicU32>,
    pub(crate) attempts: Histogram,
    pub(crate) queue_time: Histogram,
    pub(crate) retries: IntCounter,
    pub(crate) hedges: IntCounter,
}

impl ClassState {
    pub(crate) fn new(
        document: &Document,
        class: &Class,
        max_entries: u32,
        metrics: &Metrics,
        now: Instant,
    ) -> Self {
        let service: &Service = &document.service;
        let labels = [service.as_str(), class.as_str()];
        Self {
            latency: Latency::new(quantile(document), now),
            quota: Quota::new(limits(document, class), max_entries),
            waiting: Arc::default(),
            attempts: metrics.attempts.with_label_values(&labels),
            queue_time: metrics.queue_time.with_label_values(&labels),
            retries: metrics.retries.with_label_values(&labels),
            hedges: metrics.hedges.with_label_values(&labels),
        }
    }

    pub(crate) fn reload(&mut self, document: &Document, class: &Class) {
        self.latency.set_quantile(quantile(document));
        self.quota.reload(limits(document, class));
    }
}

fn quantile(document: &Document) -> f64 {
    document.hedging.after_percentile.fraction().min(1.0)
}

fn limits(document: &Document, class: &Class) -> Limits {
    let listed = document.classes.iter().find(|listed| listed.name == *class);
    let (in_flight, per_second) = listed.map_or((None, None), |listed| {
        (listed.max_in_flight, listed.max_per_second)
    });
    Limits {
        max_in_flight: in_flight.unwrap_or(UNLIMITED),
        max_per_second: per_second.unwrap_or(UNLIMITED),
    }
}
