//! Choice of a target: policies, admission, budgets and health.
//!
//! A [`Pool`] holds everything that one entry knows of the targets of one
//! service. [`Pool::acquire`] admits a [`Call`] and returns a [`Slot`] on a
//! target, or states why the call was [`Shed`].

mod admission;
mod budget;
mod call;
mod class;
mod count;
mod ejection;
mod health;
mod latency;
mod metrics;
mod node;
mod number;
mod observation;
mod peak;
mod permit;
mod policy;
mod pool;
mod queue;
mod quota;
mod share;
mod signal;
mod slot;
mod snapshot;
mod state;
mod tenure;
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
