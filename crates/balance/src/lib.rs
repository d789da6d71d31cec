//! Choice of a target: policies, admission, budgets and health.
//!
//! A [`Pool`] holds everything that one entry knows of the targets of one
//! service. [`Pool::acquire`] admits a [`Call`] and returns a [`Slot`] on a
//! target, or states why the call was [`Shed`].

mod call;
mod metrics;
mod observation;
mod pool;
mod slot;
mod view;

pub use call::{Call, Purpose, Scope, Shed};
pub use metrics::Metrics;
pub use observation::{Departure, Evidence, Load, Observation, Outcome, Report, Sample};
pub use pool::{Local, Pool};
pub use slot::Slot;
pub use view::{Standing, TargetView};
