//! At-most-once execution: keys, claims and the ledger that decides.
//!
//! A request with an idempotency key is dispatched only with a [`Grant`] from
//! [`Claims::claim`]. Issued keys are decided in the memory of the process that
//! issued them, its [`Ledger`]; keys of the caller's choosing are decided by a
//! row of the platform's table.

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
