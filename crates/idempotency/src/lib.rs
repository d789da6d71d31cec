//! At-most-once execution by idempotency keys, claims and ledgers.
//!
//! A request with an idempotency key is dispatched only with a [`Grant`] from
//! [`Claims::claim`]. Claims of issued keys are decided by the in-memory
//! [`Ledger`] of the process that issued them; claims of keys that callers chose
//! are decided by a row of the platform's table.

mod bucket;
mod claims;
mod grant;
mod ledger;
mod metrics;
mod peers;
mod prefix;
mod refusal;
mod table;

pub use claims::{Claims, Request, Scheme, Settings};
pub use grant::{Dispatch, Grant};
pub use ledger::{Ledger, Limits, MAX_RECORDED_BODY_BYTES};
pub use peers::{PeerError, Peers, Reply};
pub use prefix::{Prefix, PrefixError};
pub use refusal::Refusal;
