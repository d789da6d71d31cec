//! Metrics of probes, leases and shares.

use carobdrift_units::Service;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of probes, leases and shares; cheap to clone.
///
/// * `carobdrift_probes_total{service,result}`
/// * `carobdrift_probe_leases_held`
/// * `carobdrift_shares_total{result}`
#[derive(Debug, Clone)]
pub struct Metrics {
    probes: IntCounterVec,
    leases: IntGauge,
    shares: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when the registry already has a metric of the same name.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let probes = IntCounterVec::new(
            Opts::new("carobdrift_probes_total", "Probes of targets by result"),
            &["service", "result"],
        )?;
        let leases = IntGauge::new("carobdrift_probe_leases_held", "Shard leases held")?;
        let shares = IntCounterVec::new(
            Opts::new(
                "carobdrift_shares_total",
                "Requests for a share of a limit, answered as holder, by result",
            ),
            &["result"],
        )?;
        registry.register(Box::new(probes.clone()))?;
        registry.register(Box::new(leases.clone()))?;
        registry.register(Box::new(shares.clone()))?;
        Ok(Self {
            probes,
            leases,
            shares,
        })
    }

    pub(crate) fn count_probe(&self, service: &Service, result: &str) {
        let labels = [service.as_str(), result];
        self.probes.with_label_values(&labels).inc();
    }

    pub(crate) fn set_leases(&self, held: usize) {
        self.leases.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_share(&self, result: &str) {
        self.shares.with_label_values(&[result]).inc();
    }
}
