//! Stand-in of a target: serves any path, executes a limited number of requests
//! at a time, reports its load, keeps a record of what ran, and misbehaves on
//! request.
//!
//! [`StandIn::bind`] returns a running handle; several can run in one process.
//! Dropping the handle stops it at once.

mod control;
mod fault;
mod record;
mod serve;
mod service_time;
mod standin;
mod stream;

pub use fault::{Action, ColdStart, CutBody, Faults, Load, Reset};
pub use record::{Run, Status};
pub use service_time::{Noise, ServiceTime};
pub use standin::{Error, Settings, StandIn};
