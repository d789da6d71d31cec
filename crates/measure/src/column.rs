//! Grants of one limit.

use std::collections::HashMap;
use std::time::Duration;

use carobdrift_units::Instance;
use tokio::time::Instant;

use crate::allocator::GRANT_VALIDITY;

/// Time after which an entry that holds one of too few units gives it to an
/// entry that waits for one.
const TURN: Duration = Duration::from_secs(2);

/// Time after its last query for which an entry counts as waiting. Entries ask
/// more often than that while calls wait.
const WAITING: Duration = Duration::from_secs(1);

/// Grants of one limit by entry.
#[derive(Debug, Default)]
pub(crate) struct Column {
    /// Whether the last entry that asked got less than its fair part, because
    /// others hold more than theirs.
    squeezed: bool,
    /// Whether the last entry that asked got less than it wants.
    partial: bool,
    lines: HashMap<Instance, Line>,
}

/// What one entry asked for and holds.
#[derive(Debug)]
struct Line {
    want: u32,
    /// The most that the entry may use until it states to hold less.
    held: u32,
    granted: u32,
    /// Since when the entry holds something, or waits for it.
    since: Instant,
    asked: Instant,
}

impl Line {
    fn is_waiting(&self, now: Instant) -> bool {
        self.granted == 0 && self.want > 0 && now < self.asked + WAITING
    }
}

impl Column {
    /// Grants a part of `rest`. Wants that compete are divided by max-min
    /// fairness; what others hold is not free.
    pub(crate) fn grant(
        &mut self,
        rest: u32,
        from: &Instance,
        want: u32,
        held: u32,
        now: Instant,
    ) -> u32 {
        self.lines
            .retain(|_, line| now < line.asked + GRANT_VALIDITY);
        let last = self.lines.remove(from);
        let others = self.lines.values();
        let free = others
            .clone()
            .fold(rest, |free, line| free.saturating_sub(line.held));
        let fair = fair_part(rest, want, others.map(|line| line.want));
        let granted = if fair == 0 && want > 0 {
            self.unit(free, held, last.as_ref(), now)
        } else {
            want.min(fair).min(free)
        };
        let unchanged = last.filter(|last| {
            (last.granted > 0) == (granted > 0) && (granted > 0 || last.is_waiting(now))
        });
        self.squeezed = granted < want.min(fair);
        self.partial = granted < want;
        let line = Line {
            want,
            held: granted.max(held),
            granted,
            since: unchanged.map_or(now, |last| last.since),
            asked: now,
        };
        self.lines.insert(from.clone(), line);
        granted
    }

    pub(crate) fn is_below_fair_share(&self) -> bool {
        self.squeezed
    }

    pub(crate) fn is_below_demand(&self) -> bool {
        self.partial
    }

    /// One unit or none of a limit that is smaller than the number of entries
    /// that want a part of it. The entries take turns.
    fn unit(&self, free: u32, held: u32, last: Option<&Line>, now: Instant) -> u32 {
        let waiting = self.lines.values().filter(|line| line.is_waiting(now));
        let since = last.map_or(now, |last| last.since);
        let ahead = if held > 0 {
            let turn_ended = now >= since + TURN;
            waiting.filter(|_| turn_ended).count()
        } else {
            waiting.filter(|line| line.since < since).count()
        };
        u32::from(u32::try_from(ahead).is_ok_and(|ahead| free > ahead))
    }
}

/// Part of `rest` that max-min fairness gives to one of several wants.
fn fair_part(rest: u32, want: u32, others: impl Iterator<Item = u32>) -> u32 {
    let mut smaller: Vec<_> = others.collect();
    smaller.retain(|other| *other > 0);
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
