//! Replica of the registered targets, and the revision that it has reached.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use carobdrift_peers::Row;
use carobdrift_units::{Era, StoreRevision, Target};
use tokio::time::Instant;

use crate::store::{Item, Record};

/// Age of the last successful store response beyond which the store counts as
/// down.
const OUTAGE_AGE: Duration = Duration::from_secs(4);

/// Time after the recovery of the store in which targets whose registrations
/// expired during the outage can register again.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// Largest number of removed targets whose removal is remembered, so that an older
/// registration that arrives late does not restore its target.
const MAX_REMOVED: usize = 4096;

/// Replica of the registered targets as of a store revision. Registrations are
/// ordered by the store revision that wrote them, so they may arrive in any
/// order, from the store and from other entries. Once registrations of a newer era of
/// the store are complete, those of older eras are not accepted any more; known ones
/// that the newer era lacks are kept for the time to register again.
#[derive(Debug, Default)]
pub struct Replica {
    rows: HashMap<Target, Row>,
    /// Store revisions that removed targets.
    removed_revisions: HashMap<Target, StoreRevision>,
    /// Revision of the newest change up to which no change is missing.
    revision: StoreRevision,
    /// Whether all targets were read once.
    complete: bool,
    /// Removals that were made during or shortly after an outage of the store,
    /// with their store revisions and the times at which they are due.
    held_removals: HashMap<Target, (StoreRevision, Instant)>,
    store_down: bool,
    store_recovered: Option<Instant>,
}

impl Replica {
    /// Returns whether all targets were received once, from the store or from
    /// another entry.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the revision of the newest change up to which no change is
    /// missing.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the revision up to which all of the changes that were received up to
    /// `received` are applied: held removals are not.
    #[must_use]
    pub fn without_held(&self, received: StoreRevision) -> StoreRevision {
        let held = self.held_removals.values().map(|(revision, _)| *revision);
        held.fold(received, |applied, held| applied.min(held.previous()))
    }

