//! Allocation of shares of one service's limits by the holder of its lease.

use std::collections::HashMap;
use std::time::Duration;

use carobdrift_balance::{Demand, Share, fixed_share};
use carobdrift_document::Limits;
use carobdrift_units::{Class, Incarnation, Instance};
use tokio::time::Instant;

use crate::division::Division;

/// Time for which a grant is valid, counted from the moment at which the
/// requesting entry sent its query.
pub const GRANT_VALIDITY: Duration = Duration::from_secs(30);

/// Returns the part of a limit that can be granted: the rest beyond the fixed
/// shares of `max_entries` entries.
#[must_use]
pub fn grantable_part(limit: u32, max_entries: u32) -> u32 {
    let fixed = fixed_share(limit, max_entries);
    limit.saturating_sub(fixed.saturating_mul(max_entries.max(1)))
}

/// Requester of shares: a process, and the sequence number of its query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requester {
    /// Instance id.
    pub instance: Instance,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Sequence number of the query, which increases with each query of the
    /// process.
    pub sequence: u64,
}

/// Allocator of the shares of one service. An allocator records the grants that
/// a holder makes during one tenure.
#[derive(Debug, Default)]
pub struct Allocator {
    /// Incarnation and sequence number of each entry's newest query.
    newest_queries: HashMap<Instance, (Incarnation, u64)>,
    divisions_by_class: HashMap<Option<Class>, Divisions>,
}

/// Divisions of the limits of the service or of one class.
#[derive(Debug, Default)]
struct Divisions {
    in_flight: Division,
    per_second: Division,
}

impl Allocator {
    /// Records a query and returns whether it is newer than all earlier ones of
    /// its entry. The demand in an older query is outdated.
    pub fn is_newer(&mut self, requester: &Requester) -> bool {
        let query = (requester.incarnation, requester.sequence);
        let previous = self
            .newest_queries
            .insert(requester.instance.clone(), query);
        let Some(previous) =
            previous.filter(|previous| previous.0 == query.0 && previous.1 >= query.1)
        else {
            return true;
        };
        self.newest_queries
            .insert(requester.instance.clone(), previous);
        false
    }

    /// Returns whether the entry that was served last got less than its fair
    /// share of a limit of the service or of a class, because others hold more
    /// than theirs.
    #[must_use]
    pub fn is_below_fair_share(&self) -> bool {
        self.divisions().any(Division::is_below_fair_share)
    }

    /// Returns whether the entry that was served last got less than it
    /// requested. Others may need less than they hold and may not have reported
    /// their lower demand yet.
    #[must_use]
    pub fn is_below_demand(&self) -> bool {
        self.divisions().any(Division::is_below_demand)
    }

    fn divisions(&self) -> impl Iterator<Item = &Division> {
        let divisions = self.divisions_by_class.values();
        divisions.flat_map(|divisions| [&divisions.in_flight, &divisions.per_second])
    }

    /// Grants a share of the limits of the service, or of one of its classes,
    /// to an entry. A share that another entry holds is not granted. Unless all
    /// grants of the previous holder are known (`settled`), the entry keeps at
    /// most the share that it holds.
    pub fn grant(
        &mut self,
        class: Option<&Class>,
        capacity: &Capacity,
        instance: &Instance,
        demand: Demand,
        now: Instant,
    ) -> Share {
        let Demand { wanted, held } = demand;
        let divisions = self.divisions_by_class.entry(class.cloned()).or_default();
        let limits = &capacity.limits;
        let in_flight = grantable_part(limits.max_in_flight, capacity.max_entries);
        let per_second = grantable_part(limits.max_per_second, capacity.max_entries);
        let permit = |wanted: u32, held: u32| {
            if capacity.settled {
                wanted
            } else {
                wanted.min(held)
            }
        };
        let permitted = Share {
            in_flight: permit(wanted.in_flight, held.in_flight),
            per_second: permit(wanted.per_second, held.per_second),
        };
        Share {
            in_flight: divisions.in_flight.grant(
                in_flight,
                instance,
                permitted.in_flight,
                held.in_flight,
                now,
            ),
            per_second: divisions.per_second.grant(
                per_second,
                instance,
                permitted.per_second,
                held.per_second,
                now,
            ),
        }
    }
}

/// Capacity from which shares are granted.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// Limits for the sum over all entries.
    pub limits: Limits,
    /// Largest permitted number of entries.
    pub max_entries: u32,
    /// Whether all grants that may be in use are recorded.
    pub settled: bool,
}
