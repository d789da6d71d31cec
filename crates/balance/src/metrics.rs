//! Metrics of all pools of a process.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};

/// Upper bounds of the latency buckets in seconds. The bounds are dense in the
/// range of short requests, where the policies differ most.
const LATENCY_BUCKETS: [f64; 16] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// Metrics of all pools of a process; cheap to clone.
#[derive(Debug, Clone)]
pub struct Metrics {
    pub(crate) attempts: HistogramVec,
    pub(crate) queue_time: HistogramVec,
    pub(crate) sheds: IntCounterVec,
    pub(crate) ejections: IntCounterVec,
    pub(crate) retries: IntCounterVec,
    pub(crate) hedges: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a metric of the same name is already registered.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let metric = HistogramVec::new(options, &["service", "class"])?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        Ok(Self {
            attempts: histogram(
                "carobdrift_attempt_seconds",
                "Time from the dispatch of an attempt to its successful end",
            )?,
            queue_time: histogram(
                "carobdrift_queue_seconds",
                "Time that a call waited for a slot",
            )?,
            sheds: counter(
                "carobdrift_sheds_total",
                "Calls that were shed before dispatch",
                &["service", "class", "reason"],
            )?,
            ejections: counter(
                "carobdrift_ejections_total",
                "Ejections of failing targets",
                &["service"],
            )?,
            retries: counter(
                "carobdrift_retries_total",
                "Retries that the budget admitted",
                &["service", "class"],
            )?,
            hedges: counter(
                "carobdrift_hedges_total",
                "Hedges that the budget admitted",
                &["service", "class"],
            )?,
        })
    }
}
