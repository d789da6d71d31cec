//! Division of one limit among the entries.

use std::collections::HashMap;
use std::time::Duration;

use carobdrift_units::Instance;
use tokio::time::Instant;

use crate::allocator::GRANT_VALIDITY;

/// Time after which an entry that holds one unit of a scarce limit yields it to
/// an entry that waits.
const TURN_DURATION: Duration = Duration::from_secs(2);

/// Time after its last query for which an entry counts as waiting. Entries send
/// queries more often than that while calls wait.
const WAITING_TIMEOUT: Duration = Duration::from_secs(1);

/// Division of one limit among the entries.
#[derive(Debug, Default)]
pub(crate) struct Division {
    /// Whether the entry that was served last got less than its fair share,
    /// because others hold more than theirs.
    below_fair_share: bool,
    /// Whether the entry that was served last got less than it requested.
    below_demand: bool,
    records: HashMap<Instance, Record>,
}

/// Record of the demand and the grant of one entry.
#[derive(Debug)]
struct Record {
    wanted: u32,
    /// Largest share that the entry may use until it reports to hold less.
    held: u32,
    granted: u32,
    /// Time since which the entry holds a share, or waits for one.
    since: Instant,
    last_query: Instant,
}

impl Record {
    fn is_waiting(&self, now: Instant) -> bool {
        self.granted == 0 && self.wanted > 0 && now < self.last_query + WAITING_TIMEOUT
    }
}

impl Division {
    /// Grants a part of `grantable` to an entry. Competing demands are served
    /// by max-min fairness. A share that another entry holds is not free.
    pub(crate) fn grant(
        &mut self,
        grantable: u32,
        instance: &Instance,
        wanted: u32,
        held: u32,
        now: Instant,
    ) -> u32 {
        self.records
            .retain(|_, record| now < record.last_query + GRANT_VALIDITY);
        let previous = self.records.remove(instance);
        let others = self.records.values();
        let free = others
            .clone()
            .fold(grantable, |free, record| free.saturating_sub(record.held));
        let fair_share = max_min_share(grantable, wanted, others.map(|record| record.wanted));
        let granted = if fair_share == 0 && wanted > 0 {
            self.grant_unit(free, held, previous.as_ref(), now)
        } else {
            wanted.min(fair_share).min(free)
        };
        let unchanged = previous.filter(|previous| {
            (previous.granted > 0) == (granted > 0) && (granted > 0 || previous.is_waiting(now))
        });
        self.below_fair_share = granted < wanted.min(fair_share);
        self.below_demand = granted < wanted;
        let record = Record {
            wanted,
            held: granted.max(held),
            granted,
            since: unchanged.map_or(now, |previous| previous.since),
            last_query: now,
        };
        self.records.insert(instance.clone(), record);
        granted
    }

    pub(crate) fn is_below_fair_share(&self) -> bool {
        self.below_fair_share
    }

    pub(crate) fn is_below_demand(&self) -> bool {
        self.below_demand
    }

    /// Grants one unit or none of a limit that is smaller than the number of
    /// entries that request it. The entries take turns.
    fn grant_unit(&self, free: u32, held: u32, previous: Option<&Record>, now: Instant) -> u32 {
        let waiting = self
            .records
            .values()
            .filter(|record| record.is_waiting(now));
        let since = previous.map_or(now, |previous| previous.since);
        let ahead = if held > 0 {
            let turn_ended = now >= since + TURN_DURATION;
            waiting.filter(|_| turn_ended).count()
        } else {
            waiting.filter(|record| record.since < since).count()
        };
        u32::from(u32::try_from(ahead).is_ok_and(|ahead| free > ahead))
    }
}

/// Returns the part of `grantable` that max-min fairness assigns to a demand of
/// `wanted` beside the demands of `others`.
fn max_min_share(grantable: u32, wanted: u32, others: impl Iterator<Item = u32>) -> u32 {
    let mut smaller: Vec<_> = others.collect();
    smaller.retain(|other| *other > 0);
    let mut competing = u32::try_from(smaller.len()).unwrap_or(u32::MAX);
    smaller.retain(|other| *other < wanted);
    smaller.sort_unstable();
    competing = competing.saturating_add(1);
    let mut remaining = grantable;
    for other in smaller {
        remaining -= other.min(remaining / competing);
        competing -= 1;
    }
    remaining / competing
}
