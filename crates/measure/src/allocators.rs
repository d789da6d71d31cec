//! Allocators of all services whose shard leases this entry holds.

use std::collections::HashMap;
use std::time::Duration;

use carobdrift_document::{Document, Limits};
use carobdrift_units::{Class, Service};
use carobdrift_wire::{Allocation, Grant, Requisition};
use tokio::time::Instant;

use crate::allocator::{Allocator, Capacity, Requester};
use crate::convert;

/// Shortest pause between two recalls of a service's shares. Several recalls
/// fit into the 100 ms for which a call waits.
const RECALL_PAUSE: Duration = Duration::from_millis(20);

/// Shortest pause between two recalls when an entry has its fair share and
/// requests more. When load moves to few entries, their calls are shed until
/// the others have reported that they need less. In a lasting overload, recalls
/// free nothing.
const DEMAND_RECALL_PAUSE: Duration = Duration::from_millis(250);

/// Time within which entries answer a recall: a few round trips.
const RECALL_TIMEOUT: Duration = Duration::from_millis(100);

/// Allocators by service.
#[derive(Debug)]
pub(crate) struct Allocators {
    max_entries: u32,
    services: HashMap<Service, Active>,
}

/// Allocator of the current tenure.
#[derive(Debug)]
struct Active {
    allocator: Allocator,
    /// Start of the tenure.
    tenure_start: Instant,
    last_recall: Option<Instant>,
    /// Start of the period in which requesting entries get less than their fair
    /// share.
    contended_since: Option<Instant>,
}

impl Allocators {
    pub(crate) fn new(max_entries: u32) -> Self {
        Self {
            max_entries,
            services: HashMap::new(),
        }
    }

    /// Grants the shares of one service's limits that an entry requests.
    /// Returns `None` when a newer query of the entry was answered before.
    pub(crate) fn grant(
        &mut self,
        document: &Document,
        tenure_start: Instant,
        settled: bool,
        requester: &Requester,
        requisition: &Requisition,
        now: Instant,
    ) -> Option<Grant> {
        let new_active = || Active {
            allocator: Allocator::default(),
            tenure_start,
            last_recall: None,
            contended_since: None,
        };
        let active = self
            .services
            .entry(requisition.service.clone())
            .or_insert_with(new_active);
        if active.tenure_start != tenure_start {
            // Another holder granted shares between the two tenures.
            *active = new_active();
        }
        let allocator = &mut active.allocator;
        if !allocator.is_newer(requester) {
            return None;
        }
        let mut limits = Vec::new();
        for limit in &requisition.limits {
            let Some(class_limits) = limits_of(document, limit.class.as_ref()) else {
                continue;
            };
            let capacity = Capacity {
                limits: class_limits,
                max_entries: self.max_entries,
                settled,
            };
            let demand = convert::demand_from_wire(limit);
            let class = limit.class.as_ref();
            let granted = allocator.grant(class, &capacity, &requester.instance, demand, now);
            limits.push(Allocation {
                class: limit.class.clone(),
                granted: convert::share_to_wire(granted),
            });
        }
        active.contended_since = match active.contended_since {
            _ if !active.allocator.is_below_fair_share() => None,
            None => Some(now),
            since => since,
        };
        Some(Grant {
            service: requisition.service.clone(),
            limits,
        })
    }

    /// Returns whether an entry keeps a share of a service's limits that others
    /// are entitled to, although the share was recalled. Such an entry has
    /// failed or is unreachable, and its share becomes free only when it
    /// expires.
    pub(crate) fn is_blocked(&self, service: &Service, now: Instant) -> bool {
        let contended_since = self
            .services
            .get(service)
            .and_then(|active| active.contended_since);
        contended_since.is_some_and(|since| now >= since + RECALL_TIMEOUT)
    }

    /// Returns whether the shares of a service's limits are to be recalled,
    /// because an entry got too little, and records the recall.
    pub(crate) fn recall(&mut self, service: &Service, now: Instant) -> bool {
        let Some(active) = self.services.get_mut(service) else {
            return false;
        };
        let pause = if active.allocator.is_below_fair_share() {
            RECALL_PAUSE
        } else if active.allocator.is_below_demand() {
            DEMAND_RECALL_PAUSE
        } else {
            return false;
        };
        if active
            .last_recall
            .is_some_and(|recall| now < recall + pause)
        {
            return false;
        }
        active.last_recall = Some(now);
        true
    }
}

/// Returns the limits of a service or of one of its classes.
fn limits_of(document: &Document, class: Option<&Class>) -> Option<Limits> {
    let Some(class) = class else {
        return Some(document.limits.clone());
    };
    let listed = document
        .classes
        .iter()
        .find(|listed| listed.name == *class)?;
    Some(Limits {
        max_in_flight: listed.max_in_flight.unwrap_or(u32::MAX),
        max_per_second: listed.max_per_second.unwrap_or(u32::MAX),
    })
}
