//! Metrics of the links.

use std::time::Duration;

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the round-trip buckets, in seconds. The last one is the time
/// without a pong after which a link is closed.
const ROUND_TRIP_BUCKETS_SECONDS: [f64; 9] =
    [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 0.5, 2.0];

/// Metrics of the links; cheap to clone.
#[derive(Debug, Clone)]
pub struct Metrics {
    peers: IntGauge,
    connected: IntGauge,
    cell_size: IntGauge,
    dials: IntCounterVec,
    closed: IntCounterVec,
    refused: IntCounterVec,
    queries: IntCounterVec,
    dropped: IntCounterVec,
    bytes: IntCounterVec,
    frames: IntCounterVec,
    lists: IntCounterVec,
    round_trip: Histogram,
    forgotten: IntCounter,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has one of the metrics.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let vector = |name: &str, help: &str, label: &str| {
            let metric = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let round_trip = Histogram::with_opts(
            HistogramOpts::new(
                "carobdrift_link_round_trip_seconds",
                "Time from a ping to its pong",
            )
            .buckets(ROUND_TRIP_BUCKETS_SECONDS.to_vec()),
        )?;
        registry.register(Box::new(round_trip.clone()))?;
        let forgotten = IntCounter::new(
            "carobdrift_peers_forgotten_total",
            "Peers that left the instance list and could not be reached",
        )?;
        registry.register(Box::new(forgotten.clone()))?;
        Ok(Self {
            peers: gauge(
                "carobdrift_peers",
                "Other entries of the cell that are known",
            )?,
            connected: gauge(
                "carobdrift_links_open",
                "Links to other entries that are open",
            )?,
            cell_size: gauge(
                "carobdrift_cell_size",
                "Entries of the cell, itself included",
            )?,
            dials: vector(
                "carobdrift_link_dials_total",
                "Attempts to open a link",
                "result",
            )?,
            closed: vector(
                "carobdrift_link_closed_total",
                "Links that closed",
                "reason",
            )?,
            refused: vector(
                "carobdrift_link_refused_total",
                "Connections of other entries that were refused",
                "reason",
            )?,
            queries: vector(
                "carobdrift_link_queries_total",
                "Queries to peers",
                "result",
            )?,
            dropped: vector(
                "carobdrift_link_dropped_frames_total",
                "Frames dropped because a queue was full or closed",
                "kind",
            )?,
            bytes: vector(
                "carobdrift_link_bytes_total",
                "Payload bytes on links",
                "direction",
            )?,
            frames: vector(
                "carobdrift_link_frames_total",
                "Frames on links",
                "direction",
            )?,
            lists: vector(
                "carobdrift_instance_list_reads_total",
                "Reads of the platform's instance list",
                "result",
            )?,
            round_trip,
            forgotten,
        })
    }

    pub(crate) fn set_peers(&self, peers: usize, connected: usize, cell_size: usize) {
        self.peers.set(i64::try_from(peers).unwrap_or(i64::MAX));
        self.connected
            .set(i64::try_from(connected).unwrap_or(i64::MAX));
        self.cell_size
            .set(i64::try_from(cell_size).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_dial(&self, result: &str) {
        self.dials.with_label_values(&[result]).inc();
    }

    pub(crate) fn count_close(&self, reason: &str) {
        self.closed.with_label_values(&[reason]).inc();
    }

    pub(crate) fn count_refusal(&self, reason: &str) {
        self.refused.with_label_values(&[reason]).inc();
    }

    pub(crate) fn count_query(&self, result: &str) {
        self.queries.with_label_values(&[result]).inc();
    }

    pub(crate) fn count_dropped_frame(&self, kind: &str) {
        self.dropped.with_label_values(&[kind]).inc();
    }

    pub(crate) fn count_bytes(&self, direction: &str, bytes: usize) {
        self.bytes
            .with_label_values(&[direction])
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
        self.frames.with_label_values(&[direction]).inc();
    }

    pub(crate) fn count_list(&self, result: &str) {
        self.lists.with_label_values(&[result]).inc();
    }

    pub(crate) fn observe_round_trip(&self, time: Duration) {
        self.round_trip.observe(time.as_secs_f64());
    }

    pub(crate) fn count_forgotten(&self) {
        self.forgotten.inc();
    }
}
