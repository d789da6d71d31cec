//! Choice of a target: policies, admission, budgets and health.
//!
//! A [`Pool`] holds everything that one entry knows of the targets of one
//! service. [`Pool::acquire`] admits a [`Call`] and returns a [`Slot`] on a
//! target, or states why the call was [`Shed`].

mod admission;
mod allowance;
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
mod share;
mod signal;
mod slot;
mod state;
mod tenure;
mod view;
mod wait;
mod window;

pub use allowance::Allowance;
pub use call::{Call, Purpose, Scope, Shed};
pub use metrics::Metrics;
pub use observation::{Departure, Evidence, Load, Observation, Outcome, Report, Sample};
pub use policy::Policy;
pub use pool::{HEDGE_PAUSE, Local, Pool};
pub use share::{Place, Share, Statement, fixed_part};
pub use slot::Slot;
pub use view::{Standing, TargetView};
