//! Rank of this entry among those that the callers of a service are steered to.

use std::time::{Duration, Instant};

use carobdrift_admin::{Candidate, Steering};
use carobdrift_balance::Rank;
use carobdrift_document::Document;
use carobdrift_membership::Links;
use carobdrift_units::{Instance, Service, Zone};
use carobdrift_wire::Status;

use crate::settings::Settings;

/// Time without an acknowledgement after which callers are no longer steered to a
/// peer; links close after the same time.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Ranker of this entry among the entries that callers are steered to.
pub(crate) struct Ranker {
    steering: Steering,
    instance: Instance,
    zone: Zone,
}

/// Member of the cell that accepts calls.
pub(crate) struct Member {
    instance: Instance,
    zone: Zone,
    status: Status,
}

impl Ranker {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            steering: Steering::new(settings.steering_rate),
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
        }
    }

    /// Returns the members of the cell that accept calls, by the latest status of
    /// each.
    pub(crate) fn members(&self, links: &Links) -> Vec<Member> {
        let now = Instant::now();
        let own = Member {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            status: links.status(),
        };
        let peers = links.peers().into_iter();
        let peers = peers.filter(|peer| !peer.leaving && peer.acked_within(ACK_TIMEOUT, now));
        let peers = peers.filter_map(|peer| {
            Some(Member {
                instance: peer.instance,
                zone: peer.zone,
                status: peer.status?,
            })
        });
        peers
            .chain([own])
            .filter(|member| member.status.ready && !member.status.leaving)
            .collect()
    }

    /// Returns the rank for a service, or `None` if the callers of the service are
    /// not steered to this entry.
    pub(crate) fn rank(&self, document: &Document, members: &[Member]) -> Option<Rank> {
        let service = &document.service;
        let candidates: Vec<Candidate> = members
            .iter()
            .map(|member| Candidate {
                instance: member.instance.clone(),
                zone: member.zone.clone(),
                rate: rate(&member.status, service),
            })
            .collect();
        let per_zone = document.steering.entries_per_zone;
        let ranking = self
            .steering
            .rank(service, &self.zone, per_zone, &candidates);
        // The ranking depends on the zone of the caller. The rank must not, so the
        // entries are sorted by instance id.
        let mut steered: Vec<_> = ranking.instances.iter().take(ranking.steered).collect();
        steered.sort_unstable();
        let index = steered
            .iter()
            .position(|member| **member == self.instance)?;
        Some(Rank {
            index: u32::try_from(index).ok()?,
            count: u32::try_from(steered.len()).ok()?,
        })
    }
}

fn rate(status: &Status, service: &Service) -> f64 {
    let rates = status.rates.iter().filter(|rate| rate.service == *service);
    rates.map(|rate| rate.per_second).sum()
}
