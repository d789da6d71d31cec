//! One shard lease as one entry sees it.

use std::time::Duration;

use carobdrift_platform::Row;
use carobdrift_units::{Incarnation, Instance};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Rank from which on the wait for a free lease grows no further.
const LAST_RANK: u32 = 5;

/// Times that all entries of a cell must agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a lease is held after its renewal was sent.
    pub duration: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Time before the end of the lease at which its holder stops. The gap to
    /// the successor must span one second, the window of the budget.
    pub margin: Duration,
    /// Time that each further rank waits longer for a lease that is free.
    pub rank_step: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            renewal: Duration::from_secs(5),
            margin: Duration::from_secs(1),
            rank_step: Duration::from_secs(1),
        }
    }
}

/// A process that writes lease rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Instance id.
    pub instance: Instance,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Value of a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    #[serde(flatten)]
    pub(crate) owner: Owner,
    /// Id of the transaction that wrote the row.
    pub(crate) transaction: String,
    /// Whether the lease was given back. The row stays, so that an absent row
    /// shows that the lease was never held.
    #[serde(default)]
    pub(crate) released: bool,
}

/// A time for which a lease is held without a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// When it began.
    pub since: Instant,
    /// When the holder must stop, unless it renews the lease.
    pub until: Instant,
    /// Whether nobody held the lease before.
    pub first: bool,
}

/// One shard lease as one entry sees it. All moments are of the entry's own
/// monotonic clock.
#[derive(Debug)]
pub struct Lease {
    owner: Owner,
    timing: Timing,
    row: Option<Seen>,
    tenure: Option<Tenure>,
    /// When the latest write that took effect was sent.
    renewed: Option<Instant>,
    /// Write whose outcome is unknown, and when it was sent.
    unknown: Option<(String, Instant)>,
}

/// The row as last seen.
#[derive(Debug)]
struct Seen {
    /// Version; 0 when the row is absent.
    version: u64,
    /// Writer of the row, unless the value can't be read or the lease was given
    /// back.
    writer: Option<Owner>,
    released: bool,
    /// When this version was first seen.
    since: Instant,
}

impl Lease {
    /// A lease whose row was not read yet.
    #[must_use]
    pub fn new(owner: Owner, timing: Timing) -> Self {
        Self {
            owner,
            timing,
            row: None,
            tenure: None,
            renewed: None,
            unknown: None,
        }
    }

    /// Takes note of the row as the platform returned it at `now`.
    pub fn observe(&mut self, row: Option<&Row>, now: Instant) {
        let version = row.map_or(0, |row| row.version);
        let claim = row.and_then(|row| Claim::deserialize(&row.value).ok());
        if let Some((id, sent)) = &self.unknown
            && claim.as_ref().is_some_and(|claim| claim.transaction == *id)
        {
            let sent = *sent;
            self.record_write(version, sent, now);
        } else if self.row.as_ref().is_none_or(|row| row.version != version) {
            let released = claim.as_ref().is_some_and(|claim| claim.released);
            let held = claim.filter(|claim| !claim.released);
            self.row = Some(Seen {
                version,
                writer: held.map(|claim| claim.owner),
                released,
                since: now,
            });
        }
    }

    /// Moment from which this entry may write the row; `None` before the first
    /// observation. `rank` is the entry's rendezvous rank for the shard.
    #[must_use]
    pub fn next_write(&self, rank: u32) -> Option<Instant> {
        let row = self.row.as_ref()?;
        let wait = self.timing.rank_step * rank.min(LAST_RANK);
        if row.version == 0 || row.released {
            return Some(row.since + wait);
        }
        if row.writer.as_ref() == Some(&self.owner) {
            return Some(
                self.renewed
                    .map_or(row.since, |sent| sent + self.timing.renewal),
            );
        }
        Some(row.since + self.timing.duration + wait)
    }

    /// Version that a write must find; 0 when the row must be absent.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.version)
    }

    /// A write that was sent at `sent` took effect and gave the row `version`.
    pub fn record_write(&mut self, version: u64, sent: Instant, now: Instant) {
        let (since, first) = match self.tenure {
            Some(tenure) if now < tenure.until => (tenure.since, tenure.first),
            _ => (now, self.version() == 0),
        };
        let until = sent + self.timing.duration.saturating_sub(self.timing.margin);
        self.tenure = Some(Tenure {
            since,
            until,
            first,
        });
        self.renewed = Some(sent);
        self.unknown = None;
        self.row = Some(Seen {
            version,
            writer: Some(self.owner.clone()),
            released: false,
            since: now,
        });
    }

    /// The outcome of a write that was sent at `sent` is unknown. It extends
    /// the lease only once an observation shows that it took effect.
    pub fn record_unknown_write(&mut self, transaction: String, sent: Instant) {
        self.unknown = Some((transaction, sent));
    }

    /// The current tenure; `None` when the lease is not held at `now`.
    #[must_use]
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        self.tenure.filter(|tenure| now < tenure.until)
    }

    /// Instance that wrote the row last.
    #[must_use]
    pub fn holder(&self) -> Option<&Instance> {
        let writer = self.row.as_ref()?.writer.as_ref()?;
        Some(&writer.instance)
    }

    /// Whether this process wrote the row last.
    #[must_use]
    pub fn is_own(&self) -> bool {
        self.row
            .as_ref()
            .is_some_and(|row| row.writer.as_ref() == Some(&self.owner))
    }
}
