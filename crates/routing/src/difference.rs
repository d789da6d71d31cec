//! Differences between two versions of the desired state.
//!
//! A change of the desired state usually concerns few of its routes. An entry that
//! has the older version needs only the difference, which stays small however many
//! routes an installation has.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use carobdrift_units::Version;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::state::{Limits, Route, Service, State};
use crate::workspace::Workspace;

/// Largest number of differences that a history keeps.
const MAX_DIFFERENCES: usize = 64;

/// Largest number of routes and workspaces in all differences that a history keeps.
const MAX_HISTORY_ITEMS: usize = 8192;

/// Difference between two versions of the desired state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Version to which the difference applies.
    pub from: Version,
    /// Version that results.
    pub to: Version,
    /// Positions of the routes of the older state that are not in the newer one, in
    /// ascending order.
    removed: Vec<u32>,
    /// Routes of the newer state that are not in the older one, with their
    /// positions in the newer one, in ascending order.
    inserted: Vec<(u32, Arc<Route>)>,
    /// Services of the newer state, if they changed.
    services: Option<BTreeMap<carobdrift_units::Service, Service>>,
    /// Limits of the newer state, if they changed.
    limits: Option<Limits>,
    /// Whether requests need an API key in the newer state.
    requires_keys: bool,
    /// Names of workspaces of the older state that are not in the newer one.
    removed_workspaces: Vec<String>,
    /// Workspaces of the newer state that are new or changed.
    workspaces: Vec<Arc<Workspace>>,
    /// Fingerprint of the newer state.
    fingerprint: u64,
}

/// Failure to apply a difference. The newer state has to be obtained whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Mismatch {
    /// The difference applies to another version.
    #[error("the difference applies to version {expected}, not to {found}")]
    Version {
        /// Version to which the difference applies.
        expected: Version,
        /// Version of the state.
        found: Version,
    },
    /// The state that results is not the one from which the difference was made.
    #[error("the difference results in another state than version {0}")]
    Content(Version),
}

impl Difference {
    /// Returns the difference between two states.
    #[must_use]
    pub fn between(older: &State, newer: &State) -> Self {
        let positions: HashMap<&str, usize> = older
            .routes
            .iter()
            .enumerate()
            .map(|(position, route)| (route.name.as_str(), position))
            .collect();
        let mut inserted = Vec::new();
        let mut kept = vec![false; older.routes.len()];
        // Routes stay in order, so a route that comes after another one than before
        // counts as removed and inserted.
        let mut next = 0;
        for (position, route) in newer.routes.iter().enumerate() {
            match positions.get(route.name.as_str()) {
                Some(old) if *old >= next && older.routes[*old] == *route => {
                    kept[*old] = true;
                    next = old + 1;
                }
                _ => inserted.push((index(position), Arc::clone(route))),
            }
        }
        let removed = kept.iter().enumerate().filter(|(_, kept)| !**kept);
        let removed_workspaces = older.workspaces.keys();
        let workspaces = newer.workspaces.iter();
        Self {
            from: older.version,
            to: newer.version,
            removed: removed.map(|(position, _)| index(position)).collect(),
            inserted,
            services: (older.services != newer.services).then(|| newer.services.clone()),
            limits: (older.limits != newer.limits).then_some(newer.limits),
            requires_keys: newer.requires_keys,
            removed_workspaces: removed_workspaces
                .filter(|name| !newer.workspaces.contains_key(*name))
                .cloned()
                .collect(),
            workspaces: workspaces
                .filter(|(name, workspace)| older.workspaces.get(*name) != Some(*workspace))
                .map(|(_, workspace)| Arc::clone(workspace))
                .collect(),
            fingerprint: fingerprint(newer),
        }
    }

    /// Returns the state that results from the older one.
    ///
    /// # Errors
    ///
    /// Fails when `older` is not the state from which the difference was made.
    pub fn apply(&self, older: &State) -> Result<State, Mismatch> {
        if older.version != self.from {
            return Err(Mismatch::Version {
                expected: self.from,
                found: older.version,
            });
        }
        let mut removed = self.removed.iter().peekable();
        let mut kept = older.routes.iter().enumerate().filter(|(position, _)| {
            removed
                .next_if(|other| **other == index(*position))
                .is_none()
        });
        let mut routes = Vec::with_capacity(older.routes.len() + self.inserted.len());
        for (position, route) in &self.inserted {
            while index(routes.len()) < *position {
                let Some((_, route)) = kept.next() else {
                    return Err(Mismatch::Content(self.to));
                };
                routes.push(Arc::clone(route));
            }
            routes.push(Arc::clone(route));
        }
        routes.extend(kept.map(|(_, route)| Arc::clone(route)));
        let mut workspaces = older.workspaces.clone();
        for name in &self.removed_workspaces {
            workspaces.remove(name);
        }
        for workspace in &self.workspaces {
            workspaces.insert(workspace.name.clone(), Arc::clone(workspace));
        }
        let newer = State {
            version: self.to,
            routes,
            services: self.services.as_ref().unwrap_or(&older.services).clone(),
            limits: self.limits.unwrap_or(older.limits),
            requires_keys: self.requires_keys,
            workspaces,
        };
        if fingerprint(&newer) != self.fingerprint {
            return Err(Mismatch::Content(self.to));
        }
        Ok(newer)
    }

    /// Returns the number of routes and workspaces that the difference holds.
    fn len(&self) -> usize {
        self.inserted.len() + self.workspaces.len()
    }
}

/// Recent differences, each of which applies to the version that the one before it
/// results in.
#[derive(Debug, Default)]
pub struct History {
    differences: VecDeque<Arc<Difference>>,
    /// Number of routes and workspaces in all differences.
    items: usize,
}

impl History {
    /// Adds the difference to the newest version. Differences that do not lead to
    /// it, and the oldest ones beyond the size limit, are discarded.
    pub fn record(&mut self, difference: Arc<Difference>) {
        let newest = self.differences.back().map(|newest| newest.to);
        if newest.is_some_and(|newest| newest != difference.from) {
            self.differences.clear();
            self.items = 0;
        }
        self.items += difference.len();
        self.differences.push_back(difference);
        while self.differences.len() > MAX_DIFFERENCES || self.items > MAX_HISTORY_ITEMS {
            let Some(oldest) = self.differences.pop_front() else {
                return;
            };
            self.items -= oldest.len();
        }
    }

    /// Returns the differences that lead from a version to the newest one, or `None`
    /// if they are not known or do not save anything over a state of `items` routes and
    /// workspaces.
    #[must_use]
    pub fn since(&self, version: Version, items: usize) -> Option<Vec<Arc<Difference>>> {
        let first = self.differences.iter().position(|d| d.from == version)?;
        let differences: Vec<_> = self.differences.iter().skip(first).cloned().collect();
        let held: usize = differences.iter().map(|d| d.len()).sum();
        (held < items.max(1)).then_some(differences)
    }
}

/// Returns a hash of a state, which is the same in all processes of one build.
fn fingerprint(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Returns a position as it is encoded. States have fewer than 2^32 routes.
fn index(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}
