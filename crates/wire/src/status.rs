//! Status that an entry reports with every pong.

use carobdrift_units::{Millis, Revision, Service};
use serde::{Deserialize, Serialize};

/// Status of an entry, sent in pongs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Status {
    /// Position in the change log up to which the entry has all changes in force.
    pub revision: Revision,
    /// Age of the entry's confirmation at the time at which the frame was built;
    /// `None` if the entry has not been confirmed since its start.
    pub confirmed: Option<Millis>,
    /// Whether the entry's last call to the table service succeeded.
    pub store_reachable: bool,
    /// Whether the entry has had every accepted document at some time since its
    /// start. If not, documents may have been accepted of which the entry does not
    /// know.
    pub recovered: bool,
    /// Number of entries of the cell on the latest instance list that the entry has
    /// read; 0 if it has read none.
    pub cell_size: u32,
    /// Time from the start of the entry's ledger until the serving state was last
    /// published; 0 if the entry does not publish it. Peers issue prefixes of
    /// idempotency keys on behalf of the entry as of that time.
    #[serde(rename = "ledger")]
    pub ledger_age: Millis,
    /// Whether the entry takes calls.
    pub ready: bool,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Call rates of the services with the most calls.
    pub rates: Vec<Rate>,
}

/// Call rate of one service at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Service that is called.
    pub service: Service,
    /// Number of calls per second, averaged over the last seconds.
    pub per_second: f64,
}
