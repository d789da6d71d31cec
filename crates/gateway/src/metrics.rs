//! Metrics of the data path.

use std::time::Duration;

use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0,
];

/// Metrics of the data path.
#[derive(Debug, Clone)]
pub struct Metrics {
    pub(crate) requests: IntCounterVec,
    pub(crate) latency: HistogramVec,
    pub(crate) attempts: IntCounterVec,
    pub(crate) probes: IntCounterVec,
    pub(crate) connections: IntCounter,
    pub(crate) admissions: IntCounterVec,
    pub(crate) expected_capacity: GaugeVec,
    pub(crate) quota: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric of the same name is already registered.
    pub fn register(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            requests: IntCounterVec::new(
                Opts::new("carobdrift_requests_total", "Requests by outcome"),
                &["service", "outcome"],
            )?,
            latency: HistogramVec::new(
                HistogramOpts::new(
                    "carobdrift_request_seconds",
                    "Time from the head of a request to its answer",
                )
                .buckets(LATENCY_BUCKETS_S.to_vec()),
                &["service"],
            )?,
            attempts: IntCounterVec::new(
                Opts::new("carobdrift_attempts_total", "Sends to targets by result"),
                &["service", "result"],
            )?,
            probes: IntCounterVec::new(
                Opts::new("carobdrift_probes_total", "Probes of targets by result"),
                &["result"],
            )?,
            connections: IntCounter::new(
                "carobdrift_target_connections_total",
                "Connections opened to targets",
            )?,
            admissions: IntCounterVec::new(
                Opts::new(
                    "carobdrift_admissions_total",
                    "Requests that need a slot, by decision",
                ),
                &["service", "decision"],
            )?,
            expected_capacity: GaugeVec::new(
                Opts::new(
                    "carobdrift_expected_capacity",
                    "Seconds of work per second that targets accept from this entry",
                ),
                &["service"],
            )?,
            quota: IntCounterVec::new(
                Opts::new(
                    "carobdrift_quota_requests_total",
                    "Requests of workspaces with a quota, by outcome",
                ),
                &["workspace", "outcome"],
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.probes.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.admissions.clone()))?;
        registry.register(Box::new(metrics.expected_capacity.clone()))?;
        registry.register(Box::new(metrics.quota.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn record_request(&self, service: &str, outcome: &str, elapsed: Duration) {
        self.requests.with_label_values(&[service, outcome]).inc();
        let latency = self.latency.with_label_values(&[service]);
        latency.observe(elapsed.as_secs_f64());
    }
}
