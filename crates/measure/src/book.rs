//! The holder's book of granted shares of a service's limits.

use std::collections::HashMap;
use std::time::Duration;

use carobdrift_balance::Share;
use carobdrift_document::Limits;
use carobdrift_units::Instance;
use tokio::time::Instant;

/// Time for which a grant holds, counted from the moment at which the asking
/// entry sent its query.
pub const VALIDITY: Duration = Duration::from_secs(2);

/// Part of a limit that is granted: what the fixed shares of `max_entries`
/// entries leave of it.
#[must_use]
pub fn rest(limit: u32, max_entries: u32) -> u32 {
    let entries = max_entries.max(1);
    limit - limit / 2 / entries * entries
}

/// Shares of one service that a holder granted.
#[derive(Debug, Default)]
pub struct Book {
    in_flight: Column,
    per_second: Column,
}

/// Grants of one limit.
#[derive(Debug, Default)]
struct Column {
    lines: HashMap<Instance, Line>,
}

/// What one entry asked for and got.
#[derive(Debug, Default)]
struct Line {
    want: u32,
    /// Grants with the moment at which each expires at the latest. An entry
    /// uses an earlier one until the answer with the next one arrives.
    grants: Vec<(u32, Instant)>,
}

impl Book {
    /// Grants a share to an entry. Shares that compete are divided by max-min
    /// fairness; what others still hold is granted only after it expired.
    pub fn grant(
        &mut self,
        limits: &Limits,
        max_entries: u32,
        from: &Instance,
        want: Share,
        now: Instant,
    ) -> Share {
        let in_flight = rest(limits.max_in_flight, max_entries);
        let per_second = rest(limits.max_per_second, max_entries);
        Share {
            in_flight: self.in_flight.grant(in_flight, from, want.in_flight, now),
            per_second: self
                .per_second
                .grant(per_second, from, want.per_second, now),
        }
    }
}

impl Column {
    fn grant(&mut self, rest: u32, from: &Instance, want: u32, now: Instant) -> u32 {
        self.lines.retain(|_, line| {
            line.grants.retain(|(_, expires)| now < *expires);
            !line.grants.is_empty()
        });
        let others = self.lines.iter().filter(|(instance, _)| *instance != from);
        let held = others.clone().map(|(_, line)| line.held());
        let free = held.fold(rest, u32::saturating_sub);
        let fair = fair_part(rest, want, others.map(|(_, line)| line.want));
        let granted = want.min(fair).min(free);
        let line = self.lines.entry(from.clone()).or_default();
        line.want = want;
        line.grants.push((granted, now + VALIDITY));
        granted
    }
}

impl Line {
    fn held(&self) -> u32 {
        let amounts = self.grants.iter().map(|(amount, _)| *amount);
        amounts.max().unwrap_or(0)
    }
}

/// Part of `rest` that max-min fairness gives to one of several wants.
fn fair_part(rest: u32, want: u32, others: impl Iterator<Item = u32>) -> u32 {
    let mut smaller: Vec<_> = others.collect();
    let mut wanting = u32::try_from(smaller.len()).unwrap_or(u32::MAX);
    smaller.retain(|other| *other < want);
    smaller.sort_unstable();
    wanting = wanting.saturating_add(1);
    let mut left = rest;
    for other in smaller {
        left -= other.min(left / wanting);
        wanting -= 1;
    }
    left / wanting
}
