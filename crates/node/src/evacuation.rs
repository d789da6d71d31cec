//! Zones whose targets get no requests because the operator evacuates them.

use std::collections::{HashMap, HashSet};

use carobdrift_peers::Evacuation;
use carobdrift_units::Zone;

/// Largest number of zones that are kept. An installation has a few; more are errors
/// of the writer, and all are repeated in datagrams.
const MAX_ZONES: usize = 16;

/// Evacuations of zones, each as of the newest store revision that this entry knows.
/// The end of an evacuation is kept too, so that an older report does not restore it.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: HashMap<Zone, Evacuation>,
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
    /// in use. Returns what [`apply`](Self::apply) returns.
    pub fn replace(&mut self, evacuations: Vec<Evacuation>, revision: u64) -> bool {
        let present: HashSet<Zone> = evacuations.iter().map(|e| e.zone.clone()).collect();
        let known = self.zones.values();
        let ended = known.filter(|known| {
            known.active && known.revision <= revision && !present.contains(&known.zone)
        });
        let mut changes: Vec<Evacuation> = ended
            .map(|known| Evacuation {
                zone: known.zone.clone(),
                // A row that was written at this revision would be among those read.
                revision: revision.max(known.revision + 1),
                active: false,
            })
            .collect();
        changes.extend(evacuations);
        self.apply(changes)
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
