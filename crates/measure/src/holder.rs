//! What the holder of a shard lease answers to those who ask for shares.

use std::sync::{Mutex, PoisonError};

use carobdrift_units::Service;
use carobdrift_wire::{Answer, Demand};
use tokio::time::Instant;

use crate::allocator::{GRANT_VALIDITY, Requester};
use crate::grants::Grants;
use crate::leases::Leases;
use crate::metrics::Metrics;
use crate::shard::Shard;
use crate::subject::Subject;

/// Grants shares of the limits of the services whose lease is held.
#[derive(Debug)]
pub(crate) struct Holder {
    leases: Leases,
    grants: Mutex<Grants>,
    metrics: Metrics,
}

/// An answer and what follows from it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) answer: Answer,
    /// Services whose shares all entries are to state anew.
    pub(crate) recalled: Vec<Service>,
}

impl Holder {
    pub(crate) fn open(leases: Leases, max_entries: u32, metrics: Metrics) -> Self {
        Self {
            leases,
            grants: Mutex::new(Grants::open(max_entries)),
            metrics,
        }
    }

    pub(crate) fn answer(
        &self,
        asker: &Requester,
        services: &[Demand],
        subjects: &[Subject],
    ) -> Reply {
        let now = Instant::now();
        let mut granted = Vec::new();
        let mut recalled = Vec::new();
        let mut held = false;
        let mut all_settled = true;
        for ask in services {
            let service = &ask.service;
            let Some(tenure) = self.leases.tenure(Shard::of(service)) else {
                self.metrics.count_share("not-holder");
                continue;
            };
            held = true;
            let subject = subjects.iter().find(|s| s.document.service == *service);
            // Until then, unknown grants of the last holder may be in use.
            let settled = tenure.first || now >= tenure.since + GRANT_VALIDITY;
            let mut grants = self.grants.lock().unwrap_or_else(PoisonError::into_inner);
            let grant = subject
                .and_then(|s| grants.grant(&s.document, tenure.since, settled, asker, ask, now));
            all_settled &= settled && !grants.is_blocked(service, now);
            if grants.recall(service, now) {
                recalled.push(service.clone());
            }
            match grant {
                Some(grant) => {
                    self.metrics.count_share("granted");
                    granted.push(grant);
                }
                None => self.metrics.count_share("unavailable"),
            }
        }
        let answer = match (held, granted.is_empty()) {
            (false, _) => Answer::NotHolder,
            (true, true) => Answer::Unavailable,
            (true, false) => Answer::Share {
                services: granted,
                valid_ms: u64::try_from(GRANT_VALIDITY.as_millis()).unwrap_or(u64::MAX),
                settled: all_settled,
            },
        };
        Reply { answer, recalled }
    }
}
