//! Target selection by fresh load reports, admission, and retry budgets.
//!
//! Targets share their machines with other workloads and change their speed
//! several times a second, so a load report is useful for some tens of
//! milliseconds. [`Pool::choose`] therefore sends a request at once only when
//! a suitable target has a report that fresh, and otherwise names targets to
//! probe. Nothing in this crate blocks or uses the network.

mod budget;
mod candidate;
mod capacity;
mod contention;
mod demand;
mod estimate;
mod health;
mod plan;
mod pool;
mod queue;
mod report;
mod retry;
mod statement;

pub use budget::Budget;
pub use candidate::{Endpoint, Lifecycle};
pub use demand::{Demand, Reason, Refused, Ticket};
pub use estimate::Estimate;
pub use pool::{Choice, Criteria, Pool};
pub use queue::Queue;
pub use report::{Load, Outcome, Snapshot};
pub use retry::retry_after;
