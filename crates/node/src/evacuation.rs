//! Zones whose targets get no requests because the operator evacuates them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use carobdrift_peers::Evacuation;
use carobdrift_units::{StoreRevision, Zone};
use tokio::time::Instant;

/// Largest number of zones that are kept. An installation has a few; more are errors
/// of the writer, and all are repeated in datagrams.
const MAX_ZONES: usize = 16;

/// Time after a return of the store from an older copy in which the operator can write
/// evacuations again that the copy lacks.
const REWRITE_GRACE: Duration = Duration::from_millis(2200);

/// Evacuations of zones, each as of the newest store revision that this entry knows.
/// The end of an evacuation is kept too, so that an older report does not restore it.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: HashMap<Zone, Evacuation>,
    /// Ends of evacuations that a newer era of the store lacks, and when they are due.
    held_ends: HashMap<Zone, (Evacuation, Instant)>,
}

impl Evacuations {
    /// Applies changes, in any order, from the store or from other entries. Returns
    /// whether a zone was evacuated or taken back into use by them.
    pub fn apply(&mut self, reported: Vec<Evacuation>) -> bool {
        let mut changed = false;
        for evacuation in reported {
            let known = self.zones.get(&evacuation.zone);
            if known.is_some_and(|known| known.revision >= evacuation.revision) {
                continue;
            }
            if known.is_none() && self.zones.len() >= MAX_ZONES {
                log::warn!(
                    target: "state",
                    "event=ignored-evacuation zone={} reason=too-many-zones",
                    evacuation.zone
                );
                continue;
            }
            changed |= known.is_some_and(|known| known.active) != evacuation.active;
            self.zones.insert(evacuation.zone.clone(), evacuation);
        }
        changed
    }

    /// Applies a full read of the store as of a revision; zones that it lacks are back
    /// in use. Those that were evacuated in an older era of the store are so after the
    /// time to write the evacuation again. Returns what [`apply`](Self::apply) returns.
    pub fn replace(
        &mut self,
        evacuations: Vec<Evacuation>,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        let present: HashSet<Zone> = evacuations.iter().map(|e| e.zone.clone()).collect();
        let mut changes = evacuations;
        for known in self.zones.values() {
            if !known.active || known.revision > revision || present.contains(&known.zone) {
                continue;
            }
            let end = Evacuation {
                zone: known.zone.clone(),
                // A row that was written at this revision would be among those read.
                revision: revision.max(known.revision.next()),
                active: false,
            };
            if known.revision.era < revision.era {
                let held = self.held_ends.get(&end.zone);
                if held.is_none_or(|(held, _)| held.revision.era < revision.era) {
                    self.held_ends
                        .insert(end.zone.clone(), (end, now + REWRITE_GRACE));
                }
            } else {
                changes.push(end);
            }
        }
        self.apply(changes)
    }

    /// Applies the held ends of evacuations that are due and were not written again.
    /// Returns what [`apply`](Self::apply) returns.
    pub fn apply_due_ends(&mut self, now: Instant) -> bool {
        let due = self.held_ends.extract_if(|_, (_, at)| *at <= now);
        let ends = due.map(|(_, (end, _))| end).collect();
        self.apply(ends)
    }

    /// Returns all evacuations, ended ones included, for other entries.
    #[must_use]
    pub fn list(&self) -> Vec<Evacuation> {
        self.zones.values().cloned().collect()
    }

    /// Returns the zones that are evacuated.
    #[must_use]
    pub fn active(&self) -> HashSet<Zone> {
        let active = self.zones.values().filter(|evacuation| evacuation.active);
        active.map(|evacuation| evacuation.zone.clone()).collect()
    }
}
