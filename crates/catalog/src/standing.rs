//! Whether the documents of an entry are known to be the newest.

use std::time::{Duration, Instant};

use carobdrift_membership::Peer;
use carobdrift_units::Revision;

/// Time for which a confirmation holds.
pub(crate) const VALIDITY: Duration = Duration::from_secs(5);

/// Whether an entry may serve with the documents that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The documents were the newest ones at a moment at most 5 s ago.
    Confirmed {
        /// Time since that moment.
        age: Duration,
    },
    /// Neither this entry nor a majority of the cell that it hears reaches the
    /// store, and none of them knows a newer document.
    Outage,
    /// The documents may be outdated; calls must be refused.
    Unconfirmed,
}

impl Standing {
    /// Whether calls may be dispatched.
    #[must_use]
    pub fn permits_calls(self) -> bool {
        !matches!(self, Self::Unconfirmed)
    }

    /// The standing's name as used in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Confirmed { .. } => "confirmed",
            Self::Outage => "outage",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// What an entry knows of itself when it judges whether there is an outage.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Own {
    pub(crate) revision: Revision,
    pub(crate) store_reachable: bool,
    pub(crate) recovered: bool,
}

/// Number of entries that make a majority of a cell.
fn majority(cell_size: usize) -> usize {
    cell_size / 2 + 1
}

/// A number of entries, this entry included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Count {
    /// Entries on the instance list.
    pub(crate) members: usize,
    /// Entries that are known from the list or from their own introduction.
    pub(crate) known: usize,
}

impl Count {
    /// This entry alone.
    pub(crate) const SELF: Self = Self {
        members: 1,
        known: 1,
    };

    /// All entries of the cell.
    pub(crate) fn all(peers: &[Peer], cell_size: usize) -> Self {
        Self {
            members: cell_size,
            known: cell_size.max(peers.len() + 1),
        }
    }

    /// Entries heard within `window`.
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

    /// Whether these are more than half of `all`. Both counts must be, because
    /// a list that lags shows too few entries: one that shows this entry alone
    /// would make it a majority of its own.
    pub(crate) fn is_majority_of(self, all: Self) -> bool {
        self.members >= majority(all.members) && self.known >= majority(all.known)
    }
}

/// Moment until which the standing `Outage` holds; `None` when it does not.
///
/// An edit needs a majority of the cell, so every other majority shares a
/// member with it. That member vouches for the edit only if its memory reaches
/// back, which is why entries that have not recovered since their start don't
/// count.
pub(crate) fn outage_until(
    own: Own,
    peers: &[Peer],
    cell_size: usize,
    now: Instant,
) -> Option<Instant> {
    if own.store_reachable || !own.recovered {
        return None;
    }
    let newer = |peer: &Peer| peer.received_within(VALIDITY, now) && peer.revision > own.revision;
    if peers.iter().any(newer) {
        return None;
    }
    let mut votes = Vec::new();
    for peer in peers {
        let (Some(heard), Some(status)) = (peer.last_ack, &peer.status) else {
            continue;
        };
        if !peer.acked_within(VALIDITY, now) {
            continue;
        }
        if status.store_reachable {
            return None;
        }
        if status.recovered {
            votes.push((heard, peer.member));
        }
    }
    votes.sort_unstable_by(|a, b| b.cmp(a));
    let all = Count::all(peers, cell_size);
    let mut count = Count::SELF;
    if count.is_majority_of(all) {
        return Some(now + VALIDITY);
    }
    for (heard, member) in votes {
        count.add(member);
        if count.is_majority_of(all) {
            return Some(heard + VALIDITY);
        }
    }
    None
}
