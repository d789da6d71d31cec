//! State of one shard lease from the view of one entry.

use std::time::Duration;

use carobdrift_platform::Row;
use carobdrift_units::{Incarnation, Instance};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Rank above which the delay before taking a free lease no longer grows.
const MAX_RANK: u32 = 5;

/// Times that must be the same on all entries of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a lease is valid, counted from the send of its renewal.
    pub duration: Duration,
    /// Interval between two renewals.
    pub renewal: Duration,
    /// Time before the end of the lease at which the holder stops using it. The
    /// gap before the successor starts must span one second, the window of the
    /// probe budget.
    pub margin: Duration,
    /// Additional delay per rank before an entry takes a free lease.
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

/// Owner of leases: a process that writes lease rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Instance id.
    pub instance: Instance,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Value of a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    #[serde(flatten)]
    pub(crate) owner: Owner,
    /// Id of the transaction that wrote the row.
    pub(crate) transaction: String,
    /// Whether the lease was released. The row remains, because an absent row
    /// means that the lease was never held.
    #[serde(default)]
    pub(crate) released: bool,
}

/// Tenure: a period in which a lease is held without a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// Start of the tenure.
    pub since: Instant,
    /// Time at which the holder must stop, unless it renews the lease.
    pub until: Instant,
    /// Whether the lease was never held before this tenure.
    pub first: bool,
}

/// Shard lease from the view of one entry. All times are of the entry's own
/// monotonic clock.
#[derive(Debug)]
pub struct Lease {
    owner: Owner,
    timing: Timing,
    row: Option<Observation>,
    tenure: Option<Tenure>,
    /// Send time of the latest write that took effect.
    last_renewal: Option<Instant>,
    /// Transaction id and send time of a write with an unknown outcome.
    unknown_write: Option<(String, Instant)>,
}

/// Observation of the lease row.
#[derive(Debug)]
struct Observation {
    /// Version of the row; 0 when the row is absent.
    version: u64,
    /// Writer of the row; `None` when the value cannot be decoded or the lease
    /// was released.
    writer: Option<Owner>,
    released: bool,
    /// Time at which this version was first seen.
    since: Instant,
}

impl Lease {
    /// Creates a lease whose row has not been read.
    #[must_use]
    pub fn new(owner: Owner, timing: Timing) -> Self {
        Self {
            owner,
            timing,
            row: None,
            tenure: None,
            last_renewal: None,
            unknown_write: None,
        }
    }

    /// Records the row that the platform returned at `now`; `None` when the row
    /// is absent.
    pub fn observe(&mut self, row: Option<&Row>, now: Instant) {
        let version = row.map_or(0, |row| row.version);
        let claim = row.and_then(|row| Claim::deserialize(&row.value).ok());
        if let Some((id, sent)) = &self.unknown_write
            && claim.as_ref().is_some_and(|claim| claim.transaction == *id)
        {
            let sent = *sent;
            self.record_write(version, sent, now);
        } else if self.row.as_ref().is_none_or(|row| row.version != version) {
            let released = claim.as_ref().is_some_and(|claim| claim.released);
            let held = claim.filter(|claim| !claim.released);
            self.row = Some(Observation {
                version,
                writer: held.map(|claim| claim.owner),
                released,
                since: now,
            });
        }
    }

    /// Returns the earliest time at which this entry may write the row; `None`
    /// before the first observation. `rank` is the entry's rendezvous rank for
    /// the shard.
    #[must_use]
    pub fn next_write(&self, rank: u32) -> Option<Instant> {
        let row = self.row.as_ref()?;
        let wait = self.timing.rank_step * rank.min(MAX_RANK);
        if row.version == 0 || row.released {
            return Some(row.since + wait);
        }
        if row.writer.as_ref() == Some(&self.owner) {
            return Some(
                self.last_renewal
                    .map_or(row.since, |sent| sent + self.timing.renewal),
            );
        }
        Some(row.since + self.timing.duration + wait)
    }

    /// Returns the version that the row must have for a write to succeed; 0
    /// when the row must be absent.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.version)
    }

    /// Records that a write sent at `sent` took effect and gave the row
    /// `version`.
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
        self.last_renewal = Some(sent);
        self.unknown_write = None;
        self.row = Some(Observation {
            version,
            writer: Some(self.owner.clone()),
            released: false,
            since: now,
        });
    }

    /// Records that the outcome of a write sent at `sent` is unknown. The write
    /// extends the lease only once an observation shows that it took effect.
    pub fn record_unknown_write(&mut self, transaction: String, sent: Instant) {
        self.unknown_write = Some((transaction, sent));
    }

    /// Returns the current tenure; `None` when the lease is not held at `now`.
    #[must_use]
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        self.tenure.filter(|tenure| now < tenure.until)
    }

    /// Returns the instance that wrote the row last; `None` when the writer is
    /// unknown or the lease was released.
    #[must_use]
    pub fn holder(&self) -> Option<&Instance> {
        let writer = self.row.as_ref()?.writer.as_ref()?;
        Some(&writer.instance)
    }

    /// Returns whether this process wrote the row last.
    #[must_use]
    pub fn is_own(&self) -> bool {
        self.row
            .as_ref()
            .is_some_and(|row| row.writer.as_ref() == Some(&self.owner))
    }
}
