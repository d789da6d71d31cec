//! Metrics of the calls to the platform.

use std::fmt;
use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};

use crate::error::Error;

/// Upper bounds of the latency buckets. The last finite one is above the default
/// timeout.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0,
];

/// Kind of a client's call, as a metric label.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Call {
    Read,
    Scan,
    Transact,
    PutObject,
    GetObject,
    Instances,
}

impl Call {
    fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Scan => "scan",
            Self::Transact => "transact",
            Self::PutObject => "put_object",
            Self::GetObject => "get_object",
            Self::Instances => "instances",
        }
    }
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Metrics of the calls to the platform; cheap to clone.
///
/// * `carobdrift_platform_calls_total{call,outcome}`
/// * `carobdrift_platform_seconds{call}`
#[derive(Debug, Clone)]
pub struct Metrics {
    calls: IntCounterVec,
    seconds: HistogramVec,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when the registry already has metrics of the same name.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let calls = IntCounterVec::new(
            Opts::new(
                "carobdrift_platform_calls_total",
                "Calls to the platform by outcome",
            ),
            &["call", "outcome"],
        )?;
        let seconds = HistogramVec::new(
            HistogramOpts::new(
                "carobdrift_platform_seconds",
                "Duration of calls to the platform, repeats included",
            )
            .buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
            &["call"],
        )?;
        registry.register(Box::new(calls.clone()))?;
        registry.register(Box::new(seconds.clone()))?;
        Ok(Self { calls, seconds })
    }

    pub(crate) fn observe(&self, call: Call, error: Option<&Error>, elapsed: Duration) {
        let outcome = match error {
            None => "ok",
            Some(Error::Conflict(_)) => "conflict",
            Some(Error::Unavailable(_)) => "unavailable",
            Some(Error::Unknown(_)) => "unknown",
            Some(Error::Protocol(_)) => "protocol",
        };
        self.calls.with_label_values(&[call.name(), outcome]).inc();
        self.seconds
            .with_label_values(&[call.name()])
            .observe(elapsed.as_secs_f64());
    }
}
