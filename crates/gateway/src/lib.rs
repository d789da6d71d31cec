//! The path of requests under one desired state, from callers to targets.
//!
//! [`Gateway`] routes each request by the desired state in force, places it on
//! a target, and answers it whole or states what became of it. The names of
//! header fields come from a [`Dialect`], so this package knows no platform.

mod attempt;
mod call;
mod clock;
mod dialect;
mod exchange;
mod gateway;
mod listener;
mod metrics;
mod place;
mod probe;
mod refusal;
mod services;
mod upstream;

pub use clock::Suspension;
pub use dialect::Dialect;
pub use gateway::{Gateway, Settings};
pub use listener::Listener;
pub use metrics::Metrics;
