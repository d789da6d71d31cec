//! Answers of a lease holder to requests for shares.

use std::sync::{Mutex, PoisonError};

use carobdrift_units::Service;
use carobdrift_wire::{Answer, Requisition};
use tokio::time::Instant;

use crate::allocator::{GRANT_VALIDITY, Requester};
use crate::allocators::Allocators;
use crate::leases::Leases;
use crate::metrics::Metrics;
use crate::shard::Shard;
use crate::subject::Subject;

/// Holder of shard leases, which grants shares of the limits of the services in
/// these shards.
#[derive(Debug)]
pub(crate) struct Holder {
    leases: Leases,
    allocators: Mutex<Allocators>,
    metrics: Metrics,
}

/// Reply to a request for shares.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) answer: Answer,
    /// Services whose shares are to be recalled from all entries.
    pub(crate) recalled: Vec<Service>,
}

impl Holder {
    pub(crate) fn new(leases: Leases, max_entries: u32, metrics: Metrics) -> Self {
        Self {
            leases,
            allocators: Mutex::new(Allocators::new(max_entries)),
            metrics,
        }
    }

    pub(crate) fn answer(
        &self,
        requester: &Requester,
        requisitions: &[Requisition],
        subjects: &[Subject],
    ) -> Reply {
        let now = Instant::now();
        let mut granted = Vec::new();
        let mut recalled = Vec::new();
        let mut is_holder = false;
        let mut all_settled = true;
        for requisition in requisitions {
            let service = &requisition.service;
            let Some(tenure) = self.leases.tenure(Shard::of(service)) else {
                self.metrics.count_share("not-holder");
                continue;
            };
            is_holder = true;
            let subject = subjects
                .iter()
                .find(|subject| subject.document.service == *service);
            // Before that, unknown grants of the previous holder may be in use.
            let settled = tenure.first || now >= tenure.since + GRANT_VALIDITY;
            let mut allocators = self
                .allocators
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let grant = subject.and_then(|subject| {
                allocators.grant(
                    &subject.document,
                    tenure.since,
                    settled,
                    requester,
                    requisition,
                    now,
                )
            });
            all_settled &= settled && !allocators.is_blocked(service, now);
            if allocators.recall(service, now) {
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
        let answer = match (is_holder, granted.is_empty()) {
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