    /// Returns the registrations of all targets.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        self.rows.values().cloned().collect()
    }

    /// Records the age of the newest store response that this entry or another
    /// one received.
    pub fn observe_store_age(&mut self, store_age: Duration, now: Instant) {
        let is_down = store_age > OUTAGE_AGE;
        if self.store_down && !is_down {
            self.store_recovered = Some(now);
        }
        self.store_down = is_down;
    }

    /// Applies changes that were read from the store. Returns the registrations
    /// that changed here.
    pub fn apply_changes(&mut self, records: Vec<Record>, now: Instant) -> Vec<Row> {
        let mut rows: Vec<Row> = records.into_iter().filter_map(into_row).collect();
        rows.retain(|row| row.revision.era >= self.revision.era);
        self.advance_revision(&rows);
        rows.into_iter()
            .filter_map(|row| self.apply(row, true, now))
            .collect()
    }

    /// Applies a full read of the store, unless it is of an older era; targets that it
    /// lacks are removed. Returns the registrations that changed here.
    pub fn replace(
        &mut self,
        records: Vec<Record>,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<Row> {
        if revision.era < self.revision.era {
            return Vec::new();
        }
        self.begin_era(revision.era, now);
        let rows: Vec<Row> = records.into_iter().filter_map(into_row).collect();
        let all = self.with_removals(rows, revision);
        self.advance_revision(&all);
        self.complete = true;
        all.into_iter()
            .filter_map(|row| self.apply(row, true, now))
            .collect()
    }

    /// Applies changes after the revision `after` and up to `revision` that
    /// another entry published. Returns the registrations that changed here.
    pub fn apply_delta(
        &mut self,
        mut rows: Vec<Row>,
        after: StoreRevision,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<Row> {
        rows.retain(|row| row.revision.era >= self.revision.era);
        let changed = rows
            .into_iter()
            .filter_map(|row| self.apply(row, false, now))
            .collect();
        if after <= self.revision && revision.era == self.revision.era {
            self.revision = self.revision.max(revision);
        }
        changed
    }

    /// Applies all targets of another entry as of a revision, unless this
    /// replica is as recent. Returns the registrations that changed here.
    pub fn apply_snapshot(
        &mut self,
        rows: Vec<Row>,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<Row> {
        if self.complete && revision <= self.revision {
            return Vec::new();
        }
        let is_new_era = self.begin_era(revision.era, now);
        // The other entry keeps these until their targets had time to register again.
        let unconfirmed: Vec<Target> = rows
            .iter()
            .filter(|row| row.revision.era < revision.era)
            .map(|row| row.target.clone())
            .collect();
        let all = self.with_removals(rows, revision);
        self.revision = revision;
        self.complete = true;
        let changed = all
            .into_iter()
            .filter_map(|row| self.apply(row, is_new_era, now))
            .collect();
        let until = now + REREGISTRATION_GRACE;
        let held = unconfirmed
            .into_iter()
            .map(|target| (target, (revision, until)));
        self.held_removals.extend(held);
        changed
    }

    /// Applies the held removals that are due. Returns them.
    pub fn apply_due_removals(&mut self, now: Instant) -> Vec<Row> {
        let due: Vec<Target> = self
            .held_removals
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(target, _)| target.clone())
            .collect();
        due.into_iter()
            .filter_map(|target| {
                let (revision, _) = self.held_removals.remove(&target)?;
                let row = Row {
                    revision,
                    target,
                    endpoint: None,
                };
                self.apply(row, false, now)
            })
            .collect()
    }

    /// Adds a removal for each known target that a full read lacks.
    fn with_removals(&self, mut rows: Vec<Row>, revision: StoreRevision) -> Vec<Row> {
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

    /// Begins an era of the store if it is newer. A return from an older copy is like
    /// the end of an outage: targets that the copy lacks need time to register again.
    /// Returns whether an era began while the targets were known.
    fn begin_era(&mut self, era: Era, now: Instant) -> bool {
        if era <= self.revision.era {
            return false;
        }
        self.revision = StoreRevision::start_of(era);
        if self.complete {
            self.store_recovered = Some(now);
        }
        self.complete
    }

    fn advance_revision(&mut self, rows: &[Row]) {
        let rows = rows.iter().map(|row| row.revision);
        let newest = rows
            .filter(|revision| revision.era == self.revision.era)
            .max();
        self.revision = self.revision.max(newest.unwrap_or_default());
    }

    /// Applies one registration unless a newer one is known. A removal read from
    /// the store during or shortly after an outage is held until the target had
    /// time to register again.
    fn apply(&mut self, row: Row, from_store: bool, now: Instant) -> Option<Row> {
        let known_row = self.rows.get(&row.target);
        let known = known_row.map(|known| known.revision);
        // The first full read of an era confirms most registrations.
        let is_confirmed = known_row.is_some_and(|known| {
            known.revision.era < row.revision.era && known.endpoint == row.endpoint
        });
        let removed = self.removed_revisions.get(&row.target).copied();
        if known.max(removed) >= Some(row.revision) {
            return None;
        }
        if row.endpoint.is_some() {
            self.held_removals.remove(&row.target);
            self.removed_revisions.remove(&row.target);
            self.rows.insert(row.target.clone(), row.clone());
            return (!is_confirmed).then_some(row);
        }
        if from_store && let Some(until) = self.hold_until(now) {
            if known.is_some() {
                self.held_removals.insert(row.target, (row.revision, until));
            }
            return None;
        }
        self.held_removals.remove(&row.target);
        if self.removed_revisions.len() >= MAX_REMOVED {
            self.removed_revisions.clear();
        }
        self.removed_revisions
            .insert(row.target.clone(), row.revision);
        self.rows.remove(&row.target).map(|_| row)
    }

    /// Returns the time until which a removal received now is held; `None` if it
    /// applies at once.
    fn hold_until(&self, now: Instant) -> Option<Instant> {
        if self.store_down {
            return Some(now + REREGISTRATION_GRACE);
        }
        let until = self.store_recovered? + REREGISTRATION_GRACE;
        (until > now).then_some(until)
    }
}

fn into_row(record: Record) -> Option<Row> {
    let (target, endpoint) = match record.item {
        Item::Target(endpoint) => (endpoint.id.clone(), Some(endpoint)),
        Item::Removed(target) => (target, None),
        Item::State(_) | Item::Evacuation(_) | Item::Entry(_) => return None,
    };
    Some(Row {
        revision: record.revision,
        target,
        endpoint,
    })
}
