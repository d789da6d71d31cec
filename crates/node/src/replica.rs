//! What an entry knows of the targets, and how current it is.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use carobdrift_peers::Row;
use carobdrift_units::Target;
use tokio::time::Instant;

use crate::store::{Item, Record};

/// Age of the last good answer of the store from which it counts as away.
const AWAY_AFTER: Duration = Duration::from_secs(4);

/// Time after the return of the store within which targets that lapsed
/// meanwhile register again.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// Removed targets that are remembered, so that an older registration that
/// arrives late does not bring one back.
const MAX_REMOVED: usize = 4096;

/// The targets as of a revision of the store. Registrations are ordered by the
/// revision that made them, so they may arrive in any order and from anyone.
#[derive(Debug, Default)]
pub struct Replica {
    rows: HashMap<Target, Row>,
    removed: HashMap<Target, u64>,
    /// Newest change up to which nothing is missing.
    revision: u64,
    /// Whether all targets were read once.
    complete: bool,
    /// Removals that wait, because the store was away when they were made.
    held: HashMap<Target, (u64, Instant)>,
    away: bool,
    returned: Option<Instant>,
}

impl Replica {
    /// Whether all targets were read once, here or by another entry.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Revision of the newest change up to which nothing is missing.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All registered targets.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        self.rows.values().cloned().collect()
    }

    /// Notes the age of the newest answer of the store that this entry or
    /// another one has.
    pub fn observe_store_age(&mut self, store_age: Duration, now: Instant) {
        let away = store_age > AWAY_AFTER;
        if self.away && !away {
            self.returned = Some(now);
        }
        self.away = away;
    }

    /// Takes in changes that the store made. Returns what changed.
    pub fn apply_changes(&mut self, records: Vec<Record>, now: Instant) -> Vec<Row> {
        let rows: Vec<Row> = records.into_iter().filter_map(row).collect();
        self.advance(&rows);
        rows.into_iter()
            .filter_map(|row| self.take(row, true, now))
            .collect()
    }

    /// Takes in a full reading; targets that it lacks are gone. Returns what
    /// changed.
    pub fn replace(&mut self, records: Vec<Record>, revision: u64, now: Instant) -> Vec<Row> {
        let rows: Vec<Row> = records.into_iter().filter_map(row).collect();
        let all = self.with_missing(rows, revision);
        self.advance(&all);
        self.complete = true;
        all.into_iter()
            .filter_map(|row| self.take(row, true, now))
            .collect()
    }

    /// Takes in changes that another entry passed on. Returns what changed.
    pub fn apply_delta(
        &mut self,
        rows: Vec<Row>,
        after: u64,
        revision: u64,
        now: Instant,
    ) -> Vec<Row> {
        let changed = rows
            .into_iter()
            .filter_map(|row| self.take(row, false, now))
            .collect();
        if after <= self.revision {
            self.revision = self.revision.max(revision);
        }
        changed
    }

    /// Takes in what another entry knows. Returns what changed.
    pub fn apply_snapshot(&mut self, rows: Vec<Row>, revision: u64, now: Instant) -> Vec<Row> {
        if self.complete && revision <= self.revision {
            return Vec::new();
        }
        let all = self.with_missing(rows, revision);
        self.revision = revision;
        self.complete = true;
        all.into_iter()
            .filter_map(|row| self.take(row, false, now))
            .collect()
    }

    /// Carries out the removals whose time has come. Returns them.
    pub fn apply_due_removals(&mut self, now: Instant) -> Vec<Row> {
        let due: Vec<Target> = self
            .held
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(target, _)| target.clone())
            .collect();
        due.into_iter()
            .filter_map(|target| {
                let (revision, _) = self.held.remove(&target)?;
                let row = Row {
                    revision,
                    target,
                    endpoint: None,
                };
                self.take(row, false, now)
            })
            .collect()
    }

    /// Adds a removal for each known target that a full reading lacks.
    fn with_missing(&self, mut rows: Vec<Row>, revision: u64) -> Vec<Row> {
        let present: HashSet<&Target> = rows.iter().map(|row| &row.target).collect();
        let missing: Vec<Row> = self
            .rows
            .values()
            .filter(|known| known.revision <= revision && !present.contains(&known.target))
            .map(|known| Row {
                revision,
                target: known.target.clone(),
                endpoint: None,
            })
            .collect();
        rows.extend(missing);
        rows
    }

    fn advance(&mut self, rows: &[Row]) {
        let newest = rows.iter().map(|row| row.revision).max();
        self.revision = self.revision.max(newest.unwrap_or_default());
    }

    /// Takes in one registration unless a newer one is known. A removal that
    /// the store made while it was away is held until the target had time to
    /// register again.
    fn take(&mut self, row: Row, from_store: bool, now: Instant) -> Option<Row> {
        let known = self.rows.get(&row.target).map(|known| known.revision);
        let removed = self.removed.get(&row.target).copied();
        if known.max(removed) >= Some(row.revision) {
            return None;
        }
        if row.endpoint.is_some() {
            self.held.remove(&row.target);
            self.removed.remove(&row.target);
            self.rows.insert(row.target.clone(), row.clone());
            return Some(row);
        }
        if from_store && let Some(until) = self.hold_until(now) {
            if known.is_some() {
                self.held.insert(row.target, (row.revision, until));
            }
            return None;
        }
        self.held.remove(&row.target);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(row.target.clone(), row.revision);
        self.rows.remove(&row.target).map(|_| row)
    }

    /// Until when a removal is held that is learnt now.
    fn hold_until(&self, now: Instant) -> Option<Instant> {
        if self.away {
            return Some(now + RETURN_TIME);
        }
        let until = self.returned? + RETURN_TIME;
        (until > now).then_some(until)
    }
}

fn row(record: Record) -> Option<Row> {
    let (target, endpoint) = match record.item {
        Item::Target(endpoint) => (endpoint.id.clone(), Some(endpoint)),
        Item::Removed(target) => (target, None),
        Item::State(_) | Item::Entry(_) => return None,
    };
    Some(Row {
        revision: record.revision,
        target,
        endpoint,
    })
}
