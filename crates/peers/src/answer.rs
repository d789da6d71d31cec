//! Data of an entry that other entries fetch.

use std::net::IpAddr;
use std::sync::Arc;

use carobdrift_routing::{Difference, State};
use carobdrift_units::{StoreRevision, Version};
use serde::{Deserialize, Serialize};

use crate::datagram::Row;

/// Desired state that is newer than the one a requester has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole state.
    Whole(State),
    /// Differences that lead from the requester's state to the newest one.
    Differences(Vec<Arc<Difference>>),
}

impl Update {
    /// Returns the version that the update leads to, or `None` if it holds nothing.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        match self {
            Self::Whole(state) => Some(state.version),
            Self::Differences(differences) => differences.last().map(|last| last.to),
        }
    }
}

/// Registered targets as of one store revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    /// Store revision up to which the registrations are complete.
    pub revision: StoreRevision,
    /// Registrations of the targets.
    pub rows: Vec<Row>,
}

/// Answer of an entry to a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer<T> {
    /// Data that the requester does not have.
    Newer(T),
    /// The entry has nothing newer.
    Current,
    /// The entry serves as many others as its link can at a time. Lists entries that
    /// have the data as well, as far as the entry knows any.
    Busy(Vec<IpAddr>),
}
