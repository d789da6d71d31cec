//! Choice of a target by fresh reports, and budgets of repeats.
//!
//! Targets share their machines with others and change their speed several
//! times a second, so a report is worth something for some tens of
//! milliseconds. [`Pool::choose`] therefore sends a request at once only when
//! the report of a good target is that fresh, and names targets to probe
//! otherwise. Nothing in this package waits or uses the network.

mod budget;
mod estimate;
mod health;
mod node;
mod pool;
mod queue;
mod report;

pub use budget::Budget;
pub use estimate::Estimate;
pub use node::{Endpoint, Lifecycle};
pub use pool::{Choice, Criteria, Pool};
pub use queue::{Queue, Rank};
pub use report::{Load, Outcome, Snapshot};
