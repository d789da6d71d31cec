//! What an entry states of itself on its links.

use std::time::Instant;

use carobdrift_units::{Millis, Revision};
use carobdrift_wire::{Rate, Status};

/// What an entry knows of the documents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Newest position of the change log that is in force without gaps.
    pub revision: Revision,
    /// Latest moment at which `revision` is known to have been the newest.
    pub at: Option<Instant>,
    /// Whether the last call to the table service succeeded.
    pub store_reachable: bool,
    /// Whether the entry held every accepted document at some moment since its
    /// start.
    pub recovered: bool,
}

/// What an entry states of its calls.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Serving {
    /// Whether the entry takes calls.
    pub ready: bool,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Time since the start of the entry's ledger; 0 when nobody may issue keys
    /// on behalf of the entry.
    pub ledger_age: Millis,
    /// Call rates of the busiest services.
    pub rates: Vec<Rate>,
}

/// The status for a frame that is built at `now`.
pub(crate) fn compose(
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

/// Age in whole milliseconds, rounded up. Rounding down would let entries that
/// confirm each other in a circle grow younger with each round.
fn age(at: Instant, now: Instant) -> Millis {
    let age = now.saturating_duration_since(at);
    Millis(u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX))
}
