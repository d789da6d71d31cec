//! When an entry that has just started reads the store.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which an entry waits for other entries before it reads the store
/// when the whole installation starts, because only a few entries need to read.
const FIRST_START_JOIN_DELAY: Duration = Duration::from_millis(1500);

/// Time for which an entry that starts again waits for other entries before it
/// reads the store. Short, because running entries answer within milliseconds,
/// and callers are waiting if there are none.
const JOIN_DELAY: Duration = Duration::from_millis(80);

/// Additional time for which an entry that is not a reader by its rank waits for
/// those that are, when all known entries start again.
const OTHERS_DELAY: Duration = Duration::from_millis(250);

/// Time after the start of an installation for which an entry that receives
/// datagrams of others collects the membership before it reads the store.
const FIRST_START_MEMBERSHIP_DELAY: Duration = Duration::from_millis(700);

/// The same after a restart. Without it an entry that knows only its seeds would
/// count itself among the readers.
const MEMBERSHIP_DELAY: Duration = Duration::from_millis(400);

/// Time after the join delay from which an entry that still has no data reads
/// the store whatever its rank.
const MAX_START_DELAY: Duration = Duration::from_millis(1500);

/// Start of an entry.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    is_first: bool,
    /// Time from which an entry that knows of no data reads the store.
    joined_at: Instant,
    /// Time from which an entry with contact to others reads the store by its rank.
    ranked_at: Instant,
}

/// What an entry knows when it decides whether to read the store.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge {
    /// Whether the entry has no contact to others.
    pub is_isolated: bool,
    /// Where the data is.
    pub data: Data,
    /// Whether the entry is a reader by its rank among those that it knows.
    pub is_reader: bool,
}

/// Where the data of the store is, as an entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Data {
    /// No known entry has had a response of the store.
    Nowhere,
    /// This entry lacks data that another one may have.
    Elsewhere,
    /// This entry has the data.
    Here,
}

impl Start {
    /// Computes the times of a start at `now`. `is_first` states whether the whole
    /// installation starts for the first time.
    #[must_use]
    pub fn new(is_first: bool, now: Instant) -> Self {
        let (join_delay, membership_delay) = if is_first {
            (FIRST_START_JOIN_DELAY, FIRST_START_MEMBERSHIP_DELAY)
        } else {
            (JOIN_DELAY, MEMBERSHIP_DELAY)
        };
        Self {
            is_first,
            joined_at: now + join_delay,
            ranked_at: now + membership_delay,
        }
    }

    /// Returns the time from which an entry without contact to others searches
    /// them in the store.
    #[must_use]
    pub fn joined_at(&self) -> Instant {
        self.joined_at
    }

    /// Returns the time from which an entry that has read the store knows its rank,
    /// and thus whether it goes on reading.
    #[must_use]
    pub fn ranked_at(&self) -> Instant {
        self.ranked_at
    }

    /// Returns whether the entry should read the store.
    #[must_use]
    pub fn should_read(&self, knowledge: Knowledge, now: Instant) -> bool {
        let Knowledge {
            is_isolated,
            data,
            is_reader,
        } = knowledge;
        // No other entry has sent the data in time.
        if data != Data::Here && self.joined_at + MAX_START_DELAY <= now {
            return true;
        }
        // All known entries start as well.
        if !self.is_first && data == Data::Nowhere {
            let is_first_to_read = is_isolated || is_reader;
            let delay = if is_first_to_read {
                Duration::ZERO
            } else {
                OTHERS_DELAY
            };
            return self.joined_at + delay <= now;
        }
        let is_due = if is_isolated {
            self.joined_at <= now
        } else {
            self.ranked_at <= now
        };
        is_due && is_reader
    }
}
