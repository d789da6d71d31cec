//! Data path from callers to targets under one desired state.
//!
//! [`Gateway`] routes each request by the current desired state, selects a target
//! for it, and returns either a complete response or a refusal that states whether
//! the request may have been executed. The names of header fields come from a
//! [`Dialect`], so this crate does not depend on a platform.

mod admission;
mod attempt;
mod call;
mod clock;
mod cold;
mod credential;
mod dialect;
mod exchange;
mod gateway;
mod listener;
mod metrics;
mod place;
mod probe;
mod quota;
mod refusal;
mod relay;
mod services;
mod upstream;

pub use clock::Suspension;
pub use dialect::Dialect;
pub use gateway::{Gateway, Settings};
pub use listener::Listener;
pub use metrics::Metrics;
pub use quota::Quotas;
