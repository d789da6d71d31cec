//! Metrics of claims.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of claims; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Number of claims by scheme and decision.
    pub(crate) claims: IntCounterVec,
    /// Number of claims that were released because their attempt did not run, by
    /// scheme.
    pub(crate) released_grants: IntCounterVec,
    /// Estimated memory of the ledger's records, in bytes.
    pub(crate) ledger_bytes: IntGauge,
}

impl Metrics {
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let claims = IntCounterVec::new(
            Opts::new("carobdrift_claims_total", "Claims by scheme and decision"),
            &["scheme", "decision"],
        )?;
        let released_grants = IntCounterVec::new(
            Opts::new(
                "carobdrift_released_grants_total",
                "Grants that were given back because their attempt did not run",
            ),
            &["scheme"],
        )?;
        let ledger_bytes = IntGauge::new(
            "carobdrift_ledger_bytes",
            "Memory of the records of issued keys in bytes",
        )?;
        registry.register(Box::new(claims.clone()))?;
        registry.register(Box::new(released_grants.clone()))?;
        registry.register(Box::new(ledger_bytes.clone()))?;
        Ok(Self {
            claims,
            released_grants,
            ledger_bytes,
        })
    }
}
