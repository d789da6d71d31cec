//! The books of all services whose shard leases this entry holds.

use std::collections::HashMap;
use std::time::Duration;

use carobdrift_document::{Document, Limits};
use carobdrift_units::{Class, Service};
use carobdrift_wire::{Allocation, Demand, Grant};
use tokio::time::Instant;

use crate::allocator::{Allocator, Capacity, Requester};
use crate::convert;

/// Shortest pause between two recalls of a service's shares. Several fit into
/// the 100 ms for which a call waits.
const RECALL_PAUSE: Duration = Duration::from_millis(20);

/// Shortest pause between two recalls because an entry got its fair part and
/// wants more. Load that moves to few entries is refused until the others have
/// stated that they need less; in a lasting overload recalls bring nothing.
const PARTIAL_RECALL_PAUSE: Duration = Duration::from_millis(250);

/// Time within which entries follow a recall; a few round trips.
const RECALL_LIMIT: Duration = Duration::from_millis(100);

/// Books by service.
#[derive(Debug)]
pub(crate) struct Grants {
    max_entries: u32,
    books: HashMap<Service, Open>,
}

/// The book of the tenure in progress.
#[derive(Debug)]
struct Open {
    book: Allocator,
    /// Start of the tenure.
    since: Instant,
    recalled: Option<Instant>,
    /// Since when entries that ask get less than their fair part.
    squeezed: Option<Instant>,
}

impl Grants {
    pub(crate) fn open(max_entries: u32) -> Self {
        Self {
            max_entries,
            books: HashMap::new(),
        }
    }

    /// Grants what an entry asks for of the limits of one service. `None` when
    /// a newer query of the entry was answered before.
    pub(crate) fn grant(
        &mut self,
        document: &Document,
        since: Instant,
        settled: bool,
        asker: &Requester,
        ask: &Demand,
        now: Instant,
    ) -> Option<Grant> {
        let new = || Open {
            book: Allocator::default(),
            since,
            recalled: None,
            squeezed: None,
        };
        let open = self.books.entry(ask.service.clone()).or_insert_with(new);
        if open.since != since {
            // Others granted shares between the two tenures.
            *open = new();
        }
        let book = &mut open.book;
        if !book.is_newer(asker) {
            return None;
        }
        let mut limits = Vec::new();
        for want in &ask.limits {
            let Some(whole) = limits_of(document, want.class.as_ref()) else {
                continue;
            };
            let whole = Capacity {
                limits: whole,
                max_entries: self.max_entries,
                settled,
            };
            let statement = convert::demand(want);
            let class = want.class.as_ref();
            let granted = book.grant(class, &whole, &asker.instance, statement, now);
            limits.push(Allocation {
                class: want.class.clone(),
                granted: convert::portion(granted),
            });
        }
        open.squeezed = match open.squeezed {
            _ if !open.book.is_below_fair_share() => None,
            None => Some(now),
            since => since,
        };
        Some(Grant {
            service: ask.service.clone(),
            limits,
        })
    }

    /// Whether an entry holds on to a share of a service's limits that others
    /// are due, although it was told to state anew what it needs. It has failed
    /// or can't be reached, and its share is free only once it has expired.
    pub(crate) fn is_blocked(&self, service: &Service, now: Instant) -> bool {
        let squeezed = self.books.get(service).and_then(|open| open.squeezed);
        squeezed.is_some_and(|since| now >= since + RECALL_LIMIT)
    }

    /// Whether the entries are to state anew what they hold of a service's
    /// limits, because one of them got too little.
    pub(crate) fn recall(&mut self, service: &Service, now: Instant) -> bool {
        let Some(open) = self.books.get_mut(service) else {
            return false;
        };
        let pause = if open.book.is_below_fair_share() {
            RECALL_PAUSE
        } else if open.book.is_below_demand() {
            PARTIAL_RECALL_PAUSE
        } else {
            return false;
        };
        if open.recalled.is_some_and(|at| now < at + pause) {
            return false;
        }
        open.recalled = Some(now);
        true
    }
}

/// Limits of a service or of one of its classes.
fn limits_of(document: &Document, class: Option<&Class>) -> Option<Limits> {
    let Some(class) = class else {
        return Some(document.limits.clone());
    };
    let listed = document.classes.iter().find(|c| c.name == *class)?;
    Some(Limits {
        max_in_flight: listed.max_in_flight.unwrap_or(u32::MAX),
        max_per_second: listed.max_per_second.unwrap_or(u32::MAX),
    })
}
