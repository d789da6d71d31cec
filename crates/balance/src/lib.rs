//! Load balancing over the targets of a service: policies, admission, retry
//! budgets and health.
//!
//! A [`Pool`] holds the state that one entry keeps of the targets of one
//! service. [`Pool::acquire`] admits a [`Call`] and returns a [`Slot`] on a
//! target, or a [`Shed`] with the reason for which the call was shed.

mod admission;
mod budget;
mod call;
mod candidate;
mod class;
mod ejection;
mod estimate;
mod health;
mod latency;
mod lifecycle;
mod metrics;
mod number;
mod observation;
mod peak;
mod permit;
mod policy;
mod pool;
mod queue;
mod quota;
mod share;
mod slot;
mod snapshot;
mod state;
mod usage;
mod wait;
mod window;

pub use call::{Call, Purpose, Scope, Shed};
pub use metrics::Metrics;
pub use observation::{Departure, Evidence, Load, Observation, Outcome, Report, Sample};
pub use policy::Policy;
pub use pool::{Config, HEDGE_RETRY_PAUSE, Pool};
pub use quota::Quota;
pub use share::{Demand, Rank, Share, fixed_share};
pub use slot::Slot;
pub use snapshot::{Snapshot, Standing};
