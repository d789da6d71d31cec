//! Services whose callers are steered to this entry.

use std::time::{Duration, Instant};

use carobdrift_admin::{Candidate, Steering};
use carobdrift_balance::Rank;
use carobdrift_document::Document;
use carobdrift_membership::Links;
use carobdrift_units::{Instance, Service, Zone};
use carobdrift_wire::Status;

use crate::settings::Settings;

/// Silence after which callers are no longer sent to a peer; links close at the
/// same time.
const SILENCE: Duration = Duration::from_secs(2);

/// Finds the places of this entry among those that callers are steered to.
pub(crate) struct Steered {
    steering: Steering,
    instance: Instance,
    zone: Zone,
}

/// An entry that takes calls.
pub(crate) struct Ready {
    instance: Instance,
    zone: Zone,
    status: Status,
}

impl Steered {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            steering: Steering::new(settings.steering_rate),
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
        }
    }

    /// Entries that take calls now, as far as this one knows.
    pub(crate) fn candidates(&self, links: &Links) -> Vec<Ready> {
        let now = Instant::now();
        let itself = Ready {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            status: links.status(),
        };
        let peers = links.peers().into_iter();
        let peers = peers.filter(|peer| !peer.leaving && peer.acked_within(SILENCE, now));
        let peers = peers.filter_map(|peer| {
            Some(Ready {
                instance: peer.instance,
                zone: peer.zone,
                status: peer.status?,
            })
        });
        peers
            .chain([itself])
            .filter(|entry| entry.status.ready && !entry.status.leaving)
            .collect()
    }

    /// The place for a service; `None` when its callers are not steered here.
    pub(crate) fn place(&self, document: &Document, ready: &[Ready]) -> Option<Rank> {
        let service = &document.service;
        let candidates: Vec<Candidate> = ready
            .iter()
            .map(|entry| Candidate {
                instance: entry.instance.clone(),
                zone: entry.zone.clone(),
                rate: rate(&entry.status, service),
            })
            .collect();
        let per_zone = document.steering.entries_per_zone;
        let order = self
            .steering
            .rank(service, &self.zone, per_zone, &candidates);
        // The order depends on the zone of the caller; places must not.
        let mut steered: Vec<_> = order.instances.iter().take(order.steered).collect();
        steered.sort_unstable();
        let rank = steered.iter().position(|entry| **entry == self.instance)?;
        Some(Rank {
            index: u32::try_from(rank).ok()?,
            count: u32::try_from(steered.len()).ok()?,
        })
    }
}

fn rate(status: &Status, service: &Service) -> f64 {
    let rates = status.rates.iter().filter(|rate| rate.service == *service);
    rates.map(|rate| rate.per_second).sum()
}
