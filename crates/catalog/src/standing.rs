//! Standing of an entry: whether its documents are known to be the newest ones.

use std::time::{Duration, Instant};

use carobdrift_membership::Peer;
use carobdrift_units::Revision;

/// Time for which a confirmation is valid.
pub(crate) const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(5);

/// Standing that decides whether an entry may dispatch calls with the documents
/// that it has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The documents were confirmed to be the newest ones at most 5 s ago.
    Confirmed {
        /// Time since the confirmation.
        age: Duration,
    },
    /// This entry can't reach the store, a majority of the cell responds, and no
    /// peer reaches the store or reports a newer revision.
    Outage,
    /// The documents may be outdated; calls must be refused.
    Unconfirmed,
}

impl Standing {
    /// Returns whether calls may be dispatched.
    #[must_use]
    pub fn permits_calls(self) -> bool {
        !matches!(self, Self::Unconfirmed)
    }

    /// Returns the name of the standing in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Confirmed { .. } => "confirmed",
            Self::Outage => "outage",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Snapshot of the local state that decides whether there is an outage.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) store_reachable: bool,
    pub(crate) recovered: bool,
}

/// Returns the number of entries in the smallest majority of a cell.
fn majority(cell_size: usize) -> usize {
    cell_size / 2 + 1
}

/// Count of entries, including this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Count {
    /// Number of entries on the instance list.
    pub(crate) members: usize,
    /// Number of entries known from the instance list or from their `Hello`.
    pub(crate) known: usize,
}

impl Count {
    /// Count of this entry alone.
    pub(crate) const SELF: Self = Self {
        members: 1,
        known: 1,
    };

    /// Counts all entries of the cell.
    pub(crate) fn all(peers: &[Peer], cell_size: usize) -> Self {
        Self {
            members: cell_size,
            known: cell_size.max(peers.len() + 1),
        }
    }

    /// Counts this entry and the peers that answered a ping sent at most `window`
    /// before `now`.
    pub(crate) fn responding(peers: &[Peer], window: Duration, now: Instant) -> Self {
        let mut count = Self::SELF;
        for peer in peers.iter().filter(|peer| peer.acked_within(window, now)) {
            count.add(peer.member);
        }
        count
    }

    pub(crate) fn add(&mut self, member: bool) {
        self.known += 1;
        self.members += usize::from(member);
    }

    /// Returns whether the counted entries are more than half of `all`, both by
    /// the instance list and by all known entries. The list alone is not enough,
    /// because a stale list may lack entries: an entry that is alone on the list
    /// would be a majority by itself.
    pub(crate) fn is_majority_of(self, all: Self) -> bool {
        self.members >= majority(all.members) && self.known >= majority(all.known)
    }
}

/// Returns the time until which the standing is `Outage`; `None` if it is not.
///
/// An edit requires a majority of the cell, so every other majority has at least
/// one entry in common with it. That entry knows of the edit only if it has not
/// lost its state since, so entries that have not recovered since their start
/// are not counted.
pub(crate) fn outage_until(
    local: Snapshot,
    peers: &[Peer],
    cell_size: usize,
    now: Instant,
) -> Option<Instant> {
    if local.store_reachable || !local.recovered {
        return None;
    }
    let is_newer = |peer: &Peer| {
        peer.received_within(CONFIRMATION_VALIDITY, now) && peer.revision > local.revision
    };
    if peers.iter().any(is_newer) {
        return None;
    }
    let mut votes = Vec::new();
    for peer in peers {
        let (Some(last_ack), Some(status)) = (peer.last_ack, &peer.status) else {
            continue;
        };
        if !peer.acked_within(CONFIRMATION_VALIDITY, now) {
            continue;
        }
        if status.store_reachable {
            return None;
        }
        if status.recovered {
            votes.push((last_ack, peer.member));
        }
    }
    votes.sort_unstable_by(|a, b| b.cmp(a));
    let all = Count::all(peers, cell_size);
    let mut count = Count::SELF;
    if count.is_majority_of(all) {
        return Some(now + CONFIRMATION_VALIDITY);
    }
    for (last_ack, member) in votes {
        count.add(member);
        if count.is_majority_of(all) {
            return Some(last_ack + CONFIRMATION_VALIDITY);
        }
    }
    None
}
