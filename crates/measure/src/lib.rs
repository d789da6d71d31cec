//! Probes of targets within the measuring budget, and shares of limits.
//!
//! Services hash to [`Shard`]s. [`Leases`] competes for the lease of each shard
//! in the platform's table; [`Prober`] probes the targets of the services whose
//! shard is held, and [`Shares`] grants parts of their limits to the entries of
//! the cell.

mod allocator;
mod column;
mod convert;
mod grants;
mod holder;
mod lease;
mod leases;
mod members;
mod metrics;
mod pacer;
mod permit;
mod probe;
mod prober;
mod shard;
mod shares;
mod subject;

pub use allocator::{Allocator, Capacity, GRANT_VALIDITY, Requester, grantable_part};
pub use lease::{Lease, Owner, Tenure, Timing};
pub use leases::{Leases, Settings};
pub use members::watch_members;
pub use metrics::Metrics;
pub use pacer::{Completion, Pacer};
pub use permit::Permit;
pub use prober::Prober;
pub use shard::Shard;
pub use shares::Shares;
pub use subject::{Subject, Subjects};
