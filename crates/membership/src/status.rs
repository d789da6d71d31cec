//! Status that an entry reports to its peers.

use std::time::Instant;

use carobdrift_units::{Millis, Revision};
use carobdrift_wire::{Rate, Status};

/// Confirmation of the documents of an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Position in the change log up to which all changes are in force.
    pub revision: Revision,
    /// Latest time at which `revision` is known to have been the newest one.
    pub at: Option<Instant>,
    /// Whether the last call to the table service succeeded.
    pub store_reachable: bool,
    /// Whether the entry has had every accepted document at some time since its
    /// start.
    pub recovered: bool,
}

/// Serving state of an entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Serving {
    /// Whether the entry takes calls.
    pub ready: bool,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Time since the start of the entry's ledger; 0 if peers must not issue
    /// idempotency keys on behalf of the entry.
    pub ledger_age: Millis,
    /// Call rates of the services with the most calls.
    pub rates: Vec<Rate>,
}

/// Builds the status for a frame that is sent at `now`.
pub(crate) fn build_status(
    confirmation: &Confirmation,
    serving: &Serving,
    cell_size: u32,
    now: Instant,
) -> Status {
    Status {
        revision: confirmation.revision,
        confirmed: confirmation.at.map(|at| age(at, now)),
        store_reachable: confirmation.store_reachable,
        recovered: confirmation.recovered,
        cell_size,
        ledger_age: serving.ledger_age,
        ready: serving.ready,
        leaving: serving.leaving,
        rates: serving.rates.clone(),
    }
}

/// Returns an age in whole milliseconds, rounded up. If it were rounded down,
/// entries that confirm each other in turn would reduce the age in each round.
fn age(at: Instant, now: Instant) -> Millis {
    let age = now.saturating_duration_since(at);
    Millis(u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX))
}
