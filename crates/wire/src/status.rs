//! What an entry states of itself on every heartbeat.

use carobdrift_units::{Millis, Revision, Service};
use serde::{Deserialize, Serialize};

/// State of an entry as carried by pings and pongs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Status {
    /// Newest position of the change log that the entry has in force.
    pub revision: Revision,
    /// Age of the entry's confirmation when the frame was sent; absent when it
    /// was never confirmed.
    pub confirmed: Option<Millis>,
    /// Whether the entry's last call to the table service succeeded.
    pub store_reachable: bool,
    /// Whether the entry held every accepted document at some moment since its
    /// start. Until then its revision says nothing about what was accepted.
    pub recovered: bool,
    /// Entries of the cell on the latest instance list that the entry read; 0
    /// when it has read none.
    pub cell_size: u32,
    /// Time since the start of the entry's ledger when the status was last
    /// stated; 0 when it states none. Peers issue prefixes of idempotency keys
    /// as of that moment on behalf of the entry.
    #[serde(rename = "ledger")]
    pub ledger_age: Millis,
    /// Whether the entry takes calls.
    pub ready: bool,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Call rates of the busiest services.
    pub rates: Vec<Rate>,
}

/// Call rate of one service at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// The service.
    pub service: Service,
    /// Calls per second, averaged over the last seconds.
    pub per_second: f64,
}
