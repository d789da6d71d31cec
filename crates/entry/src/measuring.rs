//! Shard leases, and the probes and grants of their holder.

use carobdrift_measure::{
    Leases, Metrics, Owner, Prober, Settings as LeaseSettings, Shares, Subjects, Timing,
    watch_members,
};
use carobdrift_membership::Links;
use carobdrift_platform::Client;
use carobdrift_units::Incarnation;
use tokio::sync::mpsc;

use crate::settings::Settings;
use crate::targets;

/// Capacity of the channel of probe results that are to be sent to peers.
const SAMPLE_CAPACITY: usize = 1024;

/// Components that probe targets and grant shares of limits.
pub(crate) struct MeasureTasks {
    pub(crate) leases: Leases,
    pub(crate) shares: Shares,
    pub(crate) prober: Prober,
}

impl MeasureTasks {
    pub(crate) fn spawn(
        settings: &Settings,
        incarnation: Incarnation,
        client: Client,
        links: &Links,
        subjects: &Subjects,
        metrics: Metrics,
    ) -> Self {
        let lease_settings = LeaseSettings {
            cell: settings.cell.clone(),
            owner: Owner {
                instance: settings.instance.clone(),
                incarnation,
            },
            timing: Timing::default(),
        };
        let leases = Leases::spawn(
            lease_settings,
            client,
            watch_members(links),
            metrics.clone(),
        );
        let shares = Shares::spawn(
            leases.clone(),
            links.clone(),
            subjects.clone(),
            settings.max_entries,
            metrics.clone(),
        );
        let (sink, samples) = mpsc::channel(SAMPLE_CAPACITY);
        let prober = Prober::spawn(leases.clone(), subjects.clone(), sink, metrics);
        targets::broadcast_samples(links.clone(), samples);
        Self {
            leases,
            shares,
            prober,
        }
    }
}
