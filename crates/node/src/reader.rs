//! Selection of the entries that read the store.

use std::cmp::Reverse;
use std::time::Duration;

use carobdrift_peers::{Identity, Membership, StoreHealth};
use tokio::time::Instant;

/// Number of entries that read the store. Two in different zones, so that the
/// loss of one leaves no gap.
const READER_COUNT: usize = 2;

/// Time without a datagram of any other entry after which this entry counts as
/// isolated and reads the store itself.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time between two rounds of entries that try to read the store while it is not known to
/// answer any entry. The answer to an entry must be known to the others within it.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// Upper bound of the delay between two calls of an entry of the first round, while the
/// store does not answer. Changes that a store holds when it returns must be in force
/// everywhere 1.25 s later.
const MIN_RETRY_LIMIT: Duration = Duration::from_millis(500);

/// The same for entries of late rounds: all of them together add less to the load of a
/// failing store than the first round, up to a hundred entries.
const MAX_RETRY_LIMIT: Duration = Duration::from_secs(4);

/// Position of this entry in the order in which entries read the store, and what is known
/// of those that precede it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Position {
    /// Number of entries that precede this one.
    pub rank: usize,
    /// Number of preceding entries whose store calls fail.
    pub failing: usize,
    /// Number of preceding entries that the store answers.
    pub readers: usize,
    /// Whether the store answers any other entry.
    pub is_read: bool,
    /// Whether no other entry was heard for some time.
    pub is_isolated: bool,
}

impl Position {
    /// Computes the position from the membership. Entries of larger capacity precede
    /// others. Those of equal capacity are ranked by their index in their zone, so that
    /// the first ones are in different zones.
    pub(crate) fn of(own: &Identity, membership: &Membership, now: Instant) -> Self {
        let zones = membership.ranked(own, now);
        let ordered = zones.iter().flat_map(|(zone, candidates)| {
            let candidates = candidates.iter().enumerate();
            candidates.map(move |(index, candidate)| {
                ((Reverse(candidate.capacity), index, zone), candidate)
            })
        });
        let mut ordered: Vec<_> = ordered.collect();
        ordered.sort_unstable_by_key(|(order, _)| *order);
        let ordered = ordered.into_iter().map(|(_, candidate)| candidate);
        let mut position = Self {
            is_isolated: membership.contact_age(now) > ISOLATION_TIMEOUT,
            ..Self::default()
        };
        let mut is_preceding = true;
        for candidate in ordered {
            is_preceding &= candidate.address != own.address;
            position.is_read |= candidate.is_reader;
            if is_preceding {
                position.rank += 1;
                position.failing += usize::from(candidate.store == StoreHealth::Failing);
                position.readers += usize::from(candidate.is_reader);
            }
        }
        position
    }

    /// Returns whether this entry should read the store. `is_reading` states whether it
    /// does, and `unread_for` for how long the store has not been known to answer any
    /// entry.
    ///
    /// Each entry whose calls fail calls in as many others as there are readers, and each
    /// round without an answer is followed by another one that is twice as large. So any
    /// entry that the store answers reads it soon, whichever entries it does not answer.
    #[must_use]
    pub fn should_read(self, is_reading: bool, unread_for: Duration) -> bool {
        if self.is_isolated {
            return true;
        }
        if self.readers >= READER_COUNT {
            return false;
        }
        // An entry that reads goes on until others do, so that a change of the order
        // leaves no gap.
        is_reading
            || self.rank < READER_COUNT * (1 + self.failing)
            || unread_for > ROUND_INTERVAL * self.round()
    }

    /// Returns the upper bound of the delay between two calls while the store does not
    /// answer this entry. It doubles with each round, as does the number of entries.
    #[must_use]
    pub fn retry_limit(self) -> Duration {
        let doublings = 2_u32.saturating_pow(self.round());
        MIN_RETRY_LIMIT
            .saturating_mul(doublings)
            .min(MAX_RETRY_LIMIT)
    }

    /// Returns the round in which this entry tries to read the store: 0 for the usual
    /// readers, and 1, 2, 3 for the next 4, 8, 16 entries.
    fn round(self) -> u32 {
        (self.rank / READER_COUNT + 1).ilog2()
    }
}
