//! Metrics of claims.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Claims by scheme and decision.
    pub(crate) claims: IntCounterVec,
    /// Grants that arrived after their attempt had given up.
    pub(crate) late_grants: IntCounterVec,
    /// Memory of the ledger's records.
    pub(crate) ledger_bytes: IntGauge,
}

impl Metrics {
    pub(crate) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let claims = IntCounterVec::new(
            Opts::new("carobdrift_claims_total", "Claims by scheme and decision"),
            &["scheme", "decision"],
        )?;
        let late_grants = IntCounterVec::new(
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
        registry.register(Box::new(late_grants.clone()))?;
        registry.register(Box::new(ledger_bytes.clone()))?;
        Ok(Self {
            claims,
            late_grants,
            ledger_bytes,
        })
    }
}
