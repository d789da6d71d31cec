//! Probing of targets within the probe budget, and allocation of shares of
//! limits.
//!
//! Each service belongs to a [`Shard`] by its hash. [`Leases`] competes for the
//! lease of each shard in the platform's table. The holder of a lease probes
//! the targets of the shard's services with its [`Prober`], and grants shares
//! of their limits to the entries of the cell through [`Shares`].

mod allocator;
mod allocators;
mod convert;
mod division;
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
