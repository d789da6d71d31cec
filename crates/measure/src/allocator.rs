//! The holder's book of granted shares of a service's limits.

use std::collections::HashMap;
use std::time::Duration;

use carobdrift_balance::{Demand, Share, fixed_share};
use carobdrift_document::Limits;
use carobdrift_units::{Class, Incarnation, Instance};
use tokio::time::Instant;

use crate::column::Column;

/// Time for which a grant holds, counted from the moment at which the asking
/// entry sent its query.
pub const GRANT_VALIDITY: Duration = Duration::from_secs(30);

/// Part of a limit that is granted: what the fixed shares of `max_entries`
/// entries leave of it.
#[must_use]
pub fn grantable_part(limit: u32, max_entries: u32) -> u32 {
    let fixed = fixed_share(limit, max_entries);
    limit.saturating_sub(fixed.saturating_mul(max_entries.max(1)))
}

/// The process that asks, and the number of its query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requester {
    /// Instance id.
    pub instance: Instance,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of the query, which grows.
    pub sequence: u64,
}

/// Shares of one service that a holder granted during one tenure.
#[derive(Debug, Default)]
pub struct Allocator {
    /// Newest query of each entry.
    asked: HashMap<Instance, (Incarnation, u64)>,
    pages: HashMap<Option<Class>, Page>,
}

/// Grants of the limits of the service or of one class.
#[derive(Debug, Default)]
struct Page {
    in_flight: Column,
    per_second: Column,
}

impl Allocator {
    /// Whether a query is newer than all before it. The statements of an older
    /// one no longer hold.
    pub fn is_newer(&mut self, asker: &Requester) -> bool {
        let query = (asker.incarnation, asker.sequence);
        let last = self.asked.insert(asker.instance.clone(), query);
        let Some(last) = last.filter(|last| last.0 == query.0 && last.1 >= query.1) else {
            return true;
        };
        self.asked.insert(asker.instance.clone(), last);
        false
    }

    /// Whether an entry that asked last got less than its fair part of the
    /// limits of the service or of a class, because others hold more than
    /// theirs.
    #[must_use]
    pub fn is_below_fair_share(&self) -> bool {
        self.columns().any(Column::is_below_fair_share)
    }

    /// Whether an entry that asked last got less than it wants, which may only
    /// be because others have not stated yet that they need less.
    #[must_use]
    pub fn is_below_demand(&self) -> bool {
        self.columns().any(Column::is_below_demand)
    }

    fn columns(&self) -> impl Iterator<Item = &Column> {
        let pages = self.pages.values();
        pages.flat_map(|page| [&page.in_flight, &page.per_second])
    }

    /// Grants a share of the limits of the service, or of one of its classes,
    /// to an entry. What others hold is not granted. Unless all grants of the
    /// last holder are known (`settled`), what the entry holds is renewed and
    /// nothing more.
    pub fn grant(
        &mut self,
        class: Option<&Class>,
        whole: &Capacity,
        from: &Instance,
        statement: Demand,
        now: Instant,
    ) -> Share {
        let Demand { wanted, held } = statement;
        let page = self.pages.entry(class.cloned()).or_default();
        let limits = &whole.limits;
        let in_flight = grantable_part(limits.max_in_flight, whole.max_entries);
        let per_second = grantable_part(limits.max_per_second, whole.max_entries);
        let renewed = |want: u32, held: u32| if whole.settled { want } else { want.min(held) };
        let granted = Share {
            in_flight: renewed(wanted.in_flight, held.in_flight),
            per_second: renewed(wanted.per_second, held.per_second),
        };
        Share {
            in_flight: page.in_flight.grant(
                in_flight,
                from,
                granted.in_flight,
                held.in_flight,
                now,
            ),
            per_second: page.per_second.grant(
                per_second,
                from,
                granted.per_second,
                held.per_second,
                now,
            ),
        }
    }
}

/// What a share is granted of.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// The limits, in sum over all entries.
    pub limits: Limits,
    /// Largest permitted number of entries.
    pub max_entries: u32,
    /// Whether all grants that may be in use are in the book.
    pub settled: bool,
}
