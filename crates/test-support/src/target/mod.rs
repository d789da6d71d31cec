//! Stand-in for a target: serves any path, executes a limited number of requests
//! concurrently, reports its load, records the requests that it runs and injects
//! faults.
//!
//! [`StandIn::bind`] returns a handle; several stand-ins can run in one process.
//! Dropping the handle aborts the stand-in at once.

mod control;
mod fault;
mod record;
mod request;
mod service_time;
mod stand_in;
mod stream;

pub use fault::{Action, ColdStart, CutBody, Faults, Load, Reset};
pub use record::{Run, Status};
pub use service_time::{Noise, ServiceTime};
pub use stand_in::{Error, Settings, StandIn};
