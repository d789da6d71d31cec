//! Metrics of the catalog.

use std::time::Duration;

use prometheus::{Gauge, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

use crate::standing::Standing;

/// Metrics of the catalog; cheap to clone.
#[derive(Debug, Clone)]
pub struct Metrics {
    documents: IntGauge,
    unreadable: IntGauge,
    revision: IntGauge,
    standing: IntGaugeVec,
    confirmation_age: Gauge,
    polls: IntCounterVec,
    adoptions: IntCounterVec,
    edits: IntCounterVec,
    history_writes: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has one of the metrics.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let vector = |name: &str, help: &str, label: &str| {
            let metric = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let standing = IntGaugeVec::new(
            Opts::new(
                "carobdrift_catalog_standing",
                "1 for the current standing, 0 for the others",
            ),
            &["standing"],
        )?;
        registry.register(Box::new(standing.clone()))?;
        let confirmation_age = Gauge::new(
            "carobdrift_catalog_confirmation_age_seconds",
            "Time since the latest moment at which the documents were known to be the newest",
        )?;
        registry.register(Box::new(confirmation_age.clone()))?;
        Ok(Self {
            documents: gauge("carobdrift_catalog_documents", "Documents in force")?,
            unreadable: gauge(
                "carobdrift_catalog_unreadable_documents",
                "Documents that this build can't parse and does not serve",
            )?,
            revision: gauge(
                "carobdrift_catalog_revision",
                "Position in the change log that is in force",
            )?,
            standing,
            confirmation_age,
            polls: vector(
                "carobdrift_catalog_polls_total",
                "Polls of the change log",
                "result",
            )?,
            adoptions: vector(
                "carobdrift_catalog_adoptions_total",
                "Versions that came into force",
                "source",
            )?,
            edits: vector("carobdrift_catalog_edits_total", "Edits", "result")?,
            history_writes: vector(
                "carobdrift_catalog_history_writes_total",
                "Writes of document bodies to the object store",
                "result",
            )?,
        })
    }

    pub(crate) fn set_documents(&self, documents: usize, unreadable: usize, revision: u64) {
        self.documents.set(to_gauge(documents as u64));
        self.unreadable.set(to_gauge(unreadable as u64));
        self.revision.set(to_gauge(revision));
    }

    pub(crate) fn set_standing(&self, standing: Standing, age: Option<Duration>) {
        for name in ["confirmed", "outage", "unconfirmed"] {
            let current = i64::from(name == standing.name());
            self.standing.with_label_values(&[name]).set(current);
        }
        if let Some(age) = age {
            self.confirmation_age.set(age.as_secs_f64());
        }
    }

    pub(crate) fn count_poll(&self, result: &str) {
        self.polls.with_label_values(&[result]).inc();
    }

    pub(crate) fn count_adoptions(&self, source: &str, count: usize) {
        self.adoptions
            .with_label_values(&[source])
            .inc_by(count as u64);
    }

    pub(crate) fn count_edit(&self, result: &str) {
        self.edits.with_label_values(&[result]).inc();
    }

    pub(crate) fn count_history_write(&self, result: &str) {
        self.history_writes.with_label_values(&[result]).inc();
    }
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
