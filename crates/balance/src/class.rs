//! What a pool knows of one class of requests.

use std::sync::Arc;

use carobdrift_document::Document;
use carobdrift_units::{Class, Service};
use prometheus::{Histogram, IntCounter};
use tokio::time::Instant;

use crate::latency::Latency;
use crate::metrics::Metrics;
use crate::permit::{ClassLimit, ClassLimits};

/// Latency, limits and metrics of a class.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) latency: Latency,
    pub(crate) limit: Arc<ClassLimit>,
    pub(crate) attempts: Histogram,
    pub(crate) queued: Histogram,
    pub(crate) retries: IntCounter,
    pub(crate) hedges: IntCounter,
}

impl Traffic {
    pub(crate) fn new(document: &Document, class: &Class, metrics: &Metrics, now: Instant) -> Self {
        let service: &Service = &document.service;
        let labels = [service.as_str(), class.as_str()];
        let traffic = Self {
            latency: Latency::new(quantile(document), now),
            limit: Arc::new(ClassLimit::default()),
            attempts: metrics.attempts.with_label_values(&labels),
            queued: metrics.queued.with_label_values(&labels),
            retries: metrics.retries.with_label_values(&labels),
            hedges: metrics.hedges.with_label_values(&labels),
        };
        traffic.limit.reload(limits(document, class));
        traffic
    }

    pub(crate) fn reload(&mut self, document: &Document, class: &Class) {
        self.latency.set_quantile(quantile(document));
        self.limit.reload(limits(document, class));
    }
}

fn quantile(document: &Document) -> f64 {
    document.hedging.after_percentile.fraction().min(1.0)
}

fn limits(document: &Document, class: &Class) -> ClassLimits {
    let listed = document.classes.iter().find(|listed| listed.name == *class);
    listed.map_or_else(ClassLimits::default, |listed| ClassLimits {
        in_flight: listed.max_in_flight,
        per_second: listed.max_per_second,
    })
}
